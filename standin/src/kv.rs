//! Stand-in for the key-value service, over etcd v3's JSON mapping.
//!
//! Paths: `/v3/kv/txn`, `/v3/kv/range`, `/v3/lease/grant`, `/v3/lease/keepalive`,
//! `/v3/lease/revoke` and `/v3/watch`.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldglade::etcd::{from_base64, to_base64};
use marigoldglade::time::{SECOND_MS, UnixMs};
use serde_json::{Value, json};
use tiny_http::Request;

use crate::http::{Served, answer, answer_json, now, read_body, serve};

/// How often a waiting watch tells its peer that it is alive, in milliseconds.
const WATCH_PROGRESS_MS: u64 = 1_000;

#[derive(Clone)]
struct Entry {
    value: Vec<u8>,
    created: u64,
    changed: u64,
    lease: i64,
}

struct Lease {
    ttl_s: u64,
    end: UnixMs,
}

#[derive(Default)]
struct State {
    revision: u64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<i64, Lease>,
    /// Every change with its revision; `None` is a deletion.
    changes: Vec<(u64, Vec<u8>, Option<Entry>)>,
}

/// A key-value service in this process.
#[derive(Default)]
pub struct Kv {
    state: Mutex<State>,
    changed: Condvar,
}

/// Starts a service on `addr`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(addr: SocketAddr) -> std::io::Result<Served> {
    let kv = Arc::new(Kv::default());
    serve(addr, move |request| kv.handle(request))
}

impl Kv {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.lapse(now());
        state
    }

    fn handle(&self, mut request: Request) {
        let body = read_body(&mut request)
            .and_then(|b| serde_json::from_slice::<Value>(&b).ok())
            .unwrap_or(Value::Null);
        let path = request.url().to_owned();
        if path == "/v3/watch" {
            return self.watch(request, &body["createRequest"]);
        }
        let reply = {
            let mut state = self.lock();
            match path.as_str() {
                "/v3/kv/txn" => state.txn_call(&body),
                "/v3/kv/range" => Some(state.range(&body)),
                "/v3/lease/grant" => Some(state.grant(number(&body["TTL"]))),
                "/v3/lease/keepalive" => Some(state.renew(lease_id(&body))),
                "/v3/lease/revoke" => Some(state.revoke(lease_id(&body))),
                _ => None,
            }
        };
        self.changed.notify_all();
        match reply {
            Some(mut reply) => {
                reply["header"] = json!({"revision": self.lock().revision.to_string()});
                let reply = if path == "/v3/lease/keepalive" {
                    json!({"result": reply})
                } else {
                    reply
                };
                answer_json(request, 200, &reply);
            }
            None => answer(request, 400, &[], Vec::new()),
        }
    }

    /// Streams changes until the peer is gone.
    fn watch(&self, request: Request, create: &Value) {
        let range = Range::read(create);
        let mut next = number(&create["startRevision"]);
        let mut writer = request.into_writer();
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        loop {
            let (revision, events) = self.wait_events(&range, next);
            let mut result = json!({"header": {"revision": revision.to_string()}});
            if !events.is_empty() {
                result["events"] = Value::Array(events);
            }
            next = revision + 1;
            let line = format!("{}\n", json!({"result": result}));
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            if writer.write_all(chunk.as_bytes()).is_err() || writer.flush().is_err() {
                return;
            }
        }
    }

    /// Waits for changes from revision `next` on, or until the progress interval is over.
    fn wait_events(&self, range: &Range, next: u64) -> (u64, Vec<Value>) {
        let end = now().after(WATCH_PROGRESS_MS);
        let mut state = self.lock();
        loop {
            let events: Vec<Value> = state
                .changes
                .iter()
                .filter(|(r, k, _)| *r >= next && range.holds(k))
                .map(event)
                .collect();
            let left = end.since(now());
            if !events.is_empty() || left == 0 {
                return (state.revision.max(next.saturating_sub(1)), events);
            }
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(left))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            state.lapse(now());
        }
    }
}

fn event((revision, key, entry): &(u64, Vec<u8>, Option<Entry>)) -> Value {
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

fn number(value: &Value) -> u64 {
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

struct Range {
    start: Vec<u8>,
    end: Vec<u8>,
}

impl Range {
    fn read(body: &Value) -> Self {
        Self {
            start: bytes(&body["key"]),
            end: bytes(&body["rangeEnd"]),
        }
    }

    fn holds(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.start;
        }
        key >= self.start.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }
}

impl State {
    fn lapse(&mut self, now: UnixMs) {
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

    fn txn_call(&mut self, body: &Value) -> Option<Value> {
        let before = self.revision;
        // A transaction's writes share one revision.
        let mut wrote = false;
        let reply = self.txn(body, before + 1, &mut wrote);
        if wrote {
            self.revision = before + 1;
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
            if lease != 0 && !self.leases.contains_key(&lease) {
                return None;
            }
            self.put(bytes(&put["key"]), bytes(&put["value"]), lease, revision);
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
        self.entries.insert(key, entry);
    }

    fn delete(&mut self, key: &[u8], revision: u64) -> bool {
        let found = self.entries.remove(key).is_some();
        if found {
            self.changes.push((revision, key.to_vec(), None));
        }
        found
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
        let id = self.leases.keys().last().map_or(1, |last| last + 1);
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

    fn revoke(&mut self, id: i64) -> Value {
        self.leases.remove(&id);
        let keys: Vec<Vec<u8>> = self
            .entries
            .iter()
            .filter(|(_, e)| e.lease == id && id != 0)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key, self.revision);
        }
        json!({})
    }
}
