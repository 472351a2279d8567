//! Stand-in for the key-value service, over etcd v3's JSON mapping.
//!
//! Paths: `/v3/kv/txn`, `/v3/kv/range`, `/v3/lease/grant`, `/v3/lease/keepalive`,
//! `/v3/lease/revoke` and `/v3/watch`. `PUT /faults` takes [`Faults`], which stay until the next.

mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldglade::time::SECOND_MS;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use self::state::{Range, State, event, number, writes};
use crate::http::{Request, Server, answer, answer_json, now, serve};

/// How often a waiting watch tells its peer that it is alive, in milliseconds.
const WATCH_PROGRESS_MS: u64 = 1_000;

/// How often a silent call looks whether it may go on, in milliseconds.
const SILENT_LOOK_MS: u64 = 10;

/// What goes wrong, until other faults are set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Calls are answered with 503 and have no effect; watches end.
    pub down: bool,
    /// Calls get no answer and have no effect while this lasts.
    pub silent: bool,
    /// Calls take so much longer, in milliseconds.
    pub slow_ms: u64,
    /// So many writes take effect and are answered with 503.
    pub lost: u32,
    /// Reads show what was there when this was set.
    pub stale: bool,
    /// Watches start from the oldest revision there is, whatever they ask for.
    pub replay: bool,
    /// Leases that are there when this is set lapse.
    pub lapse: bool,
    /// Watches that are open when this is set end.
    pub unwatch: bool,
    /// Changes up to this revision are forgotten.
    pub compact: u64,
    /// Writes a second; those beyond are answered with 429. Zero is no bound.
    pub writes: u32,
    /// Reads a second; those beyond are answered with 429. Zero is no bound.
    pub reads: u32,
}

/// Calls of the running second.
#[derive(Clone, Copy, Default)]
struct Rate {
    second: u64,
    calls: u32,
}

impl Rate {
    fn allows(&mut self, limit: u32) -> bool {
        let second = now().0 / SECOND_MS;
        if second != self.second {
            *self = Self { second, calls: 0 };
        }
        self.calls += 1;
        limit == 0 || self.calls <= limit
    }
}

/// A key-value service in this process.
#[derive(Default)]
pub struct Kv {
    state: Mutex<State>,
    changed: Condvar,
    faults: Mutex<Faulty>,
}

/// The faults and what they need to know.
#[derive(Default)]
struct Faulty {
    faults: Faults,
    /// What stale reads show.
    old: Option<Box<State>>,
    /// How often open watches were ended.
    unwatched: u64,
    writes: Rate,
    reads: Rate,
}

/// Starts a service on `addr`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(addr: SocketAddr) -> std::io::Result<Server> {
    start_shared(addr, Arc::new(Kv::default()))
}

/// Starts a service on `addr` whose state and faults the caller keeps in hand.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start_shared(addr: SocketAddr, kv: Arc<Kv>) -> std::io::Result<Server> {
    serve(addr, move |request| kv.handle(request))
}

