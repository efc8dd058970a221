//! Tasks, sleeping and time limits on the one executor of the process.
//!
//! The HTTP server library runs on the global executor of the smol family,
//! so everything else does too, and the process has one set of threads.

use std::{future::Future, time::Duration};

use futures_lite::FutureExt;
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

pub(crate) use async_global_executor::{Task, block_on, spawn};

/// Runs a future and gives up on it after `limit`.
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

/// Sleeps for `duration`.
pub(crate) async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// Wakes the one task that waits for it; wakes that come before it waits
/// again count as one.
#[derive(Debug)]
pub(crate) struct Wake {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Wake {
    /// Wakes the task, or has it not wait the next time.
    pub(crate) fn wake(&self) {
        // When it is full, the task will be woken anyhow.
        let _ = self.sender.try_send(());
    }

    /// Waits to be woken.
    pub(crate) async fn woken(&self) {
        // It cannot fail: the sender lives as long as the receiver.
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
