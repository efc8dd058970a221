//! The rollout guard: detects a version that performs badly and stops it.
//!
//! A sequential probability ratio test compares the evidence that all VMs have
//! about a version with that about the serving versions of its model, for
//! failures and for ratings below the target. A bad version is stopped at
//! this VM at once and withdrawn in the store by the first VM to write it.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    api::{
        estimate::version_hash,
        tally::{Tallies, Tally, TallyKey, evidence},
        template::{VersionEntry, VersionState},
        vm::Vm,
    },
    chains::{
        configuration::{Configuration, Edit, Expected},
        configuration_sync,
        store::Backoff,
    },
    error::ErrorKind,
    event::Event,
    id::{ModelId, Revision},
    message::ShortHash,
    task,
};

/// Time between two checks of the evidence.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Increase of the failure rate over the baseline at which a version is bad.
const ERROR_MARGIN: f64 = 0.1;

/// Increase of the share of missed ratings over the baseline at which a
/// version is bad.
const MISS_MARGIN: f64 = 0.15;

/// Odds at which a version is judged bad on all evidence.
const BAD_ODDS: f64 = 1000.0;

/// Odds at which a version is judged bad on the evidence of one organisation;
/// higher, as testing many organisations raises the false alarm rate.
const BAD_ODDS_ONE_ORGANISATION: f64 = 5000.0;

/// Lower bound of the failure rate of a baseline.
const ERROR_FLOOR: f64 = 0.02;

/// Lower bound of the share of missed ratings of a baseline.
const MISS_FLOOR: f64 = 0.05;

/// Weight of the prior of a baseline, as a number of answers.
const PRIOR_ANSWERS: f64 = 20.0;

/// The result of comparing the evidence about a version with a baseline.
#[derive(Clone, Debug, PartialEq)]
pub enum Comparison {
    /// It is worse than the baseline, for the reason given.
    Bad(String),
    /// The evidence does not show that it is worse.
    Inconclusive,
}

/// The rates that are expected of a version: of failures and of ratings below
/// the target (misses).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    errors: f64,
    misses: f64,
}

impl Baseline {
    /// Computes the baseline from the evidence about the serving versions and
    /// the prior quality.
    pub fn new(serving: Tally, prior_quality: f64) -> Baseline {
        let answers = f64::from(serving.0[evidence::ATTEMPTS]);
        let errors = f64::from(serving.0[evidence::ERRORS]);
        let rated = f64::from(serving.0[evidence::RATED]);
        let missed = rated - f64::from(serving.0[evidence::MET_TARGET]);
        let errors =
            (errors + ERROR_FLOOR * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS);
        let prior_misses = (1.0 - prior_quality) * PRIOR_ANSWERS;
        let misses = (missed + prior_misses) / (rated + PRIOR_ANSWERS);
        Baseline {
            errors: errors.clamp(ERROR_FLOOR, 0.5),
            misses: misses.clamp(MISS_FLOOR, 0.8),
        }
    }
}

/// Compares the evidence about one version with a baseline.
///
/// `odds` is the likelihood ratio above which the version is bad.
pub fn compare_to_baseline(
    tally: Tally,
    baseline: Baseline,
    odds: f64,
) -> Comparison {
    let answers = f64::from(tally.0[evidence::ATTEMPTS]);
    let errors = f64::from(tally.0[evidence::ERRORS]);
    let rated = f64::from(tally.0[evidence::RATED]);
    let missed = rated - f64::from(tally.0[evidence::MET_TARGET]);
    let bound = odds.ln();
    if log_likelihood_ratio(answers, errors, baseline.errors, ERROR_MARGIN)
        > bound
    {
        return Comparison::Bad(format!(
            "{errors:.0} of {answers:.0} answers failed, usual is {:.1}%",
            baseline.errors * 100.0
        ));
    }
    if log_likelihood_ratio(rated, missed, baseline.misses, MISS_MARGIN)
        > bound
    {
        return Comparison::Bad(format!(
            "{missed:.0} of {rated:.0} ratings missed the target, usual is \
             {:.1}%",
            baseline.misses * 100.0
        ));
    }
    Comparison::Inconclusive
}

/// Returns the log likelihood ratio of the rate `expected + margin` to
/// `expected`, after `hits` in `trials`.
fn log_likelihood_ratio(
    trials: f64,
    hits: f64,
    expected: f64,
    margin: f64,
) -> f64 {
    let hits = hits.clamp(0.0, trials.max(0.0));
    let worse = (expected + margin).min(0.99);
    hits * (worse / expected).ln()
        + (trials - hits) * ((1.0 - worse) / (1.0 - expected)).ln()
}

/// The evidence about one version, in total and by organisation.
#[derive(Clone, Debug, Default)]
pub struct VersionEvidence {
    /// The sum over all organisations and tasks.
    pub all: Tally,
    /// The sum over the tasks of each organisation.
    pub by_organisation: BTreeMap<ShortHash, Tally>,
}

