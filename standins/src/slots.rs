//! The slots of a stand-in upstream, and the queue before them.

use std::sync::{Condvar, Mutex};

#[cfg(test)]
mod tests;

/// Requests that may wait for each slot, as on the platform.
const QUEUE_PER_SLOT: u64 = 4;

/// Slots that requests use in their order of arrival.
pub struct Slots {
    slots: u64,
    counts: Mutex<Counts>,
    freed: Condvar,
}

#[derive(Default)]
struct Counts {
    /// Requests that were admitted so far.
    admitted: u64,
    /// Requests that have ended so far.
    ended: u64,
}

/// The place of an admitted request; dropping it ends the request.
pub struct Place<'a> {
    slots: &'a Slots,
    number: u64,
}

impl Slots {
    /// Creates free slots.
    pub fn new(slots: u16) -> Slots {
        let (counts, freed) = Default::default();
        Slots { slots: slots.into(), counts, freed }
    }

    /// Admits a request; `None` if all slots are in use and the queue is full.
    ///
    /// Returns its place, and the number of requests that run and wait with
    /// it.
    pub fn admit(&self) -> Option<(Place<'_>, u64)> {
        let mut counts = self.counts.lock().unwrap();
        let held = counts.admitted - counts.ended;
        if held >= self.slots * (1 + QUEUE_PER_SLOT) {
            return None;
        }
        let number = counts.admitted;
        counts.admitted += 1;
        Some((Place { slots: self, number }, held + 1))
    }

    /// Returns the requests that run, those that wait, and the slots, as
    /// upstreams state them in `Lupinseam-Instance-Load`.
    pub fn load(&self) -> String {
        let counts = self.counts.lock().unwrap();
        let held = counts.admitted - counts.ended;
        let running = held.min(self.slots);
        format!("{running},{},{}", held - running, self.slots)
    }
}

impl Place<'_> {
    /// Blocks until the request has a slot.
    pub fn wait(&self) {
        let Slots { slots, counts, freed } = self.slots;
        let counts = counts.lock().unwrap();
        let has_no_slot =
            |counts: &mut Counts| self.number >= counts.ended + slots;
        drop(freed.wait_while(counts, has_no_slot).unwrap());
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.slots.counts.lock().unwrap().ended += 1;
        self.slots.freed.notify_all();
    }
}
