//! Generation IDs, from which any host can find the upstream and verify that a request comes with
//! the bearer key that started the generation.

use magnoliawinch::names::{ServiceName, UpstreamName, is_valid};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Length of the authentication tag.
const TAG_BYTES: usize = 8;

/// Identifies a generation: its service, its upstream, a nonce, and a tag over these and the digest
/// of the bearer key that started it. The tag cannot be computed without knowing that digest.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GenerationId {
    /// The service.
    pub service: ServiceName,
    /// Upstream that runs it.
    pub upstream: UpstreamName,
    /// Unique among generations.
    pub nonce: u64,
    tag: [u8; TAG_BYTES],
}

/// The text is not a valid generation ID.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("invalid generation ID \"{0}\"")]
pub struct InvalidGenerationId(String);

impl GenerationId {
    /// ID of a generation started with the bearer key of digest `key_digest`.
    pub fn new(
        service: &ServiceName,
        upstream: &UpstreamName,
        nonce: u64,
        key_digest: &str,
    ) -> Self {
        let tag = tag(service, upstream, nonce, key_digest);
        Self { service: service.clone(), upstream: upstream.clone(), nonce, tag }
    }

    /// Whether the generation was started with the bearer key of digest `key_digest`.
    pub fn is_started_with(&self, key_digest: &str) -> bool {
        self.tag == tag(&self.service, &self.upstream, self.nonce, key_digest)
    }
}

fn tag(
    service: &ServiceName,
    upstream: &UpstreamName,
    nonce: u64,
    key_digest: &str,
) -> [u8; TAG_BYTES] {
    let text = format!("{service}~{upstream}~{nonce:016x}~{key_digest}");
    let digest = Sha256::digest(text.as_bytes());
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    tag
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, upstream, nonce, tag } = self;
        write!(f, "{service}~{upstream}~{nonce:016x}~{}", hex::encode(tag))
    }
}

impl FromStr for GenerationId {
    type Err = InvalidGenerationId;

    fn from_str(text: &str) -> Result<Self, InvalidGenerationId> {
        parse(text).ok_or_else(|| InvalidGenerationId(text.to_owned()))
    }
}

fn parse(text: &str) -> Option<GenerationId> {
    let mut parts = text.split('~');
    let service = parts.next().filter(|name| is_valid(name))?;
    let upstream = parts.next().filter(|name| is_valid(name))?;
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    let mut tag = [0; TAG_BYTES];
    hex::decode_to_slice(parts.next()?, &mut tag).ok()?;
    let id = GenerationId {
        service: ServiceName::new(service),
        upstream: UpstreamName::new(upstream),
        nonce,
        tag,
    };
    parts.next().is_none().then_some(id)
}
