//! Simulates a fleet of VMs, their coordinators and the upstreams.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    fmt,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::load::{Call, LOAD_US, Load, Return, SLOTS, UPSTREAMS};
use crate::{
    clock::BootInstant,
    crashes::subject::Subject,
    message::ShortHash,
    placing::admission,
    scheduling::{
        release::{Release, ReleasedLoad},
        slot_decision::SlotDecision,
        slot_queue::SlotQueue,
        slot_request::{EligibleUpstream, SlotRequest, Ticket},
    },
};

/// Requests that an upstream queues at most.
const QUEUE_LIMIT: usize = 24;

/// Time after which the coordinator replies that a request waits.
const WAITING_REPLY_US: u64 = 200_000;

/// Age of a VM's view of the requests of other VMs.
const VIEW_AGE_US: u64 = 500_000;

/// Interval at which that view is recorded.
const VIEW_STEP_US: u64 = 5_000;

/// Longest time after which the end of a request is known to a coordinator.
const NOTICE_US: u64 = MAX_HOP_US + MAX_DELAY_US;

/// Delays of messages between VMs and to upstreams.
const MIN_DELAY_US: u64 = 500;
const MAX_DELAY_US: u64 = 5_000;
const MIN_HOP_US: u64 = 100;
const MAX_HOP_US: u64 = 1_400;

/// Least time with demand from which the share of busy slots is measured.
const MIN_DEMAND_US: f64 = 100_000.0;

/// Part of the load from which measurements are taken, once the queues have
/// learned the service time.
const MEASURED_FROM_US: u64 = 1_000_000;

/// Who decides which upstream a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Policy {
    /// A queue; VMs ask the coordinators in turn by their numbers.
    Coordinated { coordinators: usize },
    /// Each VM, by its own requests and those of others 500 ms ago.
    EachVm,
}

/// Results of a replay.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) calls: usize,
    /// Share of the calls that were answered before their latency target.
    pub(super) in_time: f64,
    pub(super) answered: f64,
    /// Share of the slots in use while there is demand: a request waits that
    /// was not sent to an upstream, or a caller was told to return.
    pub(super) busy: Option<f64>,
    /// Refusals, those that were made while an upstream had fewer requests
    /// than slots, and those of an upstream whose queue was full.
    ///
    /// Requests count until [`NOTICE_US`] after their end, since no VM can
    /// know of it earlier.
    pub(super) refusals: usize,
    pub(super) refusals_while_free: usize,
    pub(super) overfilled: usize,
    /// Messages between VMs per second.
    pub(super) messages_per_s: f64,
    /// Most requests that were granted or sent to one upstream at a time.
    pub(super) max_there: usize,
    /// Whether each call was answered, and whether in time.
    pub(super) by_call: Vec<(bool, bool)>,
    /// Callers that returned.
    pub(super) returned: Vec<bool>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "in time {:.3}, answered {:.3}, busy {:.3?}, refusals {} ({} while \
             free), overfilled {}, {:.0} messages/s, at most {} there",
            self.in_time,
            self.answered,
            self.busy,
            self.refusals,
            self.refusals_while_free,
            self.overfilled,
            self.messages_per_s,
            self.max_there
        )
    }
}