impl Kv {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.lapse(now());
        state
    }

    fn faulty(&self) -> MutexGuard<'_, Faulty> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        {
            let mut state = self.lock();
            if faults.lapse {
                let leases: Vec<i64> = state.leases.keys().copied().collect();
                for lease in leases {
                    state.revoke(lease);
                }
            }
            state.compacted = state.compacted.max(faults.compact);
            let kept = state.compacted;
            state.changes.retain(|(r, _, _)| *r > kept);
            let mut faulty = self.faulty();
            // Reads that are stale already stay at the same point.
            let old = faulty.old.take().filter(|_| faults.stale);
            faulty.old = old.or_else(|| faults.stale.then(|| Box::new(state.clone())));
            faulty.unwatched += u64::from(faults.unwatch || faults.down);
            faulty.faults = faults;
        }
        self.changed.notify_all();
    }

    fn handle(&self, request: Request) {
        let body = serde_json::from_slice::<Value>(request.body()).unwrap_or(Value::Null);
        let path = request.url().to_owned();
        if path == "/faults" {
            return self.handle_faults(request, body);
        }
        let writes = path.starts_with("/v3/lease/") || path == "/v3/kv/txn" && writes(&body);
        if let Some(status) = self.fail(writes) {
            return answer(request, status, &[], Vec::new());
        }
        if path == "/v3/watch" {
            return self.watch(request, &body["createRequest"]);
        }
        let reply = self.reply(&path, &body, writes);
        self.changed.notify_all();
        if writes && self.loses_answer() {
            return answer(request, 503, &[], Vec::new());
        }
        match reply {
            Some(reply) if path == "/v3/lease/keepalive" => {
                answer_json(request, 200, &json!({"result": reply}));
            }
            Some(reply) => answer_json(request, 200, &reply),
            None => answer(request, 400, &[], Vec::new()),
        }
    }

    fn handle_faults(&self, request: Request, body: Value) {
        match serde_json::from_value(body) {
            Ok(faults) => {
                self.set_faults(faults);
                answer(request, 204, &[], Vec::new());
            }
            Err(e) => answer(request, 400, &[], e.to_string().into_bytes()),
        }
    }

    fn reply(&self, path: &str, body: &Value, writes: bool) -> Option<Value> {
        let old = self.faulty().old.clone().filter(|_| !writes);
        match old {
            Some(mut old) => old.call(path, body),
            None => self.lock().call(path, body),
        }
    }

    /// Waits as the faults say; returns a status when the call fails without effect.
    fn fail(&self, writes: bool) -> Option<u16> {
        let (slow_ms, allowed) = {
            let mut faulty = self.faulty();
            let Faults {
                writes: w,
                reads: r,
                slow_ms,
                ..
            } = faulty.faults;
            let allowed = if writes {
                faulty.writes.allows(w)
            } else {
                faulty.reads.allows(r)
            };
            (slow_ms, allowed)
        };
        if !allowed {
            return Some(429);
        }
        std::thread::sleep(Duration::from_millis(slow_ms));
        let mut silent = false;
        while self.faulty().faults.silent {
            silent = true;
            std::thread::sleep(Duration::from_millis(SILENT_LOOK_MS));
        }
        (silent || self.faulty().faults.down).then_some(503)
    }

    fn loses_answer(&self) -> bool {
        let mut faulty = self.faulty();
        let loses = faulty.faults.lost > 0;
        faulty.faults.lost = faulty.faults.lost.saturating_sub(1);
        loses
    }

    /// Streams changes until the peer is gone.
    fn watch(&self, request: Request, create: &Value) {
        let range = Range::read(create);
        let mut next = number(&create["startRevision"]);
        let (replay, unwatched) = {
            let faulty = self.faulty();
            (faulty.faults.replay, faulty.unwatched)
        };
        let compacted = self.lock().compacted;
        if replay {
            next = compacted + 1;
        }
        let mut stream = request.stream();
        if next != 0 && next <= compacted {
            let result = json!({"header": {"revision": self.lock().revision.to_string()},
                "canceled": true, "compactRevision": compacted.to_string()});
            let _ = stream.send(format!("{}\n", json!({"result": result})));
            return;
        }
        loop {
            let (revision, events) = self.wait_events(&range, next, unwatched);
            if self.faulty().unwatched != unwatched {
                return;
            }
            let mut result = json!({"header": {"revision": revision.to_string()}});
            if !events.is_empty() {
                result["events"] = Value::Array(events);
            }
            next = revision + 1;
            if !stream.send(format!("{}\n", json!({"result": result}))) {
                return;
            }
        }
    }

    /// Waits for changes from revision `next` on, or until the progress interval is over.
    fn wait_events(&self, range: &Range, next: u64, unwatched: u64) -> (u64, Vec<Value>) {
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
            let ended = self.faulty().unwatched != unwatched;
            if !events.is_empty() || left == 0 || ended {
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
