//! Estimates from evidence: will this version's answer meet the target?
//!
//! Evidence is the pooled, fading count of rated answers of a version for an
//! organisation's task. Little evidence leans on the version's prior, first
//! on what other tasks of the organisation saw, so that a new task does not
//! start from nothing.

use crate::{
    api::{
        tally::{Tallies, Tally, TallyKey, evidence},
        template::VersionEntry,
    },
    clock::BootInstant,
    message::ShortHash,
};

/// Ratings that the prior counts for.
const PRIOR_RATINGS: f64 = 6.0;

/// Output tokens assumed when the caller gives no limit.
pub const USUAL_OUTPUT_TOKENS: u64 = 256;

/// The short hash of a model's version.
pub fn version_hash(entry: &VersionEntry) -> ShortHash {
    ShortHash::of(&format!("{}@{}", entry.model, entry.version))
}

/// The key under which evidence is pooled.
pub fn evidence_key(
    organisation: ShortHash,
    task: ShortHash,
    version: ShortHash,
) -> TallyKey {
    TallyKey::Evidence { organisation, task, version }
}

/// A chance and the evidence behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Chance {
    /// The chance that an answer meets the target.
    pub value: f64,
    /// The rated answers behind it.
    pub rated: f64,
}

/// The chance for a version, from the pooled evidence and its prior.
pub fn chance(
    tallies: &Tallies,
    organisation: ShortHash,
    task: ShortHash,
    entry: &VersionEntry,
    now: BootInstant,
) -> Chance {
    let key = evidence_key(organisation, task, version_hash(entry));
    from_tally(tallies.total(&key, now), entry.prior_quality.value())
}

/// The chance from one sum and a prior.
pub fn from_tally(tally: Tally, prior: f64) -> Chance {
    let rated = f64::from(tally.0[evidence::RATED]);
    let met = f64::from(tally.0[evidence::MET_TARGET]).min(rated);
    let value = (PRIOR_RATINGS * prior + met) / (PRIOR_RATINGS + rated);
    Chance { value, rated }
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
    fn the_prior_gives_way_to_evidence() {
        let prior = from_tally(Tally::default(), 0.7).value;
        assert!((prior - 0.7).abs() < 1e-9);
        let some = from_tally(tally(10.0, 1.0), 0.7).value;
        let much = from_tally(tally(1000.0, 100.0), 0.7).value;
        assert!(some < 0.4 && some > 0.2);
        assert!((much - 0.1).abs() < 0.01);
    }
}
