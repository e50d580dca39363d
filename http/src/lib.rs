//! HTTP/1.1 for all packages: a client whose errors tell whether a request may have run, and a
//! server with limits.

pub mod body_budget;
mod caller_stream;
pub mod client;
pub mod lines;
pub mod path_faults;
pub mod server;

pub use body_budget::{BodyBudget, BudgetExceeded, BudgetShare, BufferedBody};
pub use client::{BodyLimits, Client, ClientResponse, Reuse, SendError};
pub use lines::JsonLines;
pub use path_faults::{PathFault, PathFaults};
pub use server::{
    Body, BodyAborted, ServerLimits, Shutdown, full_body, json_response, serve, serve_with_limits,
};
