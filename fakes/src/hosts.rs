//! Fake of the platform's host list, which shows changes after a delay.

use crate::http_helpers::status_response;
use hyper::StatusCode;
use magnoliawinch_hosts::{Host, HostList};
use magnoliawinch_http::{ServerLimits, json_response, serve};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

#[derive(Debug)]
struct Inner {
    /// Lists with the time of each change, oldest first; clients get the first.
    lists: VecDeque<(Instant, HostList)>,
    lag: Duration,
    down: bool,
}

impl Inner {
    fn visible_list(&mut self) -> HostList {
        let lag = self.lag;
        let is_visible = |(at, _): &(Instant, HostList)| at.elapsed() >= lag;
        while self.lists.len() > 1 && is_visible(&self.lists[1]) {
            self.lists.pop_front();
        }
        self.lists.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// A running fake host list, which stops when dropped.
#[derive(Debug)]
pub struct FakeHosts {
    inner: Arc<Mutex<Inner>>,
    address: SocketAddr,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeHosts {
    /// Starts serving `hosts` on `listener`; clients see changes after `lag`.
    pub fn start(listener: TcpListener, hosts: Vec<Host>, lag: Duration) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let lists = VecDeque::from([(Instant::now(), HostList { hosts })]);
        let inner = Arc::new(Mutex::new(Inner { lists, lag, down: false }));
        let (stop, stopped) = watch::channel(false);
        let served = Arc::clone(&inner);
        let task = tokio::spawn(serve(listener, ServerLimits::default(), stopped, move |_| {
            let mut inner = lock(&served);
            let response = match inner.down {
                true => status_response(StatusCode::SERVICE_UNAVAILABLE, "the list is down"),
                false => json_response(StatusCode::OK, &inner.visible_list()),
            };
            async move { response }
        }));
        Ok(Self { inner, address, task, _stop: stop })
    }

    /// Address on which the list is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list; clients see the change after the lag.
    pub fn set(&self, hosts: Vec<Host>) {
        lock(&self.inner).lists.push_back((Instant::now(), HostList { hosts }));
    }

    /// Sets whether requests for the list fail.
    pub fn set_down(&self, down: bool) {
        lock(&self.inner).down = down;
    }
}

impl Drop for FakeHosts {
    fn drop(&mut self) {
        self.task.abort();
    }
}
