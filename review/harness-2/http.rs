//! A small HTTP/1.1 server and client on blocking sockets, for stand-ins. Standard library only.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The head of a message, and its body if it has a length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decoded(value))
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn decoded(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let hex = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads a head; `None` if the peer closed the connection before its first byte.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte)? {
            0 if head.is_empty() => return Ok(None),
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            _ => head.push(byte[0]),
        }
    }
    // Bytes of other encodings are kept one by one.
    let text: String = head.iter().map(|byte| char::from(*byte)).collect();
    let mut lines = text.lines();
    let first = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
    Ok(Some(Message { first, headers, body: Vec::new() }))
}

/// Reads a request with its body.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream)? else {
        return Ok(None);
    };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}

/// The next chunk of a body; empty at its marked end.
pub fn read_chunk(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        line.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&line);
    let length = usize::from_str_radix(text.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
    let mut data = vec![0; length + 2];
    stream.read_exact(&mut data)?;
    data.truncate(length);
    Ok(data)
}

/// Whether the peer has closed the connection. Nothing else is expected from it.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// Serves connections, each on a thread of its own, as long as the process runs. `handle` returns whether
/// the connection is kept.
pub fn serve<H>(handle: H) -> io::Result<SocketAddr>
where
    H: Fn(&mut TcpStream, Message) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    serve_on(listener, handle);
    Ok(address)
}

/// The listener of a server, which can stop accepting channels and can be closed.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    listener: Arc<Mutex<Option<TcpListener>>>,
    stops: Arc<AtomicBool>,
}

impl Gate {
    /// Accepts no more channels. The queue of new ones is full; further ones are not opened.
    pub fn stop_accepting(&self) -> io::Result<Vec<TcpStream>> {
        let locked = self.listener.lock().unwrap();
        let Some(listener) = &*locked else {
            return Ok(Vec::new());
        };
        self.stops.store(true, Ordering::SeqCst);
        // SAFETY: the descriptor is that of a listener, which is open.
        unsafe { listen(listener.as_raw_fd(), 0) };
        let address = listener.local_addr()?;
        let mut waiting = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(8)) {
            waiting.push(stream);
        }
        Ok(waiting)
    }

    /// Closes the listener.
    pub fn close(&self) {
        self.stops.store(true, Ordering::SeqCst);
        *self.listener.lock().unwrap() = None;
    }
}

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

/// Like [`serve`], until the gate is closed.
pub fn serve_gated<H>(gate: &Gate, handle: H) -> io::Result<SocketAddr>
where
    H: Fn(&mut TcpStream, Message) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    *gate.listener.lock().unwrap() = Some(listener);
    let (handle, gate) = (Arc::new(handle), gate.clone());
    thread::spawn(move || {
        while !gate.stops.load(Ordering::SeqCst) {
            let accepted = {
                let locked = gate.listener.lock().unwrap();
                // Not accepted since the gate has stopped meanwhile.
                match &*locked {
                    Some(listener) if !gate.stops.load(Ordering::SeqCst) => listener.accept(),
                    _ => break,
                }
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    serve_connection(stream, Arc::clone(&handle));
                }
                Err(_) => thread::sleep(Duration::from_micros(500)),
            }
        }
    });
    Ok(address)
}

fn serve_connection<H>(stream: TcpStream, handle: Arc<H>)
where
    H: Fn(&mut TcpStream, Message) -> io::Result<bool> + Send + Sync + 'static,
{
    thread::spawn(move || {
        let mut stream = stream;
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = read_request(&mut stream) {
            if !matches!(handle(&mut stream, request), Ok(true)) {
                break;
            }
        }
    });
}

pub fn serve_on<H>(listener: TcpListener, handle: H)
where
    H: Fn(&mut TcpStream, Message) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                while let Ok(Some(request)) = read_request(&mut stream) {
                    if !matches!(handle(&mut stream, request), Ok(true)) {
                        break;
                    }
                }
            });
        }
    });
}

/// Sends a request over a new connection; returns the connection and the head of the response.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<(TcpStream, Message)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let head = read_head(&mut stream)?.ok_or(ErrorKind::UnexpectedEof)?;
    Ok((stream, head))
}

/// Reads the body of a response; the flag tells whether its end was marked.
pub fn read_body(stream: &mut TcpStream, head: &Message) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if let Some(length) = head.header("content-length").and_then(|text| text.parse().ok()) {
        body.resize(length, 0);
        let is_whole = stream.read_exact(&mut body).is_ok();
        return (body, is_whole);
    }
    loop {
        match read_chunk(stream) {
            Ok(data) if data.is_empty() => return (body, true),
            Ok(data) => body.extend(data),
            Err(_) => return (body, false),
        }
    }
}
