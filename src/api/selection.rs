//! Selection of the model, version and upstream of a request.
//!
//! [`plan`] selects the model and version, or an ordered cascade of several;
//! [`pick_upstream`] selects the upstream of one attempt. Both are pure
//! functions of their arguments, including the random seed, so that a
//! decision can be reproduced and explained.

use std::{collections::HashSet, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    api::{
        decision::{
            Candidate, Exclusion, Preference, SessionUse, UpstreamChoice,
        },
        estimate::{
            self, DEFAULT_OUTPUT_TOKENS, QualityEstimate, version_hash,
        },
        tally::Tallies,
        template::{Template, VersionEntry, VersionState},
    },
    chains::configuration::Configuration,
    clock::BootInstant,
    error::{Error, ErrorKind},
    id::{ModelId, UpstreamId, VersionId},
    message::ShortHash,
    placing::{admission, upstream::UpstreamSnapshot},
    unit::MicroCost,
};

/// Share of plans that start at a random one of the eligible models instead of
/// the best one, so that evidence about all of them keeps arriving.
const EXPLORATION_SHARE: f64 = 0.02;

/// Probability of meeting the target at which the cheapest version is taken
/// when the request cannot escalate to another version.
const SUFFICIENT_PROBABILITY: f64 = 0.95;

/// Load up to which prefix affinity is followed, relative to the mean load of
/// the pool.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Requests per slot in this VM's data hall above which requests overflow to
/// other data halls that have free slots.
const OVERFLOW_UTILIZATION: f64 = 1.5;

/// The properties of a request that determine its plan.
#[derive(Clone, Debug)]
pub struct RequestProperties {
    /// The model that the caller requests; `None` for any allowed model.
    pub model: Option<ModelId>,
    /// The hash of the task name.
    pub task: ShortHash,
    /// Whether the request starts a session, belongs to one, or neither.
    pub session: SessionUse,
    /// Estimated input tokens.
    pub input_tokens: u64,
    /// The limit on output tokens, if the caller sets one.
    pub output_tokens: Option<u64>,
    /// Whether answers can be rated before the caller sees them, and the
    /// request escalated if they are poor.
    pub can_escalate: bool,
}

/// The state of this VM from which a plan is made.
pub struct PlanInput<'a> {
    /// The current configuration.
    pub configuration: &'a Configuration,
    /// Whether the configuration was recently confirmed to be current.
    pub is_fresh: bool,
    /// The template of the request's organisation.
    pub template: &'a Template,
    /// The evidence collected by all VMs.
    pub tallies: &'a Tallies,
    /// Versions that the rollout guard has stopped at this VM.
    pub stopped: &'a HashSet<ShortHash>,
    /// Returns whether any replica of a version is usable.
    pub has_upstream: &'a dyn Fn(&VersionEntry) -> bool,
    /// The time of the selection.
    pub now: BootInstant,
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The version to send the request to.
    pub entry: VersionEntry,
}

/// The versions to send a request to, and all candidates with the outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The versions in the order of asking. Each after the first is asked only
    /// if the previous answer was rated below the target.
    pub steps: Vec<Step>,
    /// All versions considered, selected or not.
    pub candidates: Vec<Candidate>,
}

/// An error for a request without a plan, with the versions considered.
#[derive(Clone, Debug)]
pub struct PlanError {
    /// The error that rejects the request.
    pub error: Error,
    /// All versions considered; empty if the request was rejected earlier.
    pub candidates: Vec<Candidate>,
}

/// A version with its estimated quality and cost for one request.
struct EstimatedVersion<'a> {
    entry: &'a VersionEntry,
    quality: QualityEstimate,
    cost: MicroCost,
}

