//! Refusals that a faulty engine writes once more on a kept connection.

use magnoliawinch::verdict::Verdict;
use magnoliawinch_engine::{EngineClient, EngineError, StartGeneration};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nx-verdict: not_run\r\ncontent-length: 0\r\n\r\n";

const STARTED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Refuses the first start and runs the others; on a connection with a refusal, that is written once more.
async fn serve(mut stream: TcpStream, mut is_first: bool) {
    let mut buf = [0; 4_096];
    let mut earlier = "";
    while let Ok(1..) = stream.read(&mut buf).await {
        let own = if is_first { REFUSAL } else { STARTED };
        stream.write_all(format!("{earlier}{own}").as_bytes()).await.unwrap();
        (is_first, earlier) = (false, REFUSAL);
    }
}

/// Guards against starting a generation at a second engine while the first one runs it (TWICE), as its
/// refusal of an earlier start arrives once more.
#[tokio::test]
async fn earlier_refusals_are_not_taken_for_those_of_later_starts() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut is_first = true;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, is_first));
            is_first = false;
        }
    });
    let client = EngineClient::new();
    let start = |generation: &str| StartGeneration {
        generation: generation.to_owned(),
        prompt: String::new(),
        prompt_tokens: 1,
        prefix: 0,
        prefix_tokens: 0,
        priority: 0,
        max_tokens: 1,
    };
    let first = client.start(address, &start("first"), TIMEOUT).await;
    let is_refusal =
        |e: &EngineError| matches!(e, EngineError::Refused { verdict: Verdict::NotRun, .. });
    assert!(first.as_ref().is_err_and(is_refusal), "{first:?}");
    let second = client.start(address, &start("second"), TIMEOUT).await;
    assert!(second.is_ok(), "{second:?}");
}
