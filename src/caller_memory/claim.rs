//! The share of one holder in the memory that callers make a VM hold.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use futures_lite::{Stream, future};
use smol::channel::Receiver;

use crate::{
    caller_memory::account::{CallerMemory, Growth},
    error::{Error, ErrorKind},
    task,
};

/// Interval between two checks whether others have given way.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Why a claim has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GivesWay {
    /// Its caller has stood still while others needed room.
    Stalled,
    /// There is room for those alone that began earlier.
    Displaced,
}

impl From<GivesWay> for Error {
    /// Returns the error for a request that gives way before it is sent.
    fn from(reason: GivesWay) -> Error {
        match reason {
            GivesWay::Stalled => Error::new(ErrorKind::RequestTimeout)
                .context("the body stood still while others needed room"),
            GivesWay::Displaced => Error::new(ErrorKind::Overloaded)
                .context("there is no room for another large body"),
        }
    }
}

/// A claim on the memory of a VM, which ends when it is dropped.
pub(crate) struct MemoryClaim {
    account: Arc<CallerMemory>,
    id: u64,
    revoked: Pin<Box<Receiver<GivesWay>>>,
}

impl MemoryClaim {
    pub(super) fn new(
        account: Arc<CallerMemory>,
        id: u64,
        revoked: Receiver<GivesWay>,
    ) -> MemoryClaim {
        MemoryClaim { account, id, revoked: Box::pin(revoked) }
    }

    #[cfg(test)]
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Adds bytes, once others have given way if need be.
    ///
    /// # Errors
    ///
    /// The reason if this claim has to give way itself.
    pub(crate) async fn grow(&self, bytes: u64) -> Result<(), GivesWay> {
        loop {
            match self.account.grow(self.id, bytes) {
                Growth::Granted => return Ok(()),
                Growth::Refused(reason) => return Err(reason),
                Growth::Pending => task::sleep(ROOM_CHECK_INTERVAL).await,
            }
        }
    }

    /// Records progress of a caller that has more to send.
    pub(crate) fn await_sender(&self) {
        self.account.await_sender(self.id);
    }

    /// Records that the caller has not read all that it was sent.
    pub(crate) fn await_reader(&self) {
        self.account.await_reader(self.id);
    }

    /// Records that this VM or an upstream works on what is held, so that it
    /// does not give way.
    pub(crate) fn keep(&self) {
        self.account.keep(self.id);
    }

    /// Records that the claim grows no more; it does not give way either.
    pub(crate) fn complete(&self) {
        self.account.complete(self.id);
    }

    /// Adds bytes if that leaves room for further connections; returns whether
    /// it does.
    pub(crate) fn try_add(&self, bytes: u64) -> bool {
        self.account.try_add(self.id, bytes)
    }

    /// Waits until the claim has to end.
    pub(crate) async fn revoked(&self) -> GivesWay {
        match self.revoked.recv().await {
            Ok(reason) => reason,
            // The account keeps its end for as long as the claim lives.
            Err(_) => future::pending().await,
        }
    }

    /// Returns the reason once the claim has to end.
    pub(crate) fn poll_revoked(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<GivesWay> {
        match ready!(self.revoked.as_mut().poll_next(context)) {
            Some(reason) => Poll::Ready(reason),
            None => Poll::Pending,
        }
    }
}

impl Drop for MemoryClaim {
    fn drop(&mut self) {
        self.account.end(self.id);
    }
}
