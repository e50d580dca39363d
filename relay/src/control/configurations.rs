//! Configurations from and for other daemons: small ones inside of polls, large ones in chunks.

use super::{Control, Message};
use crate::configuration_body::ConfigurationBody;
use crate::peer_server::FetchCode;
use bytes::Bytes;
use magnoliawinch::dissemination::{BodyId, CHUNK_TIMEOUT, ChunkRequest, ChunkResult};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{FetchReply, FetchRequest};
use std::net::SocketAddr;
use std::sync::Arc;

/// Size up to which a body is part of a reply, in bytes.
const MAX_INLINE_BYTES: usize = 16_384;

impl Control {
    /// The configuration in force for a daemon that has `version`; `None` if that is as new.
    pub(super) fn configuration_after(
        &self,
        now: Time,
        version: u64,
    ) -> Option<magnoliawinch_peer::ConfigurationBody> {
        let table = self.table.as_ref().filter(|table| table.version() > version)?;
        let mut bodies = self.shared.bodies();
        if bodies.get(table.version()).is_none() {
            match ConfigurationBody::encode(table.configuration()) {
                Ok(body) => bodies.add(now, body),
                Err(e) => log::error!("failed to encode a configuration: {e}"),
            }
        }
        let ConfigurationBody { id, bytes } = bodies.get(table.version())?;
        let is_inline = bytes.len() <= MAX_INLINE_BYTES;
        Some(magnoliawinch_peer::ConfigurationBody {
            version: id.version,
            digest: id.digest,
            length: id.length as u32,
            body: if is_inline { bytes.clone() } else { Bytes::new() },
        })
    }

    /// Applies a configuration that a peer sent, or starts to fetch it.
    pub(super) fn apply_peer_configuration(
        &mut self,
        now: Time,
        source: SocketAddr,
        is_followed: bool,
        configuration: &magnoliawinch_peer::ConfigurationBody,
    ) {
        let id = BodyId {
            version: configuration.version,
            digest: configuration.digest,
            length: configuration.length as usize,
        };
        if id.matches(&configuration.body) {
            if id.version > self.version() {
                self.apply_body(now, ConfigurationBody { id, bytes: configuration.body.clone() });
            }
            return;
        }
        self.transfer.announce(now, id, source, is_followed);
        self.fetch_chunk(now);
    }

    fn apply_body(&mut self, now: Time, body: ConfigurationBody) {
        match body.decode() {
            Ok(configuration) => {
                self.apply_configuration(now, configuration);
                self.shared.bodies().add(now, body);
            }
            Err(e) => {
                log::warn!(version = body.id.version; "ignoring a peer's configuration: {e}");
                self.transfer.reject(body.id);
            }
        }
    }

    /// Requests the next chunk of the configuration that is being fetched, if one is due.
    pub(super) fn fetch_chunk(&mut self, now: Time) {
        let Some(req) = self.transfer.next_request(now) else {
            return;
        };
        self.shared.metrics.set("transfers", "receiving", 1);
        let message = FetchRequest {
            version: req.id.version,
            digest: req.id.digest,
            offset: req.offset as u32,
            host: self.membership.own().host.to_string(),
        };
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            let reply = shared.call_fetch(&req, CHUNK_TIMEOUT.into(), message).await;
            shared.tell(Message::Chunk { req, reply });
        });
    }

    /// Records the reply to a request for a chunk; `None` if there was none.
    pub(super) fn handle_chunk(
        &mut self,
        now: Time,
        req: &ChunkRequest,
        reply: Option<&FetchReply>,
    ) {
        let result = match reply {
            None => ChunkResult::Failed,
            Some(reply) => match FetchCode::from_repr(reply.result) {
                Some(FetchCode::Data) => ChunkResult::Data(&reply.data),
                Some(FetchCode::Busy) => ChunkResult::Busy(Millis(u64::from(reply.retry_after_ms))),
                Some(FetchCode::Unknown) => ChunkResult::Unknown,
                None => ChunkResult::Failed,
            },
        };
        if let ChunkResult::Data(data) = result {
            self.shared.metrics.add("bytes_received", "configuration", data.len());
        }
        let complete = self.transfer.record(now, req, result);
        if let Some((id, bytes)) = complete {
            log::info!(version = id.version, bytes = id.length; "configuration received");
            self.apply_body(now, ConfigurationBody { id, bytes: bytes.into() });
        }
        if self.transfer.progress().is_none() {
            self.shared.metrics.set("transfers", "receiving", 0);
        }
        self.shared.set_receives_configuration(self.transfer.is_advancing(now), now);
        self.fetch_chunk(now);
    }
}
