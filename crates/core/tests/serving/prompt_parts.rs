//! Refusal of prompts with a part that crashes engines, and of no others.

use std::{collections::BTreeSet, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, PromptPartId},
    serving::prompt_parts::{MAX_CRASHED_ENGINES, PromptParts},
};

fn part(name: &str) -> PromptPartId {
    PromptPartId::new(name)
}

fn engine(number: usize) -> EngineId {
    EngineId::new(format!("e{number}"))
}

fn at_ms(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn exchange_reports(instances: &mut [PromptParts], now: Instant) {
    let reports: Vec<_> = instances.iter().map(|i| i.reports(now)).collect();
    for instance in instances {
        for report in &reports {
            instance.merge_reports(report, now);
        }
    }
}

/// Lets a request without suspect parts complete.
fn complete_other(parts: &mut PromptParts, now: Instant) {
    parts.record_completion(&[part("other")], now);
}

#[test]
fn a_part_is_refused_at_every_instance_and_the_parts_beside_it_are_not() {
    let mut instances = vec![PromptParts::default(); 3];
    instances[0].record_completion(&[part("common")], at_ms(0));
    for crash in 0..MAX_CRASHED_ENGINES {
        let now = at_ms(1_000 + 300 * crash as u64);
        assert!(instances.iter().all(|i| i.refused_count() == 0));
        // No two prompts are alike, and each comes at another instance.
        let prompt = [part("common"), part("bad"), part(&format!("own-{crash}"))];
        instances[crash % 3].record_crash(&prompt, &engine(crash), now);
        complete_other(&mut instances[crash % 3], now);
        exchange_reports(&mut instances, now);
    }
    for instance in &instances {
        assert!(instance.find_refused(&[part("x"), part("bad")]).is_some());
        assert!(instance.find_refused(&[part("common")]).is_none());
        assert!(instance.find_refused(&[part("own-0")]).is_none());
    }
    // A process that has just started learns it from its peers.
    let now = at_ms(60_000);
    let mut started = PromptParts::default();
    started.merge_reports(&instances[1].reports(now), now);
    assert!(started.find_refused(&[part("bad")]).is_some());
}

#[test]
fn engines_lost_at_the_same_moment_do_not_refuse_a_part() {
    let mut parts = PromptParts::default();
    for number in 0..20 {
        let now = at_ms(1_000 + number as u64);
        parts.record_crash(&[part("common")], &engine(number), now);
    }
    complete_other(&mut parts, at_ms(1_500));
    assert_eq!(parts.refused_count(), 0);
}

#[test]
fn no_part_is_refused_while_no_request_completes() {
    let mut parts = PromptParts::default();
    for number in 0..20 {
        let now = at_ms(1_000 * number as u64);
        parts.record_crash(&[part("common")], &engine(number), now);
    }
    assert_eq!(parts.refused_count(), 0);
}

#[test]
fn a_completion_clears_a_part_at_every_instance() {
    let mut instances = vec![PromptParts::default(); 2];
    for crash in 0..MAX_CRASHED_ENGINES {
        let now = at_ms(1_000 * crash as u64);
        instances[0].record_crash(&[part("shared")], &engine(crash), now);
        complete_other(&mut instances[0], now);
        exchange_reports(&mut instances, now);
    }
    assert!(instances.iter().all(|i| i.refused_count() == 1));
    // A request that was sent before.
    instances[1].record_completion(&[part("shared")], at_ms(4_500));
    exchange_reports(&mut instances, at_ms(4_600));
    assert!(instances.iter().all(|i| i.refused_count() == 0));
}

#[test]
fn repeated_reports_do_not_extend_the_retention() {
    let mut instances = vec![PromptParts::default(); 2];
    for crash in 0..MAX_CRASHED_ENGINES {
        let now = at_ms(1_000 * crash as u64);
        instances[0].record_crash(&[part("bad")], &engine(crash), now);
        complete_other(&mut instances[0], now);
    }
    for minute in 0..12 {
        let now = at_ms(60_000 * (minute + 1));
        exchange_reports(&mut instances, now);
        let expected = usize::from(minute < 10);
        for instance in &mut instances {
            instance.record_completion(&[part("other")], now);
            assert_eq!(instance.refused_count(), expected, "minute {minute}");
        }
    }
}

/// Engines of the service.
const ENGINES: usize = 18;

/// Time from a crash of an engine until it is used again.
const RESTART_TIME: Duration = Duration::from_secs(4);

/// A prompt that runs on an engine.
struct Running {
    instance: usize,
    parts: Vec<PromptPartId>,
    ends_at: Instant,
}

/// Instances and engines, with the prompts that run on them.
struct Fleet {
    rng: fastrand::Rng,
    instances: [PromptParts; 4],
    running: [Vec<Running>; ENGINES],
    /// Number of starts of each engine, which gets a new id with each.
    starts: [usize; ENGINES],
    back_at: [Instant; ENGINES],
    crashes: usize,
    fifth_crash_at: Option<Instant>,
    /// Prompts with the crashing part that reached an engine later than 3 s after the
    /// fifth crash.
    late_crashes: usize,
    refused_sound_parts: BTreeSet<PromptPartId>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            instances: Default::default(),
            running: Default::default(),
            starts: [0; ENGINES],
            back_at: [Instant::ZERO; ENGINES],
            crashes: 0,
            fifth_crash_at: None,
            late_crashes: 0,
            refused_sound_parts: BTreeSet::new(),
        }
    }

    /// Sends a prompt to an engine unless the instance refuses it.
    fn send(&mut self, parts: Vec<PromptPartId>, now: Instant) {
        let instance = self.rng.usize(..self.instances.len());
        let is_sound = !parts.contains(&part("bad"));
        if let Some(refused) = self.instances[instance].find_refused(&parts) {
            if is_sound {
                self.refused_sound_parts.insert(refused.clone());
            }
            return;
        }
        let up = (0..ENGINES).filter(|engine| self.back_at[*engine] <= now);
        let Some(engine) = self.rng.choice(up.collect::<Vec<_>>()) else {
            return;
        };
        let ends_at = now + Duration::from_millis(self.rng.u64(1_500..3_500));
        self.running[engine].push(Running {
            instance,
            parts,
            ends_at,
        });
        if !is_sound {
            self.crash(engine, now);
        }
    }

    fn crash(&mut self, engine: usize, now: Instant) {
        let is_late = |at| now > at + Duration::from_secs(3);
        self.late_crashes += usize::from(self.fifth_crash_at.is_some_and(is_late));
        self.crashes += 1;
        if self.crashes == 5 {
            self.fifth_crash_at = Some(now);
        }
        let id = EngineId::new(format!("e{engine}-{}", self.starts[engine]));
        self.starts[engine] += 1;
        self.back_at[engine] = now + RESTART_TIME;
        for prompt in self.running[engine].drain(..) {
            self.instances[prompt.instance].record_crash(&prompt.parts, &id, now);
        }
    }

    fn complete_prompts(&mut self, now: Instant) {
        for prompts in &mut self.running {
            prompts.retain(|prompt| {
                let has_ended = prompt.ends_at <= now;
                if has_ended {
                    self.instances[prompt.instance].record_completion(&prompt.parts, now);
                }
                !has_ended
            });
        }
    }
}

