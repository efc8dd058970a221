//! The load and the circuit breaker of one upstream, as this VM sees them.

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

/// Consecutive failures that open the breaker.
const BREAKER_THRESHOLD: u32 = 3;

/// First pause of an open breaker; the pause doubles with each failed trial.
const BASE_BREAKER_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause of an open breaker.
const MAX_BREAKER_PAUSE: Duration = Duration::from_secs(15);

/// Time over which the capacity of a new upstream is raised to its full value
/// (slow start).
const SLOW_START: Duration = Duration::from_secs(10);

/// Share of its slots that a new upstream is given at first.
const MIN_SLOW_START_SHARE: f64 = 0.2;

/// Age at which a load report no longer counts.
const LOAD_TTL: Duration = Duration::from_secs(10);

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// Replicas of a model; the load reports name the loaded versions.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// An upstream as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its unique name.
    pub id: UpstreamId,
    /// The data hall in which it runs.
    pub data_hall: DataHallId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// What it serves.
    pub serves: Serves,
    /// How many requests it processes concurrently.
    pub slots: u16,
    /// Whether it checks the fencing epoch of orders.
    pub checks_fence: bool,
}

/// The last known load of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that it was processing.
    pub running: u32,
    /// Requests that were waiting in its queue.
    pub waiting: u32,
    /// Versions that it had loaded.
    pub versions: Vec<ShortHash>,
    /// When the load was measured, on this VM's clock.
    pub at: BootInstant,
    /// This VM's requests in flight there at that time.
    own_in_flight: u32,
}

/// The state of a circuit breaker.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Breaker {
    Closed { failures: u32 },
    Open { until: BootInstant, pause: Duration },
    HalfOpen { pause: Duration },
}

/// A transition of the breaker that is worth logging.
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
    /// Its record from the platform.
    pub record: UpstreamRecord,
    /// The hash that identifies it in messages between VMs: of its name, or of
    /// one incarnation where it may restart under the same name.
    pub short_hash: ShortHash,
    /// What it has reported about itself.
    pub reported_state: Arc<ReportedState>,
    added_at: BootInstant,
    in_flight: AtomicU32,
    /// Whether the platform or another VM reports that it is leaving.
    is_marked_leaving: AtomicBool,
    load: Mutex<Option<Load>>,
    breaker: Mutex<Breaker>,
}

/// What the selection needs to know of one upstream, taken at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSnapshot {
    /// Its unique name.
    pub id: UpstreamId,
    /// Its hash in messages between VMs.
    pub short_hash: ShortHash,
    /// Whether it runs in this VM's data hall.
    pub local: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its circuit breaker is open.
    pub breaker_open: bool,
    /// How long this VM must not send it requests, because of its
    /// `Retry-After` or rate limit.
    pub backoff: Duration,
    /// Estimated requests that it holds: the last report, corrected by this
    /// VM's requests since then.
    pub requests: f64,
    /// Its slots, reduced during slow start.
    pub slots: f64,
    /// The age of its load report; `None` if there is no recent one.
    pub load_age: Option<Duration>,
    /// The loaded versions, as last reported.
    pub versions: Vec<ShortHash>,
}

impl UpstreamSnapshot {
    /// Whether it may be sent a request now.
    pub fn is_available(&self) -> bool {
        !self.leaving && !self.breaker_open && self.backoff.is_zero()
    }
}

impl Upstream {
    /// Creates the view of an upstream first seen at `now`.
    ///
    /// `is_new` says whether it joined a running fleet, and so begins with a
    /// slow start.
    pub fn new(
        record: UpstreamRecord,
        is_new: bool,
        now: BootInstant,
    ) -> Upstream {
        let short_hash = ShortHash::of(record.id.as_str());
        Upstream::with_reported_state(
            record,
            short_hash,
            Arc::default(),
            is_new,
            now,
        )
    }

