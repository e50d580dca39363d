//! Answers of plain services with neither a length nor chunks.

use bytes::Bytes;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_service::{Call, ServiceClient};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Guards against passing a part of an answer off as the whole (MIXED): its service ended, which closes the
/// connection like the end of the body.
#[tokio::test]
async fn answers_without_a_length_may_have_lost_their_ends() {
    for part in ["", "half of the ans"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4_096]).await;
            let answer = format!("HTTP/1.1 200 OK\r\n\r\n{part}");
            stream.write_all(answer.as_bytes()).await.unwrap();
        });
        let call =
            Call { kind: "order", request_id: "r", idempotency_key: None, body: Bytes::new() };
        let result = ServiceClient::new().call(address, &call, Duration::from_secs(5)).await;
        let e = result.expect_err("it is not known to be whole");
        assert_eq!(e.verdict(), Verdict::MayHaveRun);
    }
}
