//! Servers of a plain service.

use crate::http::{Message, respond, serve};
use crate::site::Record;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Work of a request.
const WORK_TIME: Duration = Duration::from_millis(30);

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Ran {
    pub attempt: String,
    pub server: String,
}

#[derive(Default)]
struct State {
    ran: Vec<Ran>,
    /// A server that fails one of so many requests with 503 after it has run them.
    failing: Option<(String, usize)>,
}

#[derive(Clone)]
pub struct Servers {
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
}

impl Servers {
    pub fn new(record: Arc<Record>) -> Self {
        Self { state: Arc::default(), record }
    }

    pub fn add(&self, name: &str) -> io::Result<SocketAddr> {
        let (own, name) = (self.clone(), name.to_owned());
        serve(move |stream, request| own.handle(&name, stream, &request))
    }

    pub fn fail(&self, server: &str, one_of: usize) {
        self.state.lock().unwrap().failing = Some((server.to_owned(), one_of));
    }

    /// The server that has run most requests.
    pub fn busiest(&self) -> String {
        let ran = self.ran();
        let count = |server: &&String| ran.iter().filter(|other| other.server == **server).count();
        ran.iter().map(|ran| &ran.server).max_by_key(count).cloned().unwrap_or_default()
    }

    pub fn ran(&self) -> Vec<Ran> {
        self.state.lock().unwrap().ran.clone()
    }

    fn handle(&self, name: &str, stream: &mut TcpStream, request: &Message) -> io::Result<bool> {
        let attempt = request.header("attempt-id").unwrap_or_default();
        let own = [("attempt-id", attempt), ("instance-id", name), ("instance-load", "1,0,6")];
        if request.path() == "/healthz" {
            respond(stream, "200 OK", &own[1..], b"")?;
            return Ok(true);
        }
        if request.header("expect-instance").is_some_and(|expected| expected != name) {
            let refused = [own[0], own[1], ("not-executed", "1")];
            respond(stream, "421 Misdirected Request", &refused, b"")?;
            return Ok(true);
        }
        let fails = {
            let mut state = self.state.lock().unwrap();
            state.ran.push(Ran { attempt: attempt.to_owned(), server: name.to_owned() });
            let count = state.ran.iter().filter(|ran| ran.server == name).count();
            state
                .failing
                .as_ref()
                .is_some_and(|(server, one_of)| server == name && count % one_of == 0)
        };
        sleep(WORK_TIME);
        let status = if fails { "503 Service Unavailable" } else { "200 OK" };
        self.record.note(&format!("{name} ran {attempt} and answers {status}"));
        let sealed = [own[0], own[1], own[2], ("response-seal", "3e1b.07")];
        let body = format!("{name} did {attempt}");
        respond(stream, status, &sealed, body.as_bytes())?;
        Ok(true)
    }
}