    /// Creates the view with an explicit hash and with the state that the
    /// upstream has reported before.
    pub fn with_reported_state(
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
            added_at: if is_new { now } else { long_ago },
            in_flight: AtomicU32::new(0),
            is_marked_leaving: AtomicBool::new(false),
            load: Mutex::new(None),
            breaker: Mutex::new(Breaker::Closed { failures: 0 }),
        }
    }

    /// Counts a request of this VM until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// Returns the number of this VM's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Marks it as leaving, as the platform or another VM reports; returns
    /// whether this was not known before.
    pub fn mark_leaving(&self) -> bool {
        !self.is_marked_leaving.swap(true, Ordering::Relaxed)
            && !self.reported_state.is_leaving()
    }

    /// Whether the platform or another VM reports that it is leaving.
    pub fn is_marked_leaving(&self) -> bool {
        self.is_marked_leaving.load(Ordering::Relaxed)
    }

    /// Removes the mark, when the platform lists it as live again.
    pub fn clear_leaving_mark(&self) {
        self.is_marked_leaving.store(false, Ordering::Relaxed);
    }

    /// Whether it is leaving, as reported by itself or by others.
    pub fn is_leaving(&self) -> bool {
        self.is_marked_leaving() || self.reported_state.is_leaving()
    }

    /// Stores a load report unless a newer one is known; returns whether it
    /// was stored.
    pub fn set_load(
        &self,
        running: u32,
        waiting: u32,
        versions: Vec<ShortHash>,
        at: BootInstant,
    ) -> bool {
        let mut load = self.load.lock().expect("load lock");
        if load.as_ref().is_some_and(|known| known.at >= at) {
            return false;
        }
        let own_in_flight = self.in_flight();
        *load = Some(Load { running, waiting, versions, at, own_in_flight });
        true
    }

    /// Returns the last known load.
    pub fn load(&self) -> Option<Load> {
        self.load.lock().expect("load lock").clone()
    }

    /// Whether the circuit breaker allows a request now; lets one trial
    /// through an open breaker whose pause has passed.
    pub fn allow_request(&self, now: BootInstant) -> bool {
        let mut breaker = self.breaker.lock().expect("breaker lock");
        match *breaker {
            Breaker::Closed { .. } => true,
            Breaker::HalfOpen { .. } => false,
            Breaker::Open { until, .. } if now < until => false,
            Breaker::Open { pause, .. } => {
                *breaker = Breaker::HalfOpen { pause };
                true
            }
        }
    }

    /// Records a successful response; returns a transition of the breaker, if
    /// any.
    pub fn record_success(&self) -> Option<BreakerChange> {
        let mut breaker = self.breaker.lock().expect("breaker lock");
        let was_open = !matches!(*breaker, Breaker::Closed { .. });
        *breaker = Breaker::Closed { failures: 0 };
        was_open.then_some(BreakerChange::Closed)
    }

    /// Records a failure; returns a transition of the breaker, if any.
    pub fn record_failure(&self, now: BootInstant) -> Option<BreakerChange> {
        let mut breaker = self.breaker.lock().expect("breaker lock");
        let (next, change) = match *breaker {
            Breaker::Closed { failures }
                if failures + 1 < BREAKER_THRESHOLD =>
            {
                (Breaker::Closed { failures: failures + 1 }, None)
            }
            Breaker::Closed { .. } => (
                Breaker::Open {
                    until: now + BASE_BREAKER_PAUSE,
                    pause: BASE_BREAKER_PAUSE,
                },
                Some(BreakerChange::Opened),
            ),
            Breaker::Open { pause, .. } | Breaker::HalfOpen { pause } => {
                let pause = (pause * 2).min(MAX_BREAKER_PAUSE);
                (Breaker::Open { until: now + pause, pause }, None)
            }
        };
        *breaker = next;
        change
    }

    /// Takes a snapshot for the selection.
    pub fn snapshot(
        &self,
        own_hall: &DataHallId,
        now: BootInstant,
    ) -> UpstreamSnapshot {
        let known = self.load.lock().expect("load lock");
        let load = known
            .as_ref()
            .filter(|load| now.saturating_duration_since(load.at) < LOAD_TTL);
        let own = self.in_flight();
        let requests = load.map_or(f64::from(own), |load| {
            let reported = f64::from(load.running) + f64::from(load.waiting);
            let since = f64::from(own) - f64::from(load.own_in_flight);
            (reported + since).max(f64::from(own))
        });
        UpstreamSnapshot {
            id: self.record.id.clone(),
            short_hash: self.short_hash,
            local: self.record.data_hall == *own_hall,
            leaving: self.is_leaving(),
            breaker_open: self.is_breaker_open(now),
            backoff: self.reported_state.backoff_left(now),
            requests,
            slots: f64::from(self.record.slots) * self.slow_start_share(now),
            load_age: load.map(|load| now.saturating_duration_since(load.at)),
            // The loaded versions change rarely, so an expired report still
            // counts.
            versions: known
                .as_ref()
                .map(|load| load.versions.clone())
                .unwrap_or_default(),
        }
    }

    fn is_breaker_open(&self, now: BootInstant) -> bool {
        match *self.breaker.lock().expect("breaker lock") {
            Breaker::Closed { .. } => false,
            Breaker::HalfOpen { .. } => true,
            Breaker::Open { until, .. } => now < until,
        }
    }

    fn slow_start_share(&self, now: BootInstant) -> f64 {
        let age = now.saturating_duration_since(self.added_at);
        let share = age.as_secs_f64() / SLOW_START.as_secs_f64();
        share.clamp(MIN_SLOW_START_SHARE, 1.0)
    }
}

/// Counts a request at an upstream until it is dropped.
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
        let late = now + LOAD_TTL;
        assert_eq!(upstream.snapshot(&hall, late).requests, 1.0);
    }

    #[test]
    fn the_largest_load_that_can_be_reported_does_not_overflow() {
        let now = BootInstant::now();
        let upstream = upstream(now);
        let hall = "a".parse().unwrap();
        upstream.set_load(u32::MAX, u32::MAX, vec![], now);
        let most = 2.0 * f64::from(u32::MAX);
        assert_eq!(upstream.snapshot(&hall, now).requests, most);
    }

    #[test]
    fn the_breaker_opens_tries_once_and_closes() {
        let now = BootInstant::now();
        let upstream = upstream(now);
        for _ in 1..BREAKER_THRESHOLD {
            assert_eq!(upstream.record_failure(now), None);
        }
        assert_eq!(upstream.record_failure(now), Some(BreakerChange::Opened));
        assert!(!upstream.allow_request(now));
        let later = now + BASE_BREAKER_PAUSE;
        assert!(upstream.allow_request(later));
        assert!(!upstream.allow_request(later));
        upstream.record_failure(later);
        assert!(!upstream.allow_request(later + BASE_BREAKER_PAUSE));
        assert!(upstream.allow_request(later + BASE_BREAKER_PAUSE * 2));
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
