//! Claims: which request may run, of those that carry the same
//! `Idempotency-Key`.
//!
//! A claim is decided before the request is sent to an upstream. Keys are
//! hashed to slots, and each slot has a chain in the store; a claim is granted
//! once it is in that chain. [`SlotState`] is the state of a slot after
//! reading its chain. It is the same at every VM, whatever that VM believes
//! about the health of others.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    id::{Incarnation, OrganisationId, RequestId, VmId},
    rendezvous,
};

/// A hash of an organisation and its `Idempotency-Key`, 16 bytes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ClaimKey([u8; 16]);

impl ClaimKey {
    /// Hashes the key that the caller sent.
    pub fn new(organisation: &OrganisationId, key: &str) -> ClaimKey {
        let mut hasher = blake3::Hasher::new();
        hasher.update(organisation.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(key.as_bytes());
        let hash = hasher.finalize();
        ClaimKey(hash.as_bytes()[..16].try_into().expect("16 bytes"))
    }

    /// Returns the slot of the key; `slots` is the number of slots.
    pub fn slot(self, slots: u32) -> u32 {
        let first = self.0[..4].try_into().expect("four bytes");
        u32::from_le_bytes(first) % slots
    }
}

impl From<ClaimKey> for String {
    fn from(key: ClaimKey) -> String {
        data_encoding::HEXLOWER.encode(&key.0)
    }
}

impl TryFrom<String> for ClaimKey {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let bytes = data_encoding::HEXLOWER
            .decode(text.as_bytes())
            .map_err(|_| "a claim key is hexadecimal")?;
        let bytes =
            bytes.try_into().map_err(|_| "a claim key has 16 bytes")?;
        Ok(ClaimKey(bytes))
    }
}

/// A hash of the content of a request, by which reuse of a key for another
/// request is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// Hashes method, path and body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> RequestHash {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        RequestHash(rendezvous::first_u64(&hasher.finalize()))
    }
}

/// One incarnation of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VmIncarnation {
    /// The name of the VM.
    pub vm: VmId,
    /// Identifies one start of the VM; grows with each restart.
    pub incarnation: Incarnation,
}

/// An attempt to claim a key for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The hashed idempotency key.
    pub key: ClaimKey,
    /// The hash of the request's method, path and body.
    pub body: RequestHash,
    /// The request that is to run.
    pub request: RequestId,
}

/// The outcome of a request whose claim was granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// It did not run; the key can be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and its response is known.
    Ran {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body, or `None` if it was too large to store.
        body: Option<String>,
    },
}

/// The verdict on a claim request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim is granted: the request may run.
    Granted,
    /// An earlier request with the key has an outcome.
    Settled {
        /// The earlier request.
        by: RequestId,
        /// Its outcome.
        outcome: ClaimOutcome,
    },
    /// An earlier request with the key is still running.
    InProgress {
        /// The earlier request.
        by: RequestId,
    },
    /// The key was used for a request with another method, path or body.
    Reused,
    /// Another VM owns the slot.
    NotOwner {
        /// The VM that the caller should ask instead.
        ask: VmId,
    },
    /// The key is unknown, but may have been used with an owner of the slot
    /// that was lost before a takeover.
    Gap,
    /// No verdict is possible now. The claim may still be granted, so the
    /// caller settles it as not run.
    Unavailable {
        /// The reason, as text.
        reason: String,
    },
}

/// A claim granted while the store was unavailable, of which the owner and its
/// deputy have a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfflineClaim {
    /// The claim.
    pub claim: ClaimRequest,
    /// When the key was claimed, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Its outcome, once it is known.
    pub outcome: Option<ClaimOutcome>,
}

/// One record of a slot's chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A VM owns the slot from this record on.
    Owner {
        /// The owner.
        owner: VmIncarnation,
        /// The VM that stores copies of claims while the store is unavailable.
        deputy: Option<VmIncarnation>,
        /// If the previous owner was lost without a handover: the end of the
        /// time for which unknown keys are answered with
        /// [`ClaimVerdict::Gap`], in milliseconds since the Unix epoch.
        gap_until_unix_ms: Option<u64>,
    },
    /// A VM that is not the deputy announces a takeover.
    Takeover {
        /// The VM that announces it.
        by: VmIncarnation,
    },
    /// A request claimed its key.
    Claimed {
        /// The claim.
        claim: ClaimRequest,
        /// When the key was claimed, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// The outcome of a claim.
    Settled {
        /// The hashed idempotency key.
        key: ClaimKey,
        /// The request that had the claim.
        request: RequestId,
        /// Its outcome.
        outcome: ClaimOutcome,
    },
}

/// The ownership of a slot by the last owner record in its chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The owner.
    pub owner: VmIncarnation,
    /// Its deputy.
    pub deputy: Option<VmIncarnation>,
    /// The end of the time for which unknown keys are answered with
    /// [`ClaimVerdict::Gap`], in milliseconds since the Unix epoch.
    pub gap_until_unix_ms: Option<u64>,
}

