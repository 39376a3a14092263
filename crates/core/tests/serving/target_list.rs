//! The target list and its changes, as peers fetch them from each other.

use std::collections::BTreeMap;

use cyclamengauge_core::serving::target_list::{ListChanges, ListEntry, ListVersion, TargetList};

fn entry(key: &str, value: &str) -> ListEntry {
    (key.to_owned(), Some(value.as_bytes().to_vec()))
}

fn removal(key: &str) -> ListEntry {
    (key.to_owned(), None)
}

fn version(number: u64) -> ListVersion {
    ListVersion { era: 1, number }
}

fn changes(number: u64, is_complete: bool, entries: Vec<ListEntry>) -> ListChanges {
    ListChanges {
        version: version(number),
        is_complete,
        entries,
    }
}

/// All entries of a list.
fn contents(list: &TargetList) -> Vec<ListEntry> {
    list.changes_since(version(0)).entries
}

#[test]
fn a_peer_gets_the_changes_after_its_version() {
    let mut list = TargetList::default();
    list.apply(changes(10, true, vec![entry("a", "1"), entry("b", "1")]));
    list.apply(changes(20, false, vec![entry("c", "1"), removal("a")]));
    let changed = list.apply(changes(30, false, vec![entry("b", "2"), entry("c", "1")]));
    assert_eq!(changed, [entry("b", "2")]);
    let since_10 = vec![removal("a"), entry("b", "2"), entry("c", "1")];
    assert_eq!(
        list.changes_since(version(10)),
        changes(30, false, since_10)
    );
    let since_20 = vec![entry("b", "2"), entry("c", "1")];
    assert_eq!(
        list.changes_since(version(20)),
        changes(30, false, since_20)
    );
    assert_eq!(list.changes_since(version(30)), changes(30, false, vec![]));
}

#[test]
fn a_peer_without_a_list_gets_all_of_it() {
    let mut list = TargetList::default();
    list.apply(changes(10, true, vec![entry("a", "1"), entry("b", "1")]));
    list.apply(changes(20, false, vec![removal("a")]));
    let complete = changes(20, true, vec![entry("b", "1")]);
    assert_eq!(list.changes_since(version(0)), complete);
    assert_eq!(list.changes_since(version(9)), complete);
}

/// Guards against targets that have left but come back with an older list.
#[test]
fn an_older_list_has_no_effect() {
    let mut list = TargetList::default();
    list.apply(changes(10, true, vec![entry("a", "1"), entry("b", "1")]));
    list.apply(changes(20, false, vec![removal("a")]));
    let changed = list.apply(changes(15, true, vec![entry("a", "1"), entry("b", "1")]));
    assert_eq!(changed, []);
    assert_eq!(contents(&list), [entry("b", "1")]);
}

#[test]
fn a_complete_list_removes_the_entries_that_it_lacks() {
    let mut list = TargetList::default();
    list.apply(changes(10, true, vec![entry("a", "1"), entry("b", "1")]));
    let changed = list.apply(changes(30, true, vec![entry("b", "1"), entry("c", "1")]));
    assert_eq!(changed, [entry("c", "1"), removal("a")]);
    // An entry may have come and gone between the two lists.
    let complete = changes(30, true, vec![entry("b", "1"), entry("c", "1")]);
    assert_eq!(list.changes_since(version(10)), complete);
}

/// Pattern: targets that come and go for weeks. Removed entries are dropped at some
/// time, and a peer that misses one of them gets the complete list.
#[test]
fn removed_entries_are_not_kept_for_ever() {
    let mut list = TargetList::default();
    list.apply(changes(1, true, vec![entry("a", "1")]));
    for version in 1..5_000 {
        let key = format!("t{version}");
        list.apply(changes(version * 2, false, vec![entry(&key, "1")]));
        list.apply(changes(version * 2 + 1, false, vec![removal(&key)]));
    }
    let since_1 = list.changes_since(version(1));
    assert!(since_1.is_complete);
    assert_eq!(since_1.entries, [entry("a", "1")]);
}

/// Pattern: instances that read the list from the store or fetch changes from random
/// peers, which may be behind, while the store now and then comes back from an older copy.
/// All have the list of the store in the end.
#[test]
fn fetched_changes_give_the_list_of_the_store() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store: BTreeMap<String, (u64, Option<Vec<u8>>)> = BTreeMap::new();
        let mut copy = (store.clone(), 0);
        let (mut era, mut number): (u64, u64) = (1, 0);
        let mut lists = vec![TargetList::default(); 4];
        for step in 1..60 {
            match rng.u32(..20) {
                0 => copy = (store.clone(), number),
                1 => {
                    (store, number) = copy.clone();
                    era += 1;
                }
                _ => {}
            }
            number += 1;
            let key = format!("t{}", rng.u32(..6));
            let value = rng.bool().then(|| vec![rng.u8(..3)]);
            store.insert(key, (number, value));
            let index = rng.usize(..lists.len());
            let known = lists[index].version();
            let read = |is_complete: bool, after: u64| {
                let rows = store.iter().filter(|(_, (at, _))| *at > after);
                let rows = rows.filter(|(_, (_, value))| value.is_some() || !is_complete);
                let rows = rows.map(|(key, (_, value))| (key.clone(), value.clone()));
                ListChanges {
                    version: ListVersion { era, number },
                    is_complete,
                    entries: rows.collect(),
                }
            };
            match rng.u32(..4) {
                0 => {
                    lists[index].apply(read(true, 0));
                }
                1 if known > ListVersion::default() && known.era == era => {
                    lists[index].apply(read(false, known.number));
                }
                _ => {
                    let peer = rng.usize(..lists.len());
                    let fetched = lists[peer].changes_since(known);
                    if lists[peer].version() > known {
                        lists[index].apply(fetched);
                    }
                }
            }
            let known = lists[index].version();
            if known.era != era {
                // The store has lost what this list may have.
                continue;
            }
            let expected: Vec<ListEntry> = store
                .iter()
                .filter(|(_, (at, value))| value.is_some() && *at <= known.number)
                .map(|(key, (_, value))| (key.clone(), value.clone()))
                .collect();
            // Entries that changed after the version of the list may differ.
            let later: Vec<&String> = store
                .iter()
                .filter(|(_, (at, _))| *at > known.number)
                .map(|(key, _)| key)
                .collect();
            let listed: Vec<ListEntry> = contents(&lists[index])
                .into_iter()
                .filter(|(key, _)| !later.contains(&key))
                .collect();
            assert_eq!(
                listed, expected,
                "seed {seed}, step {step}, version {known}"
            );
        }
    }
}

/// Guards against a list that counts as older since the store, which has come back from an
/// older copy, gives out lower versions, and against changes of two eras in one list.
#[test]
fn a_list_of_a_later_era_replaces_one_with_a_higher_version() {
    let mut list = TargetList::default();
    list.apply(changes(500, true, vec![entry("a", "1"), entry("b", "1")]));
    let later = ListVersion { era: 2, number: 40 };
    let restored = ListChanges {
        version: later,
        is_complete: true,
        entries: vec![entry("b", "1"), entry("c", "1")],
    };
    assert_eq!(
        list.apply(restored.clone()),
        [entry("c", "1"), removal("a")]
    );
    assert_eq!(list.changes_since(version(500)), restored);
    let earlier = changes(600, false, vec![entry("a", "1")]);
    assert_eq!(list.apply(earlier), []);
    assert_eq!(list.version(), later);
    assert_eq!("2.40".parse::<ListVersion>().unwrap(), later);
    // A peer that does not know eras.
    assert!("40".parse::<ListVersion>().is_err());
}
