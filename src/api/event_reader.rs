//! Reads the events of a stream from an upstream.

use std::time::Duration;

use crate::{
    api::dispatch::{AttemptFault, attempt_fault},
    http_client::Exchange,
    sse::{Event, Splitter},
    task::within,
};

/// Reads a stream of events.
pub(super) struct EventReader {
    exchange: Exchange,
    splitter: Splitter,
    idle_timeout: Duration,
}

impl EventReader {
    /// Creates a reader that waits at most `idle_timeout` for each event.
    pub(super) fn new(
        exchange: Exchange,
        idle_timeout: Duration,
    ) -> EventReader {
        EventReader { exchange, splitter: Splitter::default(), idle_timeout }
    }

    /// Returns the next event, `None` when the upstream closed the stream.
    ///
    /// Bytes that are no event, such as comments, do not prolong the wait.
    ///
    /// # Errors
    ///
    /// [`AttemptFault::TimedOut`] without an event in time,
    /// [`AttemptFault::TooLarge`] for an event that is too large, and the
    /// fault of the connection.
    pub(super) async fn next(
        &mut self,
    ) -> Result<Option<Event>, AttemptFault> {
        let event = within(self.idle_timeout, self.read_event());
        event.await.unwrap_or(Err(AttemptFault::TimedOut))
    }

    async fn read_event(&mut self) -> Result<Option<Event>, AttemptFault> {
        loop {
            let ready = self.splitter.next();
            match ready.map_err(|_| AttemptFault::TooLarge)? {
                Some(event) if event.is_comment() => continue,
                Some(event) => return Ok(Some(event)),
                None => {}
            }
            match self.exchange.next_chunk().await {
                Ok(Some(bytes)) => self.splitter.push(&bytes),
                Ok(None) => return Ok(None),
                Err(error) => return Err(attempt_fault(error)),
            }
        }
    }
}

#[cfg(test)]
mod tests;