/// The first claim of a key, and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    body: RequestHash,
    request: RequestId,
    at_unix_ms: u64,
    outcome: Option<ClaimOutcome>,
}

/// The state of a slot after reading its chain up to an index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlotState {
    index: u64,
    ownership: Option<Ownership>,
    takeover: Option<VmIncarnation>,
    entries: HashMap<ClaimKey, Entry>,
}

impl SlotState {
    /// Returns the index of the last batch applied; 0 if there was none.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the ownership, or `None` if the slot never had an owner.
    pub fn ownership(&self) -> Option<&Ownership> {
        self.ownership.as_ref()
    }

    /// Returns the VM that has announced a takeover, unless an owner record
    /// follows the announcement.
    pub fn takeover(&self) -> Option<&VmIncarnation> {
        self.takeover.as_ref()
    }

    /// Returns the number of known keys.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    /// Applies the batch at the next index.
    ///
    /// # Panics
    ///
    /// If the batch is not the next one; chains are read in order.
    pub fn apply(&mut self, index: u64, records: &[ClaimRecord]) {
        assert_eq!(index, self.index + 1, "chains are read in order");
        self.index = index;
        for record in records {
            self.apply_record(record);
        }
    }

    /// Applies one record, which need not be in the chain yet.
    pub fn apply_record(&mut self, record: &ClaimRecord) {
        match record {
            ClaimRecord::Owner { owner, deputy, gap_until_unix_ms } => {
                self.ownership = Some(Ownership {
                    owner: owner.clone(),
                    deputy: deputy.clone(),
                    gap_until_unix_ms: *gap_until_unix_ms,
                });
                self.takeover = None;
            }
            ClaimRecord::Takeover { by } => {
                self.takeover = Some(by.clone());
            }
            ClaimRecord::Claimed { claim, at_unix_ms } => {
                // The first claim of a key wins.
                self.entries.entry(claim.key).or_insert(Entry {
                    body: claim.body,
                    request: claim.request.clone(),
                    at_unix_ms: *at_unix_ms,
                    outcome: None,
                });
            }
            ClaimRecord::Settled { key, request, outcome } => {
                self.settle(*key, request, outcome);
            }
        }
    }

    fn settle(
        &mut self,
        key: ClaimKey,
        request: &RequestId,
        outcome: &ClaimOutcome,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.request != *request {
            return;
        }
        let has_run = matches!(entry.outcome, Some(ClaimOutcome::Ran { .. }));
        match outcome {
            // A late report must not free a key whose request has run.
            _ if has_run => {}
            ClaimOutcome::NotRun => {
                self.entries.remove(&key);
            }
            outcome => entry.outcome = Some(outcome.clone()),
        }
    }

    /// Returns the verdict on a claim request, or `None` if its key can be
    /// claimed.
    ///
    /// If a request has no outcome after `run_limit`, it may have run and no
    /// outcome is expected any more.
    pub fn verdict(
        &self,
        request: &ClaimRequest,
        now_unix_ms: u64,
        run_limit: Duration,
    ) -> Option<ClaimVerdict> {
        let Some(entry) = self.entries.get(&request.key) else {
            return self.in_gap(now_unix_ms).then_some(ClaimVerdict::Gap);
        };
        if entry.body != request.body {
            return Some(ClaimVerdict::Reused);
        }
        let by = entry.request.clone();
        let age_ms = now_unix_ms.saturating_sub(entry.at_unix_ms);
        Some(match &entry.outcome {
            Some(outcome) => {
                ClaimVerdict::Settled { by, outcome: outcome.clone() }
            }
            None if age_ms < run_limit.as_millis() as u64 => {
                ClaimVerdict::InProgress { by }
            }
            None => {
                ClaimVerdict::Settled { by, outcome: ClaimOutcome::Unknown }
            }
        })
    }

    /// Returns the part of the state that is needed for verdicts on
    /// `requests`, one after the other.
    pub(crate) fn subset_for(&self, requests: &[ClaimRequest]) -> SlotState {
        let known = requests.iter().filter_map(|request| {
            let entry = self.entries.get(&request.key)?;
            Some((request.key, entry.clone()))
        });
        SlotState {
            index: self.index,
            ownership: self.ownership.clone(),
            takeover: None,
            entries: known.collect(),
        }
    }

    /// Drops the stored response bodies, but keeps the keys.
    pub(crate) fn drop_response_bodies(&mut self) {
        for entry in self.entries.values_mut() {
            if let Some(ClaimOutcome::Ran { body, .. }) = &mut entry.outcome {
                *body = None;
            }
        }
    }

