//! A key-value service in memory that refuses to change the record of a job that has ended.

use std::collections::BTreeMap;

use marigoldglade::record::Record;
use marigoldglade::store::{
    Body, Call, Compare, Key, Op, Outcome, Pair, Reply, Revision, Txn, TxnResult,
};

#[derive(Default)]
pub struct FakeStore {
    pub revision: Revision,
    pub pairs: BTreeMap<Key, Pair>,
    /// The number of transactions that wrote a key.
    pub writes: u64,
}

impl FakeStore {
    pub fn call(&mut self, call: &Call) -> Reply {
        let body = match call {
            Call::Txn(txn) => {
                let mut wrote = false;
                let done = self.txn(txn, &mut wrote);
                self.revision += u64::from(wrote);
                self.writes += u64::from(wrote);
                Body::Txn(done)
            }
            Call::Range {
                prefix,
                after,
                limit,
            } => self.range(prefix, after, *limit as usize),
            other => panic!("the owner makes no such call: {other:?}"),
        };
        Reply {
            revision: self.revision,
            body,
        }
    }

    fn range(&self, prefix: &str, after: &str, limit: usize) -> Body {
        let found = self
            .pairs
            .values()
            .filter(|p| p.key.starts_with(prefix) && p.key.as_str() > after);
        let mut pairs: Vec<Pair> = found.take(limit + 1).cloned().collect();
        let more = pairs.len() > limit;
        pairs.truncate(limit);
        Body::Range { pairs, more }
    }

    fn txn(&mut self, txn: &Txn, wrote: &mut bool) -> TxnResult {
        let held = txn.when.iter().all(|c| match c {
            Compare::Absent(key) => !self.pairs.contains_key(key),
            Compare::Created(key, at) => self.pairs.get(key).is_some_and(|p| p.created == *at),
            Compare::Changed(key, at) => self.pairs.get(key).is_some_and(|p| p.changed == *at),
        });
        let ops = if held { &txn.then } else { &txn.other };
        assert!(ops.len() <= 128, "the service takes at most 128 operations");
        let outcomes = ops.iter().map(|op| self.op(op, wrote)).collect();
        TxnResult { held, outcomes }
    }

    fn op(&mut self, op: &Op, wrote: &mut bool) -> Outcome {
        match op {
            Op::Get(key) => Outcome::Pairs(self.pairs.get(key).cloned().into_iter().collect()),
            Op::Put(key, value, lease) => {
                *wrote = true;
                self.put(key, value, *lease);
                Outcome::Done
            }
            Op::Txn(txn) => Outcome::Txn(self.txn(txn, wrote)),
            other => panic!("the owner makes no such operation: {other:?}"),
        }
    }

    /// Writes a key. Panics if it holds the record of a job that has ended.
    pub fn put(&mut self, key: &str, value: &[u8], lease: i64) {
        let changed = self.revision + 1;
        let old = self.pairs.get(key);
        if let Some(old) = old.filter(|_| key.starts_with("/mg/job/")) {
            let ended = Record::decode(&old.value).expect("a record").state.ended();
            assert!(!ended, "{key} was written after its end");
        }
        let created = old.map_or(changed, |p| p.created);
        let pair = Pair {
            key: key.to_owned(),
            value: value.to_vec(),
            created,
            changed,
            lease,
        };
        self.pairs.insert(key.to_owned(), pair);
    }

    pub fn records(&self) -> impl Iterator<Item = (&str, Record)> {
        let jobs = self.pairs.iter().filter(|(k, _)| k.starts_with("/mg/job/"));
        jobs.map(|(k, p)| {
            (
                &k["/mg/job/".len()..],
                Record::decode(&p.value).expect("a record"),
            )
        })
    }
}
