//! Waiting for room at the model replicas: fair between organisations.
//!
//! [`FairQueue`] is the pure order: interactive work first, and within one
//! priority weighted fair queueing by start tags. [`DispatchQueue`] lets waiting
//! requests through as room appears and refuses early, not run, those whose
//! deadline cannot be met.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use smol::channel::{Receiver, Sender, bounded};

use crate::{
    api::{selection::ModelLoad, template::Priority},
    clock::{BootInstant, SharedClock},
    error::{Error, ErrorKind},
    id::{ModelId, OrganisationId},
    task::within,
};

/// Fill of a model's slots up to which interactive work is let through.
const INTERACTIVE_FILL: f64 = 1.1;

/// Weight of the newest pass in the average time between two.
const PACE_WEIGHT: f64 = 0.1;

/// A pace older than this says nothing about the wait to come.
const PACE_LIFETIME: Duration = Duration::from_secs(30);

/// One organisation's line in a queue.
#[derive(Debug)]
struct Line<T> {
    waiting: VecDeque<T>,
    finish: f64,
}

/// The waiting requests of one priority, fair between organisations.
#[derive(Debug)]
pub struct FairQueue<T> {
    lines: BTreeMap<OrganisationId, Line<T>>,
    virtual_time: f64,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> FairQueue<T> {
        FairQueue { lines: BTreeMap::new(), virtual_time: 0.0, len: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Puts an item at the end of its organisation's line.
    pub fn push(&mut self, organisation: &OrganisationId, item: T) {
        let now = self.virtual_time;
        let line = self
            .lines
            .entry(organisation.clone())
            .or_insert(Line { waiting: VecDeque::new(), finish: now });
        line.waiting.push_back(item);
        self.len += 1;
    }

    /// Takes the next item, by the weights of the organisations.
    pub fn pop(
        &mut self,
        weight: impl Fn(&OrganisationId) -> u32,
    ) -> Option<T> {
        let next = self
            .lines
            .iter()
            .filter(|(_, line)| !line.waiting.is_empty())
            .min_by(|a, b| a.1.finish.total_cmp(&b.1.finish))
            .map(|(organisation, _)| organisation.clone())?;
        let line = self.lines.get_mut(&next)?;
        let item = line.waiting.pop_front()?;
        let start = line.finish.max(self.virtual_time);
        self.virtual_time = start;
        line.finish = start + 1.0 / f64::from(weight(&next).max(1));
        self.len -= 1;
        let now = self.virtual_time;
        // A line with nothing waiting keeps its place only while ahead.
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || line.finish > now);
        Some(item)
    }

    /// Removes the items that `gone` picks.
    pub fn remove(&mut self, gone: impl Fn(&T) -> bool) {
        for line in self.lines.values_mut() {
            line.waiting.retain(|item| !gone(item));
        }
        self.len = self.lines.values().map(|l| l.waiting.len()).sum();
    }

    /// The number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

/// What a request needs to be let through.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The model that it will ask first.
    pub model: ModelId,
    /// Its organisation.
    pub organisation: OrganisationId,
    /// Its priority.
    pub priority: Priority,
    /// When its answer is due.
    pub deadline: BootInstant,
}

#[derive(Debug)]
struct Waiter {
    number: u64,
    wake: Sender<()>,
}

/// The requests waiting for one model.
#[derive(Default)]
struct Lane {
    queues: HashMap<Priority, FairQueue<Waiter>>,
    pace: Option<Pace>,
}

/// The average time between two requests let through after waiting.
#[derive(Clone, Copy, Debug)]
struct Pace {
    interval: Duration,
    last_at: BootInstant,
}

#[derive(Default)]
struct Lanes {
    by_model: HashMap<ModelId, Lane>,
    waiting: usize,
    next_number: u64,
}

/// Lets requests through as there is room.
pub struct DispatchQueue {
    lanes: Mutex<Lanes>,
    clock: SharedClock,
    queue_limit: usize,
    batch_share: f64,
    passes: Mutex<HashMap<ModelId, u32>>,
}

/// A pass through the gate, from entry to dispatch.
///
/// While it is held, the request counts as taking room that the view does
/// not show yet.
pub struct Pass {
    gate: Arc<DispatchQueue>,
    model: ModelId,
}

impl Drop for Pass {
    fn drop(&mut self) {
        let mut passes = self.gate.passes.lock().expect("gate lock");
        if let Some(count) = passes.get_mut(&self.model) {
            *count = count.saturating_sub(1);
        }
    }
}

impl DispatchQueue {
    /// Creates a gate with nothing waiting.
    pub fn new(
        clock: SharedClock,
        queue_limit: usize,
        batch_share: f64,
    ) -> Arc<DispatchQueue> {
        Arc::new(DispatchQueue {
            lanes: Mutex::default(),
            clock,
            queue_limit,
            batch_share,
            passes: Mutex::default(),
        })
    }

