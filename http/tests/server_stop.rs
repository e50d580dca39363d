//! What callers see of a server that stops. The sockets of callers block, so that the order of their
//! writes and of the server's steps is known: all tests run on one thread.

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use magnoliawinch_http::{Body, ServerLimits, full_body, serve};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::{sleep, timeout};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";

/// Time in which a server without requests has to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which a caller has to get what it waits for.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

struct TestServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl TestServer {
    async fn start(limits: ServerLimits, response_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, limits, stopped, move |req| async move {
            sleep(response_time).await;
            respond(&req)
        }));
        // The server accepts from now on.
        sleep(Duration::from_millis(20)).await;
        Self { address, stop, task }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream
    }

    async fn assert_stops(self) {
        timeout(STOP_TIMEOUT, self.task).await.expect("the server stops").unwrap();
    }
}

fn respond(req: &Request<Incoming>) -> Response<Body> {
    let mut response = Response::new(full_body(req.uri().path().to_owned()));
    *response.status_mut() = StatusCode::OK;
    response
}

/// Reads one response, whose body is the request's path.
async fn read_response(mut stream: TcpStream, path: &str) -> (String, TcpStream) {
    let end = format!("\r\n\r\n{path}");
    let read = spawn_blocking(move || {
        let mut text = Vec::new();
        let mut byte = [0];
        while !text.ends_with(end.as_bytes()) {
            match stream.read(&mut byte) {
                Ok(1) => text.push(byte[0]),
                Ok(_) => panic!("the connection ended after {text:?}"),
                Err(e) => panic!("the connection failed after {text:?}: {e}"),
            }
        }
        (String::from_utf8(text).unwrap(), stream)
    });
    read.await.unwrap()
}

/// Asserts that the server closes the connection without a reset.
async fn assert_closed(mut stream: TcpStream) {
    let end = spawn_blocking(move || stream.read(&mut [0])).await.unwrap();
    assert_eq!(end.map_err(|e| e.kind()), Ok(0));
}

/// Guards against a stop that is not noticed while the connection limit is reached.
#[tokio::test]
async fn a_server_at_its_connection_limit_stops() {
    let limits = ServerLimits { max_connections: 1, ..ServerLimits::default() };
    let server = TestServer::start(limits, Duration::ZERO).await;
    let mut stream = server.connect();
    stream.write_all(REQUEST).unwrap();
    let (_, stream) = read_response(stream, "/").await;
    server.stop.send(true).unwrap();
    assert_closed(stream).await;
    server.assert_stops().await;
}

/// Guards against a stop that waits for callers to close connections without requests.
#[tokio::test]
async fn idle_connections_are_closed_at_once() {
    let server = TestServer::start(ServerLimits::default(), Duration::ZERO).await;
    let idle = server.connect();
    let mut used = server.connect();
    used.write_all(REQUEST).unwrap();
    let (_, used) = read_response(used, "/").await;
    server.stop.send(true).unwrap();
    // Their callers do not close them.
    timeout(Duration::from_millis(100), server.task).await.expect("the server stops").unwrap();
    assert_closed(idle).await;
    assert_closed(used).await;
}

/// Guards against a reset of a kept connection with a request that the server has not read yet.
#[tokio::test]
async fn a_request_that_arrived_on_a_kept_connection_is_answered() {
    let server = TestServer::start(ServerLimits::default(), Duration::from_millis(50)).await;
    let mut stream = server.connect();
    stream.write_all(REQUEST).unwrap();
    let (_, mut stream) = read_response(stream, "/").await;
    stream
        .write_all(b"POST /second HTTP/1.1\r\nhost: test\r\ncontent-length: 2\r\n\r\nab")
        .unwrap();
    server.stop.send(true).unwrap();
    let (head, stream) = read_response(stream, "/second").await;
    assert!(head.contains("connection: close"), "{head}");
    assert_closed(stream).await;
    server.assert_stops().await;
}

