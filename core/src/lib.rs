//! Decision logic of magnoliawinch, a serving system for LLM generations of unknown length.
//!
//! Each decision is a deterministic state machine without I/O: time and random numbers are
//! arguments. Daemons, tests and experiments run the same code.

pub mod admission;
pub mod announced_versions;
pub mod balance;
pub mod capacity;
pub mod catalogue;
pub mod cells;
pub mod crash_detection;
pub mod decision;
pub mod delivery;
pub mod directory;
pub mod dissemination;
pub mod estimate;
pub mod evacuations;
mod failure_rate;
pub mod fatal_parts;
pub mod fleet;
pub mod handover;
pub mod ini;
pub mod leaving_news;
pub mod ledger;
pub mod membership;
pub mod names;
pub mod ownership;
pub mod placement;
pub mod planned_stop;
pub mod pool;
pub mod prompt_parts;
pub mod quarantine;
pub mod reachability;
pub mod rendezvous;
pub mod response;
pub mod retry;
pub mod route_table;
pub mod routing;
pub mod run_starts;
pub mod server_model;
pub mod service_file;
pub mod service_paths;
pub mod settings;
pub mod shares;
pub mod store_position;
pub mod time;
pub mod upstream_limits;
pub mod upstream_notices;
pub mod upstreams;
pub mod verdict;
