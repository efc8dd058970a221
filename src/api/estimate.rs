//! Estimates how likely a version's answer is to meet the quality target.
//!
//! The evidence is the decaying number of rated answers of a version for one
//! task of an organisation, summed over all VMs. With few ratings the estimate
//! stays close to the version's configured prior quality, so that a new task
//! does not start from nothing.

use crate::{
    api::{
        tally::{Tallies, Tally, TallyKey, evidence},
        template::VersionEntry,
    },
    clock::BootInstant,
    message::ShortHash,
};

/// Weight of the prior quality, as a number of ratings.
const PRIOR_RATINGS: f64 = 6.0;

/// Output tokens assumed for a request that sets no limit.
pub const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// Returns the short hash that identifies a version of a model.
pub fn version_hash(entry: &VersionEntry) -> ShortHash {
    ShortHash::of(&format!("{}@{}", entry.model, entry.version))
}

/// Returns the key under which the evidence of all VMs is summed.
pub fn evidence_key(
    organisation: ShortHash,
    task: ShortHash,
    version: ShortHash,
) -> TallyKey {
    TallyKey::Evidence { organisation, task, version }
}

/// The estimated quality of a version and the evidence behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QualityEstimate {
    /// The probability that an answer meets the target, from 0 to 1.
    pub probability: f64,
    /// The decayed number of rated answers behind it.
    pub rated: f64,
}

/// Estimates a version's quality from the summed evidence and its prior.
pub fn estimate_quality(
    tallies: &Tallies,
    organisation: ShortHash,
    task: ShortHash,
    entry: &VersionEntry,
    now: BootInstant,
) -> QualityEstimate {
    let key = evidence_key(organisation, task, version_hash(entry));
    from_ratings(tallies.total(&key, now), entry.prior_quality.value())
}

/// Estimates the quality from the ratings in a tally and a prior quality.
pub fn from_ratings(tally: Tally, prior: f64) -> QualityEstimate {
    let rated = f64::from(tally.0[evidence::RATED]);
    let met = f64::from(tally.0[evidence::MET_TARGET]).min(rated);
    let probability = (PRIOR_RATINGS * prior + met) / (PRIOR_RATINGS + rated);
    QualityEstimate { probability, rated }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tally(rated: f32, met: f32) -> Tally {
        let mut tally = Tally::default();
        tally.0[evidence::RATED] = rated;
        tally.0[evidence::MET_TARGET] = met;
        tally
    }

    #[test]
    fn the_estimate_moves_from_the_prior_to_the_evidence() {
        let prior = from_ratings(Tally::default(), 0.7).probability;
        assert!((prior - 0.7).abs() < 1e-9);
        let some = from_ratings(tally(10.0, 1.0), 0.7).probability;
        let much = from_ratings(tally(1000.0, 100.0), 0.7).probability;
        assert!(some < 0.4 && some > 0.2);
        assert!((much - 0.1).abs() < 0.01);
    }
}