impl Outcome {
    /// Returns the shares of some calls that were answered and that were
    /// answered in time.
    pub(super) fn shares(
        &self,
        load: &Load,
        is_counted: impl Fn(&Call) -> bool,
    ) -> (f64, f64) {
        let counted = load.calls.iter().zip(&self.by_call);
        let counted: Vec<(bool, bool)> = counted
            .filter(|(call, _)| is_counted(call))
            .map(|(_, result)| *result)
            .collect();
        let share = |of: fn(&(bool, bool)) -> bool| {
            counted.iter().filter(|r| of(r)).count() as f64
                / counted.len() as f64
        };
        (share(|r| r.0), share(|r| r.1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends its request, for the first or second time.
    Arrive {
        call: usize,
        is_return: bool,
    },
    /// A request for a slot reaches the coordinator.
    Ask {
        ticket: u64,
    },
    /// The coordinator replies that a request waits, unless it has decided.
    ReplyWaiting {
        ticket: u64,
    },
    /// A grant reaches the entry VM.
    Granted {
        ticket: u64,
        upstream: usize,
    },
    /// A refusal reaches the entry VM.
    Refused {
        call: usize,
        retry_after_us: u64,
    },
    /// A request reaches its upstream.
    Reach {
        ticket: u64,
        upstream: usize,
    },
    /// An upstream has finished a request.
    Finish {
        ticket: u64,
        upstream: usize,
    },
    /// The response reaches the entry VM.
    Answer {
        ticket: u64,
        upstream: usize,
        load: usize,
    },
    /// A release reaches the coordinator.
    Release {
        ticket: u64,
        load: usize,
        took_ms: u32,
    },
    Advance {
        coordinator: usize,
    },
    /// The view that VMs have of each other is recorded.
    Record,
}

/// One attempt of a call.
#[derive(Clone, Debug)]
struct Attempt {
    call: usize,
    coordinator: usize,
    sent_us: u64,
    asked_latency_target_us: u64,
    tried: Vec<usize>,
    is_decided: bool,
}

#[derive(Debug, Default)]
struct Upstream {
    running: usize,
    queue: VecDeque<u64>,
    /// Requests that are granted or sent and not finished.
    there: usize,
    /// When the latest of them ended, within [`NOTICE_US`].
    ended_us: VecDeque<u64>,
}

struct Simulation<'a> {
    load: &'a Load,
    policy: Policy,
    start: BootInstant,
    random: StdRng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    attempts: Vec<Attempt>,
    upstreams: Vec<Upstream>,
    queues: Vec<SlotQueue>,
    advance_at_us: Vec<Option<u64>>,
    service_times: HashMap<usize, admission::ServiceTimes>,
    /// Requests of each VM at each upstream, now and at each recorded time.
    own: Vec<[u16; UPSTREAMS]>,
    recorded: Vec<Vec<[u16; UPSTREAMS]>>,
    /// Callers that were told to return and have not.
    away: usize,
    messages: usize,
    busy_us: f64,
    demand_us: f64,
    outcome: Outcome,
}

/// Runs a load under a policy.
pub(super) fn simulate(load: &Load, policy: Policy) -> Outcome {
    let coordinators = match policy {
        Policy::Coordinated { coordinators } => coordinators,
        Policy::EachVm => 0,
    };
    let mean = Duration::from_millis(load.service.mean_ms);
    let mut simulation = Simulation {
        load,
        policy,
        start: BootInstant::now(),
        random: StdRng::seed_from_u64(23),
        now_us: 0,
        events: BinaryHeap::new(),
        event_count: 0,
        attempts: Vec::new(),
        upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
        queues: (0..coordinators)
            .map(|_| SlotQueue::new(Some(mean)))
            .collect(),
        advance_at_us: vec![None; coordinators],
        service_times: HashMap::new(),
        own: vec![[0; UPSTREAMS]; load.vms],
        recorded: Vec::new(),
        away: 0,
        messages: 0,
        busy_us: 0.0,
        demand_us: 0.0,
        outcome: Outcome {
            calls: load.calls.len(),
            by_call: vec![(false, false); load.calls.len()],
            returned: vec![false; load.calls.len()],
            ..Outcome::default()
        },
    };
    simulation.run();
    simulation.finish()
}

fn hash_of(upstream: usize) -> ShortHash {
    ShortHash(upstream as u32 + 1)
}

impl Simulation<'_> {
    fn run(&mut self) {
        for (call, arrival) in self.load.calls.iter().enumerate() {
            let event = Event::Arrive { call, is_return: false };
            self.event_count += 1;
            let entry = (arrival.at_us, self.event_count, event);
            self.events.push(Reverse(entry));
        }
        if self.policy == Policy::EachVm {
            self.at(0, Event::Record);
        }
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.measure(at_us);
            self.now_us = at_us;
            self.handle(event);
            self.schedule_advance();
        }
    }

    fn finish(mut self) -> Outcome {
        let total = self.outcome.calls as f64;
        let answered = self.outcome.by_call.iter().filter(|r| r.0).count();
        let in_time = self.outcome.by_call.iter().filter(|r| r.1).count();
        self.outcome.answered = answered as f64 / total;
        self.outcome.in_time = in_time as f64 / total;
        self.outcome.busy = (self.demand_us >= MIN_DEMAND_US)
            .then(|| self.busy_us / self.demand_us);
        self.outcome.messages_per_s =
            self.messages as f64 / (LOAD_US as f64 / 1e6);
        self.outcome
    }

