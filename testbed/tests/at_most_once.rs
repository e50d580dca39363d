//! Tests that orders run at most once despite failures of the log, upstreams and hosts.

use bytes::Bytes;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::client::{CallerClient, CallerError};
use magnoliawinch_caller::{Code, ErrorBody};
use magnoliawinch_fakes::log::LogFaults;
use magnoliawinch_fakes::service::ServiceFaults;
use magnoliawinch_testbed::deployment::{
    ORDER_KIND, ORGANISATIONS, PLAIN_SERVICE, STOCK_KIND, bearer_key,
};
use magnoliawinch_testbed::{Testbed, TestbedOptions};
use std::time::Duration;
use tokio::time::sleep;

async fn start_testbed() -> Testbed {
    Testbed::start(TestbedOptions::default()).await.expect("the testbed starts")
}

async fn place_order(
    testbed: &Testbed,
    host: usize,
    key: &str,
    body: &str,
) -> Result<Bytes, ErrorBody> {
    let caller = CallerClient::new(&bearer_key(ORGANISATIONS[0]));
    let host = testbed.caller_addresses()[host];
    let body = Bytes::from(body.to_owned());
    match caller.call(host, PLAIN_SERVICE, ORDER_KIND, Some(key), body).await {
        Ok(response) => Ok(response),
        Err(CallerError::Api(error)) => Err(error),
        Err(e) => panic!("no response: {e}"),
    }
}

#[tokio::test]
async fn orders_are_refused_as_not_run_while_the_log_is_down() {
    let testbed = start_testbed().await;
    testbed.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    let refused = place_order(&testbed, 0, "no-log", "bearing").await.expect_err("the log is down");
    assert_eq!((refused.code, refused.verdict), (Code::LogUnavailable, Verdict::NotRun));
    assert_eq!(testbed.run_counts.of("no-log"), 0);
    // The same key is accepted once the log has recovered.
    testbed.log.set_faults(LogFaults::default());
    sleep(Duration::from_millis(1_500)).await;
    place_order(&testbed, 1, "no-log", "bearing").await.expect("the log has recovered");
    assert_eq!(testbed.run_counts.of("no-log"), 1);
}

#[tokio::test]
async fn lost_append_responses_do_not_run_an_order_twice() {
    let testbed = start_testbed().await;
    testbed.log.set_faults(LogFaults { lose_append_responses: true, ..LogFaults::default() });
    let first = place_order(&testbed, 0, "lost-append", "bearing")
        .await
        .expect("the claim is in the log despite the lost response");
    let second =
        place_order(&testbed, 1, "lost-append", "bearing").await.expect("the response is repeated");
    assert_eq!(first, second);
    assert_eq!(testbed.run_counts.of("lost-append"), 1);
}

#[tokio::test]
async fn concurrent_orders_with_one_key_run_once() {
    let testbed = start_testbed().await;
    let faults =
        ServiceFaults { call_duration: Duration::from_millis(300), ..ServiceFaults::default() };
    testbed.plain_upstreams.iter().for_each(|upstream| upstream.set_faults(faults));
    for round in 0..5 {
        let key = format!("race-{round}");
        let (a, b, c) = tokio::join!(
            place_order(&testbed, 0, &key, "bearing"),
            place_order(&testbed, 1, &key, "bearing"),
            place_order(&testbed, 2, &key, "bearing")
        );
        assert_eq!(testbed.run_counts.of(&key), 1);
        let responses: Vec<_> = [a, b, c].into_iter().flatten().collect();
        assert!(!responses.is_empty(), "the host that won the claim responds");
        assert!(
            responses.iter().all(|response| *response == responses[0]),
            "all responses are equal"
        );
    }
}

#[tokio::test]
async fn an_order_whose_response_is_lost_may_have_run_and_is_not_retried() {
    let testbed = start_testbed().await;
    let faults = ServiceFaults { lose_responses: true, ..ServiceFaults::default() };
    testbed.plain_upstreams.iter().for_each(|upstream| upstream.set_faults(faults));
    let first =
        place_order(&testbed, 0, "lost-answer", "bearing").await.expect_err("the response is lost");
    assert_eq!(first.verdict, Verdict::MayHaveRun);
    testbed
        .plain_upstreams
        .iter()
        .for_each(|upstream| upstream.set_faults(ServiceFaults::default()));
    sleep(Duration::from_millis(300)).await;
    let again =
        place_order(&testbed, 1, "lost-answer", "bearing").await.expect_err("it may have run");
    assert_eq!(again.verdict, Verdict::MayHaveRun);
    assert_eq!(testbed.run_counts.of("lost-answer"), 1);
}

