//! Tests that the commands in docs/CALLERS.md work as written.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use magnoliawinch_caller::sse::{Event, EventParser};
use magnoliawinch_http::{Client, Reuse};
use magnoliawinch_testbed::deployment::{ORGANISATIONS, bearer_key};
use magnoliawinch_testbed::{Testbed, TestbedOptions};
use std::net::SocketAddr;
use std::time::Duration;

const CALLERS_PAGE: &str = include_str!("../../docs/CALLERS.md");

/// Splits a command into words, without quotes.
fn shell_words(command: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut quote = None;
    for c in command.chars() {
        match (quote, c) {
            (Some(opening), c) if c == opening => quote = None,
            (None, '\'' | '"') => quote = Some(c),
            (None, c) if c.is_whitespace() => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            (_, c) => word.push(c),
        }
    }
    words.push(word);
    words
}

/// The curl commands in the page's indented blocks, with continued lines joined.
fn curl_commands() -> Vec<String> {
    let mut commands: Vec<String> = Vec::new();
    let mut is_continued = false;
    for line in CALLERS_PAGE.lines() {
        let text = line.trim();
        let is_start = line.starts_with("    curl ");
        if !is_start && !is_continued {
            continue;
        }
        let part = text.trim_end_matches('\\').trim();
        match is_continued {
            true => commands.last_mut().expect("an open command").push_str(&format!(" {part}")),
            false => commands.push(part.to_owned()),
        }
        is_continued = text.ends_with('\\');
    }
    commands
}

async fn run_curl(command: &str, host: SocketAddr) -> (u16, Bytes) {
    let mut builder = Request::builder().header("host", "magnoliawinch");
    let (mut method, mut body) = (Method::GET, String::new());
    let mut words = shell_words(command).into_iter().skip(1);
    while let Some(word) = words.next() {
        let mut value = || words.next().expect("the option has a value");
        match word.as_str() {
            "-H" => {
                let header = value();
                let (name, value) = header.split_once(": ").expect("a header has a value");
                builder = builder.header(name, value);
            }
            "-d" => {
                body = value();
                method = Method::POST;
            }
            "-s" | "-sN" => {}
            url => {
                let path = url.split_once("//").and_then(|(_, rest)| rest.split_once('/'));
                let path = path.map_or_else(String::new, |(_, path)| format!("/{path}"));
                builder = builder.uri(path);
            }
        }
    }
    let req = builder.method(method).body(Full::new(Bytes::from(body))).expect("a request");
    let client = Client::new();
    let response = client.send(host, req, Reuse::Never, Duration::from_secs(10)).await;
    let response = response.expect("a response");
    let status = response.status().as_u16();
    (status, response.bytes(1_048_576).await.expect("a body"))
}

#[tokio::test]
async fn documented_commands_work() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("the testbed starts");
    let host = testbed.caller_addresses()[0];
    let key = bearer_key(ORGANISATIONS[0]);
    let (mut generation, mut last_event_id) = (String::new(), String::new());
    let commands = curl_commands();
    assert_eq!(commands.len(), 4, "{commands:#?}");
    for command in commands {
        let command = command
            .replace("$KEY", &key)
            .replace("$HOST", &host.to_string())
            .replace("$GENERATION", &generation)
            .replace("$LAST", &last_event_id);
        let (status, body) = run_curl(&command, host).await;
        assert_eq!(status, 200, "{command}: {}", String::from_utf8_lossy(&body));
        let mut parser = EventParser::new();
        parser.push(&body);
        if let Some(Event::Token { id, .. }) = parser.next_event() {
            let (generation_id, _) = id.rsplit_once('.').expect("an event id has an index");
            generation = generation_id.to_owned();
            last_event_id = id;
        }
    }
    assert!(!generation.is_empty(), "a generation was streamed");
}