/// Plays 30 s with 40 sound prompts a second, of 60 sessions, and from the fifth second on
/// `crashing_per_s` prompts with the crashing part.
fn play_crash_wave(seed: u64, crashing_per_s: f64) -> Fleet {
    const TICK: Duration = Duration::from_millis(10);
    let mut fleet = Fleet::new(seed);
    for tick in 0..3_000_u32 {
        let now = at_ms(1_000) + TICK * tick;
        if fleet.rng.f64() < 40.0 * TICK.as_secs_f64() {
            let session = format!("session-{}", fleet.rng.u32(..60));
            fleet.send(vec![part("common"), part(&session)], now);
        }
        let has_begun = now > at_ms(5_000);
        if has_begun && fleet.rng.f64() < crashing_per_s * TICK.as_secs_f64() {
            fleet.send(vec![part("common"), part("bad")], now);
        }
        fleet.complete_prompts(now);
        if tick.is_multiple_of(40) {
            exchange_reports(&mut fleet.instances, now);
        }
    }
    fleet
}

/// Pattern: prompts with one part in common, no two of them alike, arrive at all instances
/// at up to several times the rate at which engines start again. Sound prompts share their
/// other parts. Each crash ends all prompts on the engine.
#[test]
fn a_wave_of_prompts_with_a_crashing_part_ends_and_sound_prompts_are_sent() {
    for seed in 0..20 {
        for crashing_per_s in [1.0, 4.0, 12.0] {
            let fleet = play_crash_wave(seed, crashing_per_s);
            let run = format!("seed {seed}, {crashing_per_s} a second");
            let late = fleet.late_crashes;
            assert!(late <= 3, "{run}: {late} late crashes of {}", fleet.crashes);
            let mut instances = fleet.instances.iter();
            let is_refused = |i: &PromptParts| i.find_refused(&[part("bad")]).is_some();
            assert!(instances.all(is_refused), "{run}: part not refused");
            let refused = fleet.refused_sound_parts;
            assert!(refused.is_empty(), "{run}: refused sound parts {refused:?}");
        }
    }
}