    /// Adds the time since the last event to the measurement of the slots.
    fn measure(&mut self, until_us: u64) {
        let is_waiting =
            self.queues.iter().any(|queue| !queue.is_empty()) || self.away > 0;
        if !is_waiting || !(MEASURED_FROM_US..LOAD_US).contains(&self.now_us) {
            return;
        }
        let passed_us = (until_us - self.now_us) as f64;
        let running: usize = self.upstreams.iter().map(|u| u.running).sum();
        self.busy_us +=
            passed_us * running as f64 / (UPSTREAMS * SLOTS) as f64;
        self.demand_us += passed_us;
    }

    fn at(&mut self, delay_us: u64, event: Event) {
        self.event_count += 1;
        let entry = (self.now_us + delay_us, self.event_count, event);
        self.events.push(Reverse(entry));
    }

    fn now(&self) -> BootInstant {
        self.start + Duration::from_micros(self.now_us)
    }

    /// Sends a message between the VM of a call and its coordinator.
    fn send(&mut self, ticket: u64, event: Event) {
        let attempt = &self.attempts[ticket as usize];
        let is_local = self.load.calls[attempt.call].vm == attempt.coordinator;
        if is_local {
            self.at(0, event);
            return;
        }
        self.messages += 1;
        let delay_us = self.random.random_range(MIN_DELAY_US..MAX_DELAY_US);
        self.at(delay_us, event);
    }

    /// Sends a message between a VM and an upstream.
    fn hop(&mut self, event: Event) {
        let delay_us = self.random.random_range(MIN_HOP_US..MAX_HOP_US);
        self.at(delay_us, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { call, is_return } => self.arrive(call, is_return),
            Event::Ask { ticket } => self.ask(ticket),
            Event::ReplyWaiting { ticket } => {
                if !self.attempts[ticket as usize].is_decided {
                    // The reply and the next message take as long as two
                    // messages.
                    self.messages += 1;
                    let reply_us =
                        self.random.random_range(MIN_DELAY_US..MAX_DELAY_US);
                    let ask_us =
                        self.random.random_range(MIN_DELAY_US..MAX_DELAY_US);
                    self.messages += 1;
                    self.at(reply_us + ask_us, Event::Ask { ticket });
                }
            }
            Event::Granted { ticket, upstream } => {
                self.attempts[ticket as usize].sent_us = self.now_us;
                self.hop(Event::Reach { ticket, upstream });
            }
            Event::Refused { call, retry_after_us } => {
                self.refused(call, retry_after_us);
            }
            Event::Reach { ticket, upstream } => self.reach(ticket, upstream),
            Event::Finish { ticket, upstream } => {
                self.count_gone(upstream);
                let there = &mut self.upstreams[upstream];
                there.running -= 1;
                let next = there.queue.pop_front();
                let load = there.running
                    + there.queue.len()
                    + usize::from(next.is_some());
                if let Some(next) = next {
                    self.start(next, upstream);
                }
                self.hop(Event::Answer { ticket, upstream, load });
            }
            Event::Answer { ticket, upstream, load } => {
                self.answer(ticket, upstream, load);
            }
            Event::Release { ticket, load, took_ms } => {
                let coordinator = self.attempts[ticket as usize].coordinator;
                let load = ReleasedLoad {
                    running: load.min(SLOTS) as u16,
                    waiting: load.saturating_sub(SLOTS) as u16,
                    slowdown: None,
                };
                let release = Release {
                    service_time_ms: Some(took_ms),
                    load: Some(load),
                };
                let now = self.now();
                let queue = &mut self.queues[coordinator];
                let decided = queue.release(Ticket(ticket), release, now);
                self.decided(decided);
            }
            Event::Advance { coordinator } => {
                if self.advance_at_us[coordinator] == Some(self.now_us) {
                    self.advance_at_us[coordinator] = None;
                }
                let now = self.now();
                let decided = self.queues[coordinator].advance(now);
                self.decided(decided);
            }
            Event::Record => {
                self.recorded.push(self.own.clone());
                if self.now_us < LOAD_US {
                    self.at(VIEW_STEP_US, Event::Record);
                }
            }
        }
    }

