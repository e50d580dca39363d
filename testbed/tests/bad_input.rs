//! Each bad input gets its exact error.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use magnoliawinch_http::{Client, Reuse};
use magnoliawinch_testbed::deployment::{
    CLASSIFICATION, GUIDANCE, ORDER, ORGANISATIONS, PARTS, WALKTHROUGH, key_of,
};
use magnoliawinch_testbed::{Bed, BedOptions};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone)]
struct Case<'a> {
    name: &'a str,
    method: Method,
    path: String,
    key: Option<&'a str>,
    body: Vec<u8>,
    header: Option<(&'a str, &'a str)>,
}

async fn send(host: SocketAddr, case: &Case<'_>) -> String {
    let mut builder = Request::builder()
        .method(case.method.clone())
        .uri(case.path.as_str())
        .header("host", "magnoliawinch");
    if let Some(key) = case.key {
        builder = builder.header("authorization", format!("Bearer {key}"));
    }
    if let Some((name, value)) = case.header {
        builder = builder.header(name, value);
    }
    let req = builder.body(Full::new(Bytes::from(case.body.clone()))).expect("a request");
    let client = Client::new();
    let reply = client.send(host, req, Reuse::Never, Duration::from_secs(10)).await;
    let reply = reply.expect("an answer");
    let status = reply.status().as_u16();
    let body = reply.bytes(65_536).await.expect("a body");
    format!("{}: {status} {}", case.name, String::from_utf8_lossy(&body))
}

#[tokio::test]
async fn errors_name_what_is_wrong() {
    let bed = Bed::start(BedOptions::default()).await.expect("the testbed starts");
    let host = bed.caller_addresses()[0];
    let key = key_of(ORGANISATIONS[0]);
    let generation = format!("/v1/generations/{GUIDANCE}/{WALKTHROUGH}");
    let base = Case {
        name: "",
        method: Method::POST,
        path: generation.clone(),
        key: Some(&key),
        body: Vec::new(),
        header: None,
    };
    let large = vec![b'x'; 300_000];
    let foreign = "repair-guidance~guidance-0~0000000000000001~0011223344556677";
    let cases = [
        Case { name: "no key", key: None, ..base.clone() },
        Case { name: "wrong key", key: Some("guess"), ..base.clone() },
        Case { name: "no service", path: "/v1/generations/x/y".to_owned(), ..base.clone() },
        Case { name: "no kind", path: format!("/v1/generations/{GUIDANCE}/x"), ..base.clone() },
        Case {
            name: "plain service",
            path: format!("/v1/generations/{PARTS}/{ORDER}"),
            ..base.clone()
        },
        Case { name: "no path", path: "/v2/x".to_owned(), ..base.clone() },
        Case { name: "no JSON", body: b"{".to_vec(), ..base.clone() },
        Case {
            name: "unknown field",
            body: b"{\"prompt\":\"x\",\"n\":1}".to_vec(),
            ..base.clone()
        },
        Case { name: "too large", body: large, ..base.clone() },
        Case {
            name: "no idempotency key",
            path: format!("/v1/calls/{PARTS}/{ORDER}"),
            ..base.clone()
        },
        Case {
            name: "empty idempotency key",
            path: format!("/v1/calls/{PARTS}/{ORDER}"),
            header: Some(("idempotency-key", "")),
            ..base.clone()
        },
        Case {
            name: "another organisation's generation",
            method: Method::GET,
            path: format!("/v1/generations/{foreign}"),
            ..base.clone()
        },
        Case {
            name: "no generation id",
            method: Method::DELETE,
            path: "/v1/generations/x".to_owned(),
            ..base.clone()
        },
        Case {
            name: "whole kind",
            path: format!("/v1/generations/{GUIDANCE}/{CLASSIFICATION}"),
            ..base.clone()
        },
    ];
    let mut answers = Vec::new();
    for case in &cases {
        answers.push(send(host, case).await);
    }
    insta::assert_debug_snapshot!(answers);
}
