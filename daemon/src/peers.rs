//! Connections to other daemons.

use magnoliawinch_peer::PeerClient;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Response, Status};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between signs of life on a connection with calls in progress.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Time for an answer to a sign of life.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a peer gave no answer.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// The address cannot be used.
    #[error("peer address {0} cannot be used")]
    Address(SocketAddr),
    /// The call failed.
    #[error("peer {address}: {status}")]
    Failed { address: SocketAddr, status: Box<Status> },
    /// The time was over.
    #[error("no answer from peer {address} within {after:?}")]
    Timeout { address: SocketAddr, after: Duration },
}

/// Channels by address.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Peers {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    fn channel(&self, address: SocketAddr) -> Result<Channel, PeerError> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&address) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|_| PeerError::Address(address))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
        let channel = endpoint.connect_lazy();
        channels.insert(address, channel.clone());
        Ok(channel)
    }

    /// Forgets the connection, so that the next call opens a new one.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Makes one call within `limit`. A connection that stays silent is not used again.
    pub(crate) async fn call<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let client = PeerClient::new(self.channel(address)?);
        match timeout(limit, call(client)).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(PeerError::Failed { address, status: Box::new(status) }),
            Err(_) => {
                self.forget(address);
                Err(PeerError::Timeout { address, after: limit })
            }
        }
    }
}
