//! The slots of one upstream, as its coordinator grants them.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::BootInstant,
    scheduling::{
        release::{Release, ReleasedLoad},
        service_time::ServiceTime,
    },
    unit::Slowdown,
};

/// Time from the end of a request until the next one that is granted its slot
/// arrives at the upstream: the response, the release, the grant and the
/// request travel between VMs. In the replay, they take 7 ms together.
const SLOT_TURNAROUND: Duration = Duration::from_millis(7);

/// Fraction of a request that must end in transit for a spare one to be
/// granted.
const MIN_SPARE: f64 = 0.25;

/// Age up to which a reported slowdown counts: it changes many times a second.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_millis(300);

/// Age of the load that a release reports: a VM with a tenth of a core is
/// stopped for up to 90 ms in every 100 ms.
const MAX_LOAD_AGE: Duration = Duration::from_millis(100);

/// The slots of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamSlots {
    /// How many requests it processes concurrently, as last stated.
    slots: u32,
    /// Requests that are granted there.
    granted: u32,
    /// How many requests were granted when the latest grants ended, within
    /// [`MAX_LOAD_AGE`]; the largest number first, each the largest since the
    /// one before it.
    peaks: VecDeque<(u32, BootInstant)>,
    /// The service time there while it reports no slowdown.
    service_time: ServiceTime,
    slowdown: Option<(Slowdown, BootInstant)>,
    /// Whether a grant has expired and nothing came from the upstream since.
    is_silent: bool,
    /// Requests there that were not granted, when last reported.
    others: f64,
    others_at: BootInstant,
    /// When a request last named it.
    pub(super) named_at: BootInstant,
}

impl UpstreamSlots {
    /// Creates the slots of an upstream whose service time is not known yet.
    pub(super) fn new(
        service_time: ServiceTime,
        now: BootInstant,
    ) -> UpstreamSlots {
        UpstreamSlots {
            slots: 0,
            granted: 0,
            peaks: VecDeque::new(),
            service_time,
            slowdown: None,
            is_silent: false,
            others: 0.0,
            others_at: now,
            named_at: now,
        }
    }

    /// Takes the number of slots that a request states.
    pub(super) fn name(&mut self, slots: u16, now: BootInstant) {
        self.slots = slots.into();
        self.named_at = now;
    }

    /// Returns the number of slots.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many requests it completes per second while all slots are
    /// busy and it reports no slowdown.
    pub(super) fn rate_per_s(&self) -> f64 {
        f64::from(self.slots) / self.service_time.mean().as_secs_f64()
    }

    /// Returns the number of granted requests.
    pub(super) fn granted(&self) -> u32 {
        self.granted
    }

    /// Counts a grant.
    pub(super) fn grant(&mut self) {
        self.granted += 1;
    }

    /// Ends a grant of which nothing is reported.
    pub(super) fn end_grant(&mut self, now: BootInstant) {
        while self.peaks.back().is_some_and(|(n, _)| *n <= self.granted) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((self.granted, now));
        self.forget_peaks(now);
        self.granted = self.granted.saturating_sub(1);
    }

    /// Ends a grant that has expired. Until the upstream is heard of again, it
    /// gets one request at a time: a dead one would attract them, since it
    /// holds few.
    pub(super) fn expire_grant(&mut self, now: BootInstant) {
        self.end_grant(now);
        self.is_silent = true;
    }

    fn forget_peaks(&mut self, now: BootInstant) {
        self.peaks.retain(|(_, at)| {
            now.saturating_duration_since(*at) <= MAX_LOAD_AGE
        });
    }

    /// Ends a grant, with what its entry VM reports.
    pub(super) fn release(&mut self, release: &Release, now: BootInstant) {
        self.learn(release, now);
        self.end_grant(now);
    }

    /// Learns from what an entry VM reports.
    pub(super) fn learn(&mut self, release: &Release, now: BootInstant) {
        if release.load.is_some() || release.service_time().is_some() {
            self.is_silent = false;
        }
        if let Some(load) = release.load {
            self.record_load(load, now);
        }
        if let Some(took) = release.service_time() {
            let factor = self.slowdown_factor(now).max(0.01);
            self.service_time.record(took.div_f64(factor));
        }
    }

    /// Counts as granted whatever may have been when the upstream reported its
    /// load: the most that were granted at a time since then.
    fn record_load(&mut self, load: ReleasedLoad, now: BootInstant) {
        self.forget_peaks(now);
        let there = f64::from(load.running) + f64::from(load.waiting);
        let peak = self.peaks.front().map_or(0, |(granted, _)| *granted);
        let granted = f64::from(self.granted.max(peak));
        self.others = (there - granted).max(0.0);
        self.others_at = now;
        self.slowdown = load.slowdown.map(|slowdown| (slowdown, now));
    }

    /// Returns the estimated number of requests there that were not granted;
    /// the estimate halves every service time.
    fn others(&self, now: BootInstant) -> f64 {
        let age = now.saturating_duration_since(self.others_at).as_secs_f64();
        let halvings = age / self.service_time.mean().as_secs_f64();
        self.others * 0.5_f64.powf(halvings)
    }

    /// Returns whether another request may be granted.
    pub(super) fn is_free(&self, now: BootInstant) -> bool {
        if self.is_silent && self.granted > 0 {
            return false;
        }
        let limit = self.slots + self.spare();
        let there = f64::from(self.granted) + self.others(now).round();
        there < f64::from(limit)
    }

    /// Returns how many requests are granted beyond the slots, so that no slot
    /// is idle while a grant is in transit: as many as end meanwhile.
    ///
    /// A spare request waits at the upstream, where its place cannot be
    /// changed any more; none is granted where most would wait for long.
    fn spare(&self) -> u32 {
        let in_transit =
            SLOT_TURNAROUND.div_duration_f64(self.service_time.mean());
        let ended = f64::from(self.slots) * in_transit;
        if ended < MIN_SPARE {
            0
        } else {
            (ended.ceil() as u32).min(self.slots)
        }
    }

    fn slowdown_factor(&self, now: BootInstant) -> f64 {
        let recent = self.slowdown.filter(|(_, at)| {
            now.saturating_duration_since(*at) <= MAX_SLOWDOWN_AGE
        });
        recent.map_or(1.0, |(slowdown, _)| slowdown.factor())
    }

    /// Returns when a request that is granted now is expected to end, in
    /// seconds from now.
    ///
    /// Beyond the slots, it waits until one of the requests there ends.
    pub(super) fn completion_s(&self, now: BootInstant) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let there = f64::from(self.granted) + self.others(now);
        let wait = (there + 1.0 - slots).max(0.0) / slots;
        let service_s = self.service_time.mean().as_secs_f64();
        service_s * self.slowdown_factor(now) * (1.0 + wait)
    }
}
