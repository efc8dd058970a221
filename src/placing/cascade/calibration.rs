//! How often an answer is expected to be poor.
//!
//! Whether an answer was poor is never observed: callers do not say so. Only
//! the confidence of the larger model on the same request is, and only where
//! it was asked. That is enough to learn how much doubt a larger model leaves
//! after an answer with a given confidence, but not what the confidence of the
//! smaller model itself means, which operators state as a
//! [`ConfidenceCurve`].
//!
//! Other VMs report what they have learned of larger models. Their samples
//! and this VM's own are kept apart, and count alike.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::{
    clock::BootInstant,
    id::ModelId,
    message::{DoubtReport, ShortHash},
    placing::cascade::{
        calibration::{
            doubt_sum::DoubtSum,
            peer_doubts::{MAX_ENTRIES, PeerDoubts},
        },
        confidence_curve::ConfidenceCurve,
    },
    unit::Percent,
};

mod doubt_sum;
mod peer_doubts;

pub(crate) use peer_doubts::ReportId;

/// Number of equal ranges of the confidence of the smaller model. Within a
/// range, whether the larger model is asked hardly depends on what it would
/// answer, so the requests for which it was asked stand for the others.
const RANGES: u8 = 10;

/// Weight of the prior in samples: a chance run of a few answers hardly
/// counts, and a VM that sees a few such requests a minute still learns.
const PRIOR_WEIGHT: f64 = 10.0;

/// Share of poor answers of the largest model, until something else is known.
const LARGEST_POOR: f64 = 0.02;

/// Share of poor answers of the smallest model, until something else is known.
const SMALLEST_POOR: f64 = 0.5;

/// Number of samples up to which learned doubt takes half of the gain of a
/// larger model at most: with fewer, it may be a chance run.
const FEW_SAMPLES: f64 = 20.0;

/// Number of samples from which learned doubt counts in full.
const MANY_SAMPLES: f64 = 100.0;

/// Minimum time between two reports to the VMs of the own data hall, which
/// get every heartbeat: a full report has about 600 bytes and counts for 60 s,
/// so it may be lost several times.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Doubt of models in their answers, learned from this VM's requests and the
/// reports of other VMs.
#[derive(Debug, Default)]
pub(crate) struct Calibration(Mutex<Learned>);

#[derive(Debug, Default)]
struct Learned {
    /// Doubt of models that were asked first.
    first: HashMap<ModelId, DoubtSum>,
    /// Doubt of larger models in this VM's requests.
    own: HashMap<DoubtKey, DoubtSum>,
    /// Doubt of larger models in the requests of other VMs.
    peers: PeerDoubts,
    /// When the VMs of the own data hall last got a report.
    reported_at: Option<BootInstant>,
}

/// What the doubt of a larger model is learned by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct DoubtKey {
    smaller: ShortHash,
    larger: ShortHash,
    /// The range of the smaller model's confidence, below [`RANGES`].
    range: u8,
}

/// What is known of a larger model by samples.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Samples {
    /// The sum of the doubts, by weight.
    doubt: f64,
    /// The weight of all samples.
    weight: f64,
    /// Number of samples.
    count: f64,
}

/// The learned doubt of a larger model in one range of the confidence of a
/// smaller one, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LearnedDoubt {
    /// The lowest confidence of the range, in percent.
    pub(crate) from_confidence: u8,
    /// The mean doubt, from 0 to 1, without the prior.
    pub(crate) doubt: f64,
    /// Number of samples, of this VM and others.
    pub(crate) samples: u64,
}

/// An answer whose model has stated its confidence.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RatedAnswer {
    /// The model.
    pub(crate) model: ModelId,
    /// Its confidence.
    pub(crate) confidence: Percent,
    /// The probability that it is poor, by its confidence.
    pub(crate) poor_probability: f64,
}

impl RatedAnswer {
    /// Creates an answer whose confidence is read by a curve.
    pub(crate) fn new(
        model: ModelId,
        confidence: Percent,
        curve: &ConfidenceCurve,
    ) -> RatedAnswer {
        let poor_probability = curve.poor_probability(confidence);
        RatedAnswer { model, confidence, poor_probability }
    }

    fn range(&self) -> u8 {
        let range = u16::from(self.confidence.value()) * u16::from(RANGES);
        ((range / 100) as u8).min(RANGES - 1)
    }
}

impl DoubtKey {
    /// Returns the key for an answer of a larger model after another answer.
    fn after(answer: &RatedAnswer, larger: &ModelId) -> DoubtKey {
        DoubtKey {
            smaller: ShortHash::of(answer.model.as_str()),
            larger: ShortHash::of(larger.as_str()),
            range: answer.range(),
        }
    }

    fn of_report(report: &DoubtReport) -> DoubtKey {
        DoubtKey {
            smaller: report.smaller,
            larger: report.larger,
            range: report.range,
        }
    }
}

impl Learned {
    /// Returns the samples of this VM and of others.
    fn samples(&mut self, key: DoubtKey, now: BootInstant) -> Samples {
        let own = self.own.get(&key).map(|sum| sum.at(now));
        let own = own.unwrap_or_else(|| DoubtSum::new(now));
        let peers = self.peers.total(key, now);
        let peer_samples = peers.samples as f64;
        Samples {
            doubt: own.doubt + peers.doubt_percent as f64 / 100.0,
            weight: own.weight + peer_samples,
            count: f64::from(own.count) + peer_samples,
        }
    }