    /// Waits until the request may be dispatched.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`], not run, when the queue is full or the
    /// deadline cannot be met, with the time after which to come back.
    pub async fn enter(
        self: &Arc<DispatchQueue>,
        entry: &Entry,
        room: ModelLoad,
    ) -> Result<Pass, Error> {
        let receiver = match self.try_enter(entry, room)? {
            Entered::Now => return Ok(self.pass(&entry.model)),
            Entered::Waits(receiver) => receiver,
        };
        let now = self.clock.now();
        let patience = entry.deadline.saturating_duration_since(now);
        match within(patience, receiver.receive()).await {
            // The pass was counted when the request was woken.
            Some(true) => {
                Ok(Pass { gate: self.clone(), model: entry.model.clone() })
            }
            _ => Err(overloaded("no room appeared before the deadline")),
        }
    }

    /// Wakes waiting requests for which there is room now.
    ///
    /// To be called when a request ends or the view changes.
    pub fn wake(
        &self,
        room_of: impl Fn(&ModelId) -> ModelLoad,
        weight: impl Fn(&OrganisationId) -> u32,
    ) {
        let models: Vec<ModelId> = {
            let lanes = self.lanes.lock().expect("gate lock");
            let waiting = lanes.by_model.iter().filter(|(_, lane)| {
                lane.queues.values().any(|queue| !queue.is_empty())
            });
            waiting.map(|(model, _)| model.clone()).collect()
        };
        for model in models {
            let room = room_of(&model);
            while self.wake_one(&model, room, &weight) {}
        }
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lanes.lock().expect("gate lock").waiting
    }

    fn try_enter(
        self: &Arc<DispatchQueue>,
        entry: &Entry,
        room: ModelLoad,
    ) -> Result<Entered, Error> {
        let mut lanes = self.lanes.lock().expect("gate lock");
        let ahead = lanes.ahead(&entry.model, entry.priority);
        if ahead == 0 && self.has_room(&entry.model, entry.priority, room) {
            return Ok(Entered::Now);
        }
        if lanes.waiting >= self.queue_limit {
            return Err(overloaded("the queue of this VM is full"));
        }
        let now = self.clock.now();
        let wait = lanes.expected_wait(&entry.model, ahead, now);
        if now + wait > entry.deadline {
            let reason = "the deadline cannot be met";
            return Err(overloaded(reason).with_retry_after(wait));
        }
        let number = lanes.next_number;
        lanes.next_number += 1;
        lanes.waiting += 1;
        let (wake, woken) = bounded(1);
        let lane = lanes.by_model.entry(entry.model.clone()).or_default();
        let queue = lane.queues.entry(entry.priority).or_default();
        queue.push(&entry.organisation, Waiter { number, wake });
        Ok(Entered::Waits(Waiting {
            gate: self.clone(),
            model: entry.model.clone(),
            priority: entry.priority,
            number,
            woken,
        }))
    }

    fn has_room(
        &self,
        model: &ModelId,
        priority: Priority,
        room: ModelLoad,
    ) -> bool {
        let passes = self.passes.lock().expect("gate lock");
        let passing = passes.get(model).copied().unwrap_or(0);
        let fill = match priority {
            Priority::Interactive => INTERACTIVE_FILL,
            Priority::Batch => self.batch_share,
        };
        room.requests + f64::from(passing) < room.slots * fill
    }

    fn wake_one(
        &self,
        model: &ModelId,
        room: ModelLoad,
        weight: &impl Fn(&OrganisationId) -> u32,
    ) -> bool {
        let mut lanes = self.lanes.lock().expect("gate lock");
        for priority in Priority::ALL {
            if !self.has_room(model, priority, room) {
                continue;
            }
            let Some(lane) = lanes.by_model.get_mut(model) else {
                return false;
            };
            let queue = lane.queues.entry(priority).or_default();
            let Some(waiter) = queue.pop(weight) else { continue };
            lane.keep_pace(self.clock.now());
            lanes.waiting -= 1;
            if waiter.wake.try_send(()).is_ok() {
                self.count_pass(model);
            }
            return true;
        }
        false
    }

    fn pass(self: &Arc<DispatchQueue>, model: &ModelId) -> Pass {
        self.count_pass(model);
        Pass { gate: self.clone(), model: model.clone() }
    }

    fn count_pass(&self, model: &ModelId) {
        let mut passes = self.passes.lock().expect("gate lock");
        *passes.entry(model.clone()).or_default() += 1;
    }
}

impl Lanes {
    /// Requests that go before a new one of this priority.
    fn ahead(&self, model: &ModelId, priority: Priority) -> usize {
        let Some(lane) = self.by_model.get(model) else { return 0 };
        let before = lane.queues.iter().filter(|(p, _)| **p <= priority);
        before.map(|(_, queue)| queue.len()).sum()
    }