/// Selects the versions to send a request to.
///
/// # Errors
///
/// A [`PlanError`] with kind [`ErrorKind::NotFound`],
/// [`ErrorKind::NotAllowed`], [`ErrorKind::VersionWithdrawn`] or
/// [`ErrorKind::NoUpstream`]; the request has not run.
pub fn plan(
    request: &RequestProperties,
    input: &PlanInput<'_>,
    seed: u64,
) -> Result<Plan, PlanError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut list = CandidateList::new(request, input);
    let reject = |list: CandidateList<'_>, kind: ErrorKind, reason: String| {
        Err(PlanError {
            error: Error::new(kind).context(reason),
            candidates: list.candidates,
        })
    };
    if let Some((kind, reason)) = request_rejection(request, input) {
        return reject(list, kind, reason);
    }
    let draw = rng.random::<f64>();
    let eligible = list.eligible_versions(draw);
    if eligible.is_empty() {
        let reason = list.no_candidate_reason();
        return reject(list, ErrorKind::NoUpstream, reason);
    }
    let ranking = rank(request, eligible, &mut rng);
    let steps = list.record_ranking(ranking);
    Ok(Plan { steps, candidates: list.candidates })
}

/// Makes a plan, and returns whether the request may be repeated: every model
/// of the plan allows it.
///
/// A request that may not be repeated gets a single version, chosen as the
/// only one that will answer.
///
/// # Errors
///
/// As [`plan`].
pub fn plan_runs(
    request: RequestProperties,
    input: &PlanInput<'_>,
    seed: u64,
) -> Result<(Plan, bool), PlanError> {
    let may_repeat = |plan: &Plan| {
        plan.steps.iter().all(|step| {
            let rule = input.template.model_rule(&step.entry.model);
            rule.is_some_and(|rule| rule.repeatable)
        })
    };
    let first = plan(&request, input, seed)?;
    if first.steps.len() == 1 || may_repeat(&first) {
        let repeatable = may_repeat(&first);
        return Ok((first, repeatable));
    }
    let request = RequestProperties { can_escalate: false, ..request };
    let only = plan(&request, input, seed)?;
    let repeatable = may_repeat(&only);
    Ok((only, repeatable))
}

/// Returns why a request is rejected because of its model or session, before
/// any version is considered.
fn request_rejection(
    request: &RequestProperties,
    input: &PlanInput<'_>,
) -> Option<(ErrorKind, String)> {
    let asked = match &request.session {
        SessionUse::Bound { model, .. } => Some(model),
        _ => request.model.as_ref(),
    };
    if let Some(model) = asked {
        if !input.configuration.has_model(model) {
            let reason = format!("there is no model `{model}`");
            return Some((ErrorKind::NotFound, reason));
        }
        if input.template.model_rule(model).is_none() {
            let reason = format!("the template does not allow `{model}`");
            return Some((ErrorKind::NotAllowed, reason));
        }
    }
    if input.template.models.is_empty() {
        let reason = "the template allows no model".to_owned();
        return Some((ErrorKind::NotAllowed, reason));
    }
    match &request.session {
        SessionUse::Bound { model, version } => {
            session_rejection(input, model, version)
        }
        _ => None,
    }
}

/// Returns why a request of a session on this version is rejected, if it is.
fn session_rejection(
    input: &PlanInput<'_>,
    model: &ModelId,
    version: &VersionId,
) -> Option<(ErrorKind, String)> {
    let rule = input.template.model_rule(model)?;
    if !rule.allows(version) {
        let reason = format!("the template does not allow {model} {version}");
        return Some((ErrorKind::NotAllowed, reason));
    }
    let Some(part) = input.configuration.version(model, version) else {
        let reason = format!("there is no version {version} of {model}");
        return Some((ErrorKind::NotFound, reason));
    };
    let stopped = input.stopped.contains(&version_hash(&part.value));
    if stopped || !part.value.state.serves_existing_sessions() {
        let reason = format!("{model} {version} has been withdrawn");
        return Some((ErrorKind::VersionWithdrawn, reason));
    }
    None
}

/// The versions considered for one request, with why each was excluded.
struct CandidateList<'a> {
    request: &'a RequestProperties,
    input: &'a PlanInput<'a>,
    organisation: ShortHash,
    candidates: Vec<Candidate>,
}

