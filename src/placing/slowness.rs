//! How slow an upstream is, compared with the other upstreams of its service.
//!
//! The load pattern: upstreams of one service differ in speed by a factor of
//! two, and noisy neighbours slow down single ones by a factor of 2.5 for
//! parts of a second. Without a notion of speed, the slow ones receive as many
//! requests as the fast ones, and long prompts wait there.
//!
//! Two figures are combined. The *learned* slowness comes from measured times:
//! each VM divides what a request took by what it expected, and VMs share
//! these ratios. The *reported* slowdown is what the upstream says of itself;
//! it changes many times a second, and applies only while it is fresh.
//!
//! Upstreams differ from each other even if they are equal, since times vary.
//! Ratios that are close to 1, or not significantly different from it, count
//! as 1, so that the choice among equal upstreams is not affected.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{clock::BootInstant, message::ShortHash};

/// Half-life of the weight of a sample. The slowness of an upstream that
/// receives no requests ages to 1 within seconds, and it is tried again.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// Age from which a sample no longer counts.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Weight of samples that an estimate needs before it is used: one request can
/// be slow for reasons of its own.
const MIN_WEIGHT: f64 = 3.0;

/// Weight with which each estimate is drawn to 1.
const PRIOR_WEIGHT: f64 = 0.5;

/// Ratios from the inverse of this up to it count as 1: the times of equal
/// upstreams differ by as much, and the gain of choosing by them is small.
const DEAD_BAND: f64 = 1.25;

/// Standard errors by which an estimate must differ from 1.
const MIN_STANDARD_ERRORS: f64 = 2.0;

/// Smallest standard deviation of the logarithm of a ratio that is assumed.
const MIN_DEVIATION: f64 = 0.1;

/// Quantile of the recent ratios that is taken for the typical one. It is
/// below the median since a wait that this VM does not know of makes a ratio
/// larger, and nothing makes one smaller.
const QUANTILE: f64 = 0.35;

/// Standard error of the quantile, as a factor on the median absolute
/// deviation divided by the root of the number of samples: about 1.25 times
/// the standard deviation, which is 1.5 times the median absolute deviation of
/// a normal distribution.
const QUANTILE_ERROR: f64 = 1.25 * 1.5;

/// Times of services up to this one count as equal: they consist mostly of
/// latency and of waits for a processor, which say nothing of the upstream. On
/// a busy machine, requests of 5 ms gave factors of 1.9 between two equal
/// upstreams.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(25);

/// Largest factor that is used for a choice.
const MAX_SLOWNESS: f64 = 10.0;

/// Largest factor on the time for which a slow upstream is waited for: one
/// that has died must still be noticed.
const MAX_WAIT_FACTOR: f64 = 2.0;

/// Number of recent samples that are kept.
const MAX_SAMPLES: usize = 16;

/// Maximum number of samples that the report of another VM counts for.
const MAX_REPORTED_SAMPLES: u16 = MAX_SAMPLES as u16;

/// A ratio of a measured to an expected time, or the typical one of several
/// requests.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Its logarithm: twice as long and half as long cancel out.
    log: f64,
    /// Number of requests.
    count: f64,
    at: BootInstant,
}

impl Sample {
    /// Returns the sample, or `None` if the ratio is no positive number.
    fn new(ratio: f64, count: u16, at: BootInstant) -> Option<Sample> {
        let is_usable = ratio.is_finite() && ratio > 0.0 && count > 0;
        is_usable.then(|| Sample {
            log: ratio.ln(),
            count: count.min(MAX_REPORTED_SAMPLES).into(),
            at,
        })
    }

    fn weight(&self, now: BootInstant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        if age >= MAX_AGE {
            return 0.0;
        }
        let halves = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.count * 0.5_f64.powf(halves)
    }
}

/// The last ratios, of which the typical one is a quantile, not the mean: an
/// upstream may have been busy with prompts that this VM did not know of, and
/// 1 in 100 requests takes 5 times as long as usual.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentRatios(VecDeque<Sample>);

impl RecentRatios {
    /// Adds the ratio of one request; ignored if it is no positive number.
    pub(crate) fn record(&mut self, ratio: f64, now: BootInstant) {
        let Some(sample) = Sample::new(ratio, 1, now) else { return };
        if self.0.len() == MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back(sample);
    }

    /// Returns the typical ratio; `None` if there are too few recent samples.
    pub(crate) fn typical(&self, now: BootInstant) -> Option<LogRatio> {
        LogRatio::of(self.0.iter(), now)
    }

    /// Returns the typical ratio and the number of samples for a report to
    /// other VMs; `None` if there are no recent samples.
    pub(crate) fn report(&self, now: BootInstant) -> Option<(f64, u16)> {
        let logs = self.0.iter().map(|s| (s.log, s.weight(now)));
        let (log, weight) = quantile(logs, QUANTILE)?;
        let samples = weight.round() as u16;
        (samples > 0).then(|| (log.exp(), samples))
    }
}

/// The ratios of this VM and those that the others have reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedRatios {
    own: RecentRatios,
    peers: HashMap<ShortHash, Sample>,
}

impl SharedRatios {
    /// Adds the ratio of a request of this VM.
    pub(crate) fn record(&mut self, ratio: f64, now: BootInstant) {
        self.own.record(ratio, now);
    }

