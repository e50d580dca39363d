//! The memory that all bodies being read share.

use http_body_util::Full;
use hyper::Request;
use magnoliawinch_http::{BodyBudget, Client, Reuse, SendError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A server that answers each request with a body of `length` bytes.
async fn start_server(length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 1_024]).await;
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&vec![b'x'; length]).await
            });
        }
    });
    address
}

async fn read(
    client: &Client,
    address: SocketAddr,
    max_bytes: usize,
) -> Result<bytes::Bytes, SendError> {
    let req = Request::builder().uri("/").body(Full::default()).unwrap();
    client.send(address, req, Reuse::Never, TIMEOUT).await?.bytes(max_bytes).await
}

/// Guards against a budget that is returned while the body is still held.
#[tokio::test]
async fn bodies_share_a_budget_for_as_long_as_they_are_held() {
    let budget = BodyBudget::new(500_000);
    let client = Client::new().with_body_budget(budget.clone());
    let (large, small) = (start_server(300_000).await, start_server(10_000).await);
    let first = read(&client, large, 1_000_000).await.unwrap();
    assert_eq!(first.len(), 300_000);
    assert!((300_000..=500_000).contains(&budget.used()));
    let e = read(&client, large, 1_000_000).await.unwrap_err();
    assert!(matches!(e, SendError::BadResponse { .. }), "{e}");
    assert_eq!(read(&client, small, 1_000_000).await.unwrap().len(), 10_000);
    drop(first);
    assert_eq!(budget.used(), 0);
    read(&client, large, 1_000_000).await.unwrap();
}

/// Guards against reading what is known to be too large.
#[tokio::test]
async fn a_body_with_too_large_a_length_is_refused_at_once() {
    let client = Client::new();
    let e = read(&client, start_server(300_000).await, 200_000).await.unwrap_err();
    assert!(matches!(e, SendError::BadResponse { .. }), "{e}");
}

/// Guards against a head without an end.
#[tokio::test]
async fn a_head_that_is_too_large_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1_024]).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nx-filler: ").await.unwrap();
        while stream.write_all(&[b'x'; 8_192]).await.is_ok() {}
    });
    let e = read(&Client::new(), address, 1_000).await.unwrap_err();
    assert!(matches!(e, SendError::NoResponse { .. }), "{e}");
}
