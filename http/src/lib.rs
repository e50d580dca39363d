//! HTTP/1.1 as every package uses it: connections that say whether a request may have run, and a
//! server with bounds.

pub mod client;
pub mod lines;
pub mod server;

pub use client::{Client, Reply, Reuse, SendError};
pub use lines::JsonLines;
pub use server::{
    Body, BodyAborted, ServerLimits, Shutdown, full_body, json_response, serve, serve_within,
};
