//! Spread of a new configuration over instances, without a network.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use cyclamengauge_core::{
    ids::InstanceId,
    serving::configuration_spread::{
        delta,
        offers::{Answer, MAX_PART_BYTES, Offers},
        sources::{Choice, Source, Sources},
        transfer::{Arrived, Fetch},
        versions::Versions,
    },
    units::MegabitsPerSecond,
};

use crate::fleet::ms;

/// An encoded configuration with `routes` routes, of which one has changed with each
/// version.
pub fn encoded(version: u64, routes: usize) -> Rc<[u8]> {
    let entries = (0..routes).map(|number| {
        let changed = (version as usize) % routes == number;
        let weight = if changed { version } else { 100 };
        let mut rng = fastrand::Rng::with_seed(number as u64);
        let name: String = (0..8).map(|_| rng.lowercase()).collect();
        let host: String = (0..7).map(|_| rng.alphanumeric()).collect();
        format!(
            r#"{{"name":"r-{name}","host":"{host}.example","prefix":"/{name}{number}/","kind":"stream","timeout_ms":10000,"latency_ms":250,"priority":0,"backends":[{{"service":"huvo11a","weight":{weight}}},{{"service":"wuno96b","weight":10}}],"max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_ms":250}}"#
        )
    });
    let entries: Vec<String> = entries.collect();
    let text = format!(
        r#"{{"version":{version},"routes":[{}],"limits":{{"max_body":4194304}}}}"#,
        entries.join(",")
    );
    text.into_bytes().into()
}

fn versions(kept: &[(u64, usize)]) -> Versions {
    let mut versions = Versions::default();
    for (version, routes) in kept {
        versions.push(*version, encoded(*version, *routes), ms(*version * 1_000));
    }
    versions
}

fn source(number: usize, version: u64) -> Source {
    Source {
        instance: InstanceId::new(format!("i{number}")),
        address: SocketAddr::from(([10, 0, 0, number as u8], 1)),
        is_local: true,
        serves_parts: true,
        version,
    }
}

/// Fetches from `holders` in turn, each of which sends `parts_each` parts and then falls
/// silent. Returns what arrived, and the bytes of all parts.
fn fetch(holders: &[&Versions], parts_each: usize, own: &Versions) -> (Option<Arrived>, usize) {
    let mut fetch = Fetch::default();
    let mut bytes = 0;
    for holder in holders {
        let mut offers = Offers::new(MegabitsPerSecond(1e6));
        for _ in 0..parts_each {
            let request = fetch.request(own);
            let Answer::Part { part, .. } = offers.answer(&request, holder, ms(100_000)) else {
                panic!("no part from a holder with room");
            };
            assert!(part.content.len() <= MAX_PART_BYTES);
            bytes += part.content.len();
            if let Some(arrived) = fetch.accept(part, own).unwrap() {
                return (Some(arrived), bytes);
            }
        }
    }
    (None, bytes)
}

/// Load: a change of one of 1,560 routes. A peer with the version before gets the changed
/// entries, one without a common version the compressed whole.
#[test]
fn a_change_of_one_route_costs_a_small_part_of_the_configuration() {
    let holder = versions(&[(1, 1_560), (2, 1_560)]);
    let whole_bytes = holder.get(2).unwrap().len();
    assert!(whole_bytes > 400_000);
    let (arrived, bytes) = fetch(&[&holder], 100, &versions(&[(1, 1_560)]));
    let arrived = arrived.unwrap();
    assert_eq!(&arrived.encoded, holder.get(2).unwrap());
    assert_eq!((arrived.version, arrived.base_version), (2, 1));
    assert!(bytes < 1_000, "{bytes} bytes for one route");

    let (arrived, bytes) = fetch(&[&holder], 100, &Versions::default());
    let arrived = arrived.unwrap();
    assert_eq!(&arrived.encoded, holder.get(2).unwrap());
    assert_eq!(arrived.base_version, 0);
    assert!(bytes < whole_bytes / 5, "{bytes} of {whole_bytes} bytes");
}

