//! Event loop of the control thread.

use magnoliawinch::time::Millis;
use std::io;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// Maximum number of queued messages handled after the first one and before the next tick.
const MAX_BATCH_MESSAGES: usize = 256;

/// State driven by messages and ticks; must not block on I/O.
pub trait ControlState: Send + 'static {
    /// Type of the messages it handles.
    type Message: Send + 'static;

    /// Handles one message.
    fn handle(&mut self, message: Self::Message);

    /// Does the work that is due.
    fn tick(&mut self);

    /// Time until the next `tick`; messages may cause earlier ones.
    fn next_tick(&self) -> Millis;
}

/// Starts the control thread. It ends when all senders of `messages` are dropped or `stop` turns
/// true. Fails if the thread cannot be started.
pub fn start_control<C: ControlState>(
    control: C,
    messages: mpsc::Receiver<C::Message>,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let rt = Builder::new_current_thread().enable_time().build()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || rt.block_on(run(control, messages, stop)))?;
    Ok(())
}

async fn run<C: ControlState>(
    mut control: C,
    mut messages: mpsc::Receiver<C::Message>,
    mut stop: watch::Receiver<bool>,
) {
    let mut next_tick = Instant::now();
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => control.handle(message),
                None => return,
            },
            () = sleep_until(next_tick) => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        for _ in 0..MAX_BATCH_MESSAGES {
            match messages.try_recv() {
                Ok(message) => control.handle(message),
                Err(_) => break,
            }
        }
        control.tick();
        next_tick = Instant::now() + control.next_tick().into();
    }
}

/// Sends a message with a reply channel to a control thread and waits for the reply; `None` if the
/// thread has ended or dropped the channel.
pub async fn ask<M, T>(
    control: &mpsc::Sender<M>,
    message: impl FnOnce(oneshot::Sender<T>) -> M,
) -> Option<T> {
    let (tx, rx) = oneshot::channel();
    control.send(message(tx)).await.ok()?;
    rx.await.ok()
}
