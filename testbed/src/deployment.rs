//! Service files for tests and demos.

use crate::testbed::TestbedOptions;
use magnoliawinch::service_file::key_digest;
use std::fmt::Write;
use std::net::SocketAddr;

/// The failure domain of the host or upstream with number `index`.
pub fn failure_domain(index: usize, options: &TestbedOptions) -> String {
    format!("domain-{}", index % options.failure_domains)
}

/// Organisations of the testbed.
pub const ORGANISATIONS: [&str; 3] = ["northside-facilities", "midtown-towers", "airport-doors"];

/// Name of the generation service.
pub const GENERATION_SERVICE: &str = "repair-guidance";

/// Kind of the generation service that is streamed.
pub const STREAM_KIND: &str = "walkthrough";

/// Kind of the generation service that is delivered whole.
pub const WHOLE_KIND: &str = "classification";

/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "parts-orders";

/// Kind of the plain service that is not idempotent.
pub const ORDER_KIND: &str = "order";

/// Kind of the plain service that is idempotent.
pub const STOCK_KIND: &str = "stock";

/// The bearer key of an organisation: its name followed by `-key`.
pub fn bearer_key(organisation: &str) -> String {
    format!("{organisation}-key")
}

fn write_organisations(text: &mut String, extra: usize) {
    let extra = (0..extra).map(|index| format!("organisation-{index}"));
    let all = ORGANISATIONS.iter().map(|name| (*name).to_owned()).chain(extra);
    for (index, organisation) in all.enumerate() {
        let share = ORGANISATIONS.len().saturating_sub(index).max(1);
        let digest = key_digest(&bearer_key(&organisation));
        let _ = write!(
            text,
            "\n[organisation {organisation}]\nshare = {share}\nkey_sha256 = {digest}\n"
        );
    }
}

/// The service file of the generation service, with one upstream per address.
pub fn generation_service_file(addresses: &[SocketAddr], options: &TestbedOptions) -> String {
    let memory_tokens = options.model.memory_tokens;
    let max_running = options.model.max_running;
    let mut text = format!(
        "[service]\nname = {GENERATION_SERVICE}\ntype = generation\n\n\
         [objective]\nstall = 3\ntail_latency = 3\npreemption = 1\n\n\
         [limits]\nqueue_length = 500\nsilence_ms = 1500\nfirst_token_ms = 5000\n\n\
         [kind {STREAM_KIND}]\nweight = 5\npriority = 5\ndelivery = stream\nidempotent = true\n\
         deadline_ms = 60000\n\n\
         [kind {WHOLE_KIND}]\nweight = 1\npriority = 7\ndelivery = whole\n\
         idempotent = true\ndeadline_ms = 30000\n"
    );
    write_organisations(&mut text, options.extra_organisations);
    for (index, address) in addresses.iter().enumerate() {
        let domain = failure_domain(index, options);
        let _ = write!(
            text,
            "\n[upstream guidance-{index}]\naddress = {address}\nfailure_domain = {domain}\n\
             memory_tokens = {memory_tokens}\nmax_running = {max_running}\n"
        );
    }
    text
}

/// The service file of the plain service, with one upstream per address.
pub fn plain_service_file(addresses: &[SocketAddr], options: &TestbedOptions) -> String {
    let mut text = format!(
        "[service]\nname = {PLAIN_SERVICE}\ntype = plain\n\n\
         [kind {ORDER_KIND}]\nweight = 10\nidempotent = false\ndeadline_ms = 10000\n\n\
         [kind {STOCK_KIND}]\nweight = 1\nidempotent = true\ndeadline_ms = 5000\n"
    );
    write_organisations(&mut text, options.extra_organisations);
    for (index, address) in addresses.iter().enumerate() {
        let domain = failure_domain(index, options);
        let _ = write!(
            text,
            "\n[upstream parts-{index}]\naddress = {address}\nfailure_domain = {domain}\n"
        );
    }
    text
}