/// Load: a configuration that grows from 40 to 1,560 routes.
#[test]
fn a_growth_travels_compressed_and_keeps_the_earlier_routes() {
    let holder = versions(&[(1, 40), (2, 1_560)]);
    let (arrived, bytes) = fetch(&[&holder], 100, &versions(&[(1, 40)]));
    assert_eq!(&arrived.unwrap().encoded, holder.get(2).unwrap());
    assert!(bytes < holder.get(2).unwrap().len() / 5);
}

/// Failure: each source falls silent after one part.
#[test]
fn a_transfer_is_continued_at_another_source() {
    let own = versions(&[(1, 40)]);
    let holder = versions(&[(1, 40), (2, 1_560)]);
    let (_, bytes) = fetch(&[&holder], 100, &own);
    let parts = bytes.div_ceil(MAX_PART_BYTES);
    assert!(parts >= 3);
    let (arrived, continued_bytes) = fetch(&vec![&holder; parts], 1, &own);
    assert_eq!(&arrived.unwrap().encoded, holder.get(2).unwrap());
    assert_eq!(continued_bytes, bytes);
}

/// Failure: the source that continues a transfer has a newer version, or an earlier
/// history that has nothing in common.
#[test]
fn a_transfer_that_a_source_does_not_have_begins_anew() {
    let own = versions(&[(1, 40)]);
    let first = versions(&[(1, 40), (2, 1_560)]);
    let second = versions(&[(3, 1_500), (4, 1_560)]);
    let mut fetch = Fetch::default();
    let room = MegabitsPerSecond(1e6);
    for (holder, expected_version) in [(&first, 2), (&second, 4), (&second, 4)] {
        let mut offers = Offers::new(room);
        let answer = offers.answer(&fetch.request(&own), holder, ms(10_000));
        let Answer::Part { part, .. } = answer else {
            panic!("no part");
        };
        assert_eq!(part.version, expected_version);
        assert_eq!(fetch.accept(part, &own).unwrap(), None);
    }
}

/// Failure: two instances have different configurations under one version, as after a
/// restoration of the store from an older copy.
#[test]
fn a_change_of_another_base_is_refused_and_the_whole_is_fetched() {
    let mut own = Versions::default();
    own.push(1, encoded(7, 20), ms(0));
    let holder = versions(&[(1, 20), (2, 20)]);
    let mut offers = Offers::new(MegabitsPerSecond(1e6));
    let mut fetch = Fetch::default();
    let mut results = Vec::new();
    for _ in 0..2 {
        let Answer::Part { part, .. } = offers.answer(&fetch.request(&own), &holder, ms(9_000))
        else {
            panic!("no part");
        };
        results.push(fetch.accept(part, &own));
    }
    let whole = results.pop().unwrap().unwrap().unwrap();
    assert!(results[0].is_err());
    assert_eq!((whole.version, whole.base_version), (2, 0));
    assert_eq!(&whole.encoded, holder.get(2).unwrap());
}

/// Failure: parts with wrong positions, sizes and bytes.
#[test]
fn faulty_parts_are_refused() {
    let holder = versions(&[(1, 400), (2, 1_560)]);
    let own = Versions::default();
    let request = Fetch::default().request(&own);
    let answer = Offers::new(MegabitsPerSecond(1e6)).answer(&request, &holder, ms(0));
    let Answer::Part { part, .. } = answer else {
        panic!("no part");
    };
    type Fault = fn(&mut cyclamengauge_schema::v1::ConfigurationPart);
    let faults: [Fault; 4] = [
        |part| part.offset = 5,
        |part| part.transfer_bytes = 1 << 40,
        |part| part.transfer_bytes = 10,
        |part| part.content.clear(),
    ];
    for fault in faults {
        let mut faulty = part.clone();
        fault(&mut faulty);
        assert!(Fetch::default().accept(faulty, &own).is_err());
    }
    let mut truncated = part.clone();
    truncated.transfer_bytes = part.content.len() as u64;
    assert!(Fetch::default().accept(truncated, &own).is_err());
    for length in 0..40 {
        let encoded = vec![length as u8; length];
        assert!(delta::decode(&[], &encoded).is_err());
    }
}