impl<'a> CandidateList<'a> {
    fn new(
        request: &'a RequestProperties,
        input: &'a PlanInput<'a>,
    ) -> CandidateList<'a> {
        let name = input.template.organisation.as_str();
        CandidateList {
            request,
            input,
            organisation: ShortHash::of(name),
            candidates: Vec::new(),
        }
    }

    /// Returns the best eligible version of each allowed model that has any.
    fn eligible_versions(&mut self, draw: f64) -> Vec<EstimatedVersion<'a>> {
        let template = self.input.template;
        let mut eligible = Vec::new();
        for rule in &template.models {
            let versions: Vec<&'a VersionEntry> =
                self.input.configuration.versions(&rule.model).collect();
            let mut open: Vec<EstimatedVersion<'a>> = Vec::new();
            for entry in versions {
                let estimated = self.estimate(entry);
                match self.exclusion(&estimated, draw) {
                    Some(dropped) => self.record(&estimated, Some(dropped)),
                    None => open.push(estimated),
                }
            }
            // A version that is rolling out is preferred to one that is
            // serving, and a later version name to an earlier one.
            open.sort_by_key(|estimated| {
                let rolling = is_rolling_out(estimated.entry);
                (!rolling, std::cmp::Reverse(estimated.entry.version.clone()))
            });
            let mut open = open.into_iter();
            eligible.extend(open.next());
            for other in open {
                self.record(&other, Some(Exclusion::OtherVersion));
            }
        }
        eligible
    }

    fn estimate(&self, entry: &'a VersionEntry) -> EstimatedVersion<'a> {
        let input = self.input;
        let quality = estimate::estimate_quality(
            input.tallies,
            self.organisation,
            self.request.task,
            entry,
            input.now,
        );
        let output =
            self.request.output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let cost = entry.price(self.request.input_tokens, output);
        EstimatedVersion { entry, quality, cost }
    }

    /// Returns why a version is not eligible, `None` if it is.
    fn exclusion(
        &self,
        estimated: &EstimatedVersion<'_>,
        draw: f64,
    ) -> Option<Exclusion> {
        let entry = estimated.entry;
        let template = self.input.template;
        let rule = template.model_rule(&entry.model);
        if !rule.is_some_and(|rule| rule.allows(&entry.version)) {
            return Some(Exclusion::NotAllowed);
        }
        if !self.is_requested(entry) {
            return Some(Exclusion::NotAsked);
        }
        if self.input.stopped.contains(&version_hash(entry)) {
            return Some(Exclusion::StoppedHere);
        }
        if let Some(exclusion) = self.exclusion_by_state(entry, draw) {
            return Some(exclusion);
        }
        if estimated.cost > template.request_price_limit_micro {
            return Some(Exclusion::TooExpensive);
        }
        if !(self.input.has_upstream)(entry) {
            return Some(Exclusion::NoUpstream);
        }
        None
    }

    /// Returns whether the request or its session permits this version.
    fn is_requested(&self, entry: &VersionEntry) -> bool {
        match &self.request.session {
            SessionUse::Bound { model, version } => {
                entry.model == *model && entry.version == *version
            }
            _ => {
                let asked = self.request.model.as_ref();
                asked.is_none_or(|model| entry.model == *model)
            }
        }
    }

    /// Returns why the rollout state of a version excludes it.
    ///
    /// `draw` decides whether the request is in the version's stage.
    fn exclusion_by_state(
        &self,
        entry: &VersionEntry,
        draw: f64,
    ) -> Option<Exclusion> {
        let is_bound =
            matches!(self.request.session, SessionUse::Bound { .. });
        match entry.state {
            VersionState::Withdrawn => Some(Exclusion::Withdrawn),
            _ if is_bound => None,
            VersionState::Draining => Some(Exclusion::Draining),
            VersionState::Serving => None,
            VersionState::RollingOut { .. } if !self.input.is_fresh => {
                Some(Exclusion::StaleConfiguration)
            }
            VersionState::RollingOut { stage } => {
                let share = self.input.template.stage_share(stage);
                (draw >= share.value()).then_some(Exclusion::OutsideStage)
            }
        }
    }

    fn record(
        &mut self,
        estimated: &EstimatedVersion<'_>,
        dropped: Option<Exclusion>,
    ) {
        self.candidates.push(Candidate {
            model: estimated.entry.model.clone(),
            version: estimated.entry.version.clone(),
            expected_cost_micro: estimated.cost,
            chance: estimated.quality.probability,
            rated: estimated.quality.rated,
            dropped,
        });
    }

    /// Records all ranked versions as candidates and returns the steps.
    fn record_ranking(&mut self, ranking: Ranking<'a>) -> Vec<Step> {
        for estimated in &ranking.selected {
            self.record(estimated, None);
        }
        for (estimated, dropped) in &ranking.rejected {
            self.record(estimated, Some(*dropped));
        }
        let steps = ranking.selected.into_iter();
        steps
            .map(|estimated| Step { entry: estimated.entry.clone() })
            .collect()
    }

    /// Returns why no version is eligible, for the error message.
    fn no_candidate_reason(&self) -> String {
        let mut reasons: Vec<String> = self
            .candidates
            .iter()
            .filter(|c| c.dropped != Some(Exclusion::NotAsked))
            .filter_map(|c| {
                let dropped = c.dropped?;
                Some(format!("{} {}: {dropped}", c.model, c.version))
            })
            .collect();
        if reasons.is_empty() {
            reasons.push("the model has no known version".to_owned());
        }
        reasons.join("; ")
    }
}

