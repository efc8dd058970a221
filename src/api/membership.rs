//! Which VMs of the data hall live: a pure state machine over time.
//!
//! Each VM counts up a heartbeat and passes on the counts that it knows. A
//! count that has not grown for a while makes its VM suspected, then dead.
//! A higher incarnation is a new life and replaces the old one at once.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::BootInstant,
    id::Incarnation,
    message::{HeartbeatEntry, ShortHash},
};

/// What is believed about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It lives.
    Alive,
    /// It has been silent for a while.
    Suspected,
    /// It has been silent for long.
    Dead,
    /// It is in a planned stop.
    Leaving,
}

impl Liveness {
    /// The word used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Liveness::Alive => "alive",
            Liveness::Suspected => "suspected",
            Liveness::Dead => "dead",
            Liveness::Leaving => "leaving",
        }
    }
}

/// What is known of one VM.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its life.
    pub incarnation: Incarnation,
    /// What is believed about it.
    pub life: Liveness,
    counter: u32,
    grown_at: BootInstant,
}

/// A change of belief.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LifeChange {
    /// The VM.
    pub vm: ShortHash,
    /// The life that the belief is about.
    pub incarnation: Incarnation,
    /// The new belief.
    pub life: Liveness,
}

/// The VMs of one data hall, without this one.
#[derive(Clone, Debug)]
pub struct Membership {
    me: ShortHash,
    suspect_after: Duration,
    dead_after: Duration,
    members: HashMap<ShortHash, Member>,
}

/// Time for which a dead VM is remembered, as a multiple of the silence
/// after which it counts as dead.
const FORGET_FACTOR: u32 = 60;

impl Membership {
    /// Creates an empty membership.
    pub fn new(
        me: ShortHash,
        suspect_after: Duration,
        dead_after: Duration,
    ) -> Membership {
        Membership { me, suspect_after, dead_after, members: HashMap::new() }
    }

    /// Takes in a sign of life.
    ///
    /// Returns the change of belief that it causes, if any.
    pub fn observe(
        &mut self,
        beat: &HeartbeatEntry,
        now: BootInstant,
    ) -> Option<LifeChange> {
        if beat.vm == self.me {
            return None;
        }
        let known = self.members.get(&beat.vm);
        let news = known.is_none_or(|member| {
            let held = (member.incarnation, member.counter);
            (beat.incarnation, beat.counter) > held
        });
        if !news {
            return None;
        }
        let life =
            if beat.leaving { Liveness::Leaving } else { Liveness::Alive };
        let same = known.is_some_and(|member| {
            member.life == life && member.incarnation == beat.incarnation
        });
        let member = Member {
            incarnation: beat.incarnation,
            life,
            counter: beat.counter,
            grown_at: now,
        };
        self.members.insert(beat.vm, member);
        let incarnation = beat.incarnation;
        (!same).then_some(LifeChange { vm: beat.vm, incarnation, life })
    }

    /// Judges silence; to be called about once a gossip round.
    pub fn tick(&mut self, now: BootInstant) -> Vec<LifeChange> {
        let mut changes = Vec::new();
        let suspect_after = self.suspect_after;
        let dead_after = self.dead_after;
        for (vm, member) in &mut self.members {
            let silence = now.saturating_duration_since(member.grown_at);
            let life = match member.life {
                _ if silence > dead_after => Liveness::Dead,
                Liveness::Leaving => Liveness::Leaving,
                _ if silence > suspect_after => Liveness::Suspected,
                life => life,
            };
            if life != member.life {
                member.life = life;
                let incarnation = member.incarnation;
                changes.push(LifeChange { vm: *vm, incarnation, life });
            }
        }
        let forget_after = dead_after * FORGET_FACTOR;
        self.members.retain(|_, member| {
            now.saturating_duration_since(member.grown_at) < forget_after
        });
        changes
    }

    /// What is known of a VM.
    pub fn get(&self, vm: ShortHash) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Whether work may be given to a VM: it lives and is not suspected.
    pub fn is_alive(&self, vm: ShortHash) -> bool {
        vm == self.me
            || self.get(vm).is_some_and(|m| m.life == Liveness::Alive)
    }

    /// The latest signs of life, for passing on.
    pub fn beats(&self, limit: usize) -> Vec<HeartbeatEntry> {
        let mut newest: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.life != Liveness::Dead)
            .collect();
        newest.sort_by_key(|(_, member)| std::cmp::Reverse(member.grown_at));
        newest
            .into_iter()
            .take(limit)
            .map(|(vm, member)| HeartbeatEntry {
                vm: *vm,
                incarnation: member.incarnation,
                counter: member.counter,
                leaving: member.life == Liveness::Leaving,
            })
            .collect()
    }

    /// The number of VMs known, by belief.
    pub fn count(&self, life: Liveness) -> usize {
        self.members.values().filter(|m| m.life == life).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VM: ShortHash = ShortHash(2);

    fn beat(incarnation: u64, counter: u32) -> HeartbeatEntry {
        HeartbeatEntry {
            vm: VM,
            incarnation: Incarnation(incarnation),
            counter,
            leaving: false,
        }
    }

    fn membership() -> Membership {
        let second = Duration::from_secs(1);
        Membership::new(ShortHash(1), second * 2, second * 4)
    }

    #[test]
    fn silence_is_suspected_before_it_is_death() {
        let start = BootInstant::now();
        let mut members = membership();
        let first = members.observe(&beat(1, 1), start).unwrap();
        assert_eq!(first.life, Liveness::Alive);
        let at = |s: u64| start + Duration::from_secs(s);
        assert!(members.tick(at(2)).is_empty());
        assert_eq!(members.tick(at(3))[0].life, Liveness::Suspected);
        assert!(!members.is_alive(VM));
        assert_eq!(members.tick(at(5))[0].life, Liveness::Dead);
        let again = members.observe(&beat(1, 2), at(6)).unwrap();
        assert_eq!(again.life, Liveness::Alive);
    }

    #[test]
    fn old_news_does_not_bring_a_vm_back() {
        let start = BootInstant::now();
        let mut members = membership();
        members.observe(&beat(2, 5), start);
        let later = start + Duration::from_secs(3);
        members.tick(later);
        assert!(members.observe(&beat(2, 5), later).is_none());
        assert!(members.observe(&beat(1, 99), later).is_none());
        assert!(!members.is_alive(VM));
    }

    #[test]
    fn a_new_life_replaces_the_old_one() {
        let start = BootInstant::now();
        let mut members = membership();
        members.observe(&beat(1, 500), start);
        let change = members.observe(&beat(2, 1), start).unwrap();
        assert_eq!(change.incarnation, Incarnation(2));
    }

    #[test]
    fn a_leaving_vm_gets_no_work() {
        let start = BootInstant::now();
        let mut members = membership();
        let mut last = beat(1, 9);
        last.leaving = true;
        members.observe(&last, start);
        assert!(!members.is_alive(VM));
        assert_eq!(members.count(Liveness::Leaving), 1);
    }
}
