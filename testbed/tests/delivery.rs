//! Tests that responses stay complete despite failures of connections, engines and hosts.

use magnoliawinch_caller::Code;
use magnoliawinch_fakes::engine::{EngineFaults, FakeEngine};
use magnoliawinch_testbed::deployment::{
    GENERATION_SERVICE, ORGANISATIONS, STREAM_KIND, WHOLE_KIND, bearer_key,
};
use magnoliawinch_testbed::test_caller::{Outcome, TestCaller};
use magnoliawinch_testbed::{Testbed, TestbedOptions};
use std::time::Duration;
use tokio::time::sleep;

const RESPONSE_TOKENS: u32 = 60;

async fn start_testbed(options: TestbedOptions) -> Testbed {
    Testbed::start(options).await.expect("the testbed starts")
}

fn new_caller(testbed: &Testbed, index: usize) -> TestCaller {
    TestCaller::new(&bearer_key(ORGANISATIONS[0]), &testbed.caller_addresses(), index)
}

fn set_faults(testbed: &Testbed, faults: EngineFaults) {
    testbed.engines.iter().for_each(|engine| engine.set_faults(faults));
}

#[tokio::test]
async fn duplicate_missing_and_foreign_tokens_do_not_reach_the_caller() {
    let testbed = start_testbed(TestbedOptions::default()).await;
    let faults = [
        EngineFaults { repeat_tokens: true, ..EngineFaults::default() },
        EngineFaults { skip_token: Some(7), ..EngineFaults::default() },
        EngineFaults { send_foreign_event: true, ..EngineFaults::default() },
        EngineFaults { repeat_tokens: true, skip_token: Some(0), ..EngineFaults::default() },
        EngineFaults { send_foreign_event: true, skip_token: Some(3), ..EngineFaults::default() },
    ];
    for (index, faults) in faults.into_iter().enumerate() {
        set_faults(&testbed, faults);
        let text = format!("the wing drags {index}");
        let (outcome, _) = new_caller(&testbed, index)
            .generate(GENERATION_SERVICE, STREAM_KIND, &text, RESPONSE_TOKENS)
            .await;
        assert_eq!(outcome, Outcome::Complete, "with {faults:?}");
    }
    let started: u64 = testbed.engines.iter().map(|engine| engine.generations_started()).sum();
    assert_eq!(started, 5, "each response came from one generation");
}

#[tokio::test]
async fn a_silent_connection_is_replaced_and_the_generation_continues() {
    let testbed = start_testbed(TestbedOptions::default()).await;
    let mut caller = new_caller(&testbed, 0);
    let response = tokio::spawn(async move {
        caller.generate(GENERATION_SERVICE, STREAM_KIND, "silent", 120).await
    });
    sleep(Duration::from_millis(500)).await;
    set_faults(&testbed, EngineFaults { stall_streams: true, ..EngineFaults::default() });
    sleep(Duration::from_millis(2_500)).await;
    set_faults(&testbed, EngineFaults::default());
    let (outcome, _) = response.await.expect("the caller task completes");
    assert_eq!(outcome, Outcome::Complete);
    let started: u64 = testbed.engines.iter().map(|engine| engine.generations_started()).sum();
    assert_eq!(started, 1, "the same generation continued");
}

#[tokio::test]
async fn a_caller_resumes_at_another_host_when_its_host_dies() {
    let mut testbed = start_testbed(TestbedOptions::default()).await;
    let callers: Vec<_> = (0..6)
        .map(|index| {
            let mut caller = new_caller(&testbed, index);
            tokio::spawn(async move {
                let text = format!("host dies {index}");
                caller.generate(GENERATION_SERVICE, STREAM_KIND, &text, 150).await
            })
        })
        .collect();
    sleep(Duration::from_millis(800)).await;
    // The directory spreads callers at random: kill the busiest host, so that streams are affected.
    let busiest =
        (0..3).max_by_key(|index| testbed.daemon(*index).map(|daemon| daemon.in_progress()));
    testbed.kill_daemon(busiest.expect("a daemon is running"));
    let mut resumed = 0;
    for caller in callers {
        let (outcome, stats) = caller.await.expect("the caller task completes");
        assert_eq!(outcome, Outcome::Complete);
        resumed += stats.resumes;
    }
    let started: u64 = testbed.engines.iter().map(|engine| engine.generations_started()).sum();
    assert!(resumed > 0, "some caller was connected to the killed host");
    assert_eq!(started, 6, "no generation was started twice");
}

#[tokio::test]
async fn a_killed_engine_interrupts_its_streams_but_whole_responses_are_rerun() {
    let testbed = start_testbed(TestbedOptions {
        engines: 2,
        generation_upstreams: 2,
        ..TestbedOptions::default()
    })
    .await;
    let mut streams = Vec::new();
    let mut whole_responses = Vec::new();
    for index in 0..6 {
        let (mut stream_caller, mut whole_caller) =
            (new_caller(&testbed, index), new_caller(&testbed, index));
        streams.push(tokio::spawn(async move {
            let text = format!("streamed {index}");
            stream_caller.generate(GENERATION_SERVICE, STREAM_KIND, &text, 150).await.0
        }));
        whole_responses.push(tokio::spawn(async move {
            let text = format!("whole {index}");
            whole_caller.generate_whole(GENERATION_SERVICE, WHOLE_KIND, &text, 150).await.0
        }));
    }
    sleep(Duration::from_millis(1_000)).await;
    // Routing is random: kill the engine with the most streams, so that streams are affected.
    let streams_at = |engine: &&FakeEngine| {
        engine.records().iter().filter(|record| record.prompt.contains("streamed")).count()
    };
    testbed.engines.iter().max_by_key(streams_at).expect("an engine is running").kill();
    for response in whole_responses {
        assert_eq!(response.await.expect("the caller task completes"), Outcome::Complete);
    }
    let mut broken = 0;
    for stream in streams {
        match stream.await.expect("the caller task completes") {
            Outcome::Complete => {}
            Outcome::Broken(error) => {
                assert_eq!(error.code, Code::Interrupted);
                broken += 1;
            }
            other => panic!("unexpected outcome: {other:?}"),
        }
    }
    assert!(broken > 0, "some stream ran on the killed engine");
}

#[tokio::test]
async fn a_request_that_crashes_engines_is_quarantined_after_two_at_most() {
    let testbed = start_testbed(TestbedOptions {
        engines: 5,
        generation_upstreams: 5,
        ..TestbedOptions::default()
    })
    .await;
    let mut other_requests = Vec::new();
    for index in 0..10 {
        let mut caller = new_caller(&testbed, index);
        other_requests.push(tokio::spawn(async move {
            let text = format!("innocent {index}");
            caller.generate_whole(GENERATION_SERVICE, WHOLE_KIND, &text, 100).await.0
        }));
    }
    sleep(Duration::from_millis(400)).await;
    // The request is repeated at every host.
    let mut outcomes = Vec::new();
    for index in 0..6 {
        let mut caller = new_caller(&testbed, index);
        let (outcome, _) =
            caller.generate_whole(GENERATION_SERVICE, WHOLE_KIND, "poison #crash", 50).await;
        outcomes.push(outcome);
    }
    let killed = testbed.engines.iter().filter(|engine| engine.is_dead()).count();
    assert!((1..=2).contains(&killed), "{killed} engines died: {outcomes:?}");
    for request in other_requests {
        assert_eq!(request.await.expect("the caller task completes"), Outcome::Complete);
    }
    match outcomes.last() {
        Some(Outcome::Refused(error)) => assert_eq!(error.code, Code::Quarantined),
        other => panic!("expected a refusal: {other:?}"),
    }
}
