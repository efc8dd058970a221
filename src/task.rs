//! Tasks, sleeping and time limits on the one executor of the process.
//!
//! The HTTP server library runs on the global executor of the smol family,
//! so everything else does too, and the process has one set of threads.

use std::{future::Future, time::Duration};

use futures_lite::FutureExt;
use smol::Timer;

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