/// Guards against a 503 for an order that ran, and against storing it for later requests with the same key.
#[tokio::test]
async fn an_order_that_ran_and_failed_with_503_may_have_run() {
    let testbed = start_testbed().await;
    let set =
        |faults| testbed.plain_upstreams.iter().for_each(|upstream| upstream.set_faults(faults));
    set(ServiceFaults { fail_with_promise: true, ..ServiceFaults::default() });
    for host in [0, 1] {
        let error = place_order(&testbed, host, "failed", "bearing").await.expect_err("it failed");
        assert_eq!((error.code, error.verdict), (Code::UpstreamFailed, Verdict::MayHaveRun));
        set(ServiceFaults::default());
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(testbed.run_counts.of("failed"), 1);
}

#[tokio::test]
async fn an_order_refused_by_one_upstream_runs_at_another() {
    let testbed = start_testbed().await;
    testbed.plain_upstreams[0]
        .set_faults(ServiceFaults { refuse: true, ..ServiceFaults::default() });
    for index in 0..6 {
        let key = format!("refused-{index}");
        place_order(&testbed, index % 3, &key, "bearing")
            .await
            .expect("the other upstream runs it");
        assert_eq!(testbed.run_counts.of(&key), 1);
    }
    assert_eq!(testbed.plain_upstreams[0].total(), 0);
}

#[tokio::test]
async fn an_order_refused_by_all_upstreams_is_not_run_and_its_key_is_reusable() {
    let testbed = start_testbed().await;
    let faults = ServiceFaults { refuse: true, ..ServiceFaults::default() };
    testbed.plain_upstreams.iter().for_each(|upstream| upstream.set_faults(faults));
    let refused = place_order(&testbed, 0, "free-key", "bearing")
        .await
        .expect_err("every upstream refuses it");
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert_eq!(testbed.run_counts.of("free-key"), 0);
    testbed
        .plain_upstreams
        .iter()
        .for_each(|upstream| upstream.set_faults(ServiceFaults::default()));
    sleep(Duration::from_millis(500)).await;
    place_order(&testbed, 1, "free-key", "bearing").await.expect("the key was released");
    assert_eq!(testbed.run_counts.of("free-key"), 1);
}

#[tokio::test]
async fn a_key_with_another_body_is_refused() {
    let testbed = start_testbed().await;
    place_order(&testbed, 0, "reused", "bearing").await.expect("the order is placed");
    let refused =
        place_order(&testbed, 1, "reused", "two bearings").await.expect_err("another body");
    assert_eq!(refused.code, Code::KeyReused);
    assert_eq!(testbed.run_counts.of("reused"), 1);
}

#[tokio::test]
async fn an_order_whose_claimant_is_killed_may_have_run() {
    let mut testbed = start_testbed().await;
    let faults =
        ServiceFaults { call_duration: Duration::from_millis(4_000), ..ServiceFaults::default() };
    testbed.plain_upstreams.iter().for_each(|upstream| upstream.set_faults(faults));
    let caller = CallerClient::new(&bearer_key(ORGANISATIONS[0]));
    let host = testbed.caller_addresses()[0];
    let first_call = tokio::spawn(async move {
        caller
            .call(host, PLAIN_SERVICE, ORDER_KIND, Some("orphan"), Bytes::from_static(b"bearing"))
            .await
    });
    sleep(Duration::from_millis(500)).await;
    testbed.kill_daemon(0);
    assert!(first_call.await.expect("the caller task completes").is_err());
    let again =
        place_order(&testbed, 1, "orphan", "bearing").await.expect_err("its outcome is unknown");
    assert_eq!(again.verdict, Verdict::MayHaveRun);
    assert_eq!(testbed.run_counts.of("orphan"), 1);
}

/// Guards against calls that are sent on and on although each upstream that runs them ends.
#[tokio::test]
async fn calls_under_which_upstreams_end_are_quarantined_after_two_at_most() {
    check_that_fatal_calls_are_quarantined(ServiceFaults::default(), 8).await;
}

/// Guards against taking the error responses of upstreams for completed runs.
#[tokio::test]
async fn calls_that_upstreams_fail_before_they_end_are_quarantined_after_two_at_most() {
    let faults = ServiceFaults { fail_first: true, ..ServiceFaults::default() };
    check_that_fatal_calls_are_quarantined(faults, 24).await;
}

async fn check_that_fatal_calls_are_quarantined(faults: ServiceFaults, calls: usize) {
    for (kind, is_order) in [(ORDER_KIND, true), (STOCK_KIND, false)] {
        let testbed =
            Testbed::start(TestbedOptions { plain_upstreams: 6, ..TestbedOptions::default() })
                .await
                .expect("the testbed starts");
        testbed.plain_upstreams.iter().for_each(|upstream| upstream.set_faults(faults));
        let mut last = None;
        for n in 0..calls {
            let caller = CallerClient::new(&bearer_key(ORGANISATIONS[0]));
            let host = testbed.caller_addresses()[n % 3];
            let key = format!("fatal-{n}");
            let key = is_order.then_some(key.as_str());
            last = Some(caller.call(host, PLAIN_SERVICE, kind, key, "poison #crash".into()).await);
        }
        let ended = testbed.plain_upstreams.iter().filter(|upstream| upstream.is_dead()).count();
        assert!((1..=2).contains(&ended), "{ended} upstreams ended under {kind}");
        match last {
            Some(Err(CallerError::Api(error))) => {
                assert_eq!((error.code, error.verdict), (Code::Quarantined, Verdict::NotRun));
            }
            other => panic!("expected a refusal: {other:?}"),
        }
        testbed.plain_upstreams.iter().for_each(|u| u.set_faults(ServiceFaults::default()));
        place_order(&testbed, 0, "other", "bearing").await.expect("other calls are served");
    }
}
