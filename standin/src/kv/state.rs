//! State of the stand-in key-value service, with calls and replies in etcd's JSON mapping.

use std::collections::BTreeMap;

use marigoldglade::etcd::{from_base64, to_base64};
use marigoldglade::time::{SECOND_MS, UnixMs};
use serde_json::{Value, json};

use crate::http::now;

/// The largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Clone)]
pub(super) struct Entry {
    value: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    lease: i64,
}

#[derive(Clone)]
pub(super) struct Lease {
    ttl_s: u64,
    expires_at: UnixMs,
}

#[derive(Clone, Default)]
pub(super) struct State {
    pub(super) revision: u64,
    entries: BTreeMap<Vec<u8>, Entry>,
    pub(super) leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    /// The changes that aren't compacted: revision, key and new entry, or `None` for a deletion.
    pub(super) changes: Vec<(u64, Vec<u8>, Option<Entry>)>,
    /// The last compacted revision; watches can't start at it or before it.
    pub(super) compacted: u64,
    /// The previous entries of the keys that the current transaction changed, to roll it back.
    undo: Vec<(Vec<u8>, Option<Entry>)>,
}

/// Returns whether either branch of a transaction contains a write.
pub(super) fn txn_writes(txn: &Value) -> bool {
    let ops = items(&txn["success"]).iter().chain(items(&txn["failure"]));
    ops.into_iter().any(|op| {
        op.get("requestPut").is_some()
            || op.get("requestDeleteRange").is_some()
            || op.get("requestTxn").is_some_and(txn_writes)
    })
}

/// Formats a change as a watch event.
pub(super) fn event_json((revision, key, entry): &(u64, Vec<u8>, Option<Entry>)) -> Value {
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
        "createRevision": entry.create_revision.to_string(),
        "modRevision": entry.mod_revision.to_string(),
        "lease": entry.lease.to_string(),
    })
}

/// Reads an integer that JSON carries as a string or a number; anything else is zero.
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

/// A range of keys: one key if `end` is empty, no upper bound if `end` is a zero byte.
pub(super) struct Range {
    start: Vec<u8>,
    end: Vec<u8>,
}

impl Range {
    pub(super) fn parse(body: &Value) -> Self {
        Self {
            start: bytes(&body["key"]),
            end: bytes(&body["rangeEnd"]),
        }
    }

    pub(super) fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.start;
        }
        key >= self.start.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }
}

impl State {
    /// Revokes the leases that have expired.
    pub(super) fn expire_leases(&mut self, now: UnixMs) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at.passed(now))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
    }

    /// Executes a call; returns `None` if the path is unknown or a transaction fails.
    pub(super) fn call(&mut self, path: &str, body: &Value) -> Option<Value> {
        let mut reply = match path {
            "/v3/kv/txn" => self.run_txn(body)?,
            "/v3/kv/range" => self.range(body),
            "/v3/lease/grant" => self.grant(number(&body["TTL"])),
            "/v3/lease/keepalive" => self.renew(lease_id(body)),
            "/v3/lease/revoke" => self.revoke(lease_id(body)),
            _ => return None,
        };
        reply["header"] = json!({"revision": self.revision.to_string()});
        Some(reply)
    }

    /// Runs a transaction and rolls it back if it fails; its writes share one revision.
    fn run_txn(&mut self, body: &Value) -> Option<Value> {
        let revision = self.revision + 1;
        let changes = self.changes.len();
        self.undo.clear();
        let mut wrote = false;
        let reply = self.run_branch(body, revision, &mut wrote);
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

    /// Runs one branch of a transaction; returns `None` if an operation is invalid.
    fn run_branch(&mut self, body: &Value, revision: u64, wrote: &mut bool) -> Option<Value> {
        let succeeded = items(&body["compare"]).iter().all(|c| self.compare(c));
        let branch = if succeeded { "success" } else { "failure" };
        let mut responses = Vec::new();
        for op in items(&body[branch]) {
            responses.push(self.run_op(op, revision, wrote)?);
        }
        Some(json!({"succeeded": succeeded, "responses": responses}))
    }

    fn compare(&self, compare: &Value) -> bool {
        let entry = self.entries.get(&bytes(&compare["key"]));
        match compare["target"].as_str() {
            Some("CREATE") => {
                entry.map_or(0, |e| e.create_revision) == number(&compare["createRevision"])
            }
            Some("MOD") => entry.map_or(0, |e| e.mod_revision) == number(&compare["modRevision"]),
            _ => false,
        }
    }

    fn run_op(&mut self, op: &Value, revision: u64, wrote: &mut bool) -> Option<Value> {
        if let Some(range) = op.get("requestRange") {
            return Some(json!({"responseRange": self.range(range)}));
        }
        if let Some(put) = op.get("requestPut") {
            *wrote = true;
            let lease = i64::try_from(number(&put["lease"])).unwrap_or(0);
            let (key, value) = (bytes(&put["key"]), bytes(&put["value"]));
            // As in etcd, a transaction may write each key only once.
            let written = self
                .entries
                .get(&key)
                .is_some_and(|e| e.mod_revision == revision);
            let no_lease = lease != 0 && !self.leases.contains_key(&lease);
            if written || no_lease || value.len() > MAX_VALUE_BYTES {
                return None;
            }
            self.put(key, value, lease, revision);
            return Some(json!({"responsePut": {}}));
        }
        if let Some(delete) = op.get("requestDeleteRange") {
            *wrote |= self.delete(&bytes(&delete["key"]), revision);
            return Some(json!({"responseDeleteRange": {}}));
        }
        let txn = self.run_branch(op.get("requestTxn")?, revision, wrote)?;
        Some(json!({"responseTxn": txn}))
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64, revision: u64) {
        let create_revision = self
            .entries
            .get(&key)
            .map_or(revision, |e| e.create_revision);
        let entry = Entry {
            value,
            create_revision,
            mod_revision: revision,
            lease,
        };
        self.changes
            .push((revision, key.clone(), Some(entry.clone())));
        let before = self.entries.insert(key.clone(), entry);
        self.undo.push((key, before));
    }

    /// Deletes a key; returns whether it existed.
    fn delete(&mut self, key: &[u8], revision: u64) -> bool {
        let Some(before) = self.entries.remove(key) else {
            return false;
        };
        self.undo.push((key.to_vec(), Some(before)));
        self.changes.push((revision, key.to_vec(), None));
        true
    }

    fn range(&self, body: &Value) -> Value {
        let range = Range::parse(body);
        let limit = match number(&body["limit"]) {
            0 => usize::MAX,
            n => usize::try_from(n).unwrap_or(usize::MAX),
        };
        let mut found = self
            .entries
            .range(range.start.clone()..)
            .take_while(|(k, _)| range.contains(k));
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
        let expires_at = now().after(ttl_s * SECOND_MS);
        self.leases.insert(id, Lease { ttl_s, expires_at });
        json!({"ID": id.to_string(), "TTL": ttl_s.to_string()})
    }

    fn renew(&mut self, id: i64) -> Value {
        let ttl_s = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires_at = now().after(lease.ttl_s * SECOND_MS);
            lease.ttl_s
        });
        json!({"ID": id.to_string(), "TTL": ttl_s.to_string()})
    }

    /// Removes a lease and deletes its keys.
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
