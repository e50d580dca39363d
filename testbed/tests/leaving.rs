//! Tests that no request fails while upstreams or hosts leave.

use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::client::{CallerClient, CallerError};
use magnoliawinch_caller::sse::Event;
use magnoliawinch_caller::{Code, GenerationRequest};
use magnoliawinch_fakes::engine::{EngineFaults, prompt_for};
use magnoliawinch_testbed::deployment::{
    GENERATION_SERVICE, ORDER_KIND, ORGANISATIONS, PLAIN_SERVICE, STREAM_KIND, bearer_key,
};
use magnoliawinch_testbed::test_caller::{Outcome, TestCaller};
use magnoliawinch_testbed::{Testbed, TestbedOptions};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Maximum time until a leaving upstream gets no new work.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);

fn start_callers(
    addresses: &[SocketAddr],
    count: usize,
    until: Instant,
) -> Vec<JoinHandle<Vec<Outcome>>> {
    let start = |index: usize| {
        let mut caller = TestCaller::new(&bearer_key(ORGANISATIONS[index % 3]), addresses, index);
        tokio::spawn(async move {
            let mut outcomes = Vec::new();
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                let text = format!("caller {index} request {number}");
                let (outcome, _) =
                    caller.generate(GENERATION_SERVICE, STREAM_KIND, &text, 30).await;
                outcomes.push(outcome);
                let key = format!("order-{index}-{number}");
                outcomes.push(
                    match caller.call(PLAIN_SERVICE, ORDER_KIND, Some(&key), "bearing").await {
                        Ok(_) => Outcome::Complete,
                        Err(outcome) => outcome,
                    },
                );
            }
            outcomes
        })
    };
    (0..count).map(start).collect()
}

async fn assert_all_complete(callers: Vec<JoinHandle<Vec<Outcome>>>) {
    let mut count = 0;
    for caller in callers {
        for outcome in caller.await.expect("the caller task completes") {
            assert_eq!(outcome, Outcome::Complete);
            count += 1;
        }
    }
    assert!(count > 0, "no request was sent");
}

#[tokio::test]
async fn an_engine_that_reports_draining_gets_no_new_generations() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("the testbed starts");
    let until = Instant::now() + Duration::from_secs(8);
    let callers = start_callers(&testbed.caller_addresses(), 8, until);
    sleep(Duration::from_millis(1_500)).await;
    assert!(testbed.engines[0].generations_started() > 0, "the engine had work");
    // The engine still accepts requests, and the platform's list lags by 30 s, so that only the
    // engine's load reports say that it leaves.
    testbed.engines[0]
        .set_faults(EngineFaults { report_draining: true, ..EngineFaults::default() });
    sleep(MAX_LEAVING_DELAY).await;
    let started_before = testbed.engines[0].generations_started();
    assert_all_complete(callers).await;
    assert_eq!(testbed.engines[0].generations_started(), started_before);
}

#[tokio::test]
async fn requests_refused_by_a_draining_engine_complete_elsewhere() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("the testbed starts");
    let until = Instant::now() + Duration::from_secs(4);
    let callers = start_callers(&testbed.caller_addresses(), 8, until);
    sleep(Duration::from_millis(1_000)).await;
    testbed.engines[1].set_faults(EngineFaults { draining: true, ..EngineFaults::default() });
    assert_all_complete(callers).await;
}

#[tokio::test]
async fn a_rolling_restart_of_all_hosts_interrupts_no_request() {
    let mut testbed = Testbed::start(TestbedOptions::default()).await.expect("the testbed starts");
    let until = Instant::now() + Duration::from_secs(14);
    let callers = start_callers(&testbed.caller_addresses(), 8, until);
    for index in 0..3 {
        sleep(Duration::from_millis(500)).await;
        let drain = testbed.drain_daemon(index).expect("the daemon is running");
        drain.await.expect("the daemon stops on its own");
        testbed.start_daemon(index).await.expect("the daemon starts again");
        testbed.wait_ready(Duration::from_secs(20)).await.expect("all are ready");
    }
    assert_all_complete(callers).await;
    let runs = testbed.run_counts.all();
    assert!(runs.values().all(|count| *count == 1), "no order ran twice");
}

/// Time that a leaving daemon has to stop while callers go on sending requests to it.
const MAX_STOP_TIME: Duration = Duration::from_secs(10);

/// Sends generations to one host until it refuses them; returns the number of complete ones.
async fn generate_until_refused(host: SocketAddr, index: usize) -> usize {
    let caller = CallerClient::new(&bearer_key(ORGANISATIONS[index % 3]));
    for number in 0.. {
        let prompt = prompt_for(&format!("caller {index} request {number}"), 30);
        let request = GenerationRequest { prompt, max_tokens: None };
        let started = caller.generate(host, GENERATION_SERVICE, STREAM_KIND, &request).await;
        let mut stream = match started {
            Ok(stream) => stream,
            Err(CallerError::Api(e)) => {
                assert_eq!((e.code, e.verdict), (Code::NotReady, Verdict::NotRun), "{e:?}");
                assert!(!e.hosts.is_empty() && e.hosts.iter().all(|h| h.address != host), "{e:?}");
                return number;
            }
            Err(e) => panic!("request {number} of caller {index} got no answer: {e}"),
        };
        loop {
            match stream.next().await.expect("the stream is not cut") {
                Event::Token { .. } => {}
                Event::End(_) => break,
                Event::Error(e) => panic!("request {number} of caller {index}: {e:?}"),
            }
        }
    }
    unreachable!("the caller goes on until it is refused")
}

/// Guards against a stop that never ends because callers go on sending requests to the host.
#[tokio::test]
async fn a_leaving_daemon_refuses_requests_of_callers_that_do_not_go_elsewhere() {
    let mut testbed = Testbed::start(TestbedOptions::default()).await.expect("the testbed starts");
    let host = testbed.caller_addresses()[0];
    let callers: Vec<_> =
        (0..8).map(|index| tokio::spawn(generate_until_refused(host, index))).collect();
    sleep(Duration::from_millis(500)).await;
    let drain = testbed.drain_daemon(0).expect("the daemon is running");
    timeout(MAX_STOP_TIME, drain).await.expect("the daemon stops").expect("the daemon ends");
    for caller in callers {
        assert!(caller.await.expect("the caller task completes") > 0);
    }
}

/// Guards against a stop that cuts a request whose body the daemon is reading.
#[tokio::test]
async fn a_request_whose_body_arrives_while_the_daemon_leaves_is_answered() {
    const BODY: &str = "bearing";
    let mut testbed = Testbed::start(TestbedOptions::default()).await.expect("the testbed starts");
    let mut stream = TcpStream::connect(testbed.caller_addresses()[0]).await.expect("it accepts");
    let key = bearer_key(ORGANISATIONS[0]);
    let length = BODY.len();
    let head = format!(
        "POST /v1/calls/{PLAIN_SERVICE}/{ORDER_KIND} HTTP/1.1\r\nhost: test\r\n\
         authorization: Bearer {key}\r\nidempotency-key: slow-body\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the head is taken");
    sleep(Duration::from_millis(200)).await;
    let drain = testbed.drain_daemon(0).expect("the daemon is running");
    // Longer than directory responses are valid.
    sleep(Duration::from_millis(1_500)).await;
    stream.write_all(BODY.as_bytes()).await.expect("the body is taken");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("the connection is not reset");
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    timeout(MAX_STOP_TIME, drain).await.expect("the daemon stops").expect("the daemon ends");
}
