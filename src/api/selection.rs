//! The choice: pure functions from what is known to a plan with reasons.
//!
//! [`plan`] picks the model and version, or several in order for a cascade;
//! [`pick_upstream`] picks where one attempt goes. Both depend only on their
//! arguments, so a decision can be repeated and explained.

use std::{collections::HashSet, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    api::{
        decision::{
            Candidate, Dropped, Preferred, SessionUse, UpstreamChoice,
        },
        estimate::{self, Chance, USUAL_OUTPUT_TOKENS, version_hash},
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

/// Share of open choices that try another model, to keep learning.
const EXPLORE_SHARE: f64 = 0.02;

/// Chance of meeting the target that is enough without an escalation.
const ENOUGH_CHANCE: f64 = 0.95;

/// Requests that a preferred upstream may hold, relative to the mean.
const AFFINITY_BOUND: f64 = 1.25;

/// Fill of the own hall, relative to its slots, beyond which another hall
/// with room is taken.
const OVERFLOW_FILL: f64 = 1.5;

/// What of a request matters to the choice of a model.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// The model that the caller names, if any.
    pub model: Option<ModelId>,
    /// The task, hashed.
    pub task: ShortHash,
    /// How it stands to a session.
    pub session: SessionUse,
    /// Tokens to be read, estimated.
    pub input_tokens: u64,
    /// Tokens to be written at most, if the caller says.
    pub output_tokens: Option<u64>,
    /// Whether an answer can be rated before the caller sees it.
    pub can_escalate: bool,
}

/// What is known when a model is chosen.
pub struct Knowledge<'a> {
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Whether it is proven current, recently enough.
    pub is_fresh: bool,
    /// The organisation's template.
    pub template: &'a Template,
    /// The pooled evidence.
    pub tallies: &'a Tallies,
    /// Versions that the guard has stopped at this VM.
    pub stopped: &'a HashSet<ShortHash>,
    /// Whether a replica of a version is usable at all.
    pub has_upstream: &'a dyn Fn(&VersionEntry) -> bool,
    /// The moment of the choice.
    pub now: BootInstant,
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The version to ask.
    pub entry: VersionEntry,
}

/// What to ask, in order, and what was not taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The versions to ask; each after the first only if the rating of the
    /// one before is below the target.
    pub steps: Vec<Step>,
    /// Everything that came into question.
    pub candidates: Vec<Candidate>,
}

/// A refusal of the choice, with what came into question.
#[derive(Clone, Debug)]
pub struct NoPlan {
    /// Why.
    pub error: Error,
    /// Everything that came into question.
    pub candidates: Vec<Candidate>,
}

struct Rated<'a> {
    entry: &'a VersionEntry,
    chance: Chance,
    cost: MicroCost,
}

/// Plans which versions to ask.
///
/// # Errors
///
/// A [`NoPlan`] with kind [`ErrorKind::NotFound`], [`ErrorKind::NotAllowed`],
/// [`ErrorKind::VersionWithdrawn`] or [`ErrorKind::NoUpstream`]; nothing has
/// run.
pub fn plan(
    request: &RequestFacts,
    knowledge: &Knowledge<'_>,
    seed: u64,
) -> Result<Plan, NoPlan> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut board = Board::new(request, knowledge);
    let refuse = |board: Board<'_>, kind: ErrorKind, reason: String| {
        Err(NoPlan {
            error: Error::new(kind).context(reason),
            candidates: board.candidates,
        })
    };
    if let Some((kind, reason)) = refusal(request, knowledge) {
        return refuse(board, kind, reason);
    }
    let draw = rng.random::<f64>();
    let eligible = board.eligible_versions(draw);
    if eligible.is_empty() {
        let reason = board.why_none();
        return refuse(board, ErrorKind::NoUpstream, reason);
    }
    let order = order(request, eligible, &mut rng);
    let steps = board.take(order);
    Ok(Plan { steps, candidates: board.candidates })
}

