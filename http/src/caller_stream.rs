//! A caller's connection, closed so that the caller can read the last response.

use socket2::SockRef;
use std::future::Future;
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Time for which data of the caller is read and discarded before the connection is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum data that is discarded before the connection is closed, in bytes.
const MAX_DRAIN_BYTES: usize = 8_388_608;

/// Time without progress after which a response is given up once the server stops.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the buffer for discarded data, in bytes.
const DRAIN_BUF_BYTES: usize = 8_192;

/// What a connection's server and its [`CallerStream`] tell each other.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    /// Whether a request is handled or its response is not yet written to the connection's buffer.
    in_progress: AtomicBool,
    /// Whether the caller has yet to accept a part of a response.
    unwritten: AtomicBool,
    /// Whether bytes were read since the last request started.
    has_read: AtomicBool,
    /// Whether the server stops.
    stopping: AtomicBool,
    /// Whether the connection is being closed.
    closing: AtomicBool,
    /// Whether the connection was idle when the server stopped, so that its caller awaits nothing.
    closed_idle: AtomicBool,
}

impl Activity {
    /// Marks a request as in progress until the returned guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>) -> ActivityGuard {
        self.in_progress.store(true, Ordering::Relaxed);
        self.has_read.store(false, Ordering::Relaxed);
        ActivityGuard { activity: Arc::clone(self) }
    }

    /// From now on, reads return all that has arrived.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether a part of a request's head has been read.
    pub(crate) fn is_reading_head(&self) -> bool {
        self.has_read.load(Ordering::Relaxed) && !self.is_busy()
    }

    /// If the connection is idle, it is closed without waiting for its caller.
    pub(crate) fn close_if_idle(&self) {
        self.closed_idle.store(!self.is_busy(), Ordering::Relaxed);
    }

    fn is_busy(&self) -> bool {
        let flags = [&self.in_progress, &self.unwritten, &self.closing];
        flags.iter().any(|flag| flag.load(Ordering::Relaxed))
    }
}

/// Marks a request as in progress until dropped.
#[derive(Debug)]
pub(crate) struct ActivityGuard {
    activity: Arc<Activity>,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        // What was read after the head belongs to the request's body.
        self.activity.has_read.store(false, Ordering::Relaxed);
        self.activity.in_progress.store(false, Ordering::Relaxed);
    }
}

/// A connection whose shutdown waits until the caller has closed it, too, and discards what the caller
/// sends meanwhile. Closing with unread data resets a connection, and the caller may then lose the
/// response.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    /// Whether the caller has closed its side.
    read_eof: bool,
    drained_bytes: usize,
    drain_timeout: Option<Pin<Box<Sleep>>>,
    /// Runs while the server stops and the caller accepts no data.
    write_timeout: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self {
            stream,
            activity,
            read_eof: false,
            drained_bytes: 0,
            drain_timeout: None,
            write_timeout: None,
        }
    }

    /// Reads what has arrived. The runtime may not know yet that the socket has data.
    fn poll_arrived(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if result.is_ready() || !self.activity.stopping.load(Ordering::Relaxed) {
            return result;
        }
        match (&*SockRef::from(&self.stream)).read(buf.initialize_unfilled()) {
            Ok(count) => buf.advance(count),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Poll::Pending,
            Err(e) => return Poll::Ready(Err(e)),
        }
        Poll::Ready(Ok(()))
    }

    /// Fails a write that makes no progress while the server stops.
    fn limit_stall(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.activity.unwritten.store(result.is_pending(), Ordering::Relaxed);
        if result.is_ready() || !self.activity.stopping.load(Ordering::Relaxed) {
            self.write_timeout = None;
            return result;
        }
        let timeout =
            self.write_timeout.get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIMEOUT)));
        timeout.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Discards data until the caller closes its side or a limit is reached.
    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut data = [0; DRAIN_BUF_BYTES];
        while !self.read_eof && self.drained_bytes < MAX_DRAIN_BYTES {
            let mut buf = ReadBuf::new(&mut data);
            match self.poll_arrived(cx, &mut buf) {
                Poll::Ready(Ok(())) if buf.filled().is_empty() => self.read_eof = true,
                Poll::Ready(Ok(())) => self.drained_bytes += buf.filled().len(),
                Poll::Ready(Err(_)) => return Poll::Ready(()),
                Poll::Pending if self.activity.closed_idle.load(Ordering::Relaxed) => {
                    return Poll::Ready(());
                }
                Poll::Pending => {
                    let timeout =
                        self.drain_timeout.get_or_insert_with(|| Box::pin(sleep(DRAIN_TIMEOUT)));
                    return timeout.as_mut().poll(cx);
                }
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(self.poll_arrived(cx, buf))?;
        match buf.filled().len() == filled {
            true => self.read_eof = true,
            false => self.activity.has_read.store(true, Ordering::Relaxed),
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limit_stall(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limit_stall(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.closing.store(true, Ordering::Relaxed);
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        self.poll_drain(cx).map(Ok)
    }
}
