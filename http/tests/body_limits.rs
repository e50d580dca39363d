//! Limits for reading a body: its size, gaps, and the time for all of it.

use http_body_util::Full;
use hyper::Request;
use magnoliawinch_http::{BodyLimits, Client, Reuse, SendError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 1_000,
    max_gap: Duration::from_millis(150),
    max_total: Duration::from_millis(1_500),
};

/// A server that announces `length` bytes and sends `parts` of ten bytes, one each `interval`.
async fn start_server(length: usize, parts: usize, interval: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1_024]).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..parts {
            sleep(interval).await;
            let _ = stream.write_all(&[b'x'; 10]).await;
        }
        sleep(Duration::from_secs(10)).await;
    });
    address
}

async fn read(length: usize, parts: usize, interval_ms: u64) -> Result<usize, SendError> {
    let address = start_server(length, parts, Duration::from_millis(interval_ms)).await;
    let req = Request::builder().uri("/").body(Full::default()).unwrap();
    let response = Client::new().send(address, req, Reuse::Never, LIMITS.max_total).await?;
    Ok(response.bytes_within(LIMITS).await?.len())
}

#[tokio::test]
async fn a_slow_body_is_read_for_as_long_as_it_arrives() {
    // Longer than any single gap may be.
    assert_eq!(read(80, 8, 60).await.unwrap(), 80);
}

#[tokio::test]
async fn a_body_that_stops_arriving_is_given_up_with_its_size_so_far() {
    let e = read(80, 3, 20).await.unwrap_err();
    assert!(
        matches!(e, SendError::Stalled { received: 30, after, .. } if after == LIMITS.max_gap),
        "{e}"
    );
}

#[tokio::test]
async fn a_body_that_never_ends_is_given_up() {
    let e = read(1_000, 100, 60).await.unwrap_err();
    assert!(matches!(e, SendError::Stalled { after, .. } if after == LIMITS.max_total), "{e}");
}

#[tokio::test]
async fn a_body_that_is_too_large_is_an_error() {
    let e = read(2_000, 150, 1).await.unwrap_err();
    assert!(matches!(e, SendError::BadResponse { .. }), "{e}");
}
