//! The queue of observations that this VM sends to others in its heartbeats.

use std::cmp::Reverse;

use crate::crashes::observation::RequestObservation;

/// Rounds of heartbeats in which an observation is repeated. Each round
/// reaches all VMs of the data hall, and at worst one datagram in thirty is
/// lost.
pub(crate) const BROADCAST_ROUNDS: u8 = 4;

/// Maximum number of observations in one heartbeat, some 600 bytes.
pub(crate) const MAX_PER_HEARTBEAT: usize = 32;

/// Maximum number of observations that stay queued after a heartbeat.
const MAX_QUEUED: usize = 512;

/// Where an observation comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// This VM made it.
    Own,
    /// A VM of the same data hall, which also sent it to all others there.
    OwnHall,
    /// A VM of another data hall.
    OtherHall,
    /// The platform's store, or another VM's reply with all that it knows.
    Snapshot,
}

/// The VMs that a heartbeat is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The VMs of this VM's data hall.
    OwnHall,
    /// VMs of other data halls.
    OtherHalls,
}

/// A queued observation, with the rounds that are left for each audience.
#[derive(Debug)]
struct Broadcast {
    observation: RequestObservation,
    own_hall_left: u8,
    other_halls_left: u8,
}

impl Broadcast {
    fn new(observation: RequestObservation, source: Source) -> Broadcast {
        let (own_hall_left, other_halls_left) = match source {
            Source::Own | Source::OtherHall => {
                (BROADCAST_ROUNDS, BROADCAST_ROUNDS)
            }
            Source::OwnHall => (0, BROADCAST_ROUNDS),
            Source::Snapshot => (0, 0),
        };
        Broadcast { observation, own_hall_left, other_halls_left }
    }

    fn is_over(&self) -> bool {
        self.own_hall_left == 0 && self.other_halls_left == 0
    }

    fn left(&mut self, audience: Audience) -> &mut u8 {
        match audience {
            Audience::OwnHall => &mut self.own_hall_left,
            Audience::OtherHalls => &mut self.other_halls_left,
        }
    }
}

/// The observations that are still to be sent.
#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue(Vec<Broadcast>);

impl BroadcastQueue {
    /// Queues an observation that came from `source`, unless it is queued
    /// already or no other VM needs it from this one.
    pub(crate) fn add(
        &mut self,
        observation: RequestObservation,
        source: Source,
    ) {
        let is_queued =
            self.0.iter().any(|queued| queued.observation == observation);
        let broadcast = Broadcast::new(observation, source);
        if !is_queued && !broadcast.is_over() {
            self.0.push(broadcast);
        }
    }

    /// Returns the observations for the next heartbeat to `audience`, those
    /// of the highest `priority` first, and counts the round.
    pub(crate) fn take(
        &mut self,
        audience: Audience,
        priority: impl Fn(&RequestObservation) -> usize,
    ) -> Vec<RequestObservation> {
        self.0.sort_by_key(|broadcast| {
            Reverse(priority(&broadcast.observation))
        });
        let mut taken = Vec::new();
        for broadcast in &mut self.0 {
            let observation = broadcast.observation;
            let left = broadcast.left(audience);
            if *left > 0 && taken.len() < MAX_PER_HEARTBEAT {
                *left -= 1;
                taken.push(observation);
            }
        }
        self.0.retain(|broadcast| !broadcast.is_over());
        self.0.truncate(MAX_QUEUED);
        taken
    }
}
