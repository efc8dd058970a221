//! Bills: one for each request that ran, whatever happened on the way.
//!
//! A bill is keyed by its request. Several words about one request merge to
//! the strongest, in any order and however often they arrive, so a repeated
//! or lost answer of the store does no harm.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{
        ModelId, OrganisationId, RequestId, ServiceId, UpstreamId, VersionId,
    },
    unit::MicroCost,
};

/// How much is known about a bill; a later one is stronger.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum BillState {
    /// The request runs; the cost is an estimate.
    Open,
    /// The VM died while the request ran; the estimate is charged.
    Orphaned,
    /// The request did not run; nothing is charged.
    Void,
    /// The request ended; the cost is what was used.
    Closed,
}

/// What one attempt used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillPart {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The model, for model requests.
    pub model: Option<ModelId>,
    /// The version, for model requests.
    pub version: Option<VersionId>,
    /// The service, for service calls.
    pub service: Option<ServiceId>,
    /// Tokens read.
    pub input_tokens: u64,
    /// Tokens written.
    pub output_tokens: u64,
    /// The cost.
    pub cost_micro: MicroCost,
}

/// The bill of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request.
    pub request: RequestId,
    /// Who pays.
    pub organisation: OrganisationId,
    /// When the request came, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// How much is known.
    pub state: BillState,
    /// The whole cost.
    pub cost_micro: MicroCost,
    /// The attempts that used something.
    pub parts: Vec<BillPart>,
    /// How it ended, as an answer code; `answered` when it was answered.
    pub ended: String,
}

impl Bill {
    /// The stronger of two words about one request.
    ///
    /// The order of the two does not matter.
    #[must_use]
    pub fn merge(self, other: Bill) -> Bill {
        let strength =
            |bill: &Bill| (bill.state, bill.cost_micro, bill.parts.len());
        if strength(&other) > strength(&self) { other } else { self }
    }
}

/// Merges bills by request.
pub fn merge_all(bills: impl IntoIterator<Item = Bill>) -> Vec<Bill> {
    let mut merged: HashMap<RequestId, Bill> = HashMap::new();
    for bill in bills {
        let merged_bill = match merged.remove(&bill.request) {
            Some(held) => held.merge(bill),
            None => bill,
        };
        merged.insert(merged_bill.request.clone(), merged_bill);
    }
    let mut bills: Vec<Bill> = merged.into_values().collect();
    bills.sort_by(|a, b| a.request.cmp(&b.request));
    bills
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::id::Incarnation;

    fn bill(sequence: u64, state: BillState, cost: u64) -> Bill {
        Bill {
            request: RequestId {
                vm: "vm-1".parse().unwrap(),
                incarnation: Incarnation(1),
                sequence,
            },
            organisation: "desk".parse().unwrap(),
            at_unix_ms: 0,
            state,
            cost_micro: MicroCost(cost),
            parts: Vec::new(),
            ended: String::new(),
        }
    }

    fn any_bill() -> impl Strategy<Value = Bill> {
        let state = prop_oneof![
            Just(BillState::Open),
            Just(BillState::Orphaned),
            Just(BillState::Void),
            Just(BillState::Closed),
        ];
        (0..4_u64, state, 0..3_u64).prop_map(|(s, st, c)| bill(s, st, c))
    }

    #[test]
    fn the_word_of_the_vm_beats_the_settlement_of_an_orphan() {
        let closed = bill(1, BillState::Closed, 5);
        let orphan = bill(1, BillState::Orphaned, 50);
        let merged = merge_all([orphan, closed.clone()]);
        assert_eq!(merged, vec![closed]);
    }

    proptest! {
        /// Order and repetition of words do not change the bills.
        #[test]
        fn merging_is_order_free(
            bills in prop::collection::vec(any_bill(), 0..20),
            rotation in 0..20_usize,
        ) {
            let mut turned = bills.clone();
            turned.extend(bills.iter().cloned());
            if !turned.is_empty() {
                let by = rotation % turned.len();
                turned.rotate_left(by);
            }
            prop_assert_eq!(merge_all(bills), merge_all(turned));
        }
    }
}