    /// Replaces what another VM has reported.
    pub(crate) fn set_peer(
        &mut self,
        vm: ShortHash,
        ratio: f64,
        samples: u16,
        now: BootInstant,
    ) {
        if let Some(sample) = Sample::new(ratio, samples, now) {
            self.peers.insert(vm, sample);
        }
    }

    /// Returns the typical ratio; `None` if there are too few recent samples.
    /// Reports that no longer matter are dropped.
    pub(crate) fn typical(&mut self, now: BootInstant) -> Option<LogRatio> {
        self.peers.retain(|_, sample| sample.weight(now) >= 0.1);
        LogRatio::of(self.own.0.iter().chain(self.peers.values()), now)
    }

    /// Returns what to report to other VMs, see [`RecentRatios::report`].
    pub(crate) fn report(&self, now: BootInstant) -> Option<(f64, u16)> {
        self.own.report(now)
    }
}

/// Returns the ratio of a service time to the expected one.
pub(crate) fn service_ratio(took: Duration, expected: Duration) -> f64 {
    let [took, expected] =
        [took, expected].map(|time| time.max(MIN_SERVICE_TIME).as_secs_f64());
    took / expected
}

/// Returns a quantile of weighted values, and the sum of the weights; `None`
/// without values.
fn quantile(
    values: impl Iterator<Item = (f64, f64)>,
    share: f64,
) -> Option<(f64, f64)> {
    let mut values: Vec<(f64, f64)> = values.collect();
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let weight: f64 = values.iter().map(|(_, weight)| weight).sum();
    let mut below = 0.0;
    let found = values.iter().find(|(_, weight_here)| {
        below += weight_here;
        below >= weight * share
    })?;
    Some((found.0, weight))
}

/// The logarithm of a typical ratio.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LogRatio {
    log: f64,
    standard_error: f64,
}

impl LogRatio {
    fn of<'a>(
        samples: impl Iterator<Item = &'a Sample> + Clone,
        now: BootInstant,
    ) -> Option<LogRatio> {
        let weighted = samples.map(|s| (s.log, s.weight(now)));
        let (log, weight) = quantile(weighted.clone(), QUANTILE)?;
        if weight < MIN_WEIGHT {
            return None;
        }
        let deviations =
            weighted.map(|(other, weight)| ((other - log).abs(), weight));
        let (deviation, _) = quantile(deviations, 0.5)?;
        let deviation = deviation.max(MIN_DEVIATION);
        Some(LogRatio {
            log: log * weight / (weight + PRIOR_WEIGHT),
            standard_error: deviation * QUANTILE_ERROR / weight.sqrt(),
        })
    }

    /// Returns the typical ratio.
    pub(crate) fn ratio(self) -> f64 {
        self.log.exp()
    }
}

/// Returns the slowness of each upstream of a service relative to the others,
/// given the typical ratio of each; 1 for those without.
///
/// The reference is the median of those with one.
pub(crate) fn relative(ratios: &[Option<LogRatio>]) -> Vec<f64> {
    let mut known: Vec<f64> =
        ratios.iter().flatten().map(|ratio| ratio.log).collect();
    known.sort_by(f64::total_cmp);
    let middle = known.len() / 2;
    let reference = match known.len() {
        0 => 0.0,
        count if count % 2 == 1 => known[middle],
        _ => (known[middle - 1] + known[middle]) / 2.0,
    };
    let relative = ratios.iter().map(|ratio| {
        ratio.map_or(1.0, |ratio| {
            let log = ratio.log - reference;
            let least = ratio.standard_error * MIN_STANDARD_ERRORS;
            if log.abs() < least { 1.0 } else { outside_dead_band(log.exp()) }
        })
    });
    relative.collect()
}

/// Returns the ratio, or 1 if it is within the dead band.
pub(crate) fn outside_dead_band(ratio: f64) -> f64 {
    match is_within_dead_band(ratio) {
        true => 1.0,
        false => ratio.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS),
    }
}

/// Whether a ratio is so close to 1 that it counts as 1.
pub(crate) fn is_within_dead_band(ratio: f64) -> bool {
    (1.0 / DEAD_BAND..=DEAD_BAND).contains(&ratio)
}

/// Returns by how much a reported slowdown exceeds what the upstream usually
/// reports. `usual` is the typical one of its reports, if enough are known.
///
/// A report may include the lasting speed of the upstream, which the learned
/// slowness includes as well.
pub(crate) fn momentary(reported: f64, usual: Option<f64>) -> f64 {
    outside_dead_band(reported / usual.unwrap_or(1.0))
}

/// Returns the slowness to expect at this moment: the learned one, changed by
/// a fresh report.
///
/// As long as it is unknown what the upstream usually reports, the report may
/// include the learned slowness or not; the one that is farther from 1 counts.
pub(crate) fn current(learned: f64, reported: f64, usual: Option<f64>) -> f64 {
    let momentary = momentary(reported, usual);
    let slowness = match usual {
        Some(_) => learned * momentary,
        None if momentary.ln().abs() > learned.ln().abs() => momentary,
        None => learned,
    };
    slowness.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS)
}

/// Returns the factor on the time for which an upstream of this slowness is
/// waited for.
pub(crate) fn wait_factor(slowness: f64) -> f64 {
    slowness.clamp(1.0, MAX_WAIT_FACTOR)
}

#[cfg(test)]
mod tests;
