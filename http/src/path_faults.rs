//! Faults on the paths between one client and its servers, for tests that run several clients in one
//! process and cut one of them off.

use std::collections::HashSet;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// What happens to connections on a cut path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// Open ones break, new ones are refused.
    Reset,
    /// Open ones go on, new ones are refused.
    Refused,
    /// Open ones carry nothing, new ones do not open.
    Silent,
}

#[derive(Debug, Default)]
struct Faults {
    fault: Option<PathFault>,
    /// Servers to which the path is not cut.
    spared: HashSet<SocketAddr>,
}

/// The faults of one client; clones share them. There are none at first.
#[derive(Clone, Debug)]
pub struct PathFaults {
    faults: Arc<watch::Sender<Faults>>,
}

impl Default for PathFaults {
    fn default() -> Self {
        Self { faults: Arc::new(watch::Sender::new(Faults::default())) }
    }
}

impl PathFaults {
    /// Cuts the paths to all servers but the `spared` ones.
    pub fn cut(&self, fault: PathFault, spared: impl IntoIterator<Item = SocketAddr>) {
        let spared = spared.into_iter().collect();
        self.faults.send_replace(Faults { fault: Some(fault), spared });
    }

    /// Ends all faults; what broke stays broken.
    pub fn heal(&self) {
        self.faults.send_replace(Faults::default());
    }

    fn fault(&self, address: SocketAddr) -> Option<PathFault> {
        let faults = self.faults.borrow();
        faults.fault.filter(|_| !faults.spared.contains(&address))
    }

    /// Fails or hangs if no new connection to `address` can be opened.
    pub(crate) async fn open(&self, address: SocketAddr) -> io::Result<()> {
        match self.fault(address) {
            None => Ok(()),
            Some(PathFault::Silent) => pending().await,
            Some(PathFault::Reset | PathFault::Refused) => {
                Err(io::Error::from(io::ErrorKind::ConnectionRefused))
            }
        }
    }

    /// Drives a connection to `address` until it ends or breaks; does not while its path is silent.
    pub(crate) async fn drive(&self, address: SocketAddr, connection: impl Future<Output = ()>) {
        let mut changes = self.faults.subscribe();
        let mut connection = std::pin::pin!(connection);
        loop {
            let fault = self.fault(address);
            let is_silent = fault == Some(PathFault::Silent);
            if fault == Some(PathFault::Reset) {
                return;
            }
            tokio::select! {
                () = &mut connection, if !is_silent => return,
                changed = changes.changed() => if changed.is_err() {
                    return connection.await;
                },
            }
        }
    }
}
