//! Bills: one for each request that ran, whatever its outcome.
//!
//! A bill is keyed by its request. Several reports about one request merge to
//! the strongest one, in any order and however often they arrive, so repeated
//! writes and lost responses of the store are harmless.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{
        ModelId, OrganisationId, RequestId, ServiceId, UpstreamId, VersionId,
    },
    unit::MicroCost,
};

/// How much is known about a bill. Later variants are stronger and replace
/// earlier ones in a merge.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum BillState {
    /// The request is running; the cost is an estimate.
    Open,
    /// The VM died while the request was running; the estimate is charged.
    Orphaned,
    /// The request did not run; nothing is charged.
    Void,
    /// The request has ended; the cost is that of the actual usage.
    Closed,
}

/// The usage and cost of one attempt at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillPart {
    /// The upstream that served the attempt.
    pub upstream: UpstreamId,
    /// The model, for model requests.
    pub model: Option<ModelId>,
    /// The version, for model requests.
    pub version: Option<VersionId>,
    /// The service, for service calls.
    pub service: Option<ServiceId>,
    /// Input tokens.
    pub input_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
    /// The cost of the attempt.
    pub cost_micro: MicroCost,
}

/// The bill of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request.
    pub request: RequestId,
    /// The organisation that is charged.
    pub organisation: OrganisationId,
    /// When the request arrived, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// How much is known about the request.
    pub state: BillState,
    /// The total cost.
    pub cost_micro: MicroCost,
    /// The attempts with any usage.
    pub parts: Vec<BillPart>,
    /// The error code of the response, or `answered` if the request succeeded.
    pub ended: String,
}

impl Bill {
    /// Returns the stronger of two reports about the same request.
    ///
    /// The order of the two does not matter.
    #[must_use]
    pub fn merge(self, other: Bill) -> Bill {
        let strength =
            |bill: &Bill| (bill.state, bill.cost_micro, bill.parts.len());
        if strength(&other) > strength(&self) { other } else { self }
    }
}

/// Merges bills by request, and sorts them by request.
pub fn merge_all(bills: impl IntoIterator<Item = Bill>) -> Vec<Bill> {
    let mut merged: HashMap<RequestId, Bill> = HashMap::new();
    for bill in bills {
        let merged_bill = match merged.remove(&bill.request) {
            Some(earlier) => earlier.merge(bill),
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
    fn a_closed_bill_replaces_an_orphaned_one() {
        let closed = bill(1, BillState::Closed, 5);
        let orphan = bill(1, BillState::Orphaned, 50);
        let merged = merge_all([orphan, closed.clone()]);
        assert_eq!(merged, vec![closed]);
    }

    proptest! {
        /// The order and repetition of reports do not change the merged bills.
        #[test]
        fn merging_is_commutative_and_idempotent(
            bills in prop::collection::vec(any_bill(), 0..20),
            rotation in 0..20_usize,
        ) {
            let mut rotated = bills.clone();
            rotated.extend(bills.iter().cloned());
            if !rotated.is_empty() {
                let by = rotation % rotated.len();
                rotated.rotate_left(by);
            }
            prop_assert_eq!(merge_all(bills), merge_all(rotated));
        }
    }
}
