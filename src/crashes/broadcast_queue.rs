//! What one VM has to tell the others of requests and ends, round by round.

use std::cmp::Reverse;

use crate::crashes::observation::RequestObservation;

/// Rounds of beats in which a VM tells the same: each goes to all of its data
/// hall, and one datagram in thirty is lost at worst.
pub(crate) const TOLD_ROUNDS: u8 = 4;

/// Sightings that one beat carries, some 600 bytes.
pub(crate) const TOLD_MOST: usize = 32;

/// Sightings that wait to be told after a beat.
const TELLINGS_MOST: usize = 512;

/// Whom a VM has something from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// It has seen it itself.
    Own,
    /// A VM of its data hall, which told all others there as well.
    OwnHall,
    /// A VM of another data hall.
    OtherHall,
    /// The platform's store, or another VM that was asked for all it knows.
    Snapshot,
}

/// Whom a beat goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The VMs of the own data hall.
    OwnHall,
    /// VMs of others.
    OtherHalls,
}

/// Something to tell in the next rounds of beats.
#[derive(Debug)]
struct Broadcast {
    observation: RequestObservation,
    own_hall_left: u8,
    other_halls_left: u8,
}

impl Broadcast {
    fn new(observation: RequestObservation, source: Source) -> Broadcast {
        let (own_hall_left, other_halls_left) = match source {
            Source::Own | Source::OtherHall => (TOLD_ROUNDS, TOLD_ROUNDS),
            Source::OwnHall => (0, TOLD_ROUNDS),
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

/// Everything that is still to be told.
#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue(Vec<Broadcast>);

impl BroadcastQueue {
    /// Adds something that comes from `source`, unless all others have it or
    /// it is being told already.
    pub(crate) fn add(
        &mut self,
        observation: RequestObservation,
        source: Source,
    ) {
        let is_told =
            self.0.iter().any(|told| told.observation == observation);
        let telling = Broadcast::new(observation, source);
        if !is_told && !telling.is_over() {
            self.0.push(telling);
        }
    }

    /// What the next beat to these VMs tells, that of the highest rank first.
    pub(crate) fn take(
        &mut self,
        audience: Audience,
        rank: impl Fn(&RequestObservation) -> usize,
    ) -> Vec<RequestObservation> {
        self.0.sort_by_key(|telling| Reverse(rank(&telling.observation)));
        let mut told = Vec::new();
        for telling in &mut self.0 {
            let observation = telling.observation;
            let left = telling.left(audience);
            if *left > 0 && told.len() < TOLD_MOST {
                *left -= 1;
                told.push(observation);
            }
        }
        self.0.retain(|telling| !telling.is_over());
        self.0.truncate(TELLINGS_MOST);
        told
    }
}
