//! Queueing of requests for model replicas, fair between organisations.
//!
//! [`DispatchQueue`] orders the requests of one priority by weighted fair
//! queueing ([`FairQueue`]). It serves interactive requests before batch
//! requests, releases waiting requests as capacity becomes free, and rejects
//! those whose deadline cannot be met before they have run.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use smol::channel::{Receiver, Sender, bounded};

use crate::{
    api::{selection::ModelLoad, template::Priority},
    clock::{BootInstant, SharedClock},
    error::{Error, ErrorKind},
    id::{ModelId, OrganisationId},
    scheduling::fair_queue::FairQueue,
    task::within,
};

/// Requests per slot of a model up to which interactive requests are
/// dispatched.
const INTERACTIVE_UTILIZATION: f64 = 1.1;

/// Weight of the newest interval in the moving average between releases.
const NEWEST_INTERVAL_WEIGHT: f64 = 0.1;

/// Age after which the measured release interval no longer predicts waits.
const INTERVAL_LIFETIME: Duration = Duration::from_secs(30);

/// The properties of a request that determine its place in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The model that it is sent to first.
    pub model: ModelId,
    /// Its organisation.
    pub organisation: OrganisationId,
    /// Its priority.
    pub priority: Priority,
    /// When its answer is due; it is rejected if it would wait longer.
    pub deadline: BootInstant,
}

/// A waiting request and the channel that wakes it.
#[derive(Debug)]
struct Waiter {
    number: u64,
    wake: Sender<()>,
}

/// The queues of one model, one for each priority.
#[derive(Default)]
struct ModelQueue {
    queues: HashMap<Priority, FairQueue<OrganisationId, Waiter>>,
    release_interval: Option<ReleaseInterval>,
}

/// The moving average of the time between two releases from the queue.
#[derive(Clone, Copy, Debug)]
struct ReleaseInterval {
    interval: Duration,
    last_at: BootInstant,
}

/// The queues of all models.
#[derive(Default)]
struct ModelQueues {
    by_model: HashMap<ModelId, ModelQueue>,
    waiting: usize,
    next_number: u64,
}

/// Holds requests back until their model has free capacity.
pub struct DispatchQueue {
    models: Mutex<ModelQueues>,
    clock: SharedClock,
    queue_limit: usize,
    batch_share: f64,
    permits: Mutex<HashMap<ModelId, u32>>,
}

/// A permit to dispatch a request, held until an upstream is selected.
///
/// While it is held, the request counts against the capacity of the model,
/// as it is not in the upstreams' load yet.
pub struct DispatchPermit {
    queue: Arc<DispatchQueue>,
    model: ModelId,
}

impl Drop for DispatchPermit {
    fn drop(&mut self) {
        let mut permits = self.queue.permits.lock().expect("queue lock");
        if let Some(count) = permits.get_mut(&self.model) {
            *count = count.saturating_sub(1);
        }
    }
}

impl DispatchQueue {
    /// Creates an empty queue of at most `queue_limit` waiting requests.
    ///
    /// Batch requests are dispatched up to `batch_share` requests per slot.
    pub fn new(
        clock: SharedClock,
        queue_limit: usize,
        batch_share: f64,
    ) -> Arc<DispatchQueue> {
        Arc::new(DispatchQueue {
            models: Mutex::default(),
            clock,
            queue_limit,
            batch_share,
            permits: Mutex::default(),
        })
    }

    /// Waits until the request may be dispatched.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] when the queue is full or the deadline cannot
    /// be met, in the latter case with a retry delay if the expected wait is
    /// known; the request did not run.
    pub async fn enter(
        self: &Arc<DispatchQueue>,
        request: &QueuedRequest,
        load: ModelLoad,
    ) -> Result<DispatchPermit, Error> {
        let receiver = match self.try_enter(request, load)? {
            Entry::Now => return Ok(self.new_permit(&request.model)),
            Entry::Queued(receiver) => receiver,
        };
        let now = self.clock.now();
        let time_left = request.deadline.saturating_duration_since(now);
        match within(time_left, receiver.receive()).await {
            // The permit was counted when the request was woken.
            Some(true) => Ok(DispatchPermit {
                queue: self.clone(),
                model: request.model.clone(),
            }),
            _ => Err(overloaded("no capacity before the deadline")),
        }
    }

