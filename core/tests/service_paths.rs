//! When a host concludes that it is cut off from a service, and when that this is over.

use magnoliawinch::names::{HostName, ServiceName, UpstreamName};
use magnoliawinch::service_paths::{ConnectFailure, ServicePaths};
use magnoliawinch::time::Time;

fn service() -> ServiceName {
    ServiceName::new("app")
}

fn upstream(n: usize) -> UpstreamName {
    UpstreamName::new(&format!("s{n}"))
}

fn hosts(names: &[&str]) -> Vec<HostName> {
    names.iter().map(|name| HostName::new(name)).collect()
}

fn refuse(paths: &mut ServicePaths, now: u64, n: usize) -> bool {
    paths.connect_failed(Time(now), &service(), &upstream(n), ConnectFailure::Refused)
}

fn cut_off() -> ServicePaths {
    let mut paths = ServicePaths::new();
    refuse(&mut paths, 0, 1);
    assert!(refuse(&mut paths, 1, 2));
    assert!(paths.checked(Time(5), &service(), &upstream(2), hosts(&["h2", "h3"])));
    paths
}

/// Guards against asking other hosts each time that one upstream ends or restarts.
#[test]
fn one_upstream_that_refuses_is_no_reason_to_ask() {
    let mut paths = ServicePaths::new();
    for now in 0..100 {
        assert!(!refuse(&mut paths, now * 100, 1));
    }
    paths.connected(&service());
    assert!(paths.is_open(&service()));
    assert!(!refuse(&mut paths, 10_000, 2), "the other one has responded since");
}

/// Guards against several timeouts in a row before anybody is asked.
#[test]
fn one_upstream_that_does_not_respond_is() {
    let mut paths = ServicePaths::new();
    let failure = ConnectFailure::NoResponse;
    assert!(paths.connect_failed(Time(0), &service(), &upstream(1), failure));
    assert!(!paths.connect_failed(Time(1), &service(), &upstream(2), failure), "in progress");
}

/// Guards against taking a service that is down for all for a cut, and against a flood of checks.
#[test]
fn a_service_that_nobody_reaches_is_not_cut_off() {
    let mut paths = ServicePaths::new();
    let mut checks = 0;
    for now in (0..10_000).step_by(10) {
        let n = now as usize / 10 % 4;
        if refuse(&mut paths, now, n) {
            checks += 1;
            assert!(!paths.checked(Time(now), &service(), &upstream(n), Vec::new()));
        }
        assert!(paths.via(&service()).is_empty());
    }
    assert!((4..=16).contains(&checks), "{checks} checks in 10 s");
}

/// Guards against flapping between both ways: one connection is not enough.
#[test]
fn a_cut_is_over_after_two_connections_in_a_row() {
    let mut paths = cut_off();
    assert_eq!(paths.via(&service()), hosts(&["h2", "h3"]));
    paths.connected(&service());
    assert!(!paths.via(&service()).is_empty(), "a kept connection shows nothing");
    assert!(!paths.probed(&service(), true));
    assert!(!paths.probed(&service(), false));
    assert!(!paths.probed(&service(), true));
    assert!(paths.probed(&service(), true));
    assert!(paths.via(&service()).is_empty() && paths.is_open(&service()));
}

/// Guards against sending callers' requests to hosts that have lost the service, too.
#[test]
fn hosts_that_reach_the_service_are_kept_up_to_date() {
    let mut paths = cut_off();
    paths.did_not_serve(&service(), &HostName::new("h2"));
    assert_eq!(paths.via(&service()), hosts(&["h3"]));
    paths.did_not_serve(&service(), &HostName::new("h3"));
    assert_eq!(paths.via(&service()), hosts(&["h3"]), "the last one is kept");
    assert!(!paths.refreshed(&service(), hosts(&["h4"])));
    assert_eq!(paths.via(&service()), hosts(&["h4"]));
    assert!(!paths.refreshed(&service(), Vec::new()));
    assert!(!paths.refreshed(&service(), Vec::new()));
    assert!(paths.refreshed(&service(), Vec::new()), "it is down for all");
    assert!(paths.is_open(&service()));
}

/// Guards against asking about an engine that has gone dark each time that another one responds.
#[test]
fn an_upstream_that_nobody_reaches_is_asked_about_once_in_a_while() {
    let mut paths = ServicePaths::new();
    let mut checks = 0;
    for now in (0..9_000).step_by(50) {
        let failure = ConnectFailure::NoResponse;
        if paths.connect_failed(Time(now), &service(), &upstream(1), failure) {
            checks += 1;
            paths.checked(Time(now), &service(), &upstream(1), Vec::new());
        }
        paths.connected(&service());
        assert!(paths.is_open(&service()));
    }
    assert_eq!(checks, 3);
}
