//! The platform's store: keyed topics with one partition.

use crate::http::{Message, respond, serve};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

type Records = Vec<(Vec<u8>, Vec<u8>)>;

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<HashMap<String, Records>>>,
}

impl Store {
    /// Starts a store; returns it with its address.
    pub fn start() -> io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        let own = store.clone();
        let address = serve(move |stream, request| own.handle(stream, &request))?;
        Ok((store, address))
    }

    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
    }

    fn handle(&self, stream: &mut TcpStream, request: &Message) -> io::Result<bool> {
        // An answer takes 4 ms.
        sleep(Duration::from_millis(4));
        let topic = request.query("topic").unwrap_or_default();
        let json = [("content-type", "application/json")];
        match request.path() {
            "/log-newest" => {
                let body = self.newest(&topic);
                respond(stream, "200 OK", &json, body.as_bytes())?;
            }
            "/log-read" => {
                let number =
                    |name| request.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                match self.read(&topic, number("from") as usize, number("waitMs")) {
                    Some(body) => respond(stream, "200 OK", &[], &body)?,
                    None => respond(stream, "410 Gone", &json, b"{\"firstOffset\":0}")?,
                }
            }
            "/log-append" => {
                let end = self.append(&topic, &request.body);
                let body = format!("{{\"offset\":{},\"endOffset\":{end}}}", end.saturating_sub(1));
                respond(stream, "200 OK", &json, body.as_bytes())?;
            }
            _ => respond(stream, "404 Not Found", &[], b"")?,
        }
        Ok(true)
    }

    /// The newest record of each key; these topics are small, so one page has all.
    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.lock().unwrap();
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut latest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            latest.insert(key, (value, offset));
        }
        let items = latest.iter().filter(|(_, (value, _))| !value.is_empty()).map(
            |(key, (value, offset))| {
                let key = String::from_utf8_lossy(key);
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            },
        );
        let items: Vec<_> = items.collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"endOffset\":{}}}",
            items.join(","),
            records.len()
        )
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Option<Vec<u8>> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let topics = self.topics.lock().unwrap();
                let empty = Vec::new();
                let records = topics.get(topic).unwrap_or(&empty);
                if records.len() < from {
                    return None;
                }
                if records.len() > from || Instant::now() >= until {
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend(0_u64.to_be_bytes());
                    for (key, value) in &records[from..] {
                        body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend(key);
                        body.extend(value);
                    }
                    return Some(body);
                }
            }
            sleep(Duration::from_millis(3));
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> usize {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        while body.len() >= 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let Some(record) = body.get(4..4 + length) else {
                break;
            };
            let key_length = usize::from(record[0]);
            records.push((record[1..1 + key_length].to_vec(), record[1 + key_length..].to_vec()));
            body = &body[4 + length..];
        }
        records.len()
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for n in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * n)) as usize & 63];
            text.push(if n <= group.len() { char::from(letter) } else { '=' });
        }
    }
    text
}
