//! Answers stay whole while links, engines and hosts fail.

use magnoliawinch_caller::Code;
use magnoliawinch_fakes::engine::{EngineFaults, FakeEngine};
use magnoliawinch_testbed::deployment::{
    CLASSIFICATION, GUIDANCE, ORGANISATIONS, WALKTHROUGH, key_of,
};
use magnoliawinch_testbed::user::{Ending, User};
use magnoliawinch_testbed::{Bed, BedOptions};
use std::time::Duration;
use tokio::time::sleep;

const LENGTH: u32 = 60;

async fn bed(options: BedOptions) -> Bed {
    Bed::start(options).await.expect("the testbed starts")
}

fn user(bed: &Bed, turn: usize) -> User {
    User::new(&key_of(ORGANISATIONS[0]), &bed.caller_addresses(), turn)
}

fn set_faults(bed: &Bed, faults: EngineFaults) {
    bed.engines.iter().for_each(|engine| engine.set_faults(faults));
}

#[tokio::test]
async fn repeated_missing_and_crossed_tokens_do_not_reach_the_caller() {
    let bed = bed(BedOptions::default()).await;
    let faults = [
        EngineFaults { repeat_tokens: true, ..EngineFaults::default() },
        EngineFaults { skip_token: Some(7), ..EngineFaults::default() },
        EngineFaults { cross_streams: true, ..EngineFaults::default() },
        EngineFaults { repeat_tokens: true, skip_token: Some(0), ..EngineFaults::default() },
        EngineFaults { cross_streams: true, skip_token: Some(3), ..EngineFaults::default() },
    ];
    for (turn, faults) in faults.into_iter().enumerate() {
        set_faults(&bed, faults);
        let text = format!("the wing drags {turn}");
        let (ending, _) = user(&bed, turn).generate(GUIDANCE, WALKTHROUGH, &text, LENGTH).await;
        assert_eq!(ending, Ending::Whole, "with {faults:?}");
    }
    let started: u64 = bed.engines.iter().map(|engine| engine.started()).sum();
    assert_eq!(started, 5, "each answer came from one generation");
}

#[tokio::test]
async fn a_link_that_goes_silent_is_replaced_and_the_generation_goes_on() {
    let bed = bed(BedOptions::default()).await;
    let mut caller = user(&bed, 0);
    let answer =
        tokio::spawn(async move { caller.generate(GUIDANCE, WALKTHROUGH, "silent", 120).await });
    sleep(Duration::from_millis(500)).await;
    set_faults(&bed, EngineFaults { stall_streams: true, ..EngineFaults::default() });
    sleep(Duration::from_millis(2_500)).await;
    set_faults(&bed, EngineFaults::default());
    let (ending, _) = answer.await.expect("the caller ends");
    assert_eq!(ending, Ending::Whole);
    let started: u64 = bed.engines.iter().map(|engine| engine.started()).sum();
    assert_eq!(started, 1, "the same generation went on");
}

#[tokio::test]
async fn a_caller_resumes_at_another_host_when_its_host_dies() {
    let mut bed = bed(BedOptions::default()).await;
    let callers: Vec<_> = (0..6)
        .map(|turn| {
            let mut caller = user(&bed, turn);
            tokio::spawn(async move {
                let text = format!("host dies {turn}");
                caller.generate(GUIDANCE, WALKTHROUGH, &text, 150).await
            })
        })
        .collect();
    sleep(Duration::from_millis(800)).await;
    // The directory spreads callers by chance, so the busiest host is the one to kill.
    let busiest = (0..3).max_by_key(|place| bed.daemon(*place).map(|daemon| daemon.in_progress()));
    bed.kill_daemon(busiest.expect("there are hosts"));
    let mut resumed = 0;
    for caller in callers {
        let (ending, times) = caller.await.expect("the caller ends");
        assert_eq!(ending, Ending::Whole);
        resumed += times.resumes;
    }
    let started: u64 = bed.engines.iter().map(|engine| engine.started()).sum();
    assert!(resumed > 0, "some caller was connected to the killed host");
    assert_eq!(started, 6, "nothing was generated twice");
}

#[tokio::test]
async fn an_engine_that_dies_breaks_streams_with_an_error_and_reruns_whole_answers() {
    let bed = bed(BedOptions { engines: 2, upstreams: 2, ..BedOptions::default() }).await;
    let mut streams = Vec::new();
    let mut wholes = Vec::new();
    for turn in 0..6 {
        let (mut first, mut second) = (user(&bed, turn), user(&bed, turn));
        streams.push(tokio::spawn(async move {
            let text = format!("streamed {turn}");
            first.generate(GUIDANCE, WALKTHROUGH, &text, 150).await.0
        }));
        wholes.push(tokio::spawn(async move {
            let text = format!("whole {turn}");
            second.generate_whole(GUIDANCE, CLASSIFICATION, &text, 150).await.0
        }));
    }
    sleep(Duration::from_millis(1_000)).await;
    // Routing has its chance, so the engine with the most streams is the one to kill.
    let streams_at = |engine: &&FakeEngine| {
        engine.records().iter().filter(|record| record.prompt.contains("streamed")).count()
    };
    bed.engines.iter().max_by_key(streams_at).expect("there are engines").kill();
    for whole in wholes {
        assert_eq!(whole.await.expect("the caller ends"), Ending::Whole);
    }
    let mut broken = 0;
    for stream in streams {
        match stream.await.expect("the caller ends") {
            Ending::Whole => {}
            Ending::Broken(error) => {
                assert_eq!(error.code, Code::Interrupted);
                broken += 1;
            }
            other => panic!("unexpected ending: {other:?}"),
        }
    }
    assert!(broken > 0, "some stream ran on the killed engine");
}

#[tokio::test]
async fn a_request_that_crashes_engines_takes_down_two_at_most() {
    let bed = bed(BedOptions { engines: 5, upstreams: 5, ..BedOptions::default() }).await;
    let mut innocents = Vec::new();
    for turn in 0..10 {
        let mut caller = user(&bed, turn);
        innocents.push(tokio::spawn(async move {
            let text = format!("innocent {turn}");
            caller.generate_whole(GUIDANCE, CLASSIFICATION, &text, 100).await.0
        }));
    }
    sleep(Duration::from_millis(400)).await;
    // Its caller sends it again and again, to every host.
    let mut endings = Vec::new();
    for turn in 0..6 {
        let mut caller = user(&bed, turn);
        let (ending, _) =
            caller.generate_whole(GUIDANCE, CLASSIFICATION, "poison #crash", 50).await;
        endings.push(ending);
    }
    let dead = bed.engines.iter().filter(|engine| engine.is_dead()).count();
    assert!((1..=2).contains(&dead), "{dead} engines died: {endings:?}");
    for innocent in innocents {
        assert_eq!(innocent.await.expect("the caller ends"), Ending::Whole);
    }
    match endings.last() {
        Some(Ending::Refused(error)) => assert_eq!(error.code, Code::Quarantined),
        other => panic!("a refusal was expected: {other:?}"),
    }
}