/// Load: versions 80 ms apart, of which each instance skips others. The version that was in
/// force before the series stays a common base.
#[test]
fn instances_that_skip_versions_of_a_series_keep_a_common_base() {
    let mut own = Versions::default();
    let mut holder = Versions::default();
    for versions in [&mut own, &mut holder] {
        versions.push(1, encoded(1, 10), ms(0));
    }
    for version in 2..40 {
        let versions = if version % 2 == 0 {
            &mut own
        } else {
            &mut holder
        };
        versions.push(version, encoded(version, 10), ms(10_000 + version * 80));
    }
    assert_eq!(holder.common_base(&own.numbers()), Some(1));
    assert!(holder.numbers().len() <= 8);
    assert_eq!(holder.current(), 39);
}

/// Load: all peers ask one source with a thin link at once. It sends within its share and
/// tells the others when it has room.
#[test]
fn a_source_answers_within_its_share_of_the_link() {
    let holder = versions(&[(1, 1_560)]);
    let request = Fetch::default().request(&Versions::default());
    let mut offers = Offers::new(MegabitsPerSecond(14.0));
    let mut sent = 0;
    for at_ms in 0..1_000 {
        match offers.answer(&request, &holder, ms(at_ms)) {
            Answer::Part { part, wait } => {
                sent += part.content.len();
                assert!(wait < Duration::from_millis(100));
            }
            Answer::Busy(wait) => assert!(wait < Duration::from_millis(200)),
            Answer::Nothing => panic!("a source with a version has nothing"),
        }
    }
    let link_bytes = 14_000_000 / 8;
    assert!(sent < link_bytes * 4 / 10, "{sent} bytes in a second");
    assert!(sent > link_bytes * 2 / 10, "{sent} bytes in a second");
    let up_to_date = Fetch::default().request(&holder);
    let answer = offers.answer(&up_to_date, &holder, ms(5_000));
    assert_eq!(answer, Answer::Nothing);
}

/// Local sources come first, the newest version before older ones, and a source that has
/// no room or fails is left for others.
#[test]
fn sources_that_are_busy_or_fail_are_passed_over() {
    let mut sources = Sources::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let remote = Source {
        is_local: false,
        ..source(9, 8)
    };
    for source in [source(1, 7), source(2, 6), source(3, 5), remote] {
        let is_newer = source.version > 5;
        assert_eq!(sources.record(source, 5, ms(0)), is_newer);
    }
    let mut choose = |sources: &mut Sources, watches, at_ms| match sources.choose(
        5,
        watches,
        &mut rng,
        ms(at_ms),
    ) {
        Choice::Fetch(source) => Ok(source.instance.to_string()),
        Choice::Wait(wait) => Err(wait),
        Choice::UpToDate => panic!("a newer version is known"),
    };
    let wait = Err(Duration::from_millis(10));
    assert_eq!(choose(&mut sources, false, 0), wait);
    assert_eq!(choose(&mut sources, false, 10), Ok("i1".to_owned()));
    assert_eq!(choose(&mut sources, true, 10), wait);
    assert_eq!(
        choose(&mut sources, true, 249),
        Err(Duration::from_millis(1))
    );
    assert_eq!(choose(&mut sources, true, 250), Ok("i1".to_owned()));
    sources.record_busy(&InstanceId::new("i1"), Duration::from_millis(30), ms(10));
    assert_eq!(choose(&mut sources, false, 10), Ok("i2".to_owned()));
    sources.record_failure(&InstanceId::new("i2"), ms(10));
    assert_eq!(
        choose(&mut sources, false, 39),
        Err(Duration::from_millis(1))
    );
    assert_eq!(choose(&mut sources, false, 40), Ok("i1".to_owned()));
    sources.record_failure(&InstanceId::new("i1"), ms(40));
    assert_eq!(choose(&mut sources, false, 250), Ok("i9".to_owned()));
    let mut rng = fastrand::Rng::with_seed(2);
    let later = ms(60_000);
    assert_eq!(sources.choose(5, false, &mut rng, later), Choice::UpToDate);
}
