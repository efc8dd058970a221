//! Failure detector for the VMs of one data hall, without any I/O.
//!
//! Each VM increments a heartbeat counter and gossips the counters that it
//! knows. A VM whose counter stops advancing is first suspected, then
//! considered dead. A higher incarnation means that the VM restarted; it
//! replaces the older one at once.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::BootInstant,
    id::Incarnation,
    message::{HeartbeatEntry, ShortHash},
};

/// What the failure detector concludes about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Its heartbeat counter advances.
    Alive,
    /// Its counter has not advanced for `suspect_after`.
    Suspected,
    /// Its counter has not advanced for `dead_after`.
    Dead,
    /// It announced a graceful shutdown.
    Leaving,
}

impl Liveness {
    /// Returns the name used in `/status` and in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Liveness::Alive => "alive",
            Liveness::Suspected => "suspected",
            Liveness::Dead => "dead",
            Liveness::Leaving => "leaving",
        }
    }
}

/// What is known about one VM of the data hall.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// The liveness of that incarnation.
    pub liveness: Liveness,
    counter: u32,
    advanced_at: BootInstant,
}

/// A change in the liveness of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LivenessChange {
    /// The VM.
    pub vm: ShortHash,
    /// The incarnation that the change is about.
    pub incarnation: Incarnation,
    /// The new liveness.
    pub liveness: Liveness,
}

/// The other VMs of this VM's data hall, with their liveness.
#[derive(Clone, Debug)]
pub struct Membership {
    own_vm: ShortHash,
    suspect_after: Duration,
    dead_after: Duration,
    members: HashMap<ShortHash, Member>,
}

/// Time for which a silent VM is remembered, as a multiple of `dead_after`.
const FORGET_FACTOR: u32 = 60;

impl Membership {
    /// Creates a membership without members; `own_vm` is this VM.
    pub fn new(
        own_vm: ShortHash,
        suspect_after: Duration,
        dead_after: Duration,
    ) -> Membership {
        Membership {
            own_vm,
            suspect_after,
            dead_after,
            members: HashMap::new(),
        }
    }

    /// Records a heartbeat.
    ///
    /// Returns the change in liveness that it causes, if any. A heartbeat
    /// that is not newer than the last one recorded has no effect.
    pub fn observe(
        &mut self,
        heartbeat: &HeartbeatEntry,
        now: BootInstant,
    ) -> Option<LivenessChange> {
        if heartbeat.vm == self.own_vm {
            return None;
        }
        let known = self.members.get(&heartbeat.vm);
        let is_newer = known.is_none_or(|member| {
            let seen = (member.incarnation, member.counter);
            (heartbeat.incarnation, heartbeat.counter) > seen
        });
        if !is_newer {
            return None;
        }
        let liveness = if heartbeat.leaving {
            Liveness::Leaving
        } else {
            Liveness::Alive
        };
        let is_unchanged = known.is_some_and(|member| {
            member.liveness == liveness
                && member.incarnation == heartbeat.incarnation
        });
        let member = Member {
            incarnation: heartbeat.incarnation,
            liveness,
            counter: heartbeat.counter,
            advanced_at: now,
        };
        self.members.insert(heartbeat.vm, member);
        let incarnation = heartbeat.incarnation;
        (!is_unchanged).then_some(LivenessChange {
            vm: heartbeat.vm,
            incarnation,
            liveness,
        })
    }

    /// Updates the liveness of VMs whose counter has not advanced; to be
    /// called about once per gossip round.
    pub fn tick(&mut self, now: BootInstant) -> Vec<LivenessChange> {
        let mut changes = Vec::new();
        let suspect_after = self.suspect_after;
        let dead_after = self.dead_after;
        for (vm, member) in &mut self.members {
            let silence = now.saturating_duration_since(member.advanced_at);
            let liveness = match member.liveness {
                _ if silence > dead_after => Liveness::Dead,
                Liveness::Leaving => Liveness::Leaving,
                _ if silence > suspect_after => Liveness::Suspected,
                liveness => liveness,
            };
            if liveness != member.liveness {
                member.liveness = liveness;
                let incarnation = member.incarnation;
                changes.push(LivenessChange {
                    vm: *vm,
                    incarnation,
                    liveness,
                });
            }
        }
        let forget_after = dead_after * FORGET_FACTOR;
        self.members.retain(|_, member| {
            now.saturating_duration_since(member.advanced_at) < forget_after
        });
        changes
    }

    /// Returns what is known about another VM.
    pub fn get(&self, vm: ShortHash) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Returns whether work may be sent to a VM: it is alive and neither
    /// suspected nor leaving. This VM itself always is.
    pub fn is_alive(&self, vm: ShortHash) -> bool {
        vm == self.own_vm
            || self.get(vm).is_some_and(|m| m.liveness == Liveness::Alive)
    }

    /// Returns the heartbeats that advanced last, to be gossiped on; dead VMs
    /// are left out.
    pub fn heartbeats(&self, limit: usize) -> Vec<HeartbeatEntry> {
        let mut newest: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness != Liveness::Dead)
            .collect();
        newest
            .sort_by_key(|(_, member)| std::cmp::Reverse(member.advanced_at));
        newest
            .into_iter()
            .take(limit)
            .map(|(vm, member)| HeartbeatEntry {
                vm: *vm,
                incarnation: member.incarnation,
                counter: member.counter,
                leaving: member.liveness == Liveness::Leaving,
            })
            .collect()
    }

    /// Returns the number of other VMs with this liveness.
    pub fn count(&self, liveness: Liveness) -> usize {
        self.members.values().filter(|m| m.liveness == liveness).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VM: ShortHash = ShortHash(2);

    fn heartbeat(incarnation: u64, counter: u32) -> HeartbeatEntry {
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
    fn a_silent_vm_is_suspected_before_it_is_dead() {
        let start = BootInstant::now();
        let mut members = membership();
        let first = members.observe(&heartbeat(1, 1), start).unwrap();
        assert_eq!(first.liveness, Liveness::Alive);
        let at = |s: u64| start + Duration::from_secs(s);
        assert!(members.tick(at(2)).is_empty());
        assert_eq!(members.tick(at(3))[0].liveness, Liveness::Suspected);
        assert!(!members.is_alive(VM));
        assert_eq!(members.tick(at(5))[0].liveness, Liveness::Dead);
        let again = members.observe(&heartbeat(1, 2), at(6)).unwrap();
        assert_eq!(again.liveness, Liveness::Alive);
    }

    #[test]
    fn a_stale_heartbeat_does_not_revive_a_vm() {
        let start = BootInstant::now();
        let mut members = membership();
        members.observe(&heartbeat(2, 5), start);
        let later = start + Duration::from_secs(3);
        members.tick(later);
        assert!(members.observe(&heartbeat(2, 5), later).is_none());
        assert!(members.observe(&heartbeat(1, 99), later).is_none());
        assert!(!members.is_alive(VM));
    }

    #[test]
    fn a_higher_incarnation_replaces_the_older_one() {
        let start = BootInstant::now();
        let mut members = membership();
        members.observe(&heartbeat(1, 500), start);
        let change = members.observe(&heartbeat(2, 1), start).unwrap();
        assert_eq!(change.incarnation, Incarnation(2));
    }

    #[test]
    fn a_leaving_vm_gets_no_work() {
        let start = BootInstant::now();
        let mut members = membership();
        let mut last = heartbeat(1, 9);
        last.leaving = true;
        members.observe(&last, start);
        assert!(!members.is_alive(VM));
        assert_eq!(members.count(Liveness::Leaving), 1);
    }
}