    fn reports(&self, now: BootInstant) -> Vec<DoubtReport> {
        let sums = self.own.iter().map(|(key, sum)| (*key, sum.at(now)));
        let mut reports: Vec<DoubtReport> = sums
            .filter(|(_, sum)| sum.count > 0)
            .map(|(key, sum)| DoubtReport {
                smaller: key.smaller,
                larger: key.larger,
                range: key.range,
                doubt_percent: (sum.doubt / sum.weight * 100.0).round() as u8,
                samples: sum.weight.round() as u16,
            })
            .collect();
        reports.sort_by_key(|report| {
            (std::cmp::Reverse(report.samples), DoubtKey::of_report(report))
        });
        reports.truncate(MAX_ENTRIES);
        reports
    }
}

/// Returns a mean doubt, in which `prior` counts as some samples.
fn mean(doubt: f64, weight: f64, prior: f64) -> f64 {
    (prior * PRIOR_WEIGHT + doubt) / (PRIOR_WEIGHT + weight)
}

impl Calibration {
    /// Records an answer, and the answer of a smaller model to the same
    /// request that was dropped for it.
    pub(crate) fn record(
        &self,
        answer: &RatedAnswer,
        dropped: Option<&RatedAnswer>,
        now: BootInstant,
    ) {
        let mut learned = self.0.lock().expect("calibration lock");
        let new = || DoubtSum::new(now);
        let sum = match dropped {
            // Larger models are asked after others for hard requests alone,
            // so these say nothing about requests in general.
            None => {
                learned.first.entry(answer.model.clone()).or_insert_with(new)
            }
            Some(dropped) => {
                let key = DoubtKey::after(dropped, &answer.model);
                learned.own.entry(key).or_insert_with(new)
            }
        };
        sum.add(answer.poor_probability, now);
    }

    /// Returns the probability that a model answers a request poorly that no
    /// model has seen. `rank` is 0 for the smallest model and 1 for the
    /// largest.
    pub(crate) fn poor_at_first(
        &self,
        model: &ModelId,
        rank: f64,
        now: BootInstant,
    ) -> f64 {
        let prior = interpolate(SMALLEST_POOR, LARGEST_POOR, rank);
        let learned = self.0.lock().expect("calibration lock");
        let sum = learned.first.get(model).map(|sum| sum.at(now));
        sum.map_or(prior, |sum| mean(sum.doubt, sum.weight, prior))
    }

    /// Returns the probability that a larger model answers poorly after an
    /// answer. `rank` is 0 for the model of the answer and 1 for the largest.
    pub(crate) fn poor_after(
        &self,
        answer: &RatedAnswer,
        larger: &ModelId,
        rank: f64,
        now: BootInstant,
    ) -> f64 {
        let poor = answer.poor_probability;
        let prior = poor_after_prior(poor, rank);
        let key = DoubtKey::after(answer, larger);
        let mut learned = self.0.lock().expect("calibration lock");
        let samples = learned.samples(key, now);
        let proven =
            (samples.count - FEW_SAMPLES) / (MANY_SAMPLES - FEW_SAMPLES);
        let half_gain = (poor + prior) / 2.0;
        let limit = interpolate(half_gain, 1.0, proven.clamp(0.0, 1.0));
        mean(samples.doubt, samples.weight, prior).min(limit)
    }

    /// Returns what this VM's own requests have shown, for VMs of other data
    /// halls; the entries with the most samples if there are too many.
    pub(crate) fn reports(&self, now: BootInstant) -> Vec<DoubtReport> {
        self.0.lock().expect("calibration lock").reports(now)
    }

    /// Returns the same for the VMs of the own data hall if it is due, and
    /// nothing otherwise.
    pub(crate) fn due_reports(&self, now: BootInstant) -> Vec<DoubtReport> {
        let mut learned = self.0.lock().expect("calibration lock");
        let is_due = learned.reported_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= REPORT_INTERVAL
        });
        if !is_due {
            return Vec::new();
        }
        let reports = learned.reports(now);
        if !reports.is_empty() {
            learned.reported_at = Some(now);
        }
        reports
    }

    /// Merges what the requests of another VM have shown. An empty report
    /// leaves the last one as it is.
    pub(crate) fn merge_peer_doubts(
        &self,
        vm: &str,
        id: ReportId,
        reports: &[DoubtReport],
        now: BootInstant,
    ) {
        if reports.is_empty() {
            return;
        }
        let mut learned = self.0.lock().expect("calibration lock");
        learned.peers.merge(ShortHash::of(vm), id, reports, now);
    }

    /// Returns what was learned of a larger model after a smaller one, for
    /// the ranges of confidence with samples.
    pub(crate) fn learned_doubts(
        &self,
        smaller: &ModelId,
        larger: &ModelId,
        now: BootInstant,
    ) -> Vec<LearnedDoubt> {
        let [smaller, larger] =
            [smaller, larger].map(|model| ShortHash::of(model.as_str()));
        let mut learned = self.0.lock().expect("calibration lock");
        let ranges = (0..RANGES).map(|range| {
            let key = DoubtKey { smaller, larger, range };
            (range, learned.samples(key, now))
        });
        let with_samples = ranges.filter(|(_, samples)| samples.count > 0.0);
        with_samples
            .map(|(range, samples)| LearnedDoubt {
                from_confidence: range * (100 / RANGES),
                doubt: samples.doubt / samples.weight,
                samples: samples.count as u64,
            })
            .collect()
    }
}

/// Returns the probability that a larger model answers poorly after an answer
/// that is poor with probability `poor`, until something else is known.
pub(crate) fn poor_after_prior(poor: f64, rank: f64) -> f64 {
    interpolate(poor, LARGEST_POOR.min(poor), rank)
}

fn interpolate(from: f64, to: f64, share: f64) -> f64 {
    from + (to - from) * share
}

#[cfg(test)]
mod tests;
