//! What the stand-in key-value service holds: JSON calls flow in, JSON replies flow out.

use std::collections::BTreeMap;

use marigoldglade::etcd::{from_base64, to_base64};
use marigoldglade::time::{SECOND_MS, UnixMs};
use serde_json::{Value, json};

use crate::http::now;

/// The largest value, in bytes.
const VALUE_LIMIT_BYTES: usize = 1 << 20;

#[derive(Clone)]
pub(super) struct Entry {
    value: Vec<u8>,
    created: u64,
    changed: u64,
    lease: i64,
}

#[derive(Clone)]
pub(super) struct Lease {
    ttl_s: u64,
    end: UnixMs,
}

#[derive(Clone, Default)]
pub(super) struct State {
    pub(super) revision: u64,
    entries: BTreeMap<Vec<u8>, Entry>,
    pub(super) leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    /// Every change with its revision; `None` is a deletion.
    pub(super) changes: Vec<(u64, Vec<u8>, Option<Entry>)>,
    /// The last revision whose changes are forgotten.
    pub(super) compacted: u64,
    /// What the running transaction replaced, for when it fails.
    undo: Vec<(Vec<u8>, Option<Entry>)>,
}

/// Returns whether a transaction may write.
pub(super) fn writes(txn: &Value) -> bool {
    let ops = items(&txn["success"]).iter().chain(items(&txn["failure"]));
    ops.into_iter().any(|op| {
        op.get("requestPut").is_some()
            || op.get("requestDeleteRange").is_some()
            || op.get("requestTxn").is_some_and(writes)
    })
}

pub(super) fn event((revision, key, entry): &(u64, Vec<u8>, Option<Entry>)) -> Value {
    match entry {
        Some(entry) => json!({"type": "PUT", "kv": kv_json(key, entry)}),
        None => json!({"type": "DELETE", "kv": {
            "key": to_base64(key), "modRevision": revision.to_string()}}),
    }
}

fn kv_json(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": to_base64(key),
        "value": to_base64(&entry.value),
        "createRevision": entry.created.to_string(),
        "modRevision": entry.changed.to_string(),
        "lease": entry.lease.to_string(),
    })
}

