//! What a request that ran out of time says of whether it may have run.

use http_body_util::Full;
use hyper::Request;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::{Client, Reuse, SendError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

async fn send(address: SocketAddr, limit: Duration) -> SendError {
    let req = Request::builder().uri("/").body(Full::default()).unwrap();
    let client = Client::new().with_connect_timeout(CONNECT_TIMEOUT);
    client.send(address, req, Reuse::Never, limit).await.unwrap_err()
}

/// Guards against telling a caller that its request may have run when no connection was opened.
#[tokio::test]
async fn a_request_whose_connection_does_not_open_in_time_has_not_run() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    // Fills the listener's queue, so that no further connection opens.
    let mut held = Vec::new();
    while let Ok(stream) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        held.push(stream.unwrap());
    }
    for limit_ms in [300, 150] {
        let e = send(address, Duration::from_millis(limit_ms)).await;
        assert_eq!(e.verdict(), Verdict::NotRun, "{limit_ms} ms: {e}");
    }
}

#[tokio::test]
async fn a_request_without_a_response_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let e = send(listener.local_addr().unwrap(), Duration::from_millis(150)).await;
    assert_eq!(e.verdict(), Verdict::MayHaveRun, "{e}");
}
