//! Upstreams and hosts that leave.

use magnoliawinch_fakes::engine::EngineFaults;
use magnoliawinch_testbed::deployment::{
    GUIDANCE, ORDER, ORGANISATIONS, PARTS, WALKTHROUGH, key_of,
};
use magnoliawinch_testbed::user::{Ending, User};
use magnoliawinch_testbed::{Bed, BedOptions};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Time after which an upstream that leaves gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

fn callers(addresses: &[SocketAddr], count: usize, until: Instant) -> Vec<JoinHandle<Vec<Ending>>> {
    let start = |turn: usize| {
        let mut user = User::new(&key_of(ORGANISATIONS[turn % 3]), addresses, turn);
        tokio::spawn(async move {
            let mut endings = Vec::new();
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                let text = format!("caller {turn} request {number}");
                let (ending, _) = user.generate(GUIDANCE, WALKTHROUGH, &text, 30).await;
                endings.push(ending);
                let key = format!("order-{turn}-{number}");
                endings.push(match user.call(PARTS, ORDER, Some(&key), "bearing").await {
                    Ok(_) => Ending::Whole,
                    Err(ending) => ending,
                });
            }
            endings
        })
    };
    (0..count).map(start).collect()
}

async fn check_whole(callers: Vec<JoinHandle<Vec<Ending>>>) {
    let mut count = 0;
    for caller in callers {
        for ending in caller.await.expect("the caller ends") {
            assert_eq!(ending, Ending::Whole);
            count += 1;
        }
    }
    assert!(count > 0, "there was work");
}

#[tokio::test]
async fn an_engine_that_reports_that_it_leaves_gets_no_new_work() {
    let bed = Bed::start(BedOptions::default()).await.expect("the testbed starts");
    let until = Instant::now() + Duration::from_secs(8);
    let callers = callers(&bed.caller_addresses(), 8, until);
    sleep(Duration::from_millis(1_500)).await;
    assert!(bed.engines[0].started() > 0, "the engine had work");
    // It still takes work, and the platform's list says nothing for 30 s.
    bed.engines[0].set_faults(EngineFaults { report_draining: true, ..EngineFaults::default() });
    sleep(LEAVING_BOUND).await;
    let before = bed.engines[0].started();
    check_whole(callers).await;
    assert_eq!(bed.engines[0].started(), before);
}

#[tokio::test]
async fn an_engine_that_refuses_because_it_leaves_costs_nobody_an_answer() {
    let bed = Bed::start(BedOptions::default()).await.expect("the testbed starts");
    let until = Instant::now() + Duration::from_secs(4);
    let callers = callers(&bed.caller_addresses(), 8, until);
    sleep(Duration::from_millis(1_000)).await;
    bed.engines[1].set_faults(EngineFaults { draining: true, ..EngineFaults::default() });
    check_whole(callers).await;
}

#[tokio::test]
async fn every_host_in_turn_leaves_and_comes_back_and_no_request_is_cut() {
    let mut bed = Bed::start(BedOptions::default()).await.expect("the testbed starts");
    let until = Instant::now() + Duration::from_secs(14);
    let callers = callers(&bed.caller_addresses(), 8, until);
    for place in 0..3 {
        sleep(Duration::from_millis(500)).await;
        let left = bed.drain_daemon(place).expect("the daemon runs");
        left.await.expect("the daemon ends by itself");
        bed.start_daemon(place).await.expect("the daemon starts again");
        bed.wait_ready(Duration::from_secs(20)).await.expect("all are ready");
    }
    check_whole(callers).await;
    let runs = bed.counts.all();
    assert!(runs.values().all(|count| *count == 1), "no order ran twice");
}
