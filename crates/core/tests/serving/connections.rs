//! Which connection gives way to a new one.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    ids::AccountId,
    serving::connections::{Connection, choose_to_close},
};

fn connection(account: Option<&str>, host: u8, idle_since_ms: Option<u64>) -> Connection {
    Connection {
        account: account.map(AccountId::new),
        address: [10, 0, 0, host].into(),
        idle_since: idle_since_ms.map(|ms| Instant::ZERO + Duration::from_millis(ms)),
    }
}

/// Pattern: one account opens connection after connection and leaves them idle.
#[test]
fn the_account_with_the_most_connections_gives_up_its_longest_idle_one() {
    let connections = [
        connection(Some("calm"), 1, Some(1)),
        connection(Some("crowd"), 2, Some(5)),
        connection(Some("crowd"), 3, Some(4)),
        connection(Some("crowd"), 4, None),
    ];
    assert_eq!(choose_to_close(&connections), Some(2));
}

/// Pattern: one address opens connections without a request, at a door that others use.
#[test]
fn clients_without_a_request_count_by_address() {
    let connections = [
        connection(None, 1, Some(1)),
        connection(None, 2, Some(3)),
        connection(None, 2, Some(2)),
        connection(Some("calm"), 2, Some(1)),
    ];
    assert_eq!(choose_to_close(&connections), Some(2));
}

/// An account whose connections are all busy keeps them; the next one gives way.
#[test]
fn a_request_in_progress_is_not_cut_off() {
    let mut connections = vec![
        connection(Some("busy"), 1, None),
        connection(Some("busy"), 1, None),
        connection(Some("calm"), 2, Some(7)),
    ];
    assert_eq!(choose_to_close(&connections), Some(2));
    connections.pop();
    assert_eq!(choose_to_close(&connections), None);
    assert_eq!(choose_to_close(&[]), None);
}