    fn expected_wait(
        &self,
        model: &ModelId,
        ahead: usize,
        now: BootInstant,
    ) -> Duration {
        let pace = self.by_model.get(model).and_then(|lane| lane.pace);
        match pace {
            Some(pace) if now - pace.last_at < PACE_LIFETIME => {
                pace.interval * (ahead as u32 + 1)
            }
            _ => Duration::ZERO,
        }
    }
}

impl Lane {
    fn keep_pace(&mut self, now: BootInstant) {
        let interval = match self.pace {
            Some(pace) if now - pace.last_at < PACE_LIFETIME => {
                let newest = now - pace.last_at;
                pace.interval.mul_f64(1.0 - PACE_WEIGHT)
                    + newest.mul_f64(PACE_WEIGHT)
            }
            _ => Duration::ZERO,
        };
        self.pace = Some(Pace { interval, last_at: now });
    }
}

enum Entered {
    Now,
    Waits(Waiting),
}

/// A place in the queue, left when it is dropped.
struct Waiting {
    gate: Arc<DispatchQueue>,
    model: ModelId,
    priority: Priority,
    number: u64,
    woken: Receiver<()>,
}

impl Waiting {
    async fn receive(&self) -> bool {
        self.woken.recv().await.is_ok()
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut lanes = self.gate.lanes.lock().expect("gate lock");
        let Some(lane) = lanes.by_model.get_mut(&self.model) else { return };
        let Some(queue) = lane.queues.get_mut(&self.priority) else {
            return;
        };
        let before = queue.len();
        queue.remove(|waiter| waiter.number == self.number);
        let removed = before - queue.len();
        lanes.waiting -= removed;
        if self.woken.try_recv().is_ok() {
            // Woken, but given up in the same moment: the pass goes back.
            drop(Pass { gate: self.gate.clone(), model: self.model.clone() });
        }
    }
}

fn overloaded(reason: &str) -> Error {
    Error::new(ErrorKind::Overloaded).context(reason)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::SystemClock;

    fn organisation(name: &str) -> OrganisationId {
        name.parse().unwrap()
    }

    #[test]
    fn weights_share_a_full_queue() {
        let mut queue = FairQueue::default();
        for n in 0..300 {
            queue.push(&organisation("heavy"), ("heavy", n));
            queue.push(&organisation("light"), ("light", n));
        }
        let weight = |org: &OrganisationId| match org.as_str() {
            "heavy" => 3,
            _ => 1,
        };
        let first: Vec<_> =
            (0..200).filter_map(|_| queue.pop(weight)).collect();
        let heavy = first.iter().filter(|(who, _)| *who == "heavy").count();
        assert!((145..=155).contains(&heavy), "{heavy}");
        let orders: Vec<i32> = first
            .iter()
            .filter(|(who, _)| *who == "light")
            .map(|(_, n)| *n)
            .collect();
        assert!(orders.is_sorted());
    }

    #[test]
    fn who_was_idle_gets_no_credit() {
        let mut queue = FairQueue::default();
        for n in 0..100 {
            queue.push(&organisation("a"), ("a", n));
        }
        for _ in 0..50 {
            queue.pop(|_| 1);
        }
        for n in 0..50 {
            queue.push(&organisation("b"), ("b", n));
        }
        let next: Vec<_> = (0..20).filter_map(|_| queue.pop(|_| 1)).collect();
        let b = next.iter().filter(|(who, _)| *who == "b").count();
        assert!((9..=11).contains(&b), "{b}");
    }

    fn entry(priority: Priority, wait: Duration) -> Entry {
        Entry {
            model: "m".parse().unwrap(),
            organisation: organisation("a"),
            priority,
            deadline: BootInstant::now() + wait,
        }
    }

    const EMPTY: ModelLoad = ModelLoad { requests: 0.0, slots: 10.0 };
    const HALF: ModelLoad = ModelLoad { requests: 7.5, slots: 10.0 };
    const FULL: ModelLoad = ModelLoad { requests: 11.0, slots: 10.0 };

    #[test]
    fn batch_work_leaves_room_and_waits() {
        let gate = DispatchQueue::new(Arc::new(SystemClock), 10, 0.7);
        let minute = Duration::from_secs(60);
        smol::block_on(async {
            let now = entry(Priority::Interactive, minute);
            assert!(gate.enter(&now, HALF).await.is_ok());
            let batch = entry(Priority::Batch, minute);
            let waiting = gate.enter(&batch, HALF);
            let waker = async {
                assert_eq!(gate.waiting(), 1);
                gate.wake(|_| HALF, |_| 1);
                assert_eq!(gate.waiting(), 1);
                gate.wake(|_| EMPTY, |_| 1);
            };
            let (passed, ()) = futures_lite::future::zip(waiting, waker).await;
            assert!(passed.is_ok());
            assert_eq!(gate.waiting(), 0);
        });
    }

    #[test]
    fn a_full_queue_and_a_passed_deadline_refuse_not_run() {
        let gate = DispatchQueue::new(Arc::new(SystemClock), 1, 0.7);
        smol::block_on(async {
            let short =
                entry(Priority::Interactive, Duration::from_millis(20));
            let first = gate.enter(&short, FULL);
            let second = async {
                let refused = gate.enter(&short, FULL).await;
                assert_eq!(
                    refused.err().map(|e| e.kind()),
                    Some(ErrorKind::Overloaded)
                );
            };
            let (first, ()) = futures_lite::future::zip(first, second).await;
            let error = first.err().unwrap();
            assert_eq!(error.kind().answer().run, crate::error::Run::NotRun);
            assert_eq!(gate.waiting(), 0);
        });
    }
}
