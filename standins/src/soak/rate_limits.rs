//! Rate limits that upstreams state in responses, and the check that all VMs
//! together respect them.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    check::{Promise, Violation, violation},
    evidence::{CONTACT_TIME, Evidence},
    signals::IndexedEvidence,
};

/// The window in which requests are counted, and what is allowed in it: the
/// rate times this factor, and this number of requests on top.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const TOLERANCE: f64 = 5.0;

/// Time after a VM has forwarded a response with a rate limit from which its
/// requests count.
const INFORMED_AFTER: Duration = Duration::from_millis(500);

/// Rate limits to draw from, in requests per second.
const RATES_PER_S: [f64; 4] = [0.0, 0.3, 1.1, 5.0];

/// Shortest and longest duration of a rate limit, and of the pause between two
/// limits, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 5000..9000;
const BETWEEN_MS: std::ops::Range<u64> = 300..2000;

/// Probability that a limit applies to all upstreams of a service.
const WHOLE_SERVICE_SHARE: f64 = 0.25;

/// Mixed into the run's seed, so that rate limits are drawn independently of
/// faults.
const SEED_SALT: u64 = 0x6c69_6d69_7473;

/// A period in which an upstream states a rate limit in its responses.
#[derive(Clone, Debug)]
pub struct RateLimitPeriod {
    /// The ID of the upstream.
    pub upstream: String,
    /// The limit, in requests per second.
    pub per_s: f64,
    /// When the period began.
    pub from: Duration,
    /// When it ended; [`Duration::MAX`] until then.
    pub to: Duration,
}

/// A response in which an upstream stated a rate limit.
#[derive(Clone, Debug)]
pub struct RateLimitSignal {
    /// The ID of the call that the response belongs to.
    pub id: String,
    /// The ID of the upstream.
    pub upstream: String,
    /// The incarnation of the upstream.
    pub life: u64,
    /// When the upstream sent it.
    pub at: Duration,
}

/// Draws rate limits, one after the other.
pub(super) struct Schedule {
    rng: ChaCha8Rng,
    next_at: Duration,
}

/// A drawn rate limit.
pub(super) struct DrawnLimit {
    /// The index of the upstream that states it.
    pub(super) upstream: usize,
    /// Whether all upstreams of the same service state it too.
    pub(super) is_whole_service: bool,
    /// In requests per second.
    pub(super) per_s: f64,
    pub(super) ends_at: Duration,
}

impl Schedule {
    pub(super) fn new(seed: u64) -> Schedule {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
        Schedule { rng, next_at: Duration::ZERO }
    }

    /// Draws a limit if the pause since the last one is over.
    pub(super) fn next(
        &mut self,
        upstreams: usize,
        now: Duration,
    ) -> Option<DrawnLimit> {
        if now < self.next_at {
            return None;
        }
        let mut draw = |range| {
            Duration::from_millis(self.rng.random_range::<u64, _>(range))
        };
        let ends_at = now + draw(DURATION_MS);
        self.next_at = ends_at + draw(BETWEEN_MS);
        Some(DrawnLimit {
            upstream: self.rng.random_range(0..upstreams),
            is_whole_service: self.rng.random_bool(WHOLE_SERVICE_SHARE),
            per_s: *RATES_PER_S.choose(&mut self.rng).expect("rates"),
            ends_at,
        })
    }
}

/// Returns the largest number of requests beyond what a rate limit allows that
/// arrived at one upstream in one window.
pub fn sent_past_limit(evidence: &Evidence) -> usize {
    let index = IndexedEvidence::new(evidence);
    let excess =
        evidence.rate_limits.iter().map(|limit| excess(&index, limit));
    excess.max().unwrap_or(0)
}

/// Counts the requests beyond the limit in the worst window of a period.
///
/// Requests of a VM count once the VM has forwarded a response with the limit
/// from this incarnation of the upstream, unless the VM is excused. A window
/// counts if it ends at least [`CONTACT_TIME`] after the first response.
fn excess(index: &IndexedEvidence<'_>, limit: &RateLimitPeriod) -> usize {
    let in_time = |at: Duration| (limit.from..=limit.to).contains(&at);
    let signals: Vec<&RateLimitSignal> = index
        .evidence
        .rate_limit_signals
        .iter()
        .filter(|s| s.upstream == limit.upstream && in_time(s.at))
        .collect();
    let Some(first) = signals.iter().map(|s| s.at).min() else { return 0 };
    // By VM, incarnation of the VM, and incarnation of the upstream.
    let mut informed: HashMap<(usize, u32, u64), Duration> = HashMap::new();
    for signal in &signals {
        let call = index.calls.get(signal.id.as_str());
        let forwarded = call.filter(|call| call.status == 200 && call.is_own);
        let Some(call) = forwarded else { continue };
        let at = informed
            .entry((call.vm, call.life, signal.life))
            .or_insert(call.ended_at);
        *at = (*at).min(call.ended_at);
    }
    let runs = index.evidence.runs.iter().chain(&index.evidence.declined);
    let mut counted: Vec<(u64, Duration)> = runs
        .filter(|run| run.upstream == limit.upstream && in_time(run.at))
        .filter(|run| {
            let Some(call) = index.calls.get(run.id.as_str()) else {
                return false;
            };
            let informed_at = informed.get(&(call.vm, call.life, run.life));
            informed_at.is_some_and(|informed_at| {
                run.at >= *informed_at + INFORMED_AFTER
                    && !index.is_excused(call.vm, *informed_at, run.at)
            })
        })
        .map(|run| (run.life, run.at))
        .collect();
    counted.sort();
    let allowed = limit.per_s * WINDOW.as_secs_f64() * FACTOR + TOLERANCE;
    let ends = counted.iter().filter(|(_, at)| *at >= first + CONTACT_TIME);
    let most = ends.map(|(incarnation, end)| {
        let from = end.saturating_sub(WINDOW);
        let in_window = counted
            .iter()
            .filter(|(of, at)| of == incarnation && *at > from && at <= end);
        in_window.count()
    });
    most.max().unwrap_or(0).saturating_sub(allowed as usize)
}

/// Checks that no upstream receives more than the rate limit that it states.
pub(super) fn limits_are_respected(evidence: &Evidence) -> Vec<Violation> {
    match sent_past_limit(evidence) {
        0 => Vec::new(),
        excess => {
            let what =
                format!("{excess} requests more than a rate limit allows");
            vec![violation(Promise::LimitKept, what)]
        }
    }
}
