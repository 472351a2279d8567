//! A key-value service in memory that offers transactions only.

use std::collections::BTreeMap;

use marigoldglade::store::{
    Body, Call, Compare, Op, Outcome, Pair, Reply, Revision, Txn, TxnResult,
};

#[derive(Default)]
pub struct FakeKv {
    pub revision: Revision,
    pub pairs: BTreeMap<String, Pair>,
}

impl FakeKv {
    pub fn call(&mut self, call: &Call) -> Reply {
        let Call::Txn(txn) = call else {
            panic!("only transactions are offered, not {call:?}");
        };
        let next = self.revision + 1;
        let body = Body::Txn(self.txn(txn, next));
        let revision = self.revision;
        Reply { revision, body }
    }

    fn txn(&mut self, txn: &Txn, next: Revision) -> TxnResult {
        let held = txn.when.iter().all(|c| match c {
            Compare::Absent(key) => !self.pairs.contains_key(key),
            Compare::Created(key, at) => self.pairs.get(key).map_or(0, |p| p.created) == *at,
            Compare::Changed(key, at) => self.pairs.get(key).map_or(0, |p| p.changed) == *at,
        });
        let ops = if held { &txn.then } else { &txn.other };
        let outcomes = ops.iter().map(|op| self.op(op, next)).collect();
        TxnResult { held, outcomes }
    }

    fn op(&mut self, op: &Op, next: Revision) -> Outcome {
        match op {
            Op::Get(key) => Outcome::Pairs(self.pairs.get(key).cloned().into_iter().collect()),
            Op::List(prefix) => {
                let found = self.pairs.values().filter(|p| p.key.starts_with(prefix));
                Outcome::Pairs(found.cloned().collect())
            }
            Op::Put(key, value, lease) => {
                self.revision = next;
                let pair = Pair {
                    key: key.clone(),
                    value: value.clone(),
                    created: self.pairs.get(key).map_or(next, |p| p.created),
                    changed: next,
                    lease: *lease,
                };
                self.pairs.insert(key.clone(), pair);
                Outcome::Done
            }
            Op::Delete(key) => {
                self.revision = next;
                self.pairs.remove(key);
                Outcome::Done
            }
            Op::Txn(txn) => Outcome::Txn(self.txn(txn, next)),
        }
    }
}