/// Refusals that need no look at the versions' evidence.
fn refusal(
    request: &RequestFacts,
    knowledge: &Knowledge<'_>,
) -> Option<(ErrorKind, String)> {
    let asked = match &request.session {
        SessionUse::Bound { model, .. } => Some(model),
        _ => request.model.as_ref(),
    };
    if let Some(model) = asked {
        if !knowledge.configuration.has_model(model) {
            let reason = format!("there is no model `{model}`");
            return Some((ErrorKind::NotFound, reason));
        }
        if knowledge.template.model_rule(model).is_none() {
            let reason = format!("the template does not allow `{model}`");
            return Some((ErrorKind::NotAllowed, reason));
        }
    }
    if knowledge.template.models.is_empty() {
        let reason = "the template allows no model".to_owned();
        return Some((ErrorKind::NotAllowed, reason));
    }
    match &request.session {
        SessionUse::Bound { model, version } => {
            refuse_session(knowledge, model, version)
        }
        _ => None,
    }
}

fn refuse_session(
    knowledge: &Knowledge<'_>,
    model: &ModelId,
    version: &VersionId,
) -> Option<(ErrorKind, String)> {
    let rule = knowledge.template.model_rule(model)?;
    if !rule.allows(version) {
        let reason = format!("the template does not allow {model} {version}");
        return Some((ErrorKind::NotAllowed, reason));
    }
    let Some(part) = knowledge.configuration.version(model, version) else {
        let reason = format!("there is no version {version} of {model}");
        return Some((ErrorKind::NotFound, reason));
    };
    let stopped = knowledge.stopped.contains(&version_hash(&part.value));
    if stopped || !part.value.state.serves_existing_sessions() {
        let reason = format!("{model} {version} has been withdrawn");
        return Some((ErrorKind::VersionWithdrawn, reason));
    }
    None
}

/// The candidates of one choice, each with its fate.
struct Board<'a> {
    request: &'a RequestFacts,
    knowledge: &'a Knowledge<'a>,
    organisation: ShortHash,
    candidates: Vec<Candidate>,
}

