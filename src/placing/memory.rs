//! The memory of engines: the tokens that requests occupy there, and whether
//! another request fits.
//!
//! The load pattern: prompts of 600 to 54,600 tokens at engines whose slots
//! suffice for 64 requests and whose memory for 352,875 tokens. An engine
//! whose memory is full preempts running requests, which then compute all of
//! their tokens again, while other engines have room.

use std::{collections::HashMap, sync::Mutex};

use crate::{
    clock::BootInstant, message::ShortHash, placing::member::PEER_WORK_TTL,
};

/// The memory that a request needs at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryNeed {
    /// Tokens that only this request has, the expected output included.
    pub own_tokens: u64,
    /// The prefix that the prompt shares with others, if any, and its tokens.
    pub shared: Option<(u64, u64)>,
    /// The tokens that the memory of each engine of the service holds.
    pub capacity_tokens: u64,
}

impl MemoryNeed {
    /// Whether the request fits into the memory of an empty engine.
    pub fn fits_any(&self) -> bool {
        let shared_tokens = self.shared.map_or(0, |(_, tokens)| tokens);
        self.own_tokens.saturating_add(shared_tokens) <= self.capacity_tokens
    }
}

/// The memory that this VM's requests occupy at one upstream.
#[derive(Debug, Default)]
pub(crate) struct OwnMemory(Mutex<Occupied>);

#[derive(Debug, Default)]
struct Occupied {
    own_tokens: u64,
    /// The shared prefixes, each with its tokens and the requests that have
    /// it. A prefix is in the memory once.
    prefixes: HashMap<u64, (u64, u32)>,
}

impl Occupied {
    fn tokens(&self) -> u64 {
        let shared = self.prefixes.values().map(|(tokens, _)| tokens);
        self.own_tokens + shared.sum::<u64>()
    }
}

impl OwnMemory {
    /// Returns the tokens that are occupied.
    pub(crate) fn tokens(&self) -> u64 {
        self.0.lock().expect("memory lock").tokens()
    }

    /// Returns the tokens that would be occupied with another request.
    pub(crate) fn tokens_with(&self, need: &MemoryNeed) -> u64 {
        let occupied = self.0.lock().expect("memory lock");
        let shared_tokens = need.shared.map_or(0, |(prefix, tokens)| {
            let is_there = occupied.prefixes.contains_key(&prefix);
            if is_there { 0 } else { tokens }
        });
        occupied.tokens() + need.own_tokens + shared_tokens
    }

    /// Counts a request.
    pub(crate) fn add(&self, need: &MemoryNeed) {
        let mut occupied = self.0.lock().expect("memory lock");
        occupied.own_tokens += need.own_tokens;
        if let Some((prefix, tokens)) = need.shared {
            let known = occupied.prefixes.entry(prefix).or_insert((tokens, 0));
            known.1 += 1;
        }
    }

    /// Takes back a request that was counted.
    pub(crate) fn remove(&self, need: &MemoryNeed) {
        let mut occupied = self.0.lock().expect("memory lock");
        occupied.own_tokens -= need.own_tokens;
        if let Some((prefix, _)) = need.shared
            && let Some(known) = occupied.prefixes.get_mut(&prefix)
        {
            known.1 -= 1;
            if known.1 == 0 {
                occupied.prefixes.remove(&prefix);
            }
        }
    }
}

/// The memory that the requests of the other VMs occupy, as they last reported
/// it. Totals are kept, so that a choice among hundreds of upstreams need not
/// add up the reports of hundreds of VMs.
#[derive(Debug, Default)]
pub(crate) struct PeerMemory {
    by_vm: HashMap<ShortHash, (Vec<(ShortHash, u32)>, BootInstant)>,
    totals: HashMap<ShortHash, u64>,
}

impl PeerMemory {
    /// Replaces what a VM has reported, as tokens by upstream.
    pub(crate) fn set(
        &mut self,
        vm: ShortHash,
        tokens: &[(ShortHash, u32)],
        now: BootInstant,
    ) {
        self.remove(vm);
        if tokens.is_empty() {
            return;
        }
        for (upstream, tokens) in tokens {
            *self.totals.entry(*upstream).or_default() += u64::from(*tokens);
        }
        self.by_vm.insert(vm, (tokens.to_vec(), now));
    }

    /// Drops what was reported too long ago.
    pub(crate) fn expire(&mut self, now: BootInstant) {
        let is_old = |at: BootInstant| {
            now.saturating_duration_since(at) >= PEER_WORK_TTL
        };
        let old = self.by_vm.iter().filter(|(_, (_, at))| is_old(*at));
        let old: Vec<ShortHash> = old.map(|(vm, _)| *vm).collect();
        for vm in old {
            self.remove(vm);
        }
    }

    /// Returns the tokens that are occupied at an upstream.
    pub(crate) fn tokens(&self, upstream: ShortHash) -> u64 {
        self.totals.get(&upstream).copied().unwrap_or(0)
    }

    fn remove(&mut self, vm: ShortHash) {
        let Some((tokens, _)) = self.by_vm.remove(&vm) else { return };
        for (upstream, tokens) in tokens {
            if let Some(total) = self.totals.get_mut(&upstream) {
                *total = total.saturating_sub(tokens.into());
                if *total == 0 {
                    self.totals.remove(&upstream);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
