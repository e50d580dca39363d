//! Connections to other daemons.

use crate::generated::peer_client::PeerClient;
use crate::generated::relay_client::RelayClient;
use std::collections::HashMap;
use std::future::Future;
use std::marker::PhantomData;
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
pub enum PeerError {
    /// The address cannot be used.
    #[error("peer address {0} cannot be used")]
    Address(SocketAddr),
    /// The call failed.
    #[error("peer {address}: {status}")]
    Failed {
        /// The peer.
        address: SocketAddr,
        /// Its answer.
        status: Box<Status>,
    },
    /// The time was over.
    #[error("no answer from peer {address} within {after:?}")]
    Timeout {
        /// The peer.
        address: SocketAddr,
        /// The bound.
        after: Duration,
    },
}

/// A client of one of the services that daemons offer each other.
pub trait FromChannel {
    /// A client that uses `channel`.
    fn from_channel(channel: Channel) -> Self;
}

impl FromChannel for PeerClient<Channel> {
    fn from_channel(channel: Channel) -> Self {
        Self::new(channel)
    }
}

impl FromChannel for RelayClient<Channel> {
    fn from_channel(channel: Channel) -> Self {
        Self::new(channel)
    }
}

/// Channels by address, for clients `C`.
#[derive(Debug)]
pub struct Peers<C> {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    client: PhantomData<fn() -> C>,
}

impl<C: FromChannel> Default for Peers<C> {
    fn default() -> Self {
        Self::new()
    }
}

impl<C: FromChannel> Peers<C> {
    /// No channel is open.
    pub fn new() -> Self {
        Self { channels: Mutex::default(), client: PhantomData }
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
    pub fn forget(&self, address: SocketAddr) {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Makes one call within `limit`. A connection that stays silent is not used again.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(C) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let client = C::from_channel(self.channel(address)?);
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