impl<'a> Board<'a> {
    fn new(
        request: &'a RequestFacts,
        knowledge: &'a Knowledge<'a>,
    ) -> Board<'a> {
        let name = knowledge.template.organisation.as_str();
        Board {
            request,
            knowledge,
            organisation: ShortHash::of(name),
            candidates: Vec::new(),
        }
    }

    /// One version of each allowed model, where there is one.
    fn eligible_versions(&mut self, draw: f64) -> Vec<Rated<'a>> {
        let template = self.knowledge.template;
        let mut eligible = Vec::new();
        for rule in &template.models {
            let versions: Vec<&'a VersionEntry> =
                self.knowledge.configuration.versions(&rule.model).collect();
            let mut open: Vec<Rated<'a>> = Vec::new();
            for entry in versions {
                let rated = self.rate(entry);
                match self.why_dropped(&rated, draw) {
                    Some(dropped) => self.note(&rated, Some(dropped)),
                    None => open.push(rated),
                }
            }
            // A version in its stage goes before one that is serving, and a
            // later name before an earlier one.
            open.sort_by_key(|rated| {
                let rolling = is_rolling(rated.entry);
                (!rolling, std::cmp::Reverse(rated.entry.version.clone()))
            });
            let mut open = open.into_iter();
            eligible.extend(open.next());
            for other in open {
                self.note(&other, Some(Dropped::OtherVersion));
            }
        }
        eligible
    }

    fn rate(&self, entry: &'a VersionEntry) -> Rated<'a> {
        let knowledge = self.knowledge;
        let chance = estimate::chance(
            knowledge.tallies,
            self.organisation,
            self.request.task,
            entry,
            knowledge.now,
        );
        let output = self.request.output_tokens.unwrap_or(USUAL_OUTPUT_TOKENS);
        let cost = entry.price(self.request.input_tokens, output);
        Rated { entry, chance, cost }
    }

    fn why_dropped(&self, rated: &Rated<'_>, draw: f64) -> Option<Dropped> {
        let entry = rated.entry;
        let template = self.knowledge.template;
        let rule = template.model_rule(&entry.model);
        if !rule.is_some_and(|rule| rule.allows(&entry.version)) {
            return Some(Dropped::NotAllowed);
        }
        if !self.is_asked(entry) {
            return Some(Dropped::NotAsked);
        }
        if self.knowledge.stopped.contains(&version_hash(entry)) {
            return Some(Dropped::StoppedHere);
        }
        if let Some(dropped) = self.why_state_drops(entry, draw) {
            return Some(dropped);
        }
        if rated.cost > template.request_price_limit_micro {
            return Some(Dropped::TooExpensive);
        }
        if !(self.knowledge.has_upstream)(entry) {
            return Some(Dropped::NoUpstream);
        }
        None
    }

    fn is_asked(&self, entry: &VersionEntry) -> bool {
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

    fn why_state_drops(
        &self,
        entry: &VersionEntry,
        draw: f64,
    ) -> Option<Dropped> {
        let bound = matches!(self.request.session, SessionUse::Bound { .. });
        match entry.state {
            VersionState::Withdrawn => Some(Dropped::Withdrawn),
            _ if bound => None,
            VersionState::Draining => Some(Dropped::Draining),
            VersionState::Serving => None,
            VersionState::RollingOut { .. } if !self.knowledge.is_fresh => {
                Some(Dropped::StaleConfiguration)
            }
            VersionState::RollingOut { stage } => {
                let share = self.knowledge.template.stage_share(stage);
                (draw >= share.value()).then_some(Dropped::OutsideStage)
            }
        }
    }

    fn note(&mut self, rated: &Rated<'_>, dropped: Option<Dropped>) {
        self.candidates.push(Candidate {
            model: rated.entry.model.clone(),
            version: rated.entry.version.clone(),
            expected_cost_micro: rated.cost,
            chance: rated.chance.value,
            rated: rated.chance.rated,
            dropped,
        });
    }

    /// Notes the taken and the left, and returns the steps.
    fn take(&mut self, order: Order<'a>) -> Vec<Step> {
        for rated in &order.taken {
            self.note(rated, None);
        }
        for (rated, dropped) in &order.left {
            self.note(rated, Some(*dropped));
        }
        let steps = order.taken.into_iter();
        steps.map(|rated| Step { entry: rated.entry.clone() }).collect()
    }

    fn why_none(&self) -> String {
        let mut reasons: Vec<String> = self
            .candidates
            .iter()
            .filter(|c| c.dropped != Some(Dropped::NotAsked))
            .filter_map(|c| {
                let dropped = c.dropped?;
                Some(format!("{} {}: {dropped}", c.model, c.version))
            })
            .collect();
        if reasons.is_empty() {
            reasons.push("no version of the model is known".to_owned());
        }
        reasons.join("; ")
    }
}

fn is_rolling(entry: &VersionEntry) -> bool {
    matches!(entry.state, VersionState::RollingOut { .. })
}

struct Order<'a> {
    taken: Vec<Rated<'a>>,
    left: Vec<(Rated<'a>, Dropped)>,
}

/// Orders what is eligible: where to start, and what to escalate to.
fn order<'a>(
    request: &RequestFacts,
    mut eligible: Vec<Rated<'a>>,
    rng: &mut ChaCha8Rng,
) -> Order<'a> {
    eligible.sort_by_key(|rated| rated.cost);
    let explore = eligible.len() > 1 && rng.random_bool(EXPLORE_SHARE);
    let start = if explore {
        rng.random_range(0..eligible.len())
    } else if request.can_escalate {
        cheapest_start(&eligible)
    } else {
        single_choice(&eligible)
    };
    split_at_start(request, eligible, start)
}

