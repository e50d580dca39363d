//! Service files for tests and demos.

use crate::bed::BedOptions;
use magnoliawinch::service_file::key_digest;
use std::fmt::Write;
use std::net::SocketAddr;

/// The failure domain of a host or an upstream.
pub fn failure_domain(place: usize, options: &BedOptions) -> String {
    format!("domain-{}", place % options.failure_domains)
}

/// Organisations of the testbed; the bearer key of each is its name with `-key`.
pub const ORGANISATIONS: [&str; 3] = ["northside-facilities", "midtown-towers", "airport-doors"];

/// The generation service.
pub const GUIDANCE: &str = "repair-guidance";

/// The kind that streams.
pub const WALKTHROUGH: &str = "walkthrough";

/// The kind that is delivered whole.
pub const CLASSIFICATION: &str = "classification";

/// The plain service.
pub const PARTS: &str = "parts-orders";

/// The call that is not idempotent.
pub const ORDER: &str = "order";

/// The call that is idempotent.
pub const STOCK: &str = "stock";

/// The bearer key of an organisation.
pub fn key_of(organisation: &str) -> String {
    format!("{organisation}-key")
}

fn organisations(text: &mut String, more: usize) {
    let more = (0..more).map(|place| format!("organisation-{place}"));
    let all = ORGANISATIONS.iter().map(|name| (*name).to_owned()).chain(more);
    for (place, organisation) in all.enumerate() {
        let share = ORGANISATIONS.len().saturating_sub(place).max(1);
        let digest = key_digest(&key_of(&organisation));
        let _ = write!(
            text,
            "\n[organisation {organisation}]\nshare = {share}\nkey_sha256 = {digest}\n"
        );
    }
}

/// The service file of the generation service.
pub fn guidance_file(engines: &[SocketAddr], options: &BedOptions) -> String {
    let memory_tokens = options.model.memory_tokens;
    let max_running = options.model.max_running;
    let mut text = format!(
        "[service]\nname = {GUIDANCE}\ntype = generation\n\n\
         [objective]\nstall = 3\ntail_latency = 3\npreemption = 1\n\n\
         [limits]\nqueue_length = 500\nsilence_ms = 1500\nfirst_token_ms = 5000\n\n\
         [kind {WALKTHROUGH}]\nweight = 5\npriority = 5\ndelivery = stream\nidempotent = true\n\
         deadline_ms = 60000\n\n\
         [kind {CLASSIFICATION}]\nweight = 1\npriority = 7\ndelivery = whole\n\
         idempotent = true\ndeadline_ms = 30000\n"
    );
    organisations(&mut text, options.more_organisations);
    for (place, address) in engines.iter().enumerate() {
        let domain = failure_domain(place, options);
        let _ = write!(
            text,
            "\n[upstream guidance-{place}]\naddress = {address}\nfailure_domain = {domain}\n\
             memory_tokens = {memory_tokens}\nmax_running = {max_running}\n"
        );
    }
    text
}

/// The service file of the plain service.
pub fn parts_file(services: &[SocketAddr], options: &BedOptions) -> String {
    let mut text = format!(
        "[service]\nname = {PARTS}\ntype = plain\n\n\
         [kind {ORDER}]\nweight = 10\nidempotent = false\ndeadline_ms = 10000\n\n\
         [kind {STOCK}]\nweight = 1\nidempotent = true\ndeadline_ms = 5000\n"
    );
    organisations(&mut text, options.more_organisations);
    for (place, address) in services.iter().enumerate() {
        let domain = failure_domain(place, options);
        let _ = write!(
            text,
            "\n[upstream parts-{place}]\naddress = {address}\nfailure_domain = {domain}\n"
        );
    }
    text
}
