//! gRPC connections to other daemons.

use crate::generated::peer_client::PeerClient;
use crate::generated::relay_client::RelayClient;
use std::collections::HashMap;
use std::future::Future;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout as with_timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Response, Status};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of HTTP/2 pings while calls are in progress.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Time limit for a ping's acknowledgement.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of a call to a peer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No gRPC endpoint can be built from the address.
    #[error("invalid peer address {0}")]
    InvalidAddress(SocketAddr),
    /// The call failed.
    #[error("call to peer {address} failed: {status}")]
    Failed {
        /// Peer address.
        address: SocketAddr,
        /// gRPC status.
        status: Box<Status>,
    },
    /// The call timed out.
    #[error("no reply from peer {address} within {after:?}")]
    Timeout {
        /// Peer address.
        address: SocketAddr,
        /// Time limit.
        after: Duration,
    },
}

/// Client of a gRPC service between daemons.
pub trait FromChannel {
    /// Creates a client that uses `channel`.
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

/// Channels by address, for clients of type `C`.
#[derive(Debug)]
pub struct PeerChannels<C> {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    client: PhantomData<fn() -> C>,
}

impl<C: FromChannel> Default for PeerChannels<C> {
    fn default() -> Self {
        Self::new()
    }
}

impl<C: FromChannel> PeerChannels<C> {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self { channels: Mutex::default(), client: PhantomData }
    }

    fn channel(&self, address: SocketAddr) -> Result<Channel, PeerError> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&address) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|_| PeerError::InvalidAddress(address))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
        let channel = endpoint.connect_lazy();
        channels.insert(address, channel.clone());
        Ok(channel)
    }

    /// Removes the cached channel, so that the next call opens a new connection.
    pub fn evict(&self, address: SocketAddr) {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Makes one call within `timeout`; evicts the channel if the call times out.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(C) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let client = C::from_channel(self.channel(address)?);
        match with_timeout(timeout, call(client)).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(PeerError::Failed { address, status: Box::new(status) }),
            Err(_) => {
                self.evict(address);
                Err(PeerError::Timeout { address, after: timeout })
            }
        }
    }
}
