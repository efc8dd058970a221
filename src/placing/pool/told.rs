//! What the VMs tell each other of upstreams, and what upstreams say of
//! themselves.

use std::{
    collections::HashSet, sync::Arc, sync::atomic::Ordering, time::Duration,
};

use super::Pool;
use crate::{
    clock::BootInstant,
    id::UpstreamId,
    message::{
        InFlightWork, RateLimitReport, ShortHash, UpstreamFailureReport,
        UpstreamLoadReport,
    },
    placing::{
        health::AttemptOutcome,
        member::{LoadReport, Member},
        signals::{RateLimit, ReportedChange, UpstreamSignals},
    },
};

impl Pool {
    /// Takes in what an upstream says of itself in its answer to what was
    /// sent at `sent_at`; returns what is news.
    pub fn apply_signals(
        &self,
        member: &Member,
        statement: &UpstreamSignals,
        sent_at: BootInstant,
        now: BootInstant,
    ) -> Vec<ReportedChange> {
        let life = member.upstream.short_hash;
        let was_leaving = member.upstream.is_leaving();
        let word = &member.upstream.reported_state;
        let mut news = word.apply(statement, rand::random(), sent_at, now);
        if news.contains(&ReportedChange::Leaving) {
            self.tell_leaving(life, now);
        }
        // Its record or another VM may have said so before.
        news.retain(|one| *one != ReportedChange::Leaving || !was_leaving);
        self.tell_limit(life, statement, &news, now);
        if let Some(load) = statement.load {
            self.note_load(member, load, now);
        }
        news
    }

    /// Has the other VMs told of a rate limit, each time that it is named and
    /// when it has ended.
    fn tell_limit(
        &self,
        life: ShortHash,
        statement: &UpstreamSignals,
        news: &[ReportedChange],
        now: BootInstant,
    ) {
        let rate = statement.rate_limit.as_ref().and_then(RateLimit::rate);
        if rate.is_some() || news.contains(&ReportedChange::RateLimitLifted) {
            let mut seen = self.seen.lock().expect("seen lock");
            seen.note_limit(life, rate, now, true, now);
        }
    }

    /// The rate limits that the other VMs are to hear of: those of the own
    /// data hall, or of the others.
    pub(crate) fn take_rate_limits(
        &self,
        for_own_hall: bool,
        now: BootInstant,
    ) -> Vec<RateLimitReport> {
        self.seen
            .lock()
            .expect("seen lock")
            .take_rate_limits(for_own_hall, now)
    }

    /// Takes in which rate limits another VM has told of, and tells them on;
    /// returns what is news.
    pub(crate) fn apply_peer_rate_limits(
        &self,
        told: &[RateLimitReport],
        is_near: bool,
        now: BootInstant,
    ) -> Vec<(Arc<Member>, ReportedChange)> {
        let members = self.read();
        let mut news = Vec::new();
        for one in told {
            let age = Duration::from_millis(one.age_ms.into());
            let Some(at) = now.checked_sub(age) else { continue };
            let Some(member) = members.by_short.get(&one.upstream) else {
                let mut unlisted = self.unlisted.lock().expect("words lock");
                unlisted.note(one.upstream, now, |word| {
                    word.update_rate_limit(one.rate, at, rand::random(), now);
                });
                continue;
            };
            let word = &member.upstream.reported_state;
            let change =
                word.update_rate_limit(one.rate, at, rand::random(), now);
            // A VM of the own hall has told all of it.
            let for_own_hall = change.is_some() && !is_near;
            let mut seen = self.seen.lock().expect("seen lock");
            seen.note_limit(one.upstream, one.rate, at, for_own_hall, now);
            news.extend(change.map(|change| (member.clone(), change)));
        }
        news
    }

    fn tell_leaving(&self, life: ShortHash, now: BootInstant) {
        self.seen.lock().expect("seen lock").note_leaving(life, now);
    }

    /// The lives that are leaving which the other VMs are to hear of.
    pub fn take_leaving(&self, now: BootInstant) -> Vec<ShortHash> {
        self.seen.lock().expect("seen lock").take_leaving(now)
    }

    /// Takes in which lives have said to another VM that they are leaving, and
    /// tells them on; returns those of which that is news.
    pub fn apply_peer_leaving(
        &self,
        told: &[ShortHash],
        now: BootInstant,
    ) -> Vec<Arc<Member>> {
        let members = self.read();
        let mut news = Vec::new();
        for life in told {
            let Some(member) = members.by_short.get(life) else {
                let mut unlisted = self.unlisted.lock().expect("words lock");
                unlisted.note(*life, now, |word| {
                    word.note_leaving();
                });
                continue;
            };
            let was_leaving = member.upstream.is_leaving();
            if member.upstream.reported_state.note_leaving() {
                self.tell_leaving(*life, now);
            }
            if !was_leaving {
                news.push(member.clone());
            }
        }
        news
    }