fn is_rolling_out(entry: &VersionEntry) -> bool {
    matches!(entry.state, VersionState::RollingOut { .. })
}

/// The eligible versions, split into the steps of the plan and the others.
struct Ranking<'a> {
    selected: Vec<EstimatedVersion<'a>>,
    rejected: Vec<(EstimatedVersion<'a>, Exclusion)>,
}

/// Selects the version to start with and those to escalate to.
///
/// A share [`EXPLORATION_SHARE`] of the plans starts at a random version.
fn rank<'a>(
    request: &RequestProperties,
    mut eligible: Vec<EstimatedVersion<'a>>,
    rng: &mut ChaCha8Rng,
) -> Ranking<'a> {
    eligible.sort_by_key(|estimated| estimated.cost);
    let explore = eligible.len() > 1 && rng.random_bool(EXPLORATION_SHARE);
    let start = if explore {
        rng.random_range(0..eligible.len())
    } else if request.can_escalate {
        cheapest_cascade_start(&eligible)
    } else {
        single_version(&eligible)
    };
    split_into_steps(request, eligible, start)
}

/// Returns the start of the cascade with the lowest expected cost.
///
/// The expected cost of starting at a version is its own cost, plus the
/// probability that its answer misses the target times the expected cost of
/// the next version that is likelier to meet it.
fn cheapest_cascade_start(by_cost: &[EstimatedVersion<'_>]) -> usize {
    let mut expected = vec![0.0; by_cost.len()];
    let mut best = by_cost.len() - 1;
    for index in (0..by_cost.len()).rev() {
        let current = &by_cost[index];
        let next = next_likelier(by_cost, index);
        let escalation = next.map_or(0.0, |next| expected[next]);
        let miss = 1.0 - current.quality.probability;
        expected[index] = current.cost.0 as f64 + miss * escalation;
        let reaches = current.quality.probability
            >= by_cost[best].quality.probability
            || next.is_some();
        if reaches && expected[index] <= expected[best] {
            best = index;
        }
    }
    best
}

/// Returns the next costlier version that is likelier to meet the target.
fn next_likelier(
    by_cost: &[EstimatedVersion<'_>],
    index: usize,
) -> Option<usize> {
    let current = by_cost[index].quality.probability;
    (index + 1..by_cost.len())
        .find(|next| by_cost[*next].quality.probability > current)
}

/// Returns the cheapest version that reaches [`SUFFICIENT_PROBABILITY`], or
/// else the one most likely to meet the target.
fn single_version(by_cost: &[EstimatedVersion<'_>]) -> usize {
    let sufficient = by_cost
        .iter()
        .position(|r| r.quality.probability >= SUFFICIENT_PROBABILITY);
    sufficient.unwrap_or_else(|| {
        let by_probability = |a: &usize, b: &usize| {
            let (a, b) = (&by_cost[*a].quality, &by_cost[*b].quality);
            a.probability.total_cmp(&b.probability)
        };
        // `max_by` returns the last of equal items; in reverse order that is
        // the cheapest.
        (0..by_cost.len()).rev().max_by(by_probability).unwrap_or(0)
    })
}

/// Splits the versions into the cascade from `start` and the rejected ones.
fn split_into_steps<'a>(
    request: &RequestProperties,
    by_cost: Vec<EstimatedVersion<'a>>,
    start: usize,
) -> Ranking<'a> {
    let mut steps = vec![start];
    if request.can_escalate {
        let mut index = start;
        while let Some(next) = next_likelier(&by_cost, index) {
            steps.push(next);
            index = next;
        }
    }
    let start_probability = by_cost[start].quality.probability;
    let mut ranking = Ranking { selected: Vec::new(), rejected: Vec::new() };
    for (index, estimated) in by_cost.into_iter().enumerate() {
        if steps.contains(&index) {
            ranking.selected.push(estimated);
        } else if estimated.quality.probability < start_probability {
            ranking.rejected.push((estimated, Exclusion::LessLikely));
        } else {
            ranking.rejected.push((estimated, Exclusion::CostsMore));
        }
    }
    ranking
}

/// The criteria for selecting the upstream of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCriteria<'a> {
    /// The version that must be loaded; `None` for service calls.
    pub version: Option<ShortHash>,
    /// The hash of the request's prefix, for prefix cache affinity.
    pub prefix: Option<u64>,
    /// Upstreams that earlier attempts of the request were sent to.
    pub tried: &'a [UpstreamId],
}

