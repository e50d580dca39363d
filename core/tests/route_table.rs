//! Routing by host and path, API keys and copy times.

use magnoliawinch::names::{OrganisationName, ServiceName};
use magnoliawinch::route_table::{
    CallerLimits, Configuration, Delivery, Destination, EngineConfig, Organisation, Route,
    RouteTable,
};
use magnoliawinch::time::Millis;

fn route(name: &str, prefix: &str, destinations: &[(&str, u32)]) -> Route {
    let destination = |(service, weight): &(&str, u32)| Destination {
        service: ServiceName::new(service),
        weight: *weight,
    };
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        path_prefix: prefix.to_owned(),
        destinations: destinations.iter().map(destination).collect(),
        delivery: Delivery::Idempotent,
        timeout: Millis(1_000),
        objective: Millis(150),
        max_pause: None,
        max_upstreams: 2,
        priority: 0,
        anonymous: false,
    }
}

fn table() -> RouteTable {
    RouteTable::new(Configuration {
        version: 3,
        routes: vec![
            route("short", "/a/", &[("s1", 1)]),
            route("long", "/a/b/", &[("s2", 1)]),
            route("split", "/split/", &[("s1", 90), ("s2", 10)]),
        ],
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        },
        organisations: Some(vec![Organisation {
            name: OrganisationName::new("o"),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: None,
        }]),
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table();
    let name = |host: &str, path: &str| table.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/a"), None);
    assert_eq!(name("b.example", "/a/x"), None);
}

#[test]
fn a_split_keeps_its_weights_and_each_attempt_its_service() {
    let table = table();
    let route = table.route("a.example", "/split/").expect("the route exists");
    let service = |n: u32| route.destination(&format!("attempt-{n}")).map(|s| s.to_string());
    let second = (0..2_000).filter(|n| service(*n).as_deref() == Some("s2")).count();
    assert!((120..280).contains(&second), "{second}");
    assert_eq!(service(5), service(5));
}

#[test]
fn every_key_of_an_organisation_is_known() {
    let table = table();
    assert!(table.requires_keys());
    assert!(table.organisation("k1").is_some() && table.organisation("k2").is_some());
    assert!(table.organisation("k3").is_none());
}

#[test]
fn copy_time_follows_the_link() {
    let config = EngineConfig {
        slots: 24,
        memory_tokens: 34_322,
        bytes_per_token: 18_432,
        link_bits_per_ms: 2_700_000,
        tokens_per_event: 4,
        can_move: true,
        can_back_up: true,
    };
    assert_eq!(config.copy_time(4_000), Millis(219));
}
