//! Tests publishing, and that the configuration survives concurrent changes, failures of the log
//! and restarts of daemons.

use magnoliawinch::catalogue::{Change, Offset};
use magnoliawinch::ini::Document;
use magnoliawinch::names::ServiceName;
use magnoliawinch_caller::client::{CallerClient, CallerError};
use magnoliawinch_caller::{Code, GenerationRequest};
use magnoliawinch_fakes::log::LogFaults;
use magnoliawinch_operator::Published;
use magnoliawinch_operator::client::{OperatorClient, OperatorError};
use magnoliawinch_testbed::deployment::{
    GENERATION_SERVICE, ORGANISATIONS, STREAM_KIND, bearer_key,
};
use magnoliawinch_testbed::testbed::{CATALOGUE_STREAM, OPERATOR_KEY};
use magnoliawinch_testbed::{Testbed, TestbedOptions};
use std::time::Duration;
use tokio::time::{Instant, sleep};

async fn start_testbed() -> Testbed {
    Testbed::start(TestbedOptions::default()).await.expect("the testbed starts")
}

fn operator_client(testbed: &Testbed, index: usize) -> OperatorClient {
    OperatorClient::new(testbed.operator_addresses()[index], OPERATOR_KEY)
}

/// A change that sets the queue length of the generation service.
async fn queue_length_change(operator: &OperatorClient, queue_length: u32) -> Change {
    let current = operator.service(GENERATION_SERVICE).await.expect("the service is in force");
    let mut document: Document = current.document.clone();
    let mut limits = (*document.sections()["limits"]).clone();
    limits.insert("queue_length".to_owned(), queue_length.to_string());
    document.put("limits", limits);
    let name = ServiceName::new(GENERATION_SERVICE);
    Change::between(&name, current.revision, &current.document, &document)
        .expect("the queue length differs")
        .with_author(0, &format!("operator-{queue_length}"))
}

async fn queue_length(testbed: &Testbed, index: usize) -> String {
    let service = operator_client(testbed, index)
        .service(GENERATION_SERVICE)
        .await
        .expect("the service is in force");
    service.document.sections()["limits"]["queue_length"].clone()
}

