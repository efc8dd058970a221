//! Tasks, sleeping and timeouts on the single executor of the process.
//!
//! The HTTP server library runs on the global executor of the smol family.
//! Everything else uses the same one, so the process has a single thread pool.

use std::{future::Future, time::Duration};

use futures_lite::FutureExt;
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

pub(crate) use async_global_executor::{Task, block_on, spawn};

/// Time that [`within_running`] counts at once.
const RUNNING_STEP: Duration = Duration::from_millis(25);

/// Runs a future; returns `None` if it does not complete within `limit`.
pub(crate) async fn within<T>(
    limit: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    let work = async { Some(future.await) };
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    work.or(timeout).await
}

/// Runs a future like [`within`], but counts a time in which this process did
/// not run as one [`RUNNING_STEP`] at most.
///
/// A VM with a tenth of a core is stopped for up to 90 ms in every 100 ms
/// while it is busy. When it runs again, its timers are due before it has read
/// what has arrived meanwhile.
pub(crate) async fn within_running<T>(
    limit: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    let work = async { Some(future.await) };
    let timeout = async {
        let mut left = limit;
        while !left.is_zero() {
            let step = left.min(RUNNING_STEP);
            Timer::after(step).await;
            left -= step;
        }
        None
    };
    work.or(timeout).await
}

/// Waits for `duration` without blocking a thread.
pub(crate) async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// Wakes a single waiting task. Wake-ups that arrive before the task waits
/// again count as one.
#[derive(Debug)]
pub(crate) struct Wake {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Wake {
    /// Wakes the task, or makes its next wait return immediately.
    pub(crate) fn wake(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.sender.try_send(());
    }

    /// Waits for the next wake-up.
    pub(crate) async fn woken(&self) {
        // This cannot fail: the sender lives as long as the receiver.
        let _ = self.receiver.recv().await;
    }
}

impl Default for Wake {
    fn default() -> Wake {
        let (sender, receiver) = bounded(1);
        Wake { sender, receiver }
    }
}

#[cfg(test)]
mod tests;