/// Sums the evidence about each version.
pub fn collect_evidence(
    tallies: &Tallies,
    now: crate::clock::BootInstant,
) -> BTreeMap<ShortHash, VersionEvidence> {
    let keys: HashSet<TallyKey> = tallies.keys().collect();
    let mut collected: BTreeMap<ShortHash, VersionEvidence> = BTreeMap::new();
    for key in keys {
        let TallyKey::Evidence { organisation, version, .. } = key else {
            continue;
        };
        let tally = tallies.total(&key, now);
        let entry = collected.entry(version).or_default();
        entry.all = entry.all + tally;
        let of_organisation =
            entry.by_organisation.entry(organisation).or_default();
        *of_organisation = *of_organisation + tally;
    }
    collected
}

/// Returns the versions that the evidence shows to be bad, with the reasons.
///
/// Tests versions that are rolling out, and serving ones if the model has
/// another serving version.
pub fn find_bad_versions(
    configuration: &Configuration,
    evidence: &BTreeMap<ShortHash, VersionEvidence>,
) -> Vec<(VersionEntry, String)> {
    let mut bad = Vec::new();
    for part in configuration.all_versions() {
        let entry = &part.value;
        let others = other_serving(configuration, entry);
        let watched = match entry.state {
            VersionState::RollingOut { .. } => true,
            // A bad version is better than no serving version.
            VersionState::Serving => !others.is_empty(),
            VersionState::Draining | VersionState::Withdrawn => false,
        };
        let Some(own) = evidence.get(&version_hash(entry)) else { continue };
        if !watched {
            continue;
        }
        if let Some(why) = bad_reason(entry, own, &others, evidence) {
            bad.push((entry.clone(), why));
        }
    }
    bad
}

/// Returns the other serving versions of the same model.
fn other_serving<'a>(
    configuration: &'a Configuration,
    entry: &VersionEntry,
) -> Vec<&'a VersionEntry> {
    configuration
        .versions(&entry.model)
        .filter(|other| other.version != entry.version)
        .filter(|other| other.state == VersionState::Serving)
        .collect()
}

/// Returns why a version is bad, on all evidence or that of one organisation.
fn bad_reason(
    entry: &VersionEntry,
    own: &VersionEvidence,
    others: &[&VersionEntry],
    evidence: &BTreeMap<ShortHash, VersionEvidence>,
) -> Option<String> {
    let prior = entry.prior_quality.value();
    let evidence_of_others: Vec<&VersionEvidence> = others
        .iter()
        .filter_map(|other| evidence.get(&version_hash(other)))
        .collect();
    let serving = evidence_of_others
        .iter()
        .fold(Tally::default(), |sum, other| sum + other.all);
    let baseline = Baseline::new(serving, prior);
    if let Comparison::Bad(why) =
        compare_to_baseline(own.all, baseline, BAD_ODDS)
    {
        return Some(why);
    }
    for (organisation, tally) in &own.by_organisation {
        let serving = evidence_of_others
            .iter()
            .filter_map(|other| other.by_organisation.get(organisation))
            .fold(Tally::default(), |sum, other| sum + *other);
        let baseline = Baseline::new(serving, prior);
        let comparison =
            compare_to_baseline(*tally, baseline, BAD_ODDS_ONE_ORGANISATION);
        if let Comparison::Bad(why) = comparison {
            return Some(format!("for one organisation {why}"));
        }
    }
    None
}

/// The versions that this VM has stopped before the store withdraws them.
#[derive(Default)]
pub struct RolloutGuard {
    stopped: Mutex<HashSet<ShortHash>>,
    rolling: Mutex<HashSet<ShortHash>>,
}

impl RolloutGuard {
    /// Returns the versions stopped at this VM.
    pub fn stopped(&self) -> HashSet<ShortHash> {
        self.stopped.lock().expect("guard lock").clone()
    }

    /// Stops a version at this VM; returns whether it was not stopped before.
    fn stop(&self, version: ShortHash) -> bool {
        self.stopped.lock().expect("guard lock").insert(version)
    }

    /// Removes the stops of versions that the configuration has withdrawn.
    pub(crate) fn clear_withdrawn(&self, configuration: &Configuration) {
        let withdrawn: HashSet<ShortHash> = configuration
            .all_versions()
            .filter(|part| part.value.state == VersionState::Withdrawn)
            .map(|part| version_hash(&part.value))
            .collect();
        let mut stopped = self.stopped.lock().expect("guard lock");
        stopped.retain(|version| !withdrawn.contains(version));
    }

    /// Returns the versions whose rollout started since the last call.
    fn newly_rolling_out(
        &self,
        configuration: &Configuration,
    ) -> Vec<ShortHash> {
        let now_rolling: HashSet<ShortHash> = configuration
            .all_versions()
            .filter(|part| {
                matches!(part.value.state, VersionState::RollingOut { .. })
            })
            .map(|part| version_hash(&part.value))
            .collect();
        let mut rolling = self.rolling.lock().expect("guard lock");
        let new = now_rolling.difference(&rolling).copied().collect();
        *rolling = now_rolling;
        new
    }
}

