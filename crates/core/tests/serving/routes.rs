//! Look-up of routes by host and longest prefix, and of accounts by API key.

use std::time::Duration;

use cyclamengauge_core::{
    ids::{AccountId, ServiceId},
    serving::routes::{
        Account, Client, ClientLimits, Configuration, Rank, Route, RouteKind, RouteTable,
        WeightedService,
    },
    text::SmolStr,
};

fn route(name: &str, host: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: SmolStr::new(name),
        host: SmolStr::new(host),
        prefix: SmolStr::new(prefix),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        gap_objective: None,
        rank: Rank(1),
        weighted_services: vec![
            WeightedService {
                service: ServiceId::new("old"),
                weight: 90,
            },
            WeightedService {
                service: ServiceId::new("new"),
                weight: 10,
            },
        ],
        max_attempts: 2,
        public,
    }
}

fn table(accounts: Option<Vec<Account>>) -> RouteTable {
    RouteTable::new(Configuration {
        version: 7,
        routes: vec![
            route("root", "lab.example", "/", false),
            route("deep", "lab.example", "/a/b/", false),
            route("middle", "lab.example", "/a/", true),
            route("other", "desk.example", "/a/b/c/", false),
        ],
        services: Vec::new(),
        accounts,
        limits: ClientLimits {
            max_body_bytes: 1_000,
            max_header_bytes: None,
            header_timeout: None,
            idle_timeout: None,
        },
    })
}

fn route_name(table: &RouteTable, host: &str, path: &str) -> Option<SmolStr> {
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn the_route_with_the_longest_matching_prefix_of_the_host_is_found() {
    let table = table(None);
    let name = |name: &str| Some(SmolStr::new(name));
    assert_eq!(route_name(&table, "lab.example", "/a/b/c/d"), name("deep"));
    assert_eq!(route_name(&table, "lab.example", "/a/x"), name("middle"));
    assert_eq!(route_name(&table, "lab.example", "/b"), name("root"));
    assert_eq!(
        route_name(&table, "LAB.example:8080", "/a/b/"),
        name("deep")
    );
    assert_eq!(route_name(&table, "desk.example", "/a/b/"), None);
    assert_eq!(route_name(&table, "unknown.example", "/"), None);
}

#[test]
fn a_prefix_matches_whole_path_segments_only() {
    let table = table(None);
    assert_eq!(
        route_name(&table, "lab.example", "/a/bc"),
        Some(SmolStr::new("middle"))
    );
}

#[test]
fn keys_identify_accounts_and_public_routes_need_no_key() {
    let account = Account {
        id: AccountId::new("lab"),
        keys: vec![SmolStr::new("k1"), SmolStr::new("k2")],
        rank: None,
    };
    let table = table(Some(vec![account]));
    let non_public = table.find("lab.example", "/").unwrap();
    let public = table.find("lab.example", "/a/").unwrap();
    let lab = Client::Account(AccountId::new("lab"));
    assert_eq!(table.identify_client(&non_public, Some("k2")), lab);
    assert_eq!(
        table.identify_client(&non_public, Some("k3")),
        Client::Unknown
    );
    assert_eq!(table.identify_client(&non_public, None), Client::Unknown);
    assert_eq!(table.identify_client(&public, None), Client::Anonymous);
    assert_eq!(table.identify_client(&public, Some("k1")), lab);
}

#[test]
fn without_accounts_no_request_needs_a_key() {
    let table = table(None);
    let route = table.find("lab.example", "/").unwrap();
    assert_eq!(table.identify_client(&route, None), Client::Anonymous);
}

#[test]
fn requests_are_split_in_proportion_to_the_weights() {
    let route = route("r", "h", "/", false);
    let to_new_service = (0..1_000).filter(|i| {
        let service = route.draw_service(f64::from(*i) / 1_000.0);
        service == &ServiceId::new("new")
    });
    assert_eq!(to_new_service.count(), 100);
}

#[test]
fn a_stream_is_repeatable_only_if_it_is_resumable() {
    assert!(RouteKind::Idempotent.is_repeatable());
    assert!(!RouteKind::NonIdempotent.is_repeatable());
    assert!(RouteKind::Stream { resumable: true }.is_repeatable());
    assert!(!RouteKind::Stream { resumable: false }.is_repeatable());
}

#[test]
fn the_rank_of_an_account_overrides_the_rank_of_the_route() {
    let account = |name: &str, rank| Account {
        id: AccountId::new(name),
        keys: vec![SmolStr::new(name)],
        rank,
    };
    let table = table(Some(vec![
        account("lab", Some(Rank(0))),
        account("desk", None),
    ]));
    let route = table.find("lab.example", "/").unwrap();
    let rank = |name: &str| table.rank(&route, Some(&AccountId::new(name)));
    assert_eq!(rank("lab"), Rank(0));
    assert_eq!(rank("desk"), Rank(1));
    assert_eq!(table.rank(&route, None), Rank(1));
}

#[test]
fn engine_priority_follows_rank_and_then_prompt_length() {
    let priority = |rank, long| Rank(rank).priority(long);
    assert!(priority(0, false) < priority(0, true));
    assert!(priority(0, true) <= priority(1, false));
    assert!(priority(1, false) < priority(2, false));
    assert!(priority(1, true) < priority(2, true));
    assert_eq!(priority(u32::MAX, true).0, 9);
}