/// Guards against closing a kept connection in the middle of a request's head.
#[tokio::test]
async fn a_request_of_which_a_part_was_read_is_answered() {
    let server = TestServer::start(ServerLimits::default(), Duration::ZERO).await;
    let mut stream = server.connect();
    stream.write_all(REQUEST).unwrap();
    let (_, mut stream) = read_response(stream, "/").await;
    let (start, end) = REQUEST.split_at(10);
    stream.write_all(start).unwrap();
    sleep(Duration::from_millis(50)).await;
    server.stop.send(true).unwrap();
    sleep(Duration::from_millis(50)).await;
    stream.write_all(end).unwrap();
    let (_, stream) = read_response(stream, "/").await;
    assert_closed(stream).await;
    server.assert_stops().await;
}

/// Guards against a stop that waits for a caller that never completes its request's head.
#[tokio::test]
async fn a_request_that_is_never_complete_does_not_hold_up_the_stop() {
    let server = TestServer::start(ServerLimits::default(), Duration::ZERO).await;
    let mut stream = server.connect();
    stream.write_all(&REQUEST[..10]).unwrap();
    sleep(Duration::from_millis(50)).await;
    server.stop.send(true).unwrap();
    server.assert_stops().await;
}

/// Guards against a reset of connections that the server has not accepted when it stops.
#[tokio::test]
async fn requests_of_connections_not_yet_accepted_are_answered() {
    let server = TestServer::start(ServerLimits::default(), Duration::from_millis(50)).await;
    let mut streams: Vec<_> = (0..20).map(|_| server.connect()).collect();
    for stream in &mut streams {
        stream.write_all(REQUEST).unwrap();
    }
    server.stop.send(true).unwrap();
    for stream in streams {
        let (head, stream) = read_response(stream, "/").await;
        assert!(head.contains("connection: close"), "{head}");
        assert_closed(stream).await;
    }
    server.assert_stops().await;
}

/// Guards against a reset of connections that wait for others to end when the server stops.
#[tokio::test]
async fn requests_of_connections_beyond_the_limit_are_answered() {
    let limits = ServerLimits { max_connections: 1, ..ServerLimits::default() };
    let server = TestServer::start(limits, Duration::from_millis(50)).await;
    let mut first = server.connect();
    first.write_all(REQUEST).unwrap();
    let (_, first) = read_response(first, "/").await;
    let mut second = server.connect();
    second.write_all(REQUEST).unwrap();
    sleep(Duration::from_millis(50)).await;
    server.stop.send(true).unwrap();
    let (_, second) = read_response(second, "/").await;
    assert_closed(first).await;
    assert_closed(second).await;
    server.assert_stops().await;
}

/// Guards against a stop that waits for ever for a caller that does not read its response.
#[tokio::test(start_paused = true)]
async fn a_caller_that_never_reads_its_response_does_not_hold_up_the_stop() {
    const RESPONSE_BYTES: usize = 50_000_000;
    const MAX_STALL: Duration = Duration::from_secs(60);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.write_all(REQUEST).unwrap();
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(serve(listener, ServerLimits::default(), stopped, |_| async {
        Response::new(full_body(vec![b'x'; RESPONSE_BYTES]))
    }));
    sleep(Duration::from_millis(50)).await;
    stop.send(true).unwrap();
    timeout(MAX_STALL, task).await.expect("the server stops").unwrap();
}

/// Guards against a stop that cuts a response that its caller reads slowly.
#[tokio::test]
async fn a_response_that_is_read_slowly_is_written_whole() {
    const RESPONSE_BYTES: usize = 20_000_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.write_all(REQUEST).unwrap();
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(serve(listener, ServerLimits::default(), stopped, |_| async {
        Response::new(full_body(vec![b'x'; RESPONSE_BYTES]))
    }));
    sleep(Duration::from_millis(100)).await;
    stop.send(true).unwrap();
    let read = spawn_blocking(move || {
        const READ_BYTES: usize = 1_000_000;
        let mut buf = vec![0; READ_BYTES];
        let mut length = 0;
        loop {
            std::thread::sleep(Duration::from_millis(10));
            match stream.read(&mut buf) {
                Ok(0) => return length,
                Ok(count) => length += buf[..count].iter().filter(|byte| **byte == b'x').count(),
                Err(e) => panic!("the connection failed after {length} bytes: {e}"),
            }
        }
    });
    assert_eq!(read.await.unwrap(), RESPONSE_BYTES);
    timeout(STOP_TIMEOUT, task).await.expect("the server stops").unwrap();
}