    /// Takes in the load that an upstream states in an answer.
    pub(super) fn note_load(
        &self,
        member: &Member,
        load: LoadReport,
        now: BootInstant,
    ) {
        if member.note_stated(load, self.mean_reading(), now) {
            let short = member.upstream.short_hash;
            self.seen.lock().expect("seen lock").note_load(short, load, now);
        }
    }

    /// Takes what upstreams have stated to this VM since it was last taken.
    pub fn take_loads(&self, now: BootInstant) -> Vec<UpstreamLoadReport> {
        self.seen.lock().expect("seen lock").take_loads(now)
    }

    /// Takes in what upstreams have stated to another VM.
    pub fn apply_peer_loads(
        &self,
        stated: &[UpstreamLoadReport],
        now: BootInstant,
    ) {
        let each = self.mean_reading();
        let members = self.read();
        for told in stated {
            let member = members.by_short.get(&told.upstream);
            let age = Duration::from_millis(told.age_ms.into());
            if let (Some(member), Some(at)) = (member, now.checked_sub(age)) {
                let load = LoadReport {
                    running: told.running.into(),
                    waiting: told.waiting.into(),
                };
                if member.note_stated(load, each, at) {
                    member.health.hear(AttemptOutcome::Success, now);
                }
            }
        }
    }

    /// Takes in how an attempt ended, for the other VMs of the data hall;
    /// returns whether they should hear of it at once.
    pub fn record_outcome(
        &self,
        member: &Member,
        verdict: AttemptOutcome,
        now: BootInstant,
    ) -> bool {
        let short = member.upstream.short_hash;
        self.seen
            .lock()
            .expect("seen lock")
            .record_outcome(short, verdict, now)
    }

    /// Takes the failures that the others are to hear of.
    pub fn take_failures(
        &self,
        now: BootInstant,
    ) -> Vec<UpstreamFailureReport> {
        self.seen.lock().expect("seen lock").take_failures(now)
    }

    /// Takes in the failures that another VM of the data hall has seen;
    /// returns the upstreams that are unfit by now.
    pub fn apply_peer_failures(
        &self,
        told: &[UpstreamFailureReport],
        now: BootInstant,
    ) -> Vec<UpstreamId> {
        let members = self.read();
        let mut unfit = Vec::new();
        for failure in told {
            let Some(member) = members.by_short.get(&failure.upstream) else {
                continue;
            };
            if member.health.hear(failure.outcome, now).is_some() {
                unfit.push(member.entry.id.clone());
            }
        }
        unfit
    }

    /// What this VM has at each upstream that has any of it.
    pub fn local_work(&self) -> Vec<(ShortHash, InFlightWork)> {
        let members = self.read();
        let bounded = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let work = members.by_id.values().filter_map(|member| {
            let reading_ms = member.reading_ms.load(Ordering::Relaxed);
            let work = InFlightWork {
                requests: bounded(member.upstream.in_flight()),
                prefill_ms: bounded(reading_ms),
            };
            let has_any = work != InFlightWork::default();
            has_any.then_some((member.upstream.short_hash, work))
        });
        work.collect()
    }

    /// Takes in what another VM has at each upstream.
    pub fn set_peer_work(
        &self,
        vm: &str,
        work: &[(ShortHash, InFlightWork)],
        now: BootInstant,
    ) {
        let members = self.read();
        let mut told = self.told.lock().expect("told lock");
        let set = |upstream: &ShortHash, there: InFlightWork| {
            if let Some(member) = members.by_short.get(upstream) {
                member.set_peer_work(vm, there, now);
            }
        };
        for (upstream, there) in work {
            set(upstream, *there);
        }
        let upstreams: HashSet<ShortHash> =
            work.iter().map(|(upstream, _)| *upstream).collect();
        let before = told.at.get(vm).map_or(&[][..], Vec::as_slice);
        for upstream in before.iter().filter(|u| !upstreams.contains(u)) {
            set(upstream, InFlightWork::default());
        }
        told.at.insert(vm.to_owned(), upstreams.into_iter().collect());
        if told.is_due(now) {
            for member in members.by_id.values() {
                member.forget_old_work(now);
            }
        }
    }
}