pub(super) fn number(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

fn bytes(value: &Value) -> Vec<u8> {
    value.as_str().and_then(from_base64).unwrap_or_default()
}

fn lease_id(body: &Value) -> i64 {
    i64::try_from(number(&body["ID"])).unwrap_or(0)
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

pub(super) struct Range {
    start: Vec<u8>,
    end: Vec<u8>,
}

impl Range {
    pub(super) fn read(body: &Value) -> Self {
        Self {
            start: bytes(&body["key"]),
            end: bytes(&body["rangeEnd"]),
        }
    }

    pub(super) fn holds(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.start;
        }
        key >= self.start.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }
}

impl State {
    pub(super) fn lapse(&mut self, now: UnixMs) {
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.end.passed(now))
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.revoke(id);
        }
    }

    pub(super) fn call(&mut self, path: &str, body: &Value) -> Option<Value> {
        let mut reply = match path {
            "/v3/kv/txn" => self.txn_call(body)?,
            "/v3/kv/range" => self.range(body),
            "/v3/lease/grant" => self.grant(number(&body["TTL"])),
            "/v3/lease/keepalive" => self.renew(lease_id(body)),
            "/v3/lease/revoke" => self.revoke(lease_id(body)),
            _ => return None,
        };
        reply["header"] = json!({"revision": self.revision.to_string()});
        Some(reply)
    }

    /// Runs a transaction as a whole or not at all; its writes share one revision.
    fn txn_call(&mut self, body: &Value) -> Option<Value> {
        let revision = self.revision + 1;
        let changes = self.changes.len();
        self.undo.clear();
        let mut wrote = false;
        let reply = self.txn(body, revision, &mut wrote);
        if reply.is_none() {
            self.changes.truncate(changes);
            while let Some((key, entry)) = self.undo.pop() {
                match entry {
                    Some(entry) => self.entries.insert(key, entry),
                    None => self.entries.remove(&key),
                };
            }
        } else if wrote {
            self.revision = revision;
        }
        reply
    }

    fn txn(&mut self, body: &Value, revision: u64, wrote: &mut bool) -> Option<Value> {
        let held = items(&body["compare"]).iter().all(|c| self.compare(c));
        let branch = if held { "success" } else { "failure" };
        let mut responses = Vec::new();
        for op in items(&body[branch]) {
            responses.push(self.op(op, revision, wrote)?);
        }
        Some(json!({"succeeded": held, "responses": responses}))
    }

    fn compare(&self, compare: &Value) -> bool {
        let entry = self.entries.get(&bytes(&compare["key"]));
        match compare["target"].as_str() {
            Some("CREATE") => entry.map_or(0, |e| e.created) == number(&compare["createRevision"]),
            Some("MOD") => entry.map_or(0, |e| e.changed) == number(&compare["modRevision"]),
            _ => false,
        }
    }

    fn op(&mut self, op: &Value, revision: u64, wrote: &mut bool) -> Option<Value> {
        if let Some(range) = op.get("requestRange") {
            return Some(json!({"responseRange": self.range(range)}));
        }
        if let Some(put) = op.get("requestPut") {
            *wrote = true;
            let lease = i64::try_from(number(&put["lease"])).unwrap_or(0);
            let (key, value) = (bytes(&put["key"]), bytes(&put["value"]));
            // As in etcd, a transaction writes a key once.
            let twice = self
                .entries
                .get(&key)
                .is_some_and(|e| e.changed == revision);
            let no_lease = lease != 0 && !self.leases.contains_key(&lease);
            if twice || no_lease || value.len() > VALUE_LIMIT_BYTES {
                return None;
            }
            self.put(key, value, lease, revision);
            return Some(json!({"responsePut": {}}));
        }
        if let Some(delete) = op.get("requestDeleteRange") {
            *wrote |= self.delete(&bytes(&delete["key"]), revision);
            return Some(json!({"responseDeleteRange": {}}));
        }
        let txn = self.txn(op.get("requestTxn")?, revision, wrote)?;
        Some(json!({"responseTxn": txn}))
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64, revision: u64) {
        let created = self.entries.get(&key).map_or(revision, |e| e.created);
        let entry = Entry {
            value,
            created,
            changed: revision,
            lease,
        };
        self.changes
            .push((revision, key.clone(), Some(entry.clone())));
        let before = self.entries.insert(key.clone(), entry);
        self.undo.push((key, before));
    }

    fn delete(&mut self, key: &[u8], revision: u64) -> bool {
        let Some(before) = self.entries.remove(key) else {
            return false;
        };
        self.undo.push((key.to_vec(), Some(before)));
        self.changes.push((revision, key.to_vec(), None));
        true
    }

    fn range(&self, body: &Value) -> Value {
        let range = Range::read(body);
        let limit = match number(&body["limit"]) {
            0 => usize::MAX,
            n => usize::try_from(n).unwrap_or(usize::MAX),
        };
        let mut found = self
            .entries
            .range(range.start.clone()..)
            .take_while(|(k, _)| range.holds(k));
        let kvs: Vec<Value> = found
            .by_ref()
            .take(limit)
            .map(|(k, e)| kv_json(k, e))
            .collect();
        json!({"kvs": kvs, "more": found.next().is_some()})
    }

    fn grant(&mut self, ttl_s: u64) -> Value {
        self.last_lease += 1;
        let id = self.last_lease;
        let end = now().after(ttl_s * SECOND_MS);
        self.leases.insert(id, Lease { ttl_s, end });
        json!({"ID": id.to_string(), "TTL": ttl_s.to_string()})
    }

    fn renew(&mut self, id: i64) -> Value {
        let ttl_s = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.end = now().after(lease.ttl_s * SECOND_MS);
            lease.ttl_s
        });
        json!({"ID": id.to_string(), "TTL": ttl_s.to_string()})
    }

    pub(super) fn revoke(&mut self, id: i64) -> Value {
        self.leases.remove(&id);
        let keys: Vec<Vec<u8>> = self
            .entries
            .iter()
            .filter(|(_, e)| e.lease == id && id != 0)
            .map(|(k, _)| k.clone())
            .collect();
        self.undo.clear();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key, self.revision);
        }
        json!({})
    }
}
