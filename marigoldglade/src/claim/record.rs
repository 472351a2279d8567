//! What a claim looks like in the store, and the transactions on it.

use serde::{Deserialize, Serialize};

use super::{Ask, Held};
use crate::prelude::*;
use crate::store::{Compare, Op, Outcome, Pair, Txn};

/// Where a claimed request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may be sent, on its way, or lost with its daemon.
    Open,
    /// Its caller was sent the target's answer.
    Answered,
    /// Its caller was told this kind.
    Failed(Kind),
}

/// The value of a claim's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Whose claim it is.
    pub nonce: String,
    /// Where the request stands.
    pub state: State,
}

impl Record {
    /// Reads a record; `None` when it isn't one.
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

/// Creates each claim that is absent, and reads those that aren't.
pub(super) fn claim_txn(asks: &[Ask], lease: i64) -> Txn {
    let one = |ask: &Ask| {
        let key = store_key(&ask.name);
        let record = Record {
            nonce: ask.nonce.clone(),
            state: State::Open,
        };
        Op::Txn(Box::new(Txn {
            when: vec![Compare::Absent(key.clone())],
            then: vec![Op::Put(key.clone(), record.bytes(), lease)],
            other: vec![Op::Get(key)],
        }))
    };
    Txn {
        then: asks.iter().map(one).collect(),
        ..Txn::default()
    }
}

/// Reads the claims of the asks.
pub(super) fn gets(asks: &[Ask]) -> Vec<Op> {
    asks.iter().map(|a| Op::Get(store_key(&a.name))).collect()
}

/// Writes how each claimed request ended, or deletes a claim that wasn't used. A claim that
/// somebody else made since is left alone.
pub(super) fn settle_txn(batch: &[(Held, Option<State>)]) -> Txn {
    let one = |(held, state): &(Held, Option<State>)| {
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

/// Says what is known of the request that used the key first.
pub(super) fn duplicate(record: Option<Record>) -> Error {
    let detail = match record.map(|r| r.state) {
        Some(State::Answered) => "the key was used; that request was answered".to_owned(),
        Some(State::Failed(kind)) => format!("the key was used; that request ended: {kind}"),
        Some(State::Open) => "the key was used; how that request ended isn't known".to_owned(),
        None => "the key was used in another way".to_owned(),
    };
    Error::new(Kind::Duplicate, detail)
}
