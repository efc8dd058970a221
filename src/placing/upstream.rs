//! One upstream as this VM sees it: load with its age, own requests, health.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::BootInstant,
    id::{DataHallId, ModelId, ServiceId, UpstreamId},
    message::ShortHash,
    placing::reported_state::ReportedState,
};

/// Failures in a row after which an upstream gets only trial requests.
const BREAKER_LIMIT: u32 = 3;

/// First pause of an open breaker; it doubles with each failed trial.
const BREAKER_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause of an open breaker.
const BREAKER_PAUSE_MOST: Duration = Duration::from_secs(15);

/// Time over which a new upstream comes up to its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// Share of its slots that a new upstream gets at first.
const SLOW_START_LEAST: f64 = 0.2;

/// Age at which a load figure says nothing any more.
const LOAD_LIFETIME: Duration = Duration::from_secs(10);

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// Replicas of a model; which versions are loaded comes with the load.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its name.
    pub id: UpstreamId,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it serves.
    pub serves: Serves,
    /// Requests that it can work on at once.
    pub slots: u16,
    /// Whether it checks the epoch of orders.
    pub checks_fence: bool,
}

/// The last known load of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that it worked on.
    pub running: u32,
    /// Requests that waited there.
    pub waiting: u32,
    /// Versions that it had loaded.
    pub versions: Vec<ShortHash>,
    /// When the figures were taken, on this VM's clock.
    pub at: BootInstant,
    /// This VM's own requests there at that time.
    own_in_flight: u32,
}

/// Whether requests may go to an upstream, by its recent failures.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Breaker {
    Closed { failures: u32 },
    Open { until: BootInstant, pause: Duration },
    Trial { pause: Duration },
}

/// A change of the breaker worth logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerChange {
    /// It opened.
    Opened,
    /// It closed.
    Closed,
}

/// An upstream as this VM sees it.
#[derive(Debug)]
pub struct Upstream {
    /// What the platform says of it.
    pub record: UpstreamRecord,
    /// The short hash that VMs tell each other of it by: of its name, or of
    /// one life where it may start again under that.
    pub short_hash: ShortHash,
    /// What it has said of itself.
    pub reported_state: Arc<ReportedState>,
    seen_at: BootInstant,
    in_flight: AtomicU32,
    /// Whether the platform says that it is leaving, or a VM that was told.
    leaving: AtomicBool,
    load: Mutex<Option<Load>>,
    breaker: Mutex<Breaker>,
}

/// What the choice needs to know of one upstream, taken at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSnapshot {
    /// Its name.
    pub id: UpstreamId,
    /// Its short hash.
    pub short_hash: ShortHash,
    /// Whether it stands in this VM's data hall.
    pub local: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its breaker holds requests back.
    pub breaker_open: bool,
    /// How long it is to get no request of this VM, as it has asked for.
    pub backoff: Duration,
    /// Requests that it probably holds, own ones corrected.
    pub requests: f64,
    /// Slots, reduced while it is new.
    pub slots: f64,
    /// The age of its load, if any is known.
    pub load_age: Option<Duration>,
    /// Versions loaded, as far as known.
    pub versions: Vec<ShortHash>,
}

impl UpstreamSnapshot {
    /// Whether it may get a request now.
    pub fn is_available(&self) -> bool {
        !self.leaving && !self.breaker_open && self.backoff.is_zero()
    }
}

impl Upstream {
    /// Creates the view of an upstream first seen at `now`.
    ///
    /// `is_new` says whether it joined a running fleet, and so starts slowly.
    pub fn new(
        record: UpstreamRecord,
        is_new: bool,
        now: BootInstant,
    ) -> Upstream {
        let short_hash = ShortHash::of(record.id.as_str());
        Upstream::with_word(record, short_hash, Arc::default(), is_new, now)
    }

    /// The same, with the short hash that it is told by and what it has said
    /// of itself before.
    pub fn with_word(
        record: UpstreamRecord,
        short_hash: ShortHash,
        reported_state: Arc<ReportedState>,
        is_new: bool,
        now: BootInstant,
    ) -> Upstream {
        let long_ago = now.checked_sub(SLOW_START).unwrap_or(now);
        Upstream {
            short_hash,
            record,
            reported_state,
            seen_at: if is_new { now } else { long_ago },
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            load: Mutex::new(None),
            breaker: Mutex::new(Breaker::Closed { failures: 0 }),
        }
    }

