//! The stored form of a claim and the transactions on it.

use serde::{Deserialize, Serialize};

use super::{HeldClaim, PendingClaim};
use crate::prelude::*;
use crate::store::{Compare, Op, Outcome, Pair, Txn};

/// The state of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The request isn't answered yet, or its daemon was lost.
    Open,
    /// The caller was sent the target's answer.
    Answered,
    /// The caller was sent an error of this kind.
    Failed(Kind),
}

/// The value of a claim's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The unique value by which a daemon recognizes its own claim.
    pub nonce: String,
    /// The state of the request.
    pub state: State,
}

impl Record {
    /// Parses a record; returns `None` if the value isn't one.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

fn store_key(name: &str) -> String {
    format!("/mg/claim/{name}")
}

/// Builds the transaction that creates each absent claim and reads the others.
pub(super) fn claim_txn(claims: &[PendingClaim], lease: i64) -> Txn {
    let one = |claim: &PendingClaim| {
        let key = store_key(&claim.name);
        let record = Record {
            nonce: claim.nonce.clone(),
            state: State::Open,
        };
        Op::Txn(Box::new(Txn {
            when: vec![Compare::Absent(key.clone())],
            then: vec![Op::Put(key.clone(), record.bytes(), lease)],
            other: vec![Op::Get(key)],
        }))
    };
    Txn {
        then: claims.iter().map(one).collect(),
        ..Txn::default()
    }
}

/// Builds the operations that read the claims back.
pub(super) fn read_ops(claims: &[PendingClaim]) -> Vec<Op> {
    claims.iter().map(|c| Op::Get(store_key(&c.name))).collect()
}

/// Builds the transaction that stores how each claimed request ended, or deletes a claim whose
/// request didn't run. A claim that was made by another daemon in the meantime isn't changed.
pub(super) fn settle_txn(batch: &[(HeldClaim, Option<State>)]) -> Txn {
    let one = |(held, state): &(HeldClaim, Option<State>)| {
        let key = store_key(&held.name);
        let op = match state {
            None => Op::Delete(key.clone()),
            Some(state) => {
                let record = Record {
                    nonce: held.nonce.clone(),
                    state: *state,
                };
                Op::Put(key.clone(), record.bytes(), held.lease)
            }
        };
        Op::Txn(Box::new(Txn {
            when: vec![Compare::Created(key, held.created)],
            then: vec![op],
            other: Vec::new(),
        }))
    };
    Txn {
        then: batch.iter().map(one).collect(),
        ..Txn::default()
    }
}

pub(super) fn first_pair(outcome: Outcome) -> Option<Pair> {
    match outcome {
        Outcome::Pairs(pairs) => pairs.into_iter().next(),
        Outcome::Done | Outcome::Txn(_) => None,
    }
}

/// Returns the error for a repeated key, with what is known of the request that used it first.
pub(super) fn duplicate_error(record: Option<Record>) -> Error {
    let detail = match record.map(|r| r.state) {
        Some(State::Answered) => "the key was used before; that request was answered".to_owned(),
        Some(State::Failed(kind)) => {
            format!("the key was used before; that request failed: {kind}")
        }
        Some(State::Open) => {
            "the key was used before; how that request ended is unknown".to_owned()
        }
        None => "the key was used before; its record can't be read".to_owned(),
    };
    Error::new(Kind::Duplicate, detail)
}