    /// Returns whether a key is known.
    pub fn contains(&self, key: ClaimKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// Removes the claims that are older than `retention`.
    pub fn expire(&mut self, now_unix_ms: u64, retention: Duration) {
        let oldest = now_unix_ms.saturating_sub(retention.as_millis() as u64);
        self.entries.retain(|_, entry| entry.at_unix_ms >= oldest);
    }

    fn in_gap(&self, now_unix_ms: u64) -> bool {
        let until = self
            .ownership
            .as_ref()
            .and_then(|ownership| ownership.gap_until_unix_ms);
        until.is_some_and(|until| now_unix_ms < until)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const LIMIT: Duration = Duration::from_secs(60);

    fn request(key: u8, sequence: u64) -> ClaimRequest {
        ClaimRequest {
            key: ClaimKey([key; 16]),
            body: RequestHash(u64::from(key)),
            request: RequestId {
                vm: "vm-1".parse().unwrap(),
                incarnation: Incarnation(1),
                sequence,
            },
        }
    }

    fn claimed(key: u8, sequence: u64) -> ClaimRecord {
        ClaimRecord::Claimed {
            claim: request(key, sequence),
            at_unix_ms: 1000,
        }
    }

    fn settled(key: u8, sequence: u64, outcome: ClaimOutcome) -> ClaimRecord {
        let claim = request(key, sequence);
        ClaimRecord::Settled {
            key: claim.key,
            request: claim.request,
            outcome,
        }
    }

    fn ran() -> ClaimOutcome {
        ClaimOutcome::Ran {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some("done".to_owned()),
        }
    }

    #[test]
    fn a_repeated_request_gets_the_outcome_of_the_first() {
        let mut state = SlotState::default();
        assert_eq!(state.verdict(&request(1, 1), 1000, LIMIT), None);
        state.apply(1, &[claimed(1, 1)]);
        let by = request(1, 1).request;
        let repeat = state.verdict(&request(1, 2), 1500, LIMIT);
        assert_eq!(repeat, Some(ClaimVerdict::InProgress { by: by.clone() }));
        let late = state.verdict(&request(1, 2), 61_000, LIMIT);
        let outcome = ClaimOutcome::Unknown;
        assert_eq!(
            late,
            Some(ClaimVerdict::Settled { by: by.clone(), outcome })
        );
        state.apply(2, &[settled(1, 1, ran())]);
        let repeat = state.verdict(&request(1, 2), 1500, LIMIT);
        let outcome = ran();
        assert_eq!(repeat, Some(ClaimVerdict::Settled { by, outcome }));
    }

    #[test]
    fn a_key_reused_for_another_request_is_rejected() {
        let mut state = SlotState::default();
        state.apply(1, &[claimed(1, 1)]);
        let mut other = request(1, 2);
        other.body = RequestHash(99);
        let verdict = state.verdict(&other, 1000, LIMIT);
        assert_eq!(verdict, Some(ClaimVerdict::Reused));
    }

    #[test]
    fn unknown_keys_are_answered_with_gap_after_a_lost_owner() {
        let mut state = SlotState::default();
        let owner = VmIncarnation {
            vm: "vm-2".parse().unwrap(),
            incarnation: Incarnation(2),
        };
        state.apply(
            1,
            &[
                claimed(1, 1),
                ClaimRecord::Owner {
                    owner,
                    deputy: None,
                    gap_until_unix_ms: Some(5000),
                },
            ],
        );
        let verdict = state.verdict(&request(2, 2), 4999, LIMIT);
        assert_eq!(verdict, Some(ClaimVerdict::Gap));
        assert_eq!(state.verdict(&request(2, 2), 5000, LIMIT), None);
    }

    fn record() -> impl Strategy<Value = ClaimRecord> {
        let outcome = prop_oneof![
            Just(ClaimOutcome::NotRun),
            Just(ClaimOutcome::Unknown),
            Just(ran()),
        ];
        prop_oneof![
            (0..3_u8, 0..6_u64).prop_map(|(k, s)| claimed(k, s)),
            (0..3_u8, 0..6_u64, outcome)
                .prop_map(|(k, s, outcome)| settled(k, s, outcome)),
        ]
    }

    proptest! {
        /// After one request has claimed a key, another can claim it only once
        /// the first has been settled as not run.
        #[test]
        fn a_key_has_one_claim_at_a_time(
            records in prop::collection::vec(record(), 0..40),
        ) {
            let mut state = SlotState::default();
            let mut holder: HashMap<ClaimKey, RequestId> = HashMap::new();
            for (at, record) in records.iter().enumerate() {
                let index = at as u64 + 1;
                if let ClaimRecord::Claimed { claim, .. } = record {
                    let known = state.contains(claim.key);
                    if !known {
                        let is_free = !holder.contains_key(&claim.key);
                        prop_assert!(is_free);
                        holder.insert(claim.key, claim.request.clone());
                    }
                }
                if let ClaimRecord::Settled { key, request, outcome } = record
                {
                    let is_holder = holder.get(key) == Some(request);
                    if is_holder && *outcome == ClaimOutcome::NotRun {
                        let before = state.clone();
                        state.apply(index, std::slice::from_ref(record));
                        if !state.contains(*key) {
                            holder.remove(key);
                        } else {
                            prop_assert!(before.contains(*key));
                        }
                        continue;
                    }
                }
                state.apply(index, std::slice::from_ref(record));
            }
        }
    }
}
