//! Weighted fair queueing between organisations, with start tags.
//!
//! The load pattern: one organisation sends 6 to 8 times its usual rate. Its
//! items wait behind each other, and those of the others as if it did not.
//! Unused shares are lent: an organisation counts only while it has items
//! waiting, and gains no credit while it has none.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, VecDeque},
};

/// Organisations without a waiting item whose virtual finish time is kept.
/// Beyond these, the ones that are least ahead of their share are forgotten,
/// so that memory is bounded however many organisations there are.
const MAX_IDLE: usize = 256;

/// The queue of one organisation, with its virtual finish time.
#[derive(Debug)]
struct OrganisationQueue<T> {
    waiting: VecDeque<T>,
    finish: f64,
}

/// A weighted fair queue of items `T` of organisations `K`.
#[derive(Debug)]
pub struct FairQueue<K, T> {
    queues: BTreeMap<K, OrganisationQueue<T>>,
    virtual_time: f64,
    len: usize,
}

impl<K, T> Default for FairQueue<K, T> {
    fn default() -> FairQueue<K, T> {
        FairQueue { queues: BTreeMap::new(), virtual_time: 0.0, len: 0 }
    }
}

impl<K: Ord + Clone, T> FairQueue<K, T> {
    /// Appends an item to the queue of its organisation.
    pub fn push(&mut self, organisation: &K, item: T) {
        self.push_sorted(organisation, item, |_, _| Ordering::Less);
    }

    /// Inserts an item into the queue of its organisation, behind all items
    /// that `compare` does not order after it.
    ///
    /// All items of the queue must be in the order of `compare`.
    pub fn push_sorted(
        &mut self,
        organisation: &K,
        item: T,
        compare: impl Fn(&T, &T) -> Ordering,
    ) {
        let now = self.virtual_time;
        let queue = self.queues.entry(organisation.clone()).or_insert(
            OrganisationQueue { waiting: VecDeque::new(), finish: now },
        );
        let waiting = &mut queue.waiting;
        let at =
            waiting.partition_point(|other| compare(other, &item).is_le());
        waiting.insert(at, item);
        self.len += 1;
    }

    /// Removes the next item, shared by the weights of the organisations.
    pub fn pop(&mut self, weight: impl Fn(&K) -> u32) -> Option<T> {
        self.pop_where(weight, |_| true)
    }

    /// Removes the next item for which `fits` returns true; those ahead of it
    /// keep their places.
    pub fn pop_where(
        &mut self,
        weight: impl Fn(&K) -> u32,
        fits: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let first_fit = |queue: &OrganisationQueue<T>| {
            queue.waiting.iter().position(&fits)
        };
        let (next, at) = self
            .queues
            .iter()
            .filter_map(|(k, queue)| Some((k, queue, first_fit(queue)?)))
            .min_by(|a, b| a.1.finish.total_cmp(&b.1.finish))
            .map(|(organisation, _, at)| (organisation.clone(), at))?;
        let queue = self.queues.get_mut(&next)?;
        let item = queue.waiting.remove(at)?;
        let start = queue.finish.max(self.virtual_time);
        self.virtual_time = start;
        queue.finish = start + 1.0 / f64::from(weight(&next).max(1));
        self.len -= 1;
        self.forget_idle();
        Some(item)
    }

    /// Forgets organisations that have no waiting item.
    ///
    /// One whose virtual finish time is ahead is kept, so that an organisation
    /// cannot gain by emptying its queue.
    fn forget_idle(&mut self) {
        let now = self.virtual_time;
        self.queues.retain(|_, q| !q.waiting.is_empty() || q.finish > now);
        let idle = self.queues.iter().filter(|(_, q)| q.waiting.is_empty());
        if idle.clone().count() > MAX_IDLE {
            let least = idle.min_by(|a, b| a.1.finish.total_cmp(&b.1.finish));
            let least = least.map(|(organisation, _)| organisation.clone());
            least.and_then(|organisation| self.queues.remove(&organisation));
        }
    }

    /// Removes and returns the items for which `is_gone` returns true.
    pub fn remove(&mut self, is_gone: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            if queue.waiting.iter().any(&is_gone) {
                let items = std::mem::take(&mut queue.waiting);
                let (gone, kept): (Vec<T>, VecDeque<T>) =
                    partition(items, &is_gone);
                removed.extend(gone);
                queue.waiting = kept;
            }
        }
        self.len -= removed.len();
        removed
    }

    /// Returns the waiting items with their organisations.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &T)> {
        self.queues.iter().flat_map(|(organisation, queue)| {
            queue.waiting.iter().map(move |item| (organisation, item))
        })
    }

    /// Returns the waiting items, to be changed but for their order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.queues.values_mut().flat_map(|queue| queue.waiting.iter_mut())
    }

    /// Returns how many items would be removed before a new one of an
    /// organisation, behind `own_ahead` items of the same organisation, if all
    /// weights are equal.
    pub fn ahead(&self, organisation: &K, own_ahead: usize) -> usize {
        // Each other organisation gets one item for each one of this one.
        let others = self.queues.iter().filter(|(k, _)| *k != organisation);
        let others = others.map(|(_, q)| q.waiting.len().min(own_ahead + 1));
        own_ahead + others.sum::<usize>()
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no item is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

/// Divides items into those for which `is_gone` returns true and the others,
/// both in their order.
fn partition<T>(
    items: VecDeque<T>,
    is_gone: impl Fn(&T) -> bool,
) -> (Vec<T>, VecDeque<T>) {
    let mut gone = Vec::new();
    let mut kept = VecDeque::with_capacity(items.len());
    for item in items {
        match is_gone(&item) {
            true => gone.push(item),
            false => kept.push_back(item),
        }
    }
    (gone, kept)
}

#[cfg(test)]
mod tests;