    /// Schedules the next call of each queue's `advance`.
    fn schedule_advance(&mut self) {
        for coordinator in 0..self.queues.len() {
            let now = self.now();
            let next = self.queues[coordinator].next_event(now);
            let Some(next) = next else { continue };
            let left = next.saturating_duration_since(now);
            // Rounds up to the next microsecond.
            let at_us = self.now_us + left.as_micros() as u64 + 1;
            let scheduled = self.advance_at_us[coordinator];
            if scheduled.is_none_or(|at| at > at_us) {
                self.advance_at_us[coordinator] = Some(at_us);
                self.at(at_us - self.now_us, Event::Advance { coordinator });
            }
        }
    }

    fn arrive(&mut self, call: usize, is_return: bool) {
        if is_return {
            self.away -= 1;
            self.outcome.returned[call] = true;
        }
        let vm = self.load.calls[call].vm;
        let service = &self.load.service;
        let ticket = self.attempts.len() as u64;
        self.attempts.push(Attempt {
            call,
            coordinator: match self.policy {
                Policy::Coordinated { coordinators } => vm % coordinators,
                Policy::EachVm => vm,
            },
            sent_us: 0,
            // The entry VM does not know of the first attempt.
            asked_latency_target_us: self.now_us
                + service.latency_target_ms * 1000,
            tried: Vec::new(),
            is_decided: false,
        });
        match self.policy {
            Policy::Coordinated { .. } => {
                self.send(ticket, Event::Ask { ticket });
            }
            Policy::EachVm => self.choose(ticket),
        }
    }

    fn deadline_us(&self, call: usize) -> u64 {
        self.load.calls[call].at_us + self.load.service.deadline_ms * 1000
    }

    fn ask(&mut self, ticket: u64) {
        let attempt = &self.attempts[ticket as usize];
        if attempt.is_decided {
            return;
        }
        let (call, coordinator) = (attempt.call, attempt.coordinator);
        let left_ms =
            |at_us: u64| (at_us.saturating_sub(self.now_us) / 1000) as u32;
        let request = SlotRequest {
            ticket: Ticket(ticket),
            priority: self.load.calls[call].priority,
            organisation: ShortHash(self.load.calls[call].organisation as u32),
            digest: Subject(call as u64),
            latency_target_ms: left_ms(attempt.asked_latency_target_us),
            deadline_ms: left_ms(self.deadline_us(call)),
            upstreams: (0..UPSTREAMS)
                .map(|upstream| EligibleUpstream {
                    upstream: hash_of(upstream),
                    slots: SLOTS as u16,
                })
                .collect(),
        };
        let now = self.now();
        match self.queues[coordinator].request(request, now) {
            SlotDecision::Waiting => {
                self.at(WAITING_REPLY_US, Event::ReplyWaiting { ticket });
            }
            decision => self.decided(vec![(Ticket(ticket), decision)]),
        }
    }

    /// Sends decisions to the entry VMs.
    fn decided(&mut self, decisions: Vec<(Ticket, SlotDecision)>) {
        for (Ticket(ticket), decision) in decisions {
            let call = self.attempts[ticket as usize].call;
            self.attempts[ticket as usize].is_decided = true;
            match decision {
                SlotDecision::Granted(hash) => {
                    let upstream = hash.0 as usize - 1;
                    self.count_there(upstream);
                    self.send(ticket, Event::Granted { ticket, upstream });
                }
                SlotDecision::Refused { retry_after, .. } => {
                    self.count_refusal();
                    let retry_after_us = retry_after.as_micros() as u64;
                    let event = Event::Refused { call, retry_after_us };
                    self.send(ticket, event);
                }
                SlotDecision::Waiting => {}
            }
        }
    }

    fn count_there(&mut self, upstream: usize) {
        let upstream = &mut self.upstreams[upstream];
        upstream.there += 1;
        self.outcome.max_there = self.outcome.max_there.max(upstream.there);
    }

    fn count_gone(&mut self, upstream: usize) {
        let upstream = &mut self.upstreams[upstream];
        upstream.there -= 1;
        upstream.ended_us.push_back(self.now_us);
        while upstream
            .ended_us
            .front()
            .is_some_and(|at| self.now_us - at > NOTICE_US)
        {
            upstream.ended_us.pop_front();
        }
    }

    fn count_refusal(&mut self) {
        self.outcome.refusals += 1;
        let now_us = self.now_us;
        let is_free = |u: &Upstream| {
            let recent =
                u.ended_us.iter().filter(|at| now_us - **at <= NOTICE_US);
            u.there + recent.count() < SLOTS
        };
        if self.upstreams.iter().any(is_free) {
            self.outcome.refusals_while_free += 1;
        }
    }

