//! The requests that the two users' callers send.

use std::time::Duration;

use crate::model::Spec;

/// Classes of prompt lengths: name and longest prompt in tokens.
pub const CLASSES: [(&str, u64); 5] = [
    ("1k-8k", 8_000),
    ("8k-32k", 32_000),
    ("32k-100k", 100_000),
    ("100k-400k", 400_000),
    ("400k-1M", 1_000_000),
];

/// Shortest prompt of the first class.
const SHORTEST: f64 = 1_000.0;

/// Longest answer.
const LONGEST_ANSWER: u64 = 256;

/// Shortest answer.
const SHORTEST_ANSWER: u64 = 20;

/// Share of requests whose prompt begins like earlier ones', 0 to 1.
const SHARED_PREFIX: f64 = 0.4;

/// Length of the shortest shared part, in tokens; the others double it.
const FIRST_PREFIX: u64 = 1_024;

/// Distinct beginnings.
const BEGINNINGS: u64 = 200;

/// Time that every request has, whatever its length.
const BASE_DEADLINE: Duration = Duration::from_secs(15);

/// Multiple of its own reading time that a request has besides.
const READING_FACTOR: u32 = 6;

/// Time that a request has for each token of its answer.
const TOKEN_DEADLINE: Duration = Duration::from_millis(60);

/// Samples for the mean work of a request.
const WORK_SAMPLES: usize = 20_000;

/// One of the two users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Deployment {
    /// Stadtwerke Moosach-Isental.
    MoosachIsental,
    /// Atlas Fixer Recovery.
    Atlas,
}

impl Deployment {
    /// Both users.
    pub const ALL: [Self; 2] = [Self::MoosachIsental, Self::Atlas];

    /// Name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::MoosachIsental => "moosach-isental",
            Self::Atlas => "atlas",
        }
    }

    /// One-way delay between data centres.
    pub fn between_data_centres(self) -> Duration {
        match self {
            Self::MoosachIsental => Duration::from_micros(500),
            Self::Atlas => Duration::from_micros(1_500),
        }
    }

    /// One-way delay between callers and instances.
    pub fn from_callers(self) -> Duration {
        match self {
            Self::MoosachIsental => Duration::from_millis(1),
            Self::Atlas => Duration::from_millis(3),
        }
    }

    /// Weight of the slowdown of short requests, 0 to 1.
    pub fn short_weight(self) -> f64 {
        match self {
            Self::MoosachIsental => 0.8,
            Self::Atlas => 0.3,
        }
    }

    /// Shares of the classes of prompt lengths; one in fifty is over 100,000.
    fn shares(self) -> [f64; 5] {
        match self {
            Self::MoosachIsental => [0.86, 0.09, 0.03, 0.013, 0.007],
            Self::Atlas => [0.80, 0.12, 0.06, 0.013, 0.007],
        }
    }
}

impl std::str::FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|d| d.name() == text);
        found.ok_or_else(|| format!("`{text}` is not a deployment"))
    }
}

/// Index of a prompt's class.
pub fn class_of(prompt_tokens: u64) -> usize {
    let found = CLASSES.iter().position(|(_, most)| prompt_tokens <= *most);
    found.unwrap_or(CLASSES.len() - 1)
}

/// Whether a prompt counts as short.
pub fn is_short(prompt_tokens: u64) -> bool {
    class_of(prompt_tokens) == 0
}

/// Whether a prompt counts as long.
pub fn is_long(prompt_tokens: u64) -> bool {
    class_of(prompt_tokens) >= 3
}

/// A request and when it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// Prompt tokens.
    pub prompt: u64,
    /// Tokens of the answer.
    pub output: u64,
    /// Number of the client account.
    pub account: usize,
    /// Shared parts with their length, shortest first.
    pub prefixes: Vec<(u64, u64)>,
    /// Time in which the answer must be complete.
    pub deadline: Duration,
    /// Instance that the platform's balancer picks, as a random number.
    pub instance: u64,
}

/// Generates arrivals.
#[derive(Clone, Debug)]
pub struct Mix {
    deployment: Deployment,
    spec: Spec,
    rng: fastrand::Rng,
}

impl Mix {
    /// Creates a generator; the same seed gives the same arrivals.
    pub fn new(deployment: Deployment, spec: Spec, seed: u64) -> Self {
        Self {
            deployment,
            spec,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Requests a second that keep `engines` busy all the time, if no prompt
    /// is cached.
    pub fn capacity_per_s(deployment: Deployment, spec: Spec, engines: usize) -> f64 {
        let mut mix = Self::new(deployment, spec, 0);
        let work: f64 = (0..WORK_SAMPLES)
            .map(|_| {
                let request = mix.request(Duration::ZERO);
                spec.work(request.prompt, request.output).as_secs_f64()
            })
            .sum();
        engines as f64 * WORK_SAMPLES as f64 / work
    }

    /// All arrivals within `time` at a mean rate, with independent gaps.
    pub fn arrivals(&mut self, per_s: f64, time: Duration) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / per_s;
            at += Duration::from_secs_f64(gap);
            if at >= time {
                return arrivals;
            }
            arrivals.push(self.request(at));
        }
    }

    fn request(&mut self, at: Duration) -> Arrival {
        let prompt = self.prompt();
        let output = self.rng.u64(SHORTEST_ANSWER..=LONGEST_ANSWER);
        let reading = self.spec.work(prompt, 0);
        Arrival {
            at,
            prompt,
            output,
            account: self.account(),
            prefixes: self.prefixes(prompt),
            deadline: BASE_DEADLINE + reading * READING_FACTOR + TOKEN_DEADLINE * output as u32,
            instance: self.rng.u64(..),
        }
    }

    fn prompt(&mut self) -> u64 {
        let mut draw = self.rng.f64();
        let shares = self.deployment.shares();
        let mut class = 0;
        while class + 1 < shares.len() && draw >= shares[class] {
            draw -= shares[class];
            class += 1;
        }
        let most = CLASSES[class].1 as f64;
        let least = match class {
            0 => SHORTEST,
            _ => CLASSES[class - 1].1 as f64,
        };
        (least * (most / least).powf(self.rng.f64())) as u64
    }

    /// Ten accounts, a few of them large.
    fn account(&mut self) -> usize {
        match self.rng.f64() {
            draw if draw < 0.8 => self.rng.usize(..3),
            _ => self.rng.usize(3..10),
        }
    }

    fn prefixes(&mut self, prompt: u64) -> Vec<(u64, u64)> {
        if self.rng.f64() >= SHARED_PREFIX {
            return Vec::new();
        }
        let beginning = self.rng.u64(..BEGINNINGS);
        let mut prefixes = Vec::new();
        let mut length = FIRST_PREFIX;
        while length <= prompt / 2 {
            let hash = (beginning + 1) << 40 | length;
            prefixes.push((hash, length));
            length *= 2;
        }
        prefixes
    }
}
