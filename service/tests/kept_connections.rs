//! Responses that a faulty service writes once more on a kept connection.

use bytes::Bytes;
use magnoliawinch_service::{Call, ServiceClient};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

/// A response with `status` whose body is the id of the call.
fn response(status: &str, id: &str) -> String {
    let verdict = if status.starts_with('2') { "" } else { "x-verdict: not_run\r\n" };
    format!("HTTP/1.1 {status}\r\n{verdict}content-length: {}\r\n\r\n{id}", id.len())
}

/// Answers calls on one connection; before each but the first, the first response is written once more.
async fn serve(mut stream: TcpStream, status: &'static str) {
    let mut first = None;
    let mut buf = [0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut buf).await {
        let head = String::from_utf8_lossy(&buf[..length]);
        let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap();
        let own = if id == "first" { response(status, id) } else { response("200 OK", id) };
        let text = match &first {
            Some(first) => format!("{first}{own}"),
            None => own.clone(),
        };
        first.get_or_insert(own);
        stream.write_all(text.as_bytes()).await.unwrap();
    }
}

/// Guards against telling a caller that a call has not run that has (REFUSED), or giving it the answer to
/// another one, when a service writes an earlier response once more.
#[tokio::test]
async fn earlier_responses_are_not_taken_for_those_of_later_calls() {
    for status in ["503 Busy", "200 OK"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, status));
            }
        });
        let client = ServiceClient::new();
        let call = |request_id| Call {
            kind: "look",
            request_id,
            idempotency_key: None,
            body: Bytes::new(),
        };
        let first = client.call(address, &call("first"), TIMEOUT).await;
        assert_eq!(first.is_ok(), status == "200 OK");
        let second = client.call(address, &call("second"), TIMEOUT).await.unwrap();
        assert_eq!(second.body, "second", "after {status}");
    }
}