    /// Wakes the waiting requests for which there is capacity now.
    ///
    /// Must be called when a request ends or the view of the fleet changes.
    pub fn wake(
        &self,
        load_of: impl Fn(&ModelId) -> ModelLoad,
        weight: impl Fn(&OrganisationId) -> u32,
    ) {
        let models: Vec<ModelId> = {
            let models = self.models.lock().expect("queue lock");
            let waiting = models.by_model.iter().filter(|(_, model)| {
                model.queues.values().any(|queue| !queue.is_empty())
            });
            waiting.map(|(model, _)| model.clone()).collect()
        };
        for model in models {
            let load = load_of(&model);
            while self.wake_one(&model, load, &weight) {}
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.models.lock().expect("queue lock").waiting
    }

    /// Admits a request at once if none is ahead and there is capacity, or
    /// else queues it.
    fn try_enter(
        self: &Arc<DispatchQueue>,
        request: &QueuedRequest,
        load: ModelLoad,
    ) -> Result<Entry, Error> {
        let mut models = self.models.lock().expect("queue lock");
        let ahead = models.ahead(&request.model, request.priority);
        if ahead == 0
            && self.has_capacity(&request.model, request.priority, load)
        {
            return Ok(Entry::Now);
        }
        if models.waiting >= self.queue_limit {
            return Err(overloaded("the queue of this VM is full"));
        }
        let now = self.clock.now();
        let wait = models.expected_wait(&request.model, ahead, now);
        if now + wait > request.deadline {
            let reason = "the deadline cannot be met";
            return Err(overloaded(reason).with_retry_after(wait));
        }
        let number = models.next_number;
        models.next_number += 1;
        models.waiting += 1;
        let (wake, woken) = bounded(1);
        let model_queue =
            models.by_model.entry(request.model.clone()).or_default();
        let queue = model_queue.queues.entry(request.priority).or_default();
        queue.push(&request.organisation, Waiter { number, wake });
        Ok(Entry::Queued(QueuePlace {
            queue: self.clone(),
            model: request.model.clone(),
            priority: request.priority,
            number,
            woken,
        }))
    }

    /// Returns whether the model has capacity for one more request, counting
    /// the permits that are held.
    fn has_capacity(
        &self,
        model: &ModelId,
        priority: Priority,
        load: ModelLoad,
    ) -> bool {
        let permits = self.permits.lock().expect("queue lock");
        let held = permits.get(model).copied().unwrap_or(0);
        let max_utilization = match priority {
            Priority::Interactive => INTERACTIVE_UTILIZATION,
            Priority::Batch => self.batch_share,
        };
        load.requests + f64::from(held) < load.slots * max_utilization
    }

    /// Wakes the next request of a model; returns false if there is none or
    /// no capacity.
    fn wake_one(
        &self,
        model: &ModelId,
        load: ModelLoad,
        weight: &impl Fn(&OrganisationId) -> u32,
    ) -> bool {
        let mut models = self.models.lock().expect("queue lock");
        for priority in Priority::ALL {
            if !self.has_capacity(model, priority, load) {
                continue;
            }
            let Some(model_queue) = models.by_model.get_mut(model) else {
                return false;
            };
            let queue = model_queue.queues.entry(priority).or_default();
            let Some(waiter) = queue.pop(weight) else { continue };
            model_queue.record_release(self.clock.now());
            models.waiting -= 1;
            if waiter.wake.try_send(()).is_ok() {
                self.count_permit(model);
            }
            return true;
        }
        false
    }

    /// Counts a permit and returns it.
    fn new_permit(
        self: &Arc<DispatchQueue>,
        model: &ModelId,
    ) -> DispatchPermit {
        self.count_permit(model);
        DispatchPermit { queue: self.clone(), model: model.clone() }
    }

    fn count_permit(&self, model: &ModelId) {
        let mut permits = self.permits.lock().expect("queue lock");
        *permits.entry(model.clone()).or_default() += 1;
    }
}

impl ModelQueues {
    /// Returns the number of requests served before a new one of a priority.
    fn ahead(&self, model: &ModelId, priority: Priority) -> usize {
        let Some(model_queue) = self.by_model.get(model) else { return 0 };
        let before =
            model_queue.queues.iter().filter(|(p, _)| **p <= priority);
        before.map(|(_, queue)| queue.len()).sum()
    }