/// Checks the evidence periodically and stops bad versions; never returns.
pub(crate) async fn watch_loop(vm: Arc<Vm>) {
    let mut backoff =
        Backoff::new(Duration::from_millis(200), Duration::from_secs(5));
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let configuration = vm.configuration.current();
        clear_evidence_of_new_rollouts(&vm, &configuration);
        let bad = {
            let tallies = vm.tallies.lock().expect("tallies lock");
            let collected = collect_evidence(&tallies, vm.clock.now());
            find_bad_versions(&configuration, &collected)
        };
        let mut failed = false;
        for (entry, why) in bad {
            let name = format!("{} {}", entry.model, entry.version);
            if vm.rollout_guard.stop(version_hash(&entry)) {
                Event::VersionStopped.log(format_args!("{name}: {why}"));
            }
            failed |= !withdraw(&vm, entry, &name, &why).await;
        }
        if failed {
            task::sleep(backoff.wait()).await;
        } else {
            backoff.reset();
        }
    }
}

/// Clears the evidence about versions that start a rollout, so that one that
/// is rolled out again is tested on new evidence only.
fn clear_evidence_of_new_rollouts(vm: &Vm, configuration: &Configuration) {
    let new = vm.rollout_guard.newly_rolling_out(configuration);
    if new.is_empty() {
        return;
    }
    let mut tallies = vm.tallies.lock().expect("tallies lock");
    for version in new {
        tallies.forget_version(version);
    }
}

/// Withdraws a version in the store; returns false if it must be tried again.
async fn withdraw(
    vm: &Arc<Vm>,
    entry: VersionEntry,
    name: &str,
    why: &str,
) -> bool {
    let unchanged = unchanged_revision(vm, &entry);
    let Some(revision) = unchanged else { return true };
    let state = VersionState::Withdrawn;
    let edit = Edit::PutVersion(VersionEntry { state, ..entry });
    let reason = format!("roll-out guard: {why}");
    let expected = Expected::At(revision);
    match configuration_sync::edit(vm, edit, expected, &reason).await {
        Ok(_) => {
            Event::VersionWithdrawn.log(format_args!("{name}: {why}"));
            true
        }
        // Another VM or an operator changed the version first; the next check
        // tests the new state.
        Err(error) => error.kind() == ErrorKind::EditConflict,
    }
}

/// Returns the revision of an entry; `None` if it has changed since.
fn unchanged_revision(vm: &Vm, entry: &VersionEntry) -> Option<Revision> {
    let configuration = vm.configuration.current();
    let part = configuration.version(&entry.model, &entry.version)?;
    (part.value == *entry).then_some(part.revision)
}

/// Returns the model and version of each stopped version, for status reports.
pub(crate) fn stopped_versions(
    configuration: &Configuration,
    stopped: &HashSet<ShortHash>,
) -> Vec<(ModelId, String)> {
    configuration
        .all_versions()
        .filter(|part| stopped.contains(&version_hash(&part.value)))
        .map(|part| {
            let entry = &part.value;
            (entry.model.clone(), entry.version.to_string())
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    use super::*;

    fn tally(answers: f32, errors: f32) -> Tally {
        let mut tally = Tally::default();
        tally.0[evidence::ATTEMPTS] = answers;
        tally.0[evidence::ERRORS] = errors;
        tally
    }

    /// Returns the number of answers until a version with this failure rate is
    /// found bad, `None` after `most` answers.
    fn answers_to_stop(
        share: f64,
        baseline: Baseline,
        rng: &mut ChaCha8Rng,
        most: u32,
    ) -> Option<u32> {
        let mut errors = 0.0;
        (1..=most).find(|answers| {
            errors += f32::from(u8::from(rng.random_bool(share)));
            let tally = tally(*answers as f32, errors);
            compare_to_baseline(tally, baseline, BAD_ODDS)
                != Comparison::Inconclusive
        })
    }

    #[test]
    fn bad_versions_are_found_quickly_and_false_alarms_are_rare() {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let baseline = Baseline::new(tally(1000.0, 20.0), 0.9);
        let mut needed: Vec<u32> = (0..200)
            .filter_map(|_| answers_to_stop(0.12, baseline, &mut rng, 1000))
            .collect();
        needed.sort_unstable();
        assert_eq!(needed.len(), 200);
        assert!(needed[100] <= 70, "median {}", needed[100]);
        let alarms = (0..300)
            .filter(|_| {
                answers_to_stop(0.02, baseline, &mut rng, 2000).is_some()
            })
            .count();
        assert!(alarms <= 3, "{alarms} false alarms in 300 runs");
    }
}