/// Selects the upstream of one attempt.
///
/// # Errors
///
/// [`ErrorKind::NoUpstream`] with the numbers of excluded upstreams, and with
/// a `Retry-After` if some of them are only in backoff.
pub fn pick_upstream(
    snapshots: &[UpstreamSnapshot],
    criteria: UpstreamCriteria<'_>,
    seed: u64,
) -> Result<UpstreamChoice, Error> {
    let partition = UpstreamPartition::new(snapshots, criteria);
    let pool = partition.pool();
    if pool.is_empty() {
        return Err(partition.no_upstream_error(snapshots.len(), seed));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (selected, preferred) =
        select_from_pool(&pool, criteria.prefix, &mut rng);
    Ok(UpstreamChoice {
        upstream: selected.id.clone(),
        preferred,
        local: selected.local,
        usable: pool.len() as u32,
        leaving: partition.leaving,
        broken: partition.broken,
        not_loaded: partition.not_loaded,
        requests: selected.requests,
        load_age_ms: selected.load_age.map(|age| age.as_millis() as u64),
    })
}

/// The upstreams split into usable ones and counts of excluded ones.
struct UpstreamPartition<'a> {
    local: Vec<&'a UpstreamSnapshot>,
    remote: Vec<&'a UpstreamSnapshot>,
    leaving: u32,
    broken: u32,
    backing_off: u32,
    /// The shortest remaining backoff of the upstreams in backoff.
    shortest_backoff: Duration,
    not_loaded: u32,
}

impl<'a> UpstreamPartition<'a> {
    fn new(
        snapshots: &'a [UpstreamSnapshot],
        criteria: UpstreamCriteria<'_>,
    ) -> UpstreamPartition<'a> {
        let mut partition = UpstreamPartition {
            local: Vec::new(),
            remote: Vec::new(),
            leaving: 0,
            broken: 0,
            backing_off: 0,
            shortest_backoff: Duration::MAX,
            not_loaded: 0,
        };
        for upstream in snapshots {
            if upstream.leaving {
                partition.leaving += 1;
            } else if upstream.breaker_open
                || criteria.tried.contains(&upstream.id)
            {
                partition.broken += 1;
            } else if !upstream.backoff.is_zero() {
                partition.backing_off += 1;
                partition.shortest_backoff =
                    partition.shortest_backoff.min(upstream.backoff);
            } else if !has_loaded(upstream, criteria.version) {
                partition.not_loaded += 1;
            } else if upstream.local {
                partition.local.push(upstream);
            } else {
                partition.remote.push(upstream);
            }
        }
        partition
    }

    /// Returns the error for an empty pool, with the time to retry after.
    fn no_upstream_error(&self, known: usize, seed: u64) -> Error {
        let error = Error::new(ErrorKind::NoUpstream).context(format!(
            "of {known} replicas {} are leaving, {} are failing, {} are in \
             backoff, {} have not loaded the version",
            self.leaving, self.broken, self.backing_off, self.not_loaded
        ));
        if self.backing_off == 0 {
            return error;
        }
        let draw = ChaCha8Rng::seed_from_u64(seed).random();
        let retry_after =
            admission::retry_after_backoff(self.shortest_backoff, draw);
        error.with_retry_after(retry_after)
    }

    /// Returns the usable upstreams of this VM's data hall.
    ///
    /// Those of other halls instead if there are none, or if this hall is
    /// overloaded and the others have free slots.
    fn pool(&self) -> Vec<&'a UpstreamSnapshot> {
        let overflow = !self.remote.is_empty()
            && utilization(&self.local) > OVERFLOW_UTILIZATION
            && utilization(&self.remote) < 1.0;
        if self.local.is_empty() || overflow {
            return self.remote.clone();
        }
        self.local.clone()
    }
}

