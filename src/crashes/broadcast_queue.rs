//! The queue of observations that this VM sends to others in its heartbeats.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{clock::BootInstant, crashes::observation::SubjectObservation};

/// Rounds of heartbeats in which an observation is repeated. Each round
/// reaches all VMs of the data hall, and at worst one datagram in thirty is
/// lost.
pub(crate) const BROADCAST_ROUNDS: u8 = 4;

/// Maximum number of observations in one heartbeat, some 800 bytes.
pub(crate) const MAX_PER_HEARTBEAT: usize = 40;

/// Maximum number of observations that stay queued after a heartbeat.
const MAX_QUEUED: usize = 512;

/// What an observation is about, in the order in which a heartbeat carries
/// them. Only a few of the first two kinds are taken, to leave room for the
/// rest: segments that all callers send have the most crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ObservationClass {
    /// A completion, which spares rejections of sound requests.
    Completion,
    /// A crash under a subject that was completed a short time ago.
    CrashOfCompleted,
    /// Any other crash.
    Crash,
}

impl ObservationClass {
    /// Returns the maximum number in one heartbeat.
    fn max_per_heartbeat(self) -> usize {
        match self {
            ObservationClass::Completion => 10,
            ObservationClass::CrashOfCompleted => 16,
            ObservationClass::Crash => MAX_PER_HEARTBEAT,
        }
    }
}

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
    observation: SubjectObservation,
    queued_at: BootInstant,
    own_hall_left: u8,
    other_halls_left: u8,
}

impl Broadcast {
    fn new(
        observation: SubjectObservation,
        source: Source,
        now: BootInstant,
    ) -> Broadcast {
        let (own_hall_left, other_halls_left) = match source {
            Source::Own | Source::OtherHall => {
                (BROADCAST_ROUNDS, BROADCAST_ROUNDS)
            }
            Source::OwnHall => (0, BROADCAST_ROUNDS),
            Source::Snapshot => (0, 0),
        };
        Broadcast {
            observation,
            queued_at: now,
            own_hall_left,
            other_halls_left,
        }
    }

    /// Returns the observation as of `now`.
    fn observation_at(&self, now: BootInstant) -> SubjectObservation {
        let waited = now.saturating_duration_since(self.queued_at);
        self.observation.after(waited)
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
    /// Queues an observation that came from `source`, unless no other VM needs
    /// it from this one. It replaces an earlier one of the same event.
    pub(crate) fn add(
        &mut self,
        observation: SubjectObservation,
        source: Source,
        now: BootInstant,
    ) {
        let broadcast = Broadcast::new(observation, source, now);
        if broadcast.is_over() {
            return;
        }
        self.0.retain(|queued| !observation.replaces(&queued.observation));
        self.0.push(broadcast);
    }

    /// Returns the observations for the next heartbeat to `audience`, and
    /// counts the round. `rank` returns the class and the priority of each;
    /// the highest priority of a class goes first.
    pub(crate) fn take(
        &mut self,
        audience: Audience,
        now: BootInstant,
        rank: impl Fn(&SubjectObservation) -> (ObservationClass, usize),
    ) -> Vec<SubjectObservation> {
        self.0.sort_by_key(|broadcast| {
            let (class, priority) = rank(&broadcast.observation);
            (class, Reverse(priority))
        });
        let mut taken = Vec::new();
        let mut of_class = BTreeMap::new();
        for broadcast in &mut self.0 {
            if taken.len() == MAX_PER_HEARTBEAT {
                break;
            }
            let (class, _) = rank(&broadcast.observation);
            let count = of_class.entry(class).or_insert(0);
            let observation = broadcast.observation_at(now);
            let left = broadcast.left(audience);
            if *left > 0 && *count < class.max_per_heartbeat() {
                *left -= 1;
                *count += 1;
                taken.push(observation);
            }
        }
        self.0.retain(|broadcast| !broadcast.is_over());
        self.0.truncate(MAX_QUEUED);
        taken
    }
}