    /// Counts a request of this VM until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// This VM's requests there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Marks it as leaving by another's word; returns whether that is news.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
            && !self.reported_state.is_leaving()
    }

    /// Whether another says that it is leaving.
    pub fn is_marked_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Takes back the mark, when the platform lists it as live again.
    pub fn mark_staying(&self) {
        self.leaving.store(false, Ordering::Relaxed);
    }

    /// Whether it is leaving, by anybody's word.
    pub fn is_leaving(&self) -> bool {
        self.is_marked_leaving() || self.reported_state.is_leaving()
    }

    /// Takes in a load figure unless a newer one is known.
    pub fn set_load(
        &self,
        running: u32,
        waiting: u32,
        versions: Vec<ShortHash>,
        at: BootInstant,
    ) -> bool {
        let mut load = self.load.lock().expect("load lock");
        if load.as_ref().is_some_and(|held| held.at >= at) {
            return false;
        }
        let own_in_flight = self.in_flight();
        *load = Some(Load { running, waiting, versions, at, own_in_flight });
        true
    }

    /// The last known load.
    pub fn load(&self) -> Option<Load> {
        self.load.lock().expect("load lock").clone()
    }

    /// Whether a request may be sent now; lets one trial through an open
    /// breaker whose pause has passed.
    pub fn allow_request(&self, now: BootInstant) -> bool {
        let mut breaker = self.breaker.lock().expect("breaker lock");
        match *breaker {
            Breaker::Closed { .. } => true,
            Breaker::Trial { .. } => false,
            Breaker::Open { until, .. } if now < until => false,
            Breaker::Open { pause, .. } => {
                *breaker = Breaker::Trial { pause };
                true
            }
        }
    }

    /// Records that it answered.
    pub fn record_success(&self) -> Option<BreakerChange> {
        let mut breaker = self.breaker.lock().expect("breaker lock");
        let was_open = !matches!(*breaker, Breaker::Closed { .. });
        *breaker = Breaker::Closed { failures: 0 };
        was_open.then_some(BreakerChange::Closed)
    }

    /// Records that it failed to answer.
    pub fn record_failure(&self, now: BootInstant) -> Option<BreakerChange> {
        let mut breaker = self.breaker.lock().expect("breaker lock");
        let (next, change) = match *breaker {
            Breaker::Closed { failures } if failures + 1 < BREAKER_LIMIT => {
                (Breaker::Closed { failures: failures + 1 }, None)
            }
            Breaker::Closed { .. } => (
                Breaker::Open {
                    until: now + BREAKER_PAUSE,
                    pause: BREAKER_PAUSE,
                },
                Some(BreakerChange::Opened),
            ),
            Breaker::Open { pause, .. } | Breaker::Trial { pause } => {
                let pause = (pause * 2).min(BREAKER_PAUSE_MOST);
                (Breaker::Open { until: now + pause, pause }, None)
            }
        };
        *breaker = next;
        change
    }

    /// What the choice needs to know.
    pub fn snapshot(
        &self,
        own_hall: &DataHallId,
        now: BootInstant,
    ) -> UpstreamSnapshot {
        let held = self.load.lock().expect("load lock");
        let load = held.as_ref().filter(|load| {
            now.saturating_duration_since(load.at) < LOAD_LIFETIME
        });
        let own = self.in_flight();
        let requests = load.map_or(f64::from(own), |load| {
            let reported = f64::from(load.running + load.waiting);
            let since = f64::from(own) - f64::from(load.own_in_flight);
            (reported + since).max(f64::from(own))
        });
        UpstreamSnapshot {
            id: self.record.id.clone(),
            short_hash: self.short_hash,
            local: self.record.data_hall == *own_hall,
            leaving: self.is_leaving(),
            breaker_open: self.is_broken(now),
            backoff: self.reported_state.rest_left(now),
            requests,
            slots: f64::from(self.record.slots) * self.warmth(now),
            load_age: load.map(|load| now.saturating_duration_since(load.at)),
            // What is loaded changes rarely, so an old word on it holds.
            versions: held
                .as_ref()
                .map(|load| load.versions.clone())
                .unwrap_or_default(),
        }
    }

    fn is_broken(&self, now: BootInstant) -> bool {
        match *self.breaker.lock().expect("breaker lock") {
            Breaker::Closed { .. } => false,
            Breaker::Trial { .. } => true,
            Breaker::Open { until, .. } => now < until,
        }
    }

    fn warmth(&self, now: BootInstant) -> f64 {
        let age = now.saturating_duration_since(self.seen_at);
        let share = age.as_secs_f64() / SLOW_START.as_secs_f64();
        share.clamp(SLOW_START_LEAST, 1.0)
    }
}

/// Counts a request at an upstream while it lives.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Upstream>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn upstream(now: BootInstant) -> Arc<Upstream> {
        let record = UpstreamRecord {
            id: "u1".parse().unwrap(),
            data_hall: "a".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            serves: Serves::Model("m".parse().unwrap()),
            slots: 10,
            checks_fence: true,
        };
        Arc::new(Upstream::new(record, false, now))
    }

    #[test]
    fn own_requests_correct_an_old_load() {
        let now = BootInstant::now();
        let upstream = upstream(now);
        let hall = "a".parse().unwrap();
        let first = upstream.begin();
        upstream.set_load(4, 1, vec![], now);
        assert_eq!(upstream.snapshot(&hall, now).requests, 5.0);
        let _second = upstream.begin();
        assert_eq!(upstream.snapshot(&hall, now).requests, 6.0);
        drop(first);
        assert_eq!(upstream.snapshot(&hall, now).requests, 5.0);
        assert!(!upstream.set_load(0, 0, vec![], now));
        let late = now + LOAD_LIFETIME;
        assert_eq!(upstream.snapshot(&hall, late).requests, 1.0);
    }

    #[test]
    fn the_breaker_opens_tries_once_and_closes() {
        let now = BootInstant::now();
        let upstream = upstream(now);
        for _ in 1..BREAKER_LIMIT {
            assert_eq!(upstream.record_failure(now), None);
        }
        assert_eq!(upstream.record_failure(now), Some(BreakerChange::Opened));
        assert!(!upstream.allow_request(now));
        let later = now + BREAKER_PAUSE;
        assert!(upstream.allow_request(later));
        assert!(!upstream.allow_request(later));
        upstream.record_failure(later);
        assert!(!upstream.allow_request(later + BREAKER_PAUSE));
        assert!(upstream.allow_request(later + BREAKER_PAUSE * 2));
        assert_eq!(upstream.record_success(), Some(BreakerChange::Closed));
        assert!(upstream.allow_request(later));
    }

    #[test]
    fn a_new_upstream_starts_slowly() {
        let now = BootInstant::now();
        let record = upstream(now).record.clone();
        let upstream = Upstream::new(record, true, now);
        let hall = "b".parse().unwrap();
        let first = upstream.snapshot(&hall, now);
        assert!(!first.local);
        assert_eq!(first.slots, 2.0);
        assert_eq!(upstream.snapshot(&hall, now + SLOW_START).slots, 10.0);
    }
}
