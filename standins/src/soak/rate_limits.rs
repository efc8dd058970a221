//! Upstreams of a soak that name rate limits, and whether all VMs together
//! keep to them.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    check::{Promise, Violation, violation},
    evidence::{CONTACT_TIME, Evidence},
    own_words::Seen,
};

/// The span over which requests are counted, and what is allowed in it beyond
/// the rate.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const TOLERANCE: f64 = 5.0;

/// Time after an answer was passed on from which its VM counts as told.
const TOLD_AFTER: Duration = Duration::from_millis(500);

/// Rates that are named, in requests a second.
const RATES_PER_S: [f64; 4] = [0.0, 0.3, 1.1, 5.0];

/// Shortest and longest time for which a limit holds, and between two, in
/// milliseconds.
const HOLDS_MS: std::ops::Range<u64> = 5000..9000;
const BETWEEN_MS: std::ops::Range<u64> = 300..2000;

/// Part of the times at which all upstreams of a service name a limit.
const ALL_SHARE: f64 = 0.25;

/// Distinguishes the draws of limits from those of faults.
const SEED: u64 = 0x6c69_6d69_7473;

/// A time in which an upstream names a limit.
#[derive(Clone, Debug)]
pub struct RateLimitPeriod {
    /// The upstream.
    pub upstream: String,
    /// Requests a second.
    pub per_s: f64,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub to: Duration,
}

/// An answer that named a limit.
#[derive(Clone, Debug)]
pub struct RateLimitSignal {
    /// The id of the call that it answered.
    pub id: String,
    /// The upstream.
    pub upstream: String,
    /// Which life of it.
    pub life: u64,
    /// When it answered.
    pub at: Duration,
}

/// What limits are to be named next.
pub(super) struct Schedule {
    rng: ChaCha8Rng,
    next_at: Duration,
}

/// Limits that begin.
pub(super) struct Begun {
    /// The number of one upstream, or that of one of those of a service.
    pub(super) upstream: usize,
    pub(super) is_whole_service: bool,
    pub(super) per_s: f64,
    pub(super) ends_at: Duration,
}

impl Schedule {
    pub(super) fn new(seed: u64) -> Schedule {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ SEED);
        Schedule { rng, next_at: Duration::ZERO }
    }

    /// The limits that begin now, if any do.
    pub(super) fn next(
        &mut self,
        upstreams: usize,
        now: Duration,
    ) -> Option<Begun> {
        if now < self.next_at {
            return None;
        }
        let mut draw = |range| {
            Duration::from_millis(self.rng.random_range::<u64, _>(range))
        };
        let ends_at = now + draw(HOLDS_MS);
        self.next_at = ends_at + draw(BETWEEN_MS);
        Some(Begun {
            upstream: self.rng.random_range(0..upstreams),
            is_whole_service: self.rng.random_bool(ALL_SHARE),
            per_s: *RATES_PER_S.choose(&mut self.rng).expect("rates"),
            ends_at,
        })
    }
}

/// The most that came at one upstream in a window beyond what its limit
/// allows.
pub fn sent_past_limit(evidence: &Evidence) -> usize {
    let seen = Seen::new(evidence);
    let past = evidence.rate_limits.iter().map(|limit| past(&seen, limit));
    past.max().unwrap_or(0)
}

fn past(seen: &Seen<'_>, limit: &RateLimitPeriod) -> usize {
    let in_time = |at: Duration| (limit.from..=limit.to).contains(&at);
    let said: Vec<&RateLimitSignal> = seen
        .evidence
        .rate_limit_signals
        .iter()
        .filter(|said| said.upstream == limit.upstream && in_time(said.at))
        .collect();
    let Some(first) = said.iter().map(|said| said.at).min() else { return 0 };
    // By process of a VM and life of the upstream.
    let mut told: HashMap<(usize, u32, u64), Duration> = HashMap::new();
    for said in &said {
        let call = seen.calls.get(said.id.as_str());
        let passed_on = call.filter(|call| call.status == 200 && call.is_own);
        let Some(call) = passed_on else { continue };
        let at = told
            .entry((call.vm, call.life, said.life))
            .or_insert(call.ended_at);
        *at = (*at).min(call.ended_at);
    }
    let runs = seen.evidence.runs.iter().chain(&seen.evidence.declined);
    let mut counted: Vec<(u64, Duration)> = runs
        .filter(|run| run.upstream == limit.upstream && in_time(run.at))
        .filter(|run| {
            let Some(call) = seen.calls.get(run.id.as_str()) else {
                return false;
            };
            let told_at = told.get(&(call.vm, call.life, run.life));
            told_at.is_some_and(|told_at| {
                run.at >= *told_at + TOLD_AFTER
                    && !seen.is_excused(call.vm, *told_at, run.at)
            })
        })
        .map(|run| (run.life, run.at))
        .collect();
    counted.sort();
    let allowed = limit.per_s * WINDOW.as_secs_f64() * FACTOR + TOLERANCE;
    let ends = counted.iter().filter(|(_, at)| *at >= first + CONTACT_TIME);
    let most = ends.map(|(life, end)| {
        let from = end.saturating_sub(WINDOW);
        let in_window = counted
            .iter()
            .filter(|(of, at)| of == life && *at > from && at <= end);
        in_window.count()
    });
    most.max().unwrap_or(0).saturating_sub(allowed as usize)
}

/// No upstream gets more than the rate that it has named.
pub(super) fn kept(evidence: &Evidence) -> Vec<Violation> {
    match sent_past_limit(evidence) {
        0 => Vec::new(),
        past => {
            let what = format!("{past} more came than a limit allows");
            vec![violation(Promise::LimitKept, what)]
        }
    }
}
