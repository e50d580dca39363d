//! The stream of a run, from its engine or by way of another host.

use crate::carry::CarriedStream;
use bytes::Bytes;
use magnoliawinch_http::client::Body;
use thiserror::Error;

/// The stream broke off.
#[derive(Debug, Error)]
#[error("{0}")]
pub(crate) struct BodyBroken(String);

/// The bytes that the engine of a run writes.
#[derive(Debug)]
pub(crate) enum RunBody {
    /// Over a connection to the engine.
    Direct {
        body: Body,
        /// Whether the response has a length or is chunked, so that its end is distinguishable from a
        /// lost connection.
        is_framed: bool,
    },
    /// By way of a host that reaches the engine.
    Carried(Box<CarriedStream>),
    /// The connection was closed before the end.
    Closed,
}

impl RunBody {
    /// The next chunk; `None` at the end.
    pub(crate) async fn chunk(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        match self {
            Self::Direct { body, .. } => {
                body.chunk().await.map(|chunk| chunk.map_err(|e| BodyBroken(e.to_string())))
            }
            Self::Carried(stream) => stream.next_data().await.map(|data| {
                data.map_err(|_| BodyBroken("the host broke off the stream".to_owned()))
            }),
            Self::Closed => None,
        }
    }

    /// Whether the stream comes by way of a host that is leaving.
    pub(crate) fn is_host_leaving(&self) -> bool {
        match self {
            Self::Carried(stream) => stream.is_host_leaving(),
            Self::Direct { .. } | Self::Closed => false,
        }
    }

    /// Whether the engine marked the end that was read. Otherwise it closed the connection.
    pub(crate) fn has_marked_end(&self) -> bool {
        match self {
            Self::Direct { is_framed, .. } => *is_framed,
            Self::Carried(stream) => stream.has_marked_end(),
            Self::Closed => false,
        }
    }
}
