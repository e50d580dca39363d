//! The host that a caller sends to, of those that the directory listed.

use std::net::SocketAddr;

/// Hosts known to a caller, and the one that it uses.
#[derive(Clone, Debug)]
pub struct HostChoice {
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    index: usize,
    /// The host that failed or refused last; skipped while another is known, as the directory may
    /// list a killed host for some seconds.
    rejected: Option<SocketAddr>,
}

impl HostChoice {
    /// A choice among `seeds`, which must not be empty, until the directory has responded; starts
    /// with the one at `index`.
    pub fn new(seeds: &[SocketAddr], index: usize) -> Self {
        Self { seeds: seeds.to_vec(), listed: Vec::new(), index, rejected: None }
    }

    /// The host to send to.
    pub fn selected(&self) -> SocketAddr {
        let known = if self.listed.is_empty() { &self.seeds } else { &self.listed };
        let in_order = (0..known.len()).map(|step| known[(self.index + step) % known.len()]);
        let mut usable = in_order.filter(|host| Some(*host) != self.rejected);
        usable.next().unwrap_or(known[self.index % known.len()])
    }

    /// Selects another host after the current one failed or refused.
    pub fn select_next(&mut self) {
        self.rejected = Some(self.selected());
        self.index += 1;
    }

    /// Hosts to ask for a new list, in order.
    pub fn to_ask(&self) -> Vec<SocketAddr> {
        let all: Vec<_> = self.listed.iter().chain(&self.seeds).copied().collect();
        (0..all.len()).map(|step| all[(self.index + step) % all.len()]).collect()
    }

    /// Replaces the listed hosts.
    pub fn refresh(&mut self, listed: Vec<SocketAddr>) {
        (self.listed, self.index) = (listed, 0);
    }
}
