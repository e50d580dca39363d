//! Runs control state on a thread of its own.

use magnoliawinch::time::Millis;
use std::io;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// Messages handled between two ticks at the most.
const MAX_BATCH: usize = 256;

/// State that is changed by messages and by time, and does no I/O.
pub trait ControlState: Send + 'static {
    /// What it is asked and told.
    type Message: Send + 'static;

    /// Handles one message.
    fn handle(&mut self, message: Self::Message);

    /// Does what is due.
    fn tick(&mut self);

    /// Time until `tick` has to be called again.
    fn next_tick(&self) -> Millis;
}

/// Starts the thread; it ends when every sender of its mailbox is gone or `stop` turns true.
pub fn start_control<C: ControlState>(
    control: C,
    mailbox: mpsc::Receiver<C::Message>,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let rt = Builder::new_current_thread().enable_time().build()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || rt.block_on(run(control, mailbox, stop)))?;
    Ok(())
}

async fn run<C: ControlState>(
    mut control: C,
    mut mailbox: mpsc::Receiver<C::Message>,
    mut stop: watch::Receiver<bool>,
) {
    let mut next_tick = Instant::now();
    loop {
        tokio::select! {
            message = mailbox.recv() => match message {
                Some(message) => control.handle(message),
                None => return,
            },
            () = sleep_until(next_tick) => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        for _ in 0..MAX_BATCH {
            match mailbox.try_recv() {
                Ok(message) => control.handle(message),
                Err(_) => break,
            }
        }
        control.tick();
        next_tick = Instant::now() + control.next_tick().into();
    }
}

/// Sends a message with a place for its answer to a control thread, and waits for the answer; none
/// if the thread has ended.
pub async fn ask<M, T>(
    control: &mpsc::Sender<M>,
    message: impl FnOnce(oneshot::Sender<T>) -> M,
) -> Option<T> {
    let (tx, rx) = oneshot::channel();
    control.send(message(tx)).await.ok()?;
    rx.await.ok()
}