async fn wait_in_force(testbed: &Testbed, offset: Offset) {
    let deadline = Instant::now() + Duration::from_secs(7);
    loop {
        let in_force =
            operator_client(testbed, 0).in_force(offset).await.expect("the daemon responds");
        if in_force.behind.is_empty() && in_force.reached.len() == 3 {
            return;
        }
        assert!(Instant::now() < deadline, "not in force everywhere: {in_force:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn one_of_two_concurrent_changes_is_accepted_and_the_other_refused() {
    let testbed = start_testbed().await;
    let (first, second) = (operator_client(&testbed, 0), operator_client(&testbed, 1));
    let (a, b) = (queue_length_change(&first, 301).await, queue_length_change(&second, 302).await);
    let (a, b) = tokio::join!(first.publish(a), second.publish(b));
    let results = [a.expect("a response"), b.expect("a response")];
    let accepted: Vec<_> = results
        .iter()
        .filter_map(|result| match result {
            Published::Accepted { revision } => Some(*revision),
            _ => None,
        })
        .collect();
    assert_eq!(accepted.len(), 1, "{results:?}");
    let is_refusal_explained = results.iter().any(
        |result| matches!(result, Published::Refused { reason } if reason.contains("published by")),
    );
    assert!(is_refusal_explained, "{results:?}");
    wait_in_force(&testbed, accepted[0]).await;
    let lengths = [queue_length(&testbed, 0).await, queue_length(&testbed, 1).await];
    assert_eq!(lengths[0], lengths[1]);
}

#[tokio::test]
async fn a_change_is_accepted_when_the_append_response_is_lost() {
    let testbed = start_testbed().await;
    let operator = operator_client(&testbed, 0);
    let change = queue_length_change(&operator, 303).await;
    testbed.log.set_faults(LogFaults { lose_append_responses: true, ..LogFaults::default() });
    let published = operator.publish(change).await.expect("a response");
    testbed.log.set_faults(LogFaults::default());
    let Published::Accepted { revision } = published else {
        panic!("the change is accepted: {published:?}");
    };
    wait_in_force(&testbed, revision).await;
    assert_eq!(queue_length(&testbed, 2).await, "303");
}

#[tokio::test]
async fn an_invalid_change_is_refused_with_the_key_and_the_value() {
    let testbed = start_testbed().await;
    let operator = operator_client(&testbed, 0);
    let mut change = queue_length_change(&operator, 304).await;
    if let Some(limits) = change.put.get_mut("limits") {
        limits.insert("queue_length".to_owned(), "many".to_owned());
    }
    let published = operator.publish(change).await.expect("a response");
    insta::assert_debug_snapshot!(published);
}

#[tokio::test]
async fn a_wrong_operator_key_is_refused() {
    let testbed = start_testbed().await;
    let operator = OperatorClient::new(testbed.operator_addresses()[0], "guess");
    match operator.status().await {
        Err(OperatorError::Refused { status, message, .. }) => {
            insta::assert_debug_snapshot!((status, message));
        }
        other => panic!("expected a refusal: {other:?}"),
    }
}

#[tokio::test]
async fn a_daemon_that_starts_while_the_log_is_down_gets_the_configuration_from_its_peers() {
    let mut testbed = start_testbed().await;
    let operator = operator_client(&testbed, 0);
    let published =
        operator.publish(queue_length_change(&operator, 305).await).await.expect("a response");
    let Published::Accepted { revision } = published else {
        panic!("the change is accepted: {published:?}");
    };
    wait_in_force(&testbed, revision).await;
    testbed.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    // Replace the daemons one after another while the log is down.
    for index in 0..3 {
        testbed.kill_daemon(index);
        testbed.start_daemon(index).await.expect("the daemon starts");
        testbed.wait_ready(Duration::from_secs(30)).await.expect("all are ready");
        assert_eq!(queue_length(&testbed, index).await, "305");
    }
}

#[tokio::test]
async fn a_daemon_without_log_and_peers_is_not_ready_and_refuses_as_not_run() {
    let options = TestbedOptions { daemons: 1, ..TestbedOptions::default() };
    let mut testbed = Testbed::start_platform(options).await.expect("the stand-ins start");
    testbed.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    testbed.start_daemon(0).await.expect("the daemon starts");
    sleep(Duration::from_millis(1_500)).await;
    assert!(!testbed.daemon(0).expect("the daemon is running").is_ready());
    let caller = CallerClient::new(&bearer_key(ORGANISATIONS[0]));
    let request = GenerationRequest { prompt: "x".to_owned(), max_tokens: None };
    let host = testbed.caller_addresses()[0];
    match caller.generate(host, GENERATION_SERVICE, STREAM_KIND, &request).await {
        Err(CallerError::Api(error)) => {
            assert_eq!(error.code, Code::NotReady);
            insta::assert_debug_snapshot!(error);
        }
        other => panic!("expected a refusal: {other:?}"),
    }
}

#[tokio::test]
async fn a_daemon_restores_services_from_a_checkpoint_after_log_retention() {
    let mut testbed = start_testbed().await;
    let operator = operator_client(&testbed, 0);
    // Enough changes for a checkpoint; then the log drops all records before the last change.
    let mut base =
        operator.service(GENERATION_SERVICE).await.expect("the service is in force").revision;
    let template = queue_length_change(&operator, 400).await;
    for number in 0..520 {
        let mut change = Change { base, nonce: 10_000 + number, ..template.clone() };
        if let Some(limits) = change.put.get_mut("limits") {
            limits.insert("queue_length".to_owned(), (400 + number).to_string());
        }
        let record = magnoliawinch::catalogue::Record::Change(change);
        let data = serde_json::to_string(&record).expect("records are JSON");
        base = testbed.log.append(CATALOGUE_STREAM, &data);
    }
    wait_in_force(&testbed, base).await;
    let deadline = Instant::now() + Duration::from_secs(30);
    let is_checkpoint = |data: &str| data.contains("checkpoint_part");
    while !testbed.log.records(CATALOGUE_STREAM).iter().any(|r| is_checkpoint(&r.data)) {
        assert!(Instant::now() < deadline, "no checkpoint was written in time");
        sleep(Duration::from_millis(100)).await;
    }
    testbed.log.drop_before(CATALOGUE_STREAM, base);
    // Kill all daemons at once, so that none can get the configuration from a peer.
    for index in 0..3 {
        testbed.kill_daemon(index);
    }
    for index in 0..3 {
        testbed.start_daemon(index).await.expect("the daemon starts");
    }
    testbed.wait_ready(Duration::from_secs(30)).await.expect("all are ready");
    assert_eq!(queue_length(&testbed, 0).await, "919");
}

#[tokio::test]
async fn a_published_service_takes_requests_once_its_publisher_has_the_response() {
    let options = TestbedOptions { daemons: 3, ..TestbedOptions::default() };
    let mut testbed = Testbed::start_platform(options.clone()).await.expect("the stand-ins start");
    for index in 0..3 {
        testbed.start_daemon(index).await.expect("the daemon starts");
    }
    testbed.wait_ready(Duration::from_secs(20)).await.expect("all are ready without a service");
    let addresses: Vec<_> = testbed.engines.iter().map(|engine| engine.address()).collect();
    let text = magnoliawinch_testbed::deployment::generation_service_file(&addresses, &options);
    let document = Document::parse(&text).expect("the file is valid");
    let name = ServiceName::new(GENERATION_SERVICE);
    let change = Change::between(&name, Offset(0), &Document::default(), &document)
        .expect("the document is not empty")
        .with_author(0, "operator");
    let published = operator_client(&testbed, 1).publish(change).await.expect("a response");
    assert!(matches!(published, Published::Accepted { .. }), "{published:?}");
    let caller = CallerClient::new(&bearer_key(ORGANISATIONS[0]));
    let request = GenerationRequest { prompt: "x".to_owned(), max_tokens: Some(2) };
    let host = testbed.caller_addresses()[1];
    let stream = caller.generate(host, GENERATION_SERVICE, STREAM_KIND, &request).await;
    assert!(stream.is_ok(), "{stream:?}");
}
