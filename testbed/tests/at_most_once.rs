//! Orders run at most once while the log, the upstreams and the hosts fail.

use bytes::Bytes;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::client::{CallerClient, CallerError};
use magnoliawinch_caller::{Code, ErrorBody};
use magnoliawinch_fakes::log::LogFaults;
use magnoliawinch_fakes::service::ServiceFaults;
use magnoliawinch_testbed::deployment::{ORDER, ORGANISATIONS, PARTS, key_of};
use magnoliawinch_testbed::{Bed, BedOptions};
use std::time::Duration;
use tokio::time::sleep;

async fn bed() -> Bed {
    Bed::start(BedOptions::default()).await.expect("the testbed starts")
}

async fn order(bed: &Bed, host: usize, key: &str, body: &str) -> Result<Bytes, ErrorBody> {
    let caller = CallerClient::new(&key_of(ORGANISATIONS[0]));
    let host = bed.caller_addresses()[host];
    let body = Bytes::from(body.to_owned());
    match caller.call(host, PARTS, ORDER, Some(key), body).await {
        Ok(answer) => Ok(answer),
        Err(CallerError::Api(error)) => Err(error),
        Err(e) => panic!("no answer: {e}"),
    }
}

#[tokio::test]
async fn without_the_log_nothing_runs_and_the_refusal_says_so() {
    let bed = bed().await;
    bed.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    let refused = order(&bed, 0, "no-log", "bearing").await.expect_err("the log is down");
    assert_eq!((refused.code, refused.verdict), (Code::LogUnavailable, Verdict::NotRun));
    assert_eq!(bed.counts.of("no-log"), 0);
    // The same key works when the log is back.
    bed.log.set_faults(LogFaults::default());
    sleep(Duration::from_millis(1_500)).await;
    order(&bed, 1, "no-log", "bearing").await.expect("the log is back");
    assert_eq!(bed.counts.of("no-log"), 1);
}

#[tokio::test]
async fn lost_append_answers_do_not_run_an_order_twice() {
    let bed = bed().await;
    bed.log.set_faults(LogFaults { lose_append_answers: true, ..LogFaults::default() });
    let first = order(&bed, 0, "lost-append", "bearing").await.expect("the claim is in the log");
    let second = order(&bed, 1, "lost-append", "bearing").await.expect("the answer is repeated");
    assert_eq!(first, second);
    assert_eq!(bed.counts.of("lost-append"), 1);
}

#[tokio::test]
async fn the_same_key_at_three_hosts_at_once_runs_once() {
    let bed = bed().await;
    let slow = ServiceFaults { work: Duration::from_millis(300), ..ServiceFaults::default() };
    bed.services.iter().for_each(|service| service.set_faults(slow));
    for round in 0..5 {
        let key = format!("race-{round}");
        let (a, b, c) = tokio::join!(
            order(&bed, 0, &key, "bearing"),
            order(&bed, 1, &key, "bearing"),
            order(&bed, 2, &key, "bearing")
        );
        assert_eq!(bed.counts.of(&key), 1);
        let answers: Vec<_> = [a, b, c].into_iter().flatten().collect();
        assert!(!answers.is_empty(), "the winner gets the answer");
        assert!(answers.iter().all(|answer| *answer == answers[0]), "all get the same answer");
    }
}

#[tokio::test]
async fn an_order_whose_answer_is_lost_may_have_run_and_is_not_sent_again() {
    let bed = bed().await;
    let lossy = ServiceFaults { lose_answers: true, ..ServiceFaults::default() };
    bed.services.iter().for_each(|service| service.set_faults(lossy));
    let first = order(&bed, 0, "lost-answer", "bearing").await.expect_err("the answer is lost");
    assert_eq!(first.verdict, Verdict::MayHaveRun);
    bed.services.iter().for_each(|service| service.set_faults(ServiceFaults::default()));
    sleep(Duration::from_millis(300)).await;
    let again = order(&bed, 1, "lost-answer", "bearing").await.expect_err("it may have run");
    assert_eq!(again.verdict, Verdict::MayHaveRun);
    assert_eq!(bed.counts.of("lost-answer"), 1);
}

#[tokio::test]
async fn an_upstream_that_proves_it_did_nothing_is_replaced_by_another() {
    let bed = bed().await;
    bed.services[0].set_faults(ServiceFaults { refuse: true, ..ServiceFaults::default() });
    for turn in 0..6 {
        let key = format!("refused-{turn}");
        order(&bed, turn % 3, &key, "bearing").await.expect("the other upstream runs it");
        assert_eq!(bed.counts.of(&key), 1);
    }
    assert_eq!(bed.services[0].total(), 0);
}

#[tokio::test]
async fn all_upstreams_refusing_is_not_run_and_the_key_stays_free() {
    let bed = bed().await;
    let refuse = ServiceFaults { refuse: true, ..ServiceFaults::default() };
    bed.services.iter().for_each(|service| service.set_faults(refuse));
    let refused = order(&bed, 0, "free-key", "bearing").await.expect_err("nobody takes it");
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert_eq!(bed.counts.of("free-key"), 0);
    bed.services.iter().for_each(|service| service.set_faults(ServiceFaults::default()));
    sleep(Duration::from_millis(500)).await;
    order(&bed, 1, "free-key", "bearing").await.expect("the key was released");
    assert_eq!(bed.counts.of("free-key"), 1);
}

#[tokio::test]
async fn a_key_with_another_body_is_refused() {
    let bed = bed().await;
    order(&bed, 0, "reused", "bearing").await.expect("the order is placed");
    let refused = order(&bed, 1, "reused", "two bearings").await.expect_err("another body");
    assert_eq!(refused.code, Code::KeyReused);
    assert_eq!(bed.counts.of("reused"), 1);
}

#[tokio::test]
async fn a_claimant_that_dies_leaves_an_order_that_may_have_run() {
    let mut bed = bed().await;
    let slow = ServiceFaults { work: Duration::from_millis(4_000), ..ServiceFaults::default() };
    bed.services.iter().for_each(|service| service.set_faults(slow));
    let caller = CallerClient::new(&key_of(ORGANISATIONS[0]));
    let host = bed.caller_addresses()[0];
    let dying = tokio::spawn(async move {
        caller.call(host, PARTS, ORDER, Some("orphan"), Bytes::from_static(b"bearing")).await
    });
    sleep(Duration::from_millis(500)).await;
    bed.kill_daemon(0);
    assert!(dying.await.expect("the caller ends").is_err());
    let again = order(&bed, 1, "orphan", "bearing").await.expect_err("nobody knows");
    assert_eq!(again.verdict, Verdict::MayHaveRun);
    assert_eq!(bed.counts.of("orphan"), 1);
}
