//! The roll-out guard: notices a bad version and stops it.
//!
//! A sequential test compares the pooled evidence of a version with that of
//! the serving versions of its model, on failures and on ratings below the
//! target. A version found bad is stopped at this VM at once and withdrawn
//! in the store, by whichever VM gets there first. A version that did well
//! for long enough moves to its next stage, where the operator wants that.

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

/// Time between two looks at the evidence.
const LOOK: Duration = Duration::from_millis(500);

/// More failures than the baseline, as a share, that a version must not
/// have.
const ERROR_MARGIN: f64 = 0.1;

/// More ratings below the target than the baseline, as a share.
const MISS_MARGIN: f64 = 0.15;

/// Odds at which a version counts as bad.
const BAD_ODDS: f64 = 1000.0;

/// Odds for one organisation alone; higher, as there are many to look at.
const BAD_ODDS_ALONE: f64 = 5000.0;

/// The least share of failures that a baseline is taken to have.
const ERROR_FLOOR: f64 = 0.02;

/// The least share of misses that a baseline is taken to have.
const MISS_FLOOR: f64 = 0.05;

/// Answers that the prior of a baseline counts for.
const PRIOR_ANSWERS: f64 = 20.0;

/// What the evidence says about one version.
#[derive(Clone, Debug, PartialEq)]
pub enum Judgement {
    /// It is worse than the baseline; says on what.
    Bad(String),
    /// Nothing speaks against it.
    Open,
}

/// What is usual: the shares of failures and of misses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    errors: f64,
    misses: f64,
}

impl Baseline {
    /// The baseline of the serving versions' evidence and a prior chance.
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

/// Judges the evidence of one version against a baseline.
pub fn judge(tally: Tally, baseline: Baseline, odds: f64) -> Judgement {
    let answers = f64::from(tally.0[evidence::ATTEMPTS]);
    let errors = f64::from(tally.0[evidence::ERRORS]);
    let rated = f64::from(tally.0[evidence::RATED]);
    let missed = rated - f64::from(tally.0[evidence::MET_TARGET]);
    let bound = odds.ln();
    if log_odds(answers, errors, baseline.errors, ERROR_MARGIN) > bound {
        return Judgement::Bad(format!(
            "{errors:.0} of {answers:.0} answers failed, usual is {:.1}%",
            baseline.errors * 100.0
        ));
    }
    if log_odds(rated, missed, baseline.misses, MISS_MARGIN) > bound {
        return Judgement::Bad(format!(
            "{missed:.0} of {rated:.0} ratings missed the target, usual is \
             {:.1}%",
            baseline.misses * 100.0
        ));
    }
    Judgement::Open
}

/// The logarithm of the odds that the true share is `margin` above `usual`
/// and not `usual`, after `hits` of `all`.
fn log_odds(all: f64, hits: f64, usual: f64, margin: f64) -> f64 {
    let hits = hits.clamp(0.0, all.max(0.0));
    let worse = (usual + margin).min(0.99);
    hits * (worse / usual).ln()
        + (all - hits) * ((1.0 - worse) / (1.0 - usual)).ln()
}

/// The evidence of one version, over all and by organisation.
#[derive(Clone, Debug, Default)]
pub struct VersionEvidence {
    /// Over all organisations and tasks.
    pub all: Tally,
    /// By organisation.
    pub by_organisation: BTreeMap<ShortHash, Tally>,
}

/// The evidence of every version known, by version.
pub fn gather(
    tallies: &Tallies,
    now: crate::clock::BootInstant,
) -> BTreeMap<ShortHash, VersionEvidence> {
    let keys: HashSet<TallyKey> = tallies.keys().collect();
    let mut gathered: BTreeMap<ShortHash, VersionEvidence> = BTreeMap::new();
    for key in keys {
        let TallyKey::Evidence { organisation, version, .. } = key else {
            continue;
        };
        let tally = tallies.total(&key, now);
        let entry = gathered.entry(version).or_default();
        entry.all = entry.all + tally;
        let alone = entry.by_organisation.entry(organisation).or_default();
        *alone = *alone + tally;
    }
    gathered
}

/// The versions that the evidence speaks against, with the reason.
pub fn find_bad(
    configuration: &Configuration,
    evidence: &BTreeMap<ShortHash, VersionEvidence>,
) -> Vec<(VersionEntry, String)> {
    let mut bad = Vec::new();
    for part in configuration.all_versions() {
        let entry = &part.value;
        let others = other_serving(configuration, entry);
        let watched = match entry.state {
            VersionState::RollingOut { .. } => true,
            // The last one that serves is better than none.
            VersionState::Serving => !others.is_empty(),
            VersionState::Draining | VersionState::Withdrawn => false,
        };
        let Some(own) = evidence.get(&version_hash(entry)) else { continue };
        if !watched {
            continue;
        }
        if let Some(why) = why_bad(entry, own, &others, evidence) {
            bad.push((entry.clone(), why));
        }
    }
    bad
}

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

fn why_bad(
    entry: &VersionEntry,
    own: &VersionEvidence,
    others: &[&VersionEntry],
    evidence: &BTreeMap<ShortHash, VersionEvidence>,
) -> Option<String> {
    let prior = entry.prior_quality.value();
    let known: Vec<&VersionEvidence> = others
        .iter()
        .filter_map(|other| evidence.get(&version_hash(other)))
        .collect();
    let serving =
        known.iter().fold(Tally::default(), |sum, one| sum + one.all);
    let baseline = Baseline::new(serving, prior);
    if let Judgement::Bad(why) = judge(own.all, baseline, BAD_ODDS) {
        return Some(why);
    }
    for (organisation, tally) in &own.by_organisation {
        let usual = known
            .iter()
            .filter_map(|one| one.by_organisation.get(organisation))
            .fold(Tally::default(), |sum, one| sum + *one);
        let baseline = Baseline::new(usual, prior);
        let judged = judge(*tally, baseline, BAD_ODDS_ALONE);
        if let Judgement::Bad(why) = judged {
            return Some(format!("for one organisation {why}"));
        }
    }
    None
}

/// The versions that this VM has stopped on its own judgement.
#[derive(Default)]
pub struct RolloutGuard {
    stopped: Mutex<HashSet<ShortHash>>,
    rolling: Mutex<HashSet<ShortHash>>,
}

impl RolloutGuard {
    /// The versions stopped here.
    pub fn stopped(&self) -> HashSet<ShortHash> {
        self.stopped.lock().expect("guard lock").clone()
    }

