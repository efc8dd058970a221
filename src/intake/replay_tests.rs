//! Replays a load balancer that sends most new connections to one VM.

use std::{
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    connection_capacity::ConnectionCapacity,
    control::{Admission, IntakeControl},
    overload::Resource,
};
use crate::{clock::BootInstant, unit::Megabytes};

/// Time that a VM needs for each request; it bears a hundred a second.
const WORK_TIME: Duration = Duration::from_millis(10);

/// Time after which a caller has left.
const DEADLINE: Duration = Duration::from_millis(1500);

/// Time after which a caller whose connection was refused tries another VM.
const RECONNECT_TIME: Duration = Duration::from_millis(10);

/// Connections that a caller tries for a request.
const MAX_CONNECTIONS: u32 = 3;

/// Part of all new connections that goes to the preferred VM.
const PREFERRED_SHARE: f64 = 0.9;

/// When the load balancer begins to prefer a VM.
const PREFERRED_FROM: Duration = Duration::from_secs(5);

/// Time after that in which VMs may adapt.
const ADAPTATION_TIME: Duration = Duration::from_secs(4);

/// Length of a replay.
const LENGTH: Duration = Duration::from_secs(20);

/// A VM that does one request after the other.
struct Vm {
    intake: IntakeControl,
    is_busy_until: Duration,
    /// Requests that have not begun, with the time at which they do and the
    /// time that they will have waited.
    waiting: VecDeque<(Duration, Duration)>,
}

/// A connection that a caller opens.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Connection {
    at: std::cmp::Reverse<Duration>,
    vm: usize,
    asked_at: Duration,
    number: u32,
}

/// What became of the requests of one period.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: u32,
    /// Requests that a VM has read.
    read: u32,
    /// Requests that were answered before their callers left.
    served: u32,
}

impl Outcome {
    /// Returns the part of the requests that were answered at the first
    /// attempt that a VM had read.
    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.read.max(1))
    }
}

/// Returns the outcome before a VM is preferred, and once the VMs have had the
/// time to adapt.
fn replay(vms: usize, requests_per_s: f64) -> (Outcome, Outcome) {
    let start = BootInstant::now();
    let capacity = ConnectionCapacity::new(Megabytes(0), 0);
    let mut fleet: Vec<Vm> = (0..vms)
        .map(|_| Vm {
            intake: IntakeControl::new(capacity),
            is_busy_until: Duration::ZERO,
            waiting: VecDeque::new(),
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut connections = BinaryHeap::new();
    let mut at = Duration::ZERO;
    while at < LENGTH {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / requests_per_s);
        let is_preferred =
            at >= PREFERRED_FROM && rng.random_bool(PREFERRED_SHARE);
        let vm = if is_preferred { 0 } else { rng.random_range(0..vms) };
        let at = std::cmp::Reverse(at);
        connections.push(Connection { at, vm, asked_at: at.0, number: 1 });
    }
    let (mut before, mut after) = (Outcome::default(), Outcome::default());
    while let Some(connection) = connections.pop() {
        let Connection { at, vm, asked_at, number } = connection;
        let at = at.0;
        let outcome = match asked_at {
            asked_at if asked_at < PREFERRED_FROM => &mut before,
            asked_at if asked_at >= PREFERRED_FROM + ADAPTATION_TIME => {
                &mut after
            }
            _ => &mut Outcome::default(),
        };
        outcome.asked += u32::from(number == 1);
        match fleet[vm].connect(at, start) {
            Some(answered_at) => {
                outcome.read += 1;
                let is_served = answered_at <= asked_at + DEADLINE;
                outcome.served += u32::from(is_served);
            }
            None if number < MAX_CONNECTIONS => {
                let other = rng.random_range(1..vms);
                connections.push(Connection {
                    at: std::cmp::Reverse(at + RECONNECT_TIME),
                    vm: (vm + other) % vms,
                    asked_at,
                    number: number + 1,
                });
            }
            None => {}
        }
    }
    (before, after)
}

impl Vm {
    /// Returns when the request of a new connection is answered, or `None` if
    /// the connection is refused.
    fn connect(
        &mut self,
        at: Duration,
        start: BootInstant,
    ) -> Option<Duration> {
        while let Some((began_at, delay)) = self.waiting.front().copied()
            && began_at <= at
        {
            self.waiting.pop_front();
            let now = start + began_at;
            self.intake.record_delay(Resource::Processor, delay, now);
        }
        let now = start + at;
        if self.intake.admission(0, now) != Admission::Accept {
            return None;
        }
        self.intake.record_request(now);
        let begins_at = self.is_busy_until.max(at);
        self.waiting.push_back((begins_at, begins_at - at));
        self.is_busy_until = begins_at + WORK_TIME;
        Some(self.is_busy_until)
    }
}

/// VMs and their requests a second: the preferred VM gets two, five and
/// nineteen times what it bears.
const FLEETS: [(usize, f64); 3] = [(7, 280.0), (84, 590.0), (300, 2100.0)];

/// A VM that accepts all connections answers next to none of them in time.
#[test]
fn callers_are_served_while_one_vm_gets_most_connections() {
    for (vms, requests_per_s) in FLEETS {
        let (before, after) = replay(vms, requests_per_s);
        let share = after.served_share() / before.served_share();
        assert!(share >= 0.75, "{vms} VMs: {before:?}, {after:?}");
        // Refusing everybody is no way to serve those that are read.
        let lost = after.asked - after.served;
        assert!(lost * 20 <= after.asked, "{vms} VMs: {after:?}");
    }
}