    /// Estimates the wait behind `ahead` requests; zero if no recent release
    /// interval is known.
    fn expected_wait(
        &self,
        model: &ModelId,
        ahead: usize,
        now: BootInstant,
    ) -> Duration {
        let recent =
            self.by_model.get(model).and_then(|model| model.release_interval);
        match recent {
            Some(recent) if now - recent.last_at < INTERVAL_LIFETIME => {
                recent.interval * (ahead as u32 + 1)
            }
            _ => Duration::ZERO,
        }
    }
}

impl ModelQueue {
    /// Updates the average interval between releases.
    fn record_release(&mut self, now: BootInstant) {
        let interval = match self.release_interval {
            Some(recent) if now - recent.last_at < INTERVAL_LIFETIME => {
                let newest = now - recent.last_at;
                recent.interval.mul_f64(1.0 - NEWEST_INTERVAL_WEIGHT)
                    + newest.mul_f64(NEWEST_INTERVAL_WEIGHT)
            }
            _ => Duration::ZERO,
        };
        self.release_interval =
            Some(ReleaseInterval { interval, last_at: now });
    }
}

/// Whether an entering request was admitted at once or has to wait.
enum Entry {
    Now,
    Queued(QueuePlace),
}

/// A place in the queue; dropping it leaves the queue.
struct QueuePlace {
    queue: Arc<DispatchQueue>,
    model: ModelId,
    priority: Priority,
    number: u64,
    woken: Receiver<()>,
}

impl QueuePlace {
    /// Waits to be woken; returns false if it can no longer be.
    async fn receive(&self) -> bool {
        self.woken.recv().await.is_ok()
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let mut models = self.queue.models.lock().expect("queue lock");
        let Some(model) = models.by_model.get_mut(&self.model) else { return };
        let Some(queue) = model.queues.get_mut(&self.priority) else {
            return;
        };
        let before = queue.len();
        queue.remove(|waiter| waiter.number == self.number);
        let removed = before - queue.len();
        models.waiting -= removed;
        if self.woken.try_recv().is_ok() {
            // Woken, but dropped at the same moment: return the permit.
            drop(DispatchPermit {
                queue: self.queue.clone(),
                model: self.model.clone(),
            });
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

    fn request(priority: Priority, wait: Duration) -> QueuedRequest {
        QueuedRequest {
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
    fn batch_requests_wait_until_the_load_is_low() {
        let queue = DispatchQueue::new(Arc::new(SystemClock), 10, 0.7);
        let minute = Duration::from_secs(60);
        smol::block_on(async {
            let now = request(Priority::Interactive, minute);
            assert!(queue.enter(&now, HALF).await.is_ok());
            let batch = request(Priority::Batch, minute);
            let waiting = queue.enter(&batch, HALF);
            let waker = async {
                assert_eq!(queue.waiting(), 1);
                queue.wake(|_| HALF, |_| 1);
                assert_eq!(queue.waiting(), 1);
                queue.wake(|_| EMPTY, |_| 1);
            };
            let (permit, ()) = futures_lite::future::zip(waiting, waker).await;
            assert!(permit.is_ok());
            assert_eq!(queue.waiting(), 0);
        });
    }

    #[test]
    fn a_full_queue_and_a_missed_deadline_reject_before_running() {
        let queue = DispatchQueue::new(Arc::new(SystemClock), 1, 0.7);
        smol::block_on(async {
            let short =
                request(Priority::Interactive, Duration::from_millis(20));
            let first = queue.enter(&short, FULL);
            let second = async {
                let rejected = queue.enter(&short, FULL).await;
                assert_eq!(
                    rejected.err().map(|e| e.kind()),
                    Some(ErrorKind::Overloaded)
                );
            };
            let (first, ()) = futures_lite::future::zip(first, second).await;
            let error = first.err().unwrap();
            assert_eq!(error.kind().answer().run, crate::error::Run::NotRun);
            assert_eq!(queue.waiting(), 0);
        });
    }
}
