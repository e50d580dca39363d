//! Orders to runs and what their holder reports of them.

#[allow(dead_code, reason = "only part of the module is under test")]
#[path = "../src/runs.rs"]
mod runs;

use magnoliawinch::names::{KindName, OrganisationName, RunId, ServiceName, UpstreamName};
use magnoliawinch::pool::{MoveMethod, RunState};
use runs::{Assignment, Endpoint, MoveOrder, RunGuard, RunInfo, Runs};
use tokio::sync::mpsc;

fn endpoint(name: &str) -> Endpoint {
    Endpoint { name: UpstreamName::new(name), address: ([10, 0, 0, 1], 80).into(), born: 1 }
}

fn order(to: &str) -> MoveOrder {
    MoveOrder { from: UpstreamName::new("e1"), to: endpoint(to), way: MoveMethod::Copy }
}

/// A run at engine `e1`.
fn registered(runs: &Runs) -> (RunGuard, mpsc::Receiver<MoveOrder>) {
    let info = RunInfo {
        run: RunId::new("r"),
        service: ServiceName::new("guide"),
        kind: KindName::new("long"),
        organisation: OrganisationName::new("a"),
        prompt_tokens: 100,
        max_tokens: 100,
        priority: 1,
        is_pooled: true,
    };
    runs.register(info, Assignment { engine: endpoint("e1"), backup: None })
}

fn reported(runs: &Runs) -> RunState {
    runs.states(&ServiceName::new("guide")).remove(0)
}

/// An order that could not be queued was reported as a move in progress for ever.
#[test]
fn only_orders_that_were_queued_are_reported() {
    let runs = Runs::new();
    let (guard, mut orders) = registered(&runs);
    let run = RunId::new("r");
    while runs.send_order(&run, order("e2")) {}
    guard.move_failed(None);
    assert!(!runs.send_order(&run, order("e3")));
    assert_eq!(reported(&runs).moving_to, None);
    orders.close();
    while orders.try_recv().is_ok() {}
    assert!(!runs.send_order(&run, order("e3")));
    assert_eq!(reported(&runs).moving_to, None);
}

/// The list of engines that refused a run grew with each refusal; one that was given a run again was
/// still in it.
#[test]
fn refusals_are_reported_once_until_the_engine_is_tried_again() {
    let runs = Runs::new();
    let (guard, mut orders) = registered(&runs);
    let run = RunId::new("r");
    for _ in 0..3 {
        for n in 0..20 {
            guard.move_failed(Some(&UpstreamName::new(&format!("full-{n}"))));
        }
    }
    let refused = reported(&runs).refused;
    assert!(refused.len() <= 8, "{refused:?}");
    assert_eq!(refused.last(), Some(&UpstreamName::new("full-19")));
    assert!(runs.send_order(&run, order("full-19")));
    assert!(!reported(&runs).refused.contains(&UpstreamName::new("full-19")));
    assert!(orders.try_recv().is_ok());
}