/// The start at which the expected cost of reaching the target is least.
///
/// Starting at `i` costs its price, and with the chance that its answer is
/// poor also the expected cost of going on from the next likelier version.
fn cheapest_start(by_cost: &[Rated<'_>]) -> usize {
    let mut expected = vec![0.0; by_cost.len()];
    let mut best = by_cost.len() - 1;
    for at in (0..by_cost.len()).rev() {
        let here = &by_cost[at];
        let next = next_step(by_cost, at);
        let onward = next.map_or(0.0, |next| expected[next]);
        let miss = 1.0 - here.chance.value;
        expected[at] = here.cost.0 as f64 + miss * onward;
        let reaches =
            here.chance.value >= by_cost[best].chance.value || next.is_some();
        if reaches && expected[at] <= expected[best] {
            best = at;
        }
    }
    best
}

/// The next version after `at` that is likelier to meet the target.
fn next_step(by_cost: &[Rated<'_>], at: usize) -> Option<usize> {
    let here = by_cost[at].chance.value;
    (at + 1..by_cost.len()).find(|next| by_cost[*next].chance.value > here)
}

/// The cheapest that is likely enough, else the likeliest.
fn single_choice(by_cost: &[Rated<'_>]) -> usize {
    let enough = by_cost.iter().position(|r| r.chance.value >= ENOUGH_CHANCE);
    enough.unwrap_or_else(|| {
        let likeliest = |a: &usize, b: &usize| {
            let (a, b) = (&by_cost[*a].chance, &by_cost[*b].chance);
            a.value.total_cmp(&b.value)
        };
        // The last of equals is the dearest; the first is wanted.
        (0..by_cost.len()).rev().max_by(likeliest).unwrap_or(0)
    })
}

fn split_at_start<'a>(
    request: &RequestFacts,
    by_cost: Vec<Rated<'a>>,
    start: usize,
) -> Order<'a> {
    let mut steps = vec![start];
    if request.can_escalate {
        let mut at = start;
        while let Some(next) = next_step(&by_cost, at) {
            steps.push(next);
            at = next;
        }
    }
    let started_at = by_cost[start].chance.value;
    let mut order = Order { taken: Vec::new(), left: Vec::new() };
    for (at, rated) in by_cost.into_iter().enumerate() {
        if steps.contains(&at) {
            order.taken.push(rated);
        } else if rated.chance.value < started_at {
            order.left.push((rated, Dropped::LessLikely));
        } else {
            order.left.push((rated, Dropped::CostsMore));
        }
    }
    order
}

/// What of a request matters to the choice of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCriteria<'a> {
    /// The version that must be loaded, for model requests.
    pub version: Option<ShortHash>,
    /// The hash of the request's prefix, where affinity helps.
    pub prefix: Option<u64>,
    /// Upstreams that earlier attempts failed at.
    pub tried: &'a [UpstreamId],
}

/// Picks the upstream of one attempt.
///
/// # Errors
///
/// [`ErrorKind::NoUpstream`] with the numbers of those left out.
pub fn pick_upstream(
    facts: &[UpstreamSnapshot],
    wish: UpstreamCriteria<'_>,
    seed: u64,
) -> Result<UpstreamChoice, Error> {
    let sorted = Sorted::new(facts, wish);
    let pool = sorted.pool();
    if pool.is_empty() {
        return Err(sorted.nobody(facts.len(), seed));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (taken, preferred) = prefer(&pool, wish.prefix, &mut rng);
    Ok(UpstreamChoice {
        upstream: taken.id.clone(),
        preferred,
        local: taken.local,
        usable: pool.len() as u32,
        leaving: sorted.leaving,
        broken: sorted.broken,
        not_loaded: sorted.not_loaded,
        requests: taken.requests,
        load_age_ms: taken.load_age.map(|age| age.as_millis() as u64),
    })
}

/// The upstreams by usability.
struct Sorted<'a> {
    local: Vec<&'a UpstreamSnapshot>,
    remote: Vec<&'a UpstreamSnapshot>,
    leaving: u32,
    broken: u32,
    backing_off: u32,
    /// When the first of those may get a request that have asked for fewer.
    soonest: Duration,
    not_loaded: u32,
}