/// Returns the requests per slot of a pool.
fn utilization(pool: &[&UpstreamSnapshot]) -> f64 {
    let requests: f64 = pool.iter().map(|upstream| upstream.requests).sum();
    let slots: f64 = pool.iter().map(|upstream| upstream.slots).sum();
    if slots > 0.0 { requests / slots } else { f64::INFINITY }
}

/// Returns whether an upstream is known to have loaded a version.
fn has_loaded(
    upstream: &UpstreamSnapshot,
    version: Option<ShortHash>,
) -> bool {
    version.is_none_or(|version| upstream.versions.contains(&version))
}

/// Selects an upstream by prefix affinity, or the less loaded of two random
/// ones.
fn select_from_pool<'a>(
    pool: &[&'a UpstreamSnapshot],
    prefix: Option<u64>,
    rng: &mut ChaCha8Rng,
) -> (&'a UpstreamSnapshot, Preference) {
    if let [only] = pool {
        return (only, Preference::Only);
    }
    if let Some(owner) = prefix.and_then(|prefix| prefix_owner(pool, prefix)) {
        return (owner, Preference::Prefix);
    }
    let first = rng.random_range(0..pool.len());
    let offset = rng.random_range(1..pool.len());
    let second = (first + offset) % pool.len();
    let (a, b) = (pool[first], pool[second]);
    let selected =
        if load_with_request(a) <= load_with_request(b) { a } else { b };
    (selected, Preference::LessLoaded)
}

/// Returns the upstream that the prefix hashes to, unless it is overloaded.
///
/// That upstream probably has the prefix in its cache.
fn prefix_owner<'a>(
    pool: &[&'a UpstreamSnapshot],
    prefix: u64,
) -> Option<&'a UpstreamSnapshot> {
    let weight =
        |u: &&&UpstreamSnapshot| mix64(prefix ^ u64::from(u.short_hash.0));
    let owner = pool.iter().max_by_key(weight)?;
    let mean = utilization(pool);
    let bound = (mean * AFFINITY_LOAD_FACTOR * owner.slots).max(1.0);
    (owner.requests < bound).then_some(*owner)
}

/// Returns the requests per slot of an upstream with one request more.
fn load_with_request(upstream: &UpstreamSnapshot) -> f64 {
    (upstream.requests + 1.0) / upstream.slots.max(f64::MIN_POSITIVE)
}

/// Mixes the bits of a hash cheaply (the finalizer of SplitMix64).
fn mix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The load and capacity of the usable replicas of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLoad {
    /// Requests estimated to be in flight there.
    pub requests: f64,
    /// Requests that they can process at once.
    pub slots: f64,
}

impl ModelLoad {
    /// Sums over the usable replicas in `snapshots`.
    pub fn of(snapshots: &[UpstreamSnapshot]) -> ModelLoad {
        let usable =
            snapshots.iter().filter(|upstream| upstream.is_available());
        usable.fold(ModelLoad::default(), |load, upstream| ModelLoad {
            requests: load.requests + upstream.requests,
            slots: load.slots + upstream.slots,
        })
    }
}

/// Returns whether any replica that has loaded a version is usable.
pub fn any_usable(snapshots: &[UpstreamSnapshot], version: ShortHash) -> bool {
    snapshots.iter().any(|u| u.is_available() && has_loaded(u, Some(version)))
}

/// Converts an age to whole milliseconds.
pub(crate) fn age_ms(age: Option<Duration>) -> Option<u64> {
    age.map(|age| age.as_millis() as u64)
}

#[cfg(test)]
mod tests;
