//! The form in which daemons send configurations to each other, and the bodies that this daemon has.

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use magnoliawinch::dissemination::{BodyId, CHUNK_BYTES, TransferSlots};
use magnoliawinch::route_table::Configuration;
use magnoliawinch::time::{Millis, Time};
use std::io::{self, BufWriter, Read, Write};
use thiserror::Error;

/// Maximum size of a decompressed body, in bytes.
const MAX_JSON_BYTES: u64 = 16_777_216;

/// Buffer between the serializer and the compressor, in bytes.
const ENCODE_BUFFER_BYTES: usize = 16_384;

/// Bodies kept for followers that are fetching them, beyond the one in force.
const MAX_FORMER_BODIES: usize = 3;

/// Time after its last use for which a former body is kept.
const FORMER_BODY_PERIOD: Millis = Millis(5_000);

/// A configuration as it is sent.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationBody {
    pub(crate) id: BodyId,
    pub(crate) bytes: Bytes,
}

/// Why a body is not a configuration.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The body cannot be decompressed.
    #[error("cannot decompress: {0}")]
    Compression(#[from] io::Error),
    /// The decompressed body is no configuration.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The decompressed body is too large.
    #[error("larger than {MAX_JSON_BYTES} bytes")]
    TooLarge,
    /// The body holds another version than announced.
    #[error("holds version {0}")]
    OtherVersion(u64),
}

impl ConfigurationBody {
    /// Serializes and compresses `configuration`.
    pub(crate) fn encode(configuration: &Configuration) -> Result<Self, BodyError> {
        let encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        let mut writer = BufWriter::with_capacity(ENCODE_BUFFER_BYTES, encoder);
        serde_json::to_writer(&mut writer, configuration)?;
        writer.flush()?;
        let encoder = writer.into_inner().map_err(|e| BodyError::Compression(e.into_error()))?;
        let bytes: Bytes = encoder.finish()?.into();
        Ok(Self { id: BodyId::new(configuration.version, &bytes), bytes })
    }

    /// The configuration that the body holds.
    pub(crate) fn decode(&self) -> Result<Configuration, BodyError> {
        let mut json = Vec::new();
        let mut limited = ZlibDecoder::new(self.bytes.as_ref()).take(MAX_JSON_BYTES + 1);
        if limited.read_to_end(&mut json)? as u64 > MAX_JSON_BYTES {
            return Err(BodyError::TooLarge);
        }
        let configuration: Configuration = serde_json::from_slice(&json)?;
        match configuration.version == self.id.version {
            true => Ok(configuration),
            false => Err(BodyError::OtherVersion(configuration.version)),
        }
    }
}

/// Reply to a request for a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Chunk {
    Data(Bytes),
    /// May be asked for again after this time.
    Busy(Millis),
    /// The body is not available here.
    Unknown,
}

/// The bodies that this daemon serves, and to whom.
#[derive(Debug, Default)]
pub(crate) struct ServedBodies {
    /// With the time of their last use; the newest is the last one.
    bodies: Vec<(ConfigurationBody, Time)>,
    slots: TransferSlots,
}

impl ServedBodies {
    /// Adds the body of a newer version.
    pub(crate) fn add(&mut self, now: Time, body: ConfigurationBody) {
        self.bodies.retain(|(_, at)| now.since(*at) < FORMER_BODY_PERIOD);
        if self.bodies.len() > MAX_FORMER_BODIES {
            // The one that has not been asked for for the longest time.
            let oldest = (0..self.bodies.len()).min_by_key(|index| self.bodies[*index].1);
            oldest.map(|index| self.bodies.remove(index));
        }
        self.bodies.push((body, now));
    }

    /// The body of `version`.
    pub(crate) fn get(&self, version: u64) -> Option<&ConfigurationBody> {
        self.bodies.iter().map(|(body, _)| body).find(|body| body.id.version == version)
    }

    /// The chunk at `offset` of a body, for the follower with the hashed name `follower`.
    pub(crate) fn chunk(
        &mut self,
        now: Time,
        follower: u64,
        (version, digest): (u64, u64),
        offset: usize,
    ) -> Chunk {
        let is_requested = |id: &BodyId| (id.version, id.digest) == (version, digest);
        let found = self.bodies.iter_mut().find(|(body, _)| is_requested(&body.id));
        let Some((body, used_at)) = found.filter(|(body, _)| offset < body.bytes.len()) else {
            return Chunk::Unknown;
        };
        *used_at = now;
        let end = (offset + CHUNK_BYTES).min(body.bytes.len());
        match self.slots.admit(now, follower, end == body.bytes.len()) {
            Ok(()) => Chunk::Data(body.bytes.slice(offset..end)),
            Err(wait) => Chunk::Busy(wait),
        }
    }
}