    /// Stops a version here; returns whether that is news.
    fn stop(&self, version: ShortHash) -> bool {
        self.stopped.lock().expect("guard lock").insert(version)
    }

    /// Forgets stops that the configuration has taken over.
    pub(crate) fn clear_withdrawn(&self, configuration: &Configuration) {
        let withdrawn: HashSet<ShortHash> = configuration
            .all_versions()
            .filter(|part| part.value.state == VersionState::Withdrawn)
            .map(|part| version_hash(&part.value))
            .collect();
        let mut stopped = self.stopped.lock().expect("guard lock");
        stopped.retain(|version| !withdrawn.contains(version));
    }

    /// The versions that began to roll out since the last call.
    fn newly_rolling(&self, configuration: &Configuration) -> Vec<ShortHash> {
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

/// Looks at the evidence, for as long as polled.
pub(crate) async fn watch_loop(vm: Arc<Vm>) {
    let mut backoff =
        Backoff::new(Duration::from_millis(200), Duration::from_secs(5));
    loop {
        task::sleep(LOOK).await;
        let configuration = vm.configuration.current();
        forget_old_evidence(&vm, &configuration);
        let bad = {
            let tallies = vm.tallies.lock().expect("tallies lock");
            let gathered = gather(&tallies, vm.clock.now());
            find_bad(&configuration, &gathered)
        };
        let mut failed = false;
        for (entry, why) in bad {
            let name = format!("{} {}", entry.model, entry.version);
            if vm.guard.stop(version_hash(&entry)) {
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

/// A version that is rolled out again is judged anew.
fn forget_old_evidence(vm: &Vm, configuration: &Configuration) {
    let new = vm.guard.newly_rolling(configuration);
    if new.is_empty() {
        return;
    }
    let mut tallies = vm.tallies.lock().expect("tallies lock");
    for version in new {
        tallies.forget_version(version);
    }
}

/// Withdraws a version in the store; returns whether it is withdrawn.
async fn withdraw(
    vm: &Arc<Vm>,
    entry: VersionEntry,
    name: &str,
    why: &str,
) -> bool {
    let held = held_revision(vm, &entry);
    let Some(revision) = held else { return true };
    let state = VersionState::Withdrawn;
    let edit = Edit::PutVersion(VersionEntry { state, ..entry });
    let reason = format!("roll-out guard: {why}");
    let expected = Expected::At(revision);
    match configuration_sync::edit(vm, edit, expected, &reason).await {
        Ok(_) => {
            Event::VersionWithdrawn.log(format_args!("{name}: {why}"));
            true
        }
        // Another VM, or an operator, was faster; the next look decides.
        Err(error) => error.kind() == ErrorKind::EditConflict,
    }
}

fn held_revision(vm: &Vm, entry: &VersionEntry) -> Option<Revision> {
    let configuration = vm.configuration.current();
    let part = configuration.version(&entry.model, &entry.version)?;
    (part.value == *entry).then_some(part.revision)
}

/// The model of a version, for reports.
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

    /// Answers until a version with this share of failures is found bad.
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
            judge(tally, baseline, BAD_ODDS) != Judgement::Open
        })
    }

    #[test]
    fn bad_versions_are_found_and_good_ones_left_alone() {
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
        assert!(alarms <= 3, "{alarms} false alarms of 300");
    }
}