    fn refused(&mut self, call: usize, retry_after_us: u64) {
        if std::mem::replace(&mut self.outcome.returned[call], true) {
            return;
        }
        let left_us = self.deadline_us(call).saturating_sub(self.now_us);
        let wait_us = match self.load.calls[call].returns {
            Return::AsTold => retry_after_us.min(left_us / 3),
            Return::Early => 10_000,
        };
        self.away += 1;
        self.at(wait_us, Event::Arrive { call, is_return: true });
    }

    fn reach(&mut self, ticket: u64, upstream: usize) {
        let there = &mut self.upstreams[upstream];
        if there.running < SLOTS {
            self.start(ticket, upstream);
        } else if there.queue.len() < QUEUE_LIMIT {
            there.queue.push_back(ticket);
        } else {
            self.count_gone(upstream);
            self.outcome.overfilled += 1;
            let call = self.attempts[ticket as usize].call;
            let vm = self.load.calls[call].vm;
            self.own[vm][upstream] = self.own[vm][upstream].saturating_sub(1);
            self.attempts[ticket as usize].tried.push(upstream);
            self.choose(ticket);
        }
    }

    fn start(&mut self, ticket: u64, upstream: usize) {
        self.upstreams[upstream].running += 1;
        let call = self.attempts[ticket as usize].call;
        let work_us = self.load.calls[call].work_us;
        self.at(work_us, Event::Finish { ticket, upstream });
    }

    fn answer(&mut self, ticket: u64, upstream: usize, load: usize) {
        let attempt = &self.attempts[ticket as usize];
        let (call, sent_us) = (attempt.call, attempt.sent_us);
        let target_us = self.load.service.latency_target_ms * 1000;
        let arrived_us = self.load.calls[call].at_us;
        let is_in_time = self.now_us <= arrived_us + target_us;
        self.outcome.by_call[call] = (true, is_in_time);
        let took_us = self.now_us - sent_us;
        if matches!(self.policy, Policy::Coordinated { .. }) {
            let took_ms = (took_us / 1000) as u32;
            self.send(ticket, Event::Release { ticket, load, took_ms });
            return;
        }
        let vm = self.load.calls[call].vm;
        self.own[vm][upstream] -= 1;
        let service = "portal".parse().expect("a service id");
        let times = self.service_times.entry(vm).or_default();
        times.record(&service, Duration::from_micros(took_us));
    }

    /// Chooses an upstream by the view of one VM, or refuses the request.
    fn choose(&mut self, ticket: u64) {
        let attempt = &self.attempts[ticket as usize];
        let (call, tried) = (attempt.call, attempt.tried.clone());
        let vm = self.load.calls[call].vm;
        let service = "portal".parse().expect("a service id");
        let learned = self.service_times.get(&vm).and_then(|t| t.of(&service));
        let target =
            Duration::from_millis(self.load.service.latency_target_ms);
        let limit = admission::utilization_limit(target, learned);
        let seen = self.now_us.checked_sub(VIEW_AGE_US).and_then(|at_us| {
            self.recorded.get((at_us / VIEW_STEP_US) as usize)
        });
        let utilization = |upstream: usize| {
            let others = seen.map_or(0, |seen| {
                let all: u16 = seen.iter().map(|own| own[upstream]).sum();
                all - seen[vm][upstream]
            });
            f64::from(others + self.own[vm][upstream]) / SLOTS as f64
        };
        let candidates = (0..UPSTREAMS).filter(|u| !tried.contains(u));
        let candidates: Vec<(f64, usize)> =
            candidates.map(|u| (utilization(u), u)).collect();
        let mut least: Option<(f64, f64, usize)> = None;
        for (utilization, upstream) in candidates {
            let score = utilization + self.random.random::<f64>() * 0.02;
            if least.is_none_or(|(least, _, _)| score < least) {
                least = Some((score, utilization, upstream));
            }
        }
        match least {
            Some((_, utilization, upstream)) if utilization < limit => {
                self.own[vm][upstream] += 1;
                self.count_there(upstream);
                self.attempts[ticket as usize].sent_us = self.now_us;
                self.hop(Event::Reach { ticket, upstream });
            }
            _ => {
                self.count_refusal();
                let jitter = self.random.random();
                let retry_after = admission::retry_after(learned, jitter);
                let retry_after_us = retry_after.as_micros() as u64;
                self.refused(call, retry_after_us);
            }
        }
    }
}