impl<'a> Sorted<'a> {
    fn new(
        facts: &'a [UpstreamSnapshot],
        wish: UpstreamCriteria<'_>,
    ) -> Sorted<'a> {
        let mut sorted = Sorted {
            local: Vec::new(),
            remote: Vec::new(),
            leaving: 0,
            broken: 0,
            backing_off: 0,
            soonest: Duration::MAX,
            not_loaded: 0,
        };
        for one in facts {
            if one.leaving {
                sorted.leaving += 1;
            } else if one.breaker_open || wish.tried.contains(&one.id) {
                sorted.broken += 1;
            } else if !one.backoff.is_zero() {
                sorted.backing_off += 1;
                sorted.soonest = sorted.soonest.min(one.backoff);
            } else if !has_loaded(one, wish.version) {
                sorted.not_loaded += 1;
            } else if one.local {
                sorted.local.push(one);
            } else {
                sorted.remote.push(one);
            }
        }
        sorted
    }

    /// Why there is no upstream, and when there may be one.
    fn nobody(&self, known: usize, seed: u64) -> Error {
        let error = Error::new(ErrorKind::NoUpstream).context(format!(
            "of {known} replicas {} are leaving, {} failing, {} have asked \
             for fewer requests, {} without the version",
            self.leaving, self.broken, self.backing_off, self.not_loaded
        ));
        if self.backing_off == 0 {
            return error;
        }
        let draw = ChaCha8Rng::seed_from_u64(seed).random();
        let back = admission::retry_after_backoff(self.soonest, draw);
        error.with_retry_after(back)
    }

    /// The own hall, unless it cannot or another has clearly more room.
    fn pool(&self) -> Vec<&'a UpstreamSnapshot> {
        let overflow = !self.remote.is_empty()
            && fill(&self.local) > OVERFLOW_FILL
            && fill(&self.remote) < 1.0;
        if self.local.is_empty() || overflow {
            return self.remote.clone();
        }
        self.local.clone()
    }
}

fn fill(pool: &[&UpstreamSnapshot]) -> f64 {
    let requests: f64 = pool.iter().map(|one| one.requests).sum();
    let slots: f64 = pool.iter().map(|one| one.slots).sum();
    if slots > 0.0 { requests / slots } else { f64::INFINITY }
}

/// Whether an upstream is known to have loaded a version.
fn has_loaded(one: &UpstreamSnapshot, version: Option<ShortHash>) -> bool {
    version.is_none_or(|version| one.versions.contains(&version))
}

fn prefer<'a>(
    pool: &[&'a UpstreamSnapshot],
    prefix: Option<u64>,
    rng: &mut ChaCha8Rng,
) -> (&'a UpstreamSnapshot, Preferred) {
    if let [only] = pool {
        return (only, Preferred::Only);
    }
    if let Some(home) = prefix.and_then(|prefix| home_of(pool, prefix)) {
        return (home, Preferred::Prefix);
    }
    let first = rng.random_range(0..pool.len());
    let offset = rng.random_range(1..pool.len());
    let second = (first + offset) % pool.len();
    let (a, b) = (pool[first], pool[second]);
    let taken = if pressure(a) <= pressure(b) { a } else { b };
    (taken, Preferred::LessLoaded)
}

/// The upstream that probably holds the prefix, unless it is overloaded.
fn home_of<'a>(
    pool: &[&'a UpstreamSnapshot],
    prefix: u64,
) -> Option<&'a UpstreamSnapshot> {
    let weight =
        |one: &&&UpstreamSnapshot| mix(prefix ^ u64::from(one.short_hash.0));
    let home = pool.iter().max_by_key(weight)?;
    let mean = fill(pool);
    let bound = (mean * AFFINITY_BOUND * home.slots).max(1.0);
    (home.requests < bound).then_some(*home)
}

/// How full an upstream would be with one request more.
fn pressure(one: &UpstreamSnapshot) -> f64 {
    (one.requests + 1.0) / one.slots.max(f64::MIN_POSITIVE)
}

/// A cheap mixing of bits (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// ModelLoad left for new requests at replicas of one model, and their slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLoad {
    /// Requests believed to be held.
    pub requests: f64,
    /// Slots of usable replicas.
    pub slots: f64,
}

impl ModelLoad {
    /// Adds up the usable replicas of a model.
    pub fn of(facts: &[UpstreamSnapshot]) -> ModelLoad {
        let usable = facts.iter().filter(|one| one.is_available());
        usable.fold(ModelLoad::default(), |room, one| ModelLoad {
            requests: room.requests + one.requests,
            slots: room.slots + one.slots,
        })
    }
}

/// Whether any replica of a version could take a request.
pub fn any_usable(facts: &[UpstreamSnapshot], version: ShortHash) -> bool {
    facts
        .iter()
        .any(|one| one.is_available() && has_loaded(one, Some(version)))
}

/// The age of a moment, in whole milliseconds.
pub(crate) fn age_ms(age: Option<Duration>) -> Option<u64> {
    age.map(|age| age.as_millis() as u64)
}
