//! Decides for the listener for callers whether it accepts.

use std::{sync::Mutex, time::Duration};

use crate::{
    clock::BootInstant,
    intake::{
        connection_capacity::ConnectionCapacity,
        connection_limiter::ConnectionLimiter,
        overload::{OverloadDetector, Resource},
    },
};

/// Whether a listener accepts one more connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It does.
    Accept,
    /// It refuses connections, since this VM bears no more of them a second.
    TooMany,
    /// It refuses connections, since this VM can hold no more.
    Full,
}

/// Limits the connections that a VM takes on.
#[derive(Debug)]
pub(crate) struct IntakeControl {
    capacity: ConnectionCapacity,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    detector: OverloadDetector,
    limiter: ConnectionLimiter,
    /// The resource that was exhausted last.
    exhausted: Option<Resource>,
}

impl IntakeControl {
    /// Creates the control of a VM that accepts all connections so far.
    pub(crate) fn new(capacity: ConnectionCapacity) -> IntakeControl {
        IntakeControl { capacity, state: Mutex::default() }
    }

    /// Records how long something has waited for a resource of this VM.
    pub(crate) fn record_delay(
        &self,
        resource: Resource,
        delay: Duration,
        now: BootInstant,
    ) {
        let mut state = self.state.lock().expect("intake lock");
        state.detector.record(resource, delay, now);
    }

    /// Decides whether another connection is accepted while `open` are.
    pub(crate) fn admission(
        &self,
        open: usize,
        now: BootInstant,
    ) -> Admission {
        if !self.has_room(open) {
            return Admission::Full;
        }
        let mut state = self.state.lock().expect("intake lock");
        let exhausted = state.detector.exhausted(now);
        state.exhausted = exhausted.or(state.exhausted);
        let late_since = state.detector.late_since(now);
        let overloaded_since = late_since.filter(|_| exhausted.is_some());
        match state.limiter.may_accept(overloaded_since, now) {
            true => Admission::Accept,
            false => Admission::TooMany,
        }
    }

    /// Returns whether this VM can hold another connection while `open` are.
    pub(crate) fn has_room(&self, open: usize) -> bool {
        self.capacity.has_room(open)
    }

    /// Returns whether connections that stand still are to be closed, so that
    /// others can be opened.
    pub(crate) fn is_nearly_full(&self, open: usize) -> bool {
        self.capacity.is_nearly_full(open)
    }

    /// Counts a request that is taken on; an accepted connection stands for
    /// its first one.
    pub(crate) fn record_request(&self, now: BootInstant) {
        let mut state = self.state.lock().expect("intake lock");
        state.limiter.record_request(now);
    }

    /// Returns the requests a second that this VM takes on and the resource
    /// that limits them; `None` if there is no limit.
    pub(crate) fn limit(&self) -> Option<(f64, Resource)> {
        let state = self.state.lock().expect("intake lock");
        Some((state.limiter.rate_per_s()?, state.exhausted?))
    }

    /// Returns whether callers are to open a new connection after each
    /// response, which may lead them to another VM.
    pub(crate) fn must_close_after_response(&self, open: usize) -> bool {
        self.capacity.is_scarce(open) || self.limit().is_some()
    }
}
