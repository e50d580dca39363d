//! Tests the exact error for each kind of invalid request.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use magnoliawinch_http::{Client, Reuse};
use magnoliawinch_testbed::deployment::{
    GENERATION_SERVICE, ORDER_KIND, ORGANISATIONS, PLAIN_SERVICE, STREAM_KIND, WHOLE_KIND,
    bearer_key,
};
use magnoliawinch_testbed::{Testbed, TestbedOptions};
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
    let request = builder.body(Full::new(Bytes::from(case.body.clone()))).expect("a request");
    let client = Client::new();
    let response = client.send(host, request, Reuse::Never, Duration::from_secs(10)).await;
    let response = response.expect("a response");
    let status = response.status().as_u16();
    let body = response.bytes(65_536).await.expect("a body");
    format!("{}: {status} {}", case.name, String::from_utf8_lossy(&body))
}

#[tokio::test]
async fn each_invalid_request_gets_its_specific_error() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("the testbed starts");
    let host = testbed.caller_addresses()[0];
    let key = bearer_key(ORGANISATIONS[0]);
    let path = format!("/v1/generations/{GENERATION_SERVICE}/{STREAM_KIND}");
    let base = Case {
        name: "",
        method: Method::POST,
        path: path.clone(),
        key: Some(&key),
        body: Vec::new(),
        header: None,
    };
    let oversized = vec![b'x'; 300_000];
    let other_generation = "repair-guidance~guidance-0~0000000000000001~0011223344556677";
    let cases = [
        Case { name: "no key", key: None, ..base.clone() },
        Case { name: "wrong key", key: Some("guess"), ..base.clone() },
        Case { name: "unknown service", path: "/v1/generations/x/y".to_owned(), ..base.clone() },
        Case {
            name: "unknown kind",
            path: format!("/v1/generations/{GENERATION_SERVICE}/x"),
            ..base.clone()
        },
        Case {
            name: "plain service",
            path: format!("/v1/generations/{PLAIN_SERVICE}/{ORDER_KIND}"),
            ..base.clone()
        },
        Case { name: "unknown path", path: "/v2/x".to_owned(), ..base.clone() },
        Case { name: "invalid JSON", body: b"{".to_vec(), ..base.clone() },
        Case {
            name: "unknown field",
            body: b"{\"prompt\":\"x\",\"n\":1}".to_vec(),
            ..base.clone()
        },
        Case { name: "too large", body: oversized, ..base.clone() },
        Case {
            name: "no idempotency key",
            path: format!("/v1/calls/{PLAIN_SERVICE}/{ORDER_KIND}"),
            ..base.clone()
        },
        Case {
            name: "empty idempotency key",
            path: format!("/v1/calls/{PLAIN_SERVICE}/{ORDER_KIND}"),
            header: Some(("idempotency-key", "")),
            ..base.clone()
        },
        Case {
            name: "another organisation's generation",
            method: Method::GET,
            path: format!("/v1/generations/{other_generation}"),
            ..base.clone()
        },
        Case {
            name: "malformed generation id",
            method: Method::DELETE,
            path: "/v1/generations/x".to_owned(),
            ..base.clone()
        },
        Case {
            name: "empty body for a whole kind",
            path: format!("/v1/generations/{GENERATION_SERVICE}/{WHOLE_KIND}"),
            ..base.clone()
        },
    ];
    let mut responses = Vec::new();
    for case in &cases {
        responses.push(send(host, case).await);
    }
    insta::assert_debug_snapshot!(responses);
}
