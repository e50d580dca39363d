//! Configuration through publishing, racing operators, outages of the log and restarts.

use magnoliawinch::catalogue::{Change, Offset};
use magnoliawinch::ini::Document;
use magnoliawinch::names::ServiceName;
use magnoliawinch_caller::client::{CallerClient, CallerError};
use magnoliawinch_caller::{Code, GenerationRequest};
use magnoliawinch_fakes::log::LogFaults;
use magnoliawinch_operator::Published;
use magnoliawinch_operator::client::{OperatorClient, OperatorError};
use magnoliawinch_testbed::bed::{CATALOGUE_STREAM, OPERATOR_KEY};
use magnoliawinch_testbed::deployment::{GUIDANCE, ORGANISATIONS, WALKTHROUGH, key_of};
use magnoliawinch_testbed::{Bed, BedOptions};
use std::time::Duration;
use tokio::time::{Instant, sleep};

async fn bed() -> Bed {
    Bed::start(BedOptions::default()).await.expect("the testbed starts")
}

fn operator(bed: &Bed, place: usize) -> OperatorClient {
    OperatorClient::new(bed.operator_addresses()[place], OPERATOR_KEY)
}

/// The change that sets the queue length of the generation service.
async fn change(operator: &OperatorClient, queue_length: u32) -> Change {
    let current = operator.service(GUIDANCE).await.expect("the service is in force");
    let mut document: Document = current.document.clone();
    let mut limits = (*document.sections()["limits"]).clone();
    limits.insert("queue_length".to_owned(), queue_length.to_string());
    document.put("limits", limits);
    let name = ServiceName::new(GUIDANCE);
    Change::between(&name, current.revision, &current.document, &document)
        .expect("the queue length differs")
        .with_author(0, &format!("operator-{queue_length}"))
}

async fn queue_length(bed: &Bed, place: usize) -> String {
    let service = operator(bed, place).service(GUIDANCE).await.expect("the service is in force");
    service.document.sections()["limits"]["queue_length"].clone()
}

