//! Responses to requests whose bodies are not read.

use http_body_util::Full;
use hyper::Response;
use magnoliawinch_http::{ServerLimits, serve};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::timeout;

/// Time in which a caller has to get what it waits for.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause of a caller between two pieces of its body.
const PAUSE: Duration = Duration::from_millis(10);

const PIECE: [u8; 4_096] = [b'x'; 4_096];

const PIECES: usize = 10;

/// Connects to a server that never reads bodies and responds with `response_bytes`.
async fn connect(response_bytes: usize) -> (TcpStream, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, ServerLimits::default(), stopped, move |_| async move {
        Response::new(Full::from(vec![b'y'; response_bytes]))
    }));
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    (stream, stop)
}

fn write_head(stream: &mut TcpStream) {
    let length = PIECE.len() * PIECES;
    let head = format!("POST / HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
}

fn write_body(stream: &mut TcpStream) {
    for piece in 0..PIECES {
        sleep(PAUSE);
        if let Err(e) = stream.write_all(&PIECE) {
            panic!("piece {piece} of the body was not taken: {e}");
        }
    }
}

/// Reads to the end of the connection and returns the length of the response's body.
fn read_body_length(stream: &mut TcpStream) -> usize {
    let mut response = Vec::new();
    if let Err(e) = stream.read_to_end(&mut response) {
        panic!("the connection failed after {} bytes: {e}", response.len());
    }
    assert!(response.starts_with(b"HTTP/1.1 200 OK\r\n"));
    response.iter().filter(|byte| **byte == b'y').count()
}

/// Guards against a reset by unread bytes, which may destroy a refusal before its caller reads it.
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_still_sends_its_body() {
    let (mut stream, _stop) = connect(100).await;
    let length = spawn_blocking(move || {
        write_head(&mut stream);
        write_body(&mut stream);
        read_body_length(&mut stream)
    });
    assert_eq!(length.await.unwrap(), 100);
}

/// Guards against a reset when the server stops between a refusal and the end of the refused body.
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_sends_its_body_while_the_server_stops() {
    let (mut stream, stop) = connect(100).await;
    let length = spawn_blocking(move || {
        write_head(&mut stream);
        write_body(&mut stream);
        read_body_length(&mut stream)
    });
    tokio::time::sleep(PAUSE * 5).await;
    stop.send(true).unwrap();
    assert_eq!(length.await.unwrap(), 100);
}

/// Guards against a close before the whole response has been written.
#[tokio::test]
async fn a_long_response_reaches_a_slow_caller_whose_body_was_not_read() {
    const RESPONSE_BYTES: usize = 20_000_000;
    let (mut stream, _stop) = connect(RESPONSE_BYTES).await;
    let length = spawn_blocking(move || {
        write_head(&mut stream);
        stream.write_all(&PIECE).unwrap();
        sleep(Duration::from_millis(300));
        read_body_length(&mut stream)
    });
    assert_eq!(length.await.unwrap(), RESPONSE_BYTES);
}

/// Guards against draining without an end.
#[tokio::test]
async fn a_refused_body_without_an_end_is_given_up() {
    let (mut stream, _stop) = connect(100).await;
    let e = spawn_blocking(move || {
        let head = b"POST / HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).unwrap();
        loop {
            if let Err(e) = stream.write_all(b"1\r\nx\r\n") {
                return e;
            }
            sleep(PAUSE);
        }
    });
    let e = timeout(READ_TIMEOUT, e).await.expect("the server gives up").unwrap();
    assert!(matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{e}");
}

/// Guards against a reset that cuts a response which is being written when the server stops, while its
/// caller still sends the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_response_to_a_caller_that_still_sends_outlasts_the_stop() {
    const RESPONSE_BYTES: usize = 20_000_000;
    let (mut stream, stop) = connect(RESPONSE_BYTES).await;
    let mut writer = stream.try_clone().unwrap();
    let head = "POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 3000000\r\n\r\n";
    writer.write_all(head.as_bytes()).unwrap();
    sleep(PAUSE * 10);
    stop.send(true).unwrap();
    let write = spawn_blocking(move || {
        for _ in 0..300 {
            if writer.write_all(&PIECE).is_err() {
                break;
            }
            sleep(PAUSE);
        }
    });
    let read = spawn_blocking(move || {
        let (mut received, mut buf) = (0, vec![0; 100_000]);
        while let Ok(count @ 1..) = stream.read(&mut buf) {
            received += buf[..count].iter().filter(|byte| **byte == b'y').count();
            sleep(PAUSE / 2);
        }
        received
    });
    let received = timeout(READ_TIMEOUT * 4, read).await.expect("the response ends").unwrap();
    assert_eq!(received, RESPONSE_BYTES);
    write.await.unwrap();
}