async fn wait_in_force(bed: &Bed, offset: Offset) {
    let until = Instant::now() + Duration::from_secs(7);
    loop {
        let in_force = operator(bed, 0).in_force(offset).await.expect("the daemon answers");
        if in_force.behind.is_empty() && in_force.reached.len() == 3 {
            return;
        }
        assert!(Instant::now() < until, "not in force everywhere: {in_force:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn one_of_two_racing_operators_wins_and_the_other_is_told() {
    let bed = bed().await;
    let (first, second) = (operator(&bed, 0), operator(&bed, 1));
    let (a, b) = (change(&first, 301).await, change(&second, 302).await);
    let (a, b) = tokio::join!(first.publish(a), second.publish(b));
    let results = [a.expect("an answer"), b.expect("an answer")];
    let accepted: Vec<_> = results
        .iter()
        .filter_map(|result| match result {
            Published::Accepted { revision } => Some(*revision),
            _ => None,
        })
        .collect();
    assert_eq!(accepted.len(), 1, "{results:?}");
    let told = results.iter().any(
        |result| matches!(result, Published::Refused { reason } if reason.contains("published by")),
    );
    assert!(told, "{results:?}");
    wait_in_force(&bed, accepted[0]).await;
    let lengths = [queue_length(&bed, 0).await, queue_length(&bed, 1).await];
    assert_eq!(lengths[0], lengths[1]);
}

#[tokio::test]
async fn a_lost_append_answer_publishes_once() {
    let bed = bed().await;
    let operator = operator(&bed, 0);
    let change = change(&operator, 303).await;
    bed.log.set_faults(LogFaults { lose_append_answers: true, ..LogFaults::default() });
    let published = operator.publish(change).await.expect("an answer");
    bed.log.set_faults(LogFaults::default());
    let Published::Accepted { revision } = published else {
        panic!("the change is accepted: {published:?}");
    };
    wait_in_force(&bed, revision).await;
    assert_eq!(queue_length(&bed, 2).await, "303");
}

#[tokio::test]
async fn an_invalid_change_is_refused_with_the_key_and_the_value() {
    let bed = bed().await;
    let operator = operator(&bed, 0);
    let mut change = change(&operator, 304).await;
    if let Some(limits) = change.put.get_mut("limits") {
        limits.insert("queue_length".to_owned(), "many".to_owned());
    }
    let published = operator.publish(change).await.expect("an answer");
    insta::assert_debug_snapshot!(published);
}

#[tokio::test]
async fn a_wrong_operator_key_is_refused() {
    let bed = bed().await;
    let stranger = OperatorClient::new(bed.operator_addresses()[0], "guess");
    match stranger.status().await {
        Err(OperatorError::Refused { status, message, .. }) => {
            insta::assert_debug_snapshot!((status, message));
        }
        other => panic!("a refusal was expected: {other:?}"),
    }
}

#[tokio::test]
async fn a_daemon_that_starts_while_the_log_is_down_gets_the_newest_state_from_its_peers() {
    let mut bed = bed().await;
    let operator = operator(&bed, 0);
    let published = operator.publish(change(&operator, 305).await).await.expect("an answer");
    let Published::Accepted { revision } = published else {
        panic!("the change is accepted: {published:?}");
    };
    wait_in_force(&bed, revision).await;
    bed.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    // Every host is replaced, one after another, while the log is down.
    for place in 0..3 {
        bed.kill_daemon(place);
        bed.start_daemon(place).await.expect("the daemon starts");
        bed.wait_ready(Duration::from_secs(30)).await.expect("all are ready");
        assert_eq!(queue_length(&bed, place).await, "305");
    }
}

#[tokio::test]
async fn a_daemon_with_nobody_to_ask_is_not_ready_and_refuses_as_not_run() {
    let options = BedOptions { daemons: 1, ..BedOptions::default() };
    let mut bed = Bed::start_platform(options).await.expect("the stand-ins start");
    bed.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    bed.start_daemon(0).await.expect("the daemon starts");
    sleep(Duration::from_millis(1_500)).await;
    assert!(!bed.daemon(0).expect("it runs").is_ready());
    let caller = CallerClient::new(&key_of(ORGANISATIONS[0]));
    let request = GenerationRequest { prompt: "x".to_owned(), max_tokens: None };
    let host = bed.caller_addresses()[0];
    match caller.generate(host, GUIDANCE, WALKTHROUGH, &request).await {
        Err(CallerError::Api(error)) => {
            assert_eq!(error.code, Code::NotReady);
            insta::assert_debug_snapshot!(error);
        }
        other => panic!("a refusal was expected: {other:?}"),
    }
}

#[tokio::test]
async fn a_daemon_that_starts_after_the_records_are_gone_has_every_service() {
    let mut bed = bed().await;
    let operator = operator(&bed, 0);
    // Enough changes for a checkpoint, then the log forgets all of them but the last few.
    let mut base = operator.service(GUIDANCE).await.expect("in force").revision;
    let template = change(&operator, 400).await;
    for number in 0..520 {
        let mut change = Change { base, nonce: 10_000 + number, ..template.clone() };
        if let Some(limits) = change.put.get_mut("limits") {
            limits.insert("queue_length".to_owned(), (400 + number).to_string());
        }
        let record = magnoliawinch::catalogue::Record::Change(change);
        let data = serde_json::to_string(&record).expect("records are JSON");
        base = bed.log.append(CATALOGUE_STREAM, &data);
    }
    wait_in_force(&bed, base).await;
    let until = Instant::now() + Duration::from_secs(30);
    let is_checkpoint = |data: &str| data.contains("checkpoint_part");
    while !bed.log.records(CATALOGUE_STREAM).iter().any(|r| is_checkpoint(&r.data)) {
        assert!(Instant::now() < until, "a checkpoint was expected");
        sleep(Duration::from_millis(100)).await;
    }
    bed.log.drop_before(CATALOGUE_STREAM, base);
    // Nobody is left who remembers.
    for place in 0..3 {
        bed.kill_daemon(place);
    }
    for place in 0..3 {
        bed.start_daemon(place).await.expect("the daemon starts");
    }
    bed.wait_ready(Duration::from_secs(30)).await.expect("all are ready");
    assert_eq!(queue_length(&bed, 0).await, "919");
}

#[tokio::test]
async fn a_published_service_serves_as_soon_as_the_publisher_is_told() {
    let options = BedOptions { daemons: 3, ..BedOptions::default() };
    let mut bed = Bed::start_platform(options.clone()).await.expect("the stand-ins start");
    for place in 0..3 {
        bed.start_daemon(place).await.expect("the daemon starts");
    }
    bed.wait_ready(Duration::from_secs(20)).await.expect("all are ready without a service");
    let addresses: Vec<_> = bed.engines.iter().map(|engine| engine.address()).collect();
    let text = magnoliawinch_testbed::deployment::guidance_file(&addresses, &options);
    let document = Document::parse(&text).expect("the file is valid");
    let name = ServiceName::new(GUIDANCE);
    let change = Change::between(&name, Offset(0), &Document::default(), &document)
        .expect("a new service differs from nothing")
        .with_author(0, "operator");
    let published = operator(&bed, 1).publish(change).await.expect("an answer");
    assert!(matches!(published, Published::Accepted { .. }), "{published:?}");
    let caller = CallerClient::new(&key_of(ORGANISATIONS[0]));
    let request = GenerationRequest { prompt: "x".to_owned(), max_tokens: Some(2) };
    let host = bed.caller_addresses()[1];
    let stream = caller.generate(host, GUIDANCE, WALKTHROUGH, &request).await;
    assert!(stream.is_ok(), "{stream:?}");
}
