//! Stand-in for the key-value service, over etcd v3's JSON mapping.
//!
//! Paths: `/v3/kv/txn`, `/v3/kv/range`, `/v3/lease/grant`, `/v3/lease/keepalive`,
//! `/v3/lease/revoke` and `/v3/watch`. `PUT /faults` sets [`Faults`], which replace the last ones.

mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldglade::time::SECOND_MS;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use self::state::{Range, State, event_json, number, txn_writes};
use crate::http::{Request, Server, answer, answer_json, now, serve};

/// How often a watch without changes reports the current revision, in milliseconds.
const WATCH_PROGRESS_MS: u64 = 1_000;

/// How often a call checks whether [`Faults::silent`] has ended, in milliseconds.
const SILENT_POLL_MS: u64 = 10;

/// The faults that the service simulates until others are set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether calls are answered with 503 and have no effect, and open watches end.
    pub down: bool,
    /// Whether calls wait without an answer. When this ends, they are answered with 503 and have
    /// had no effect.
    pub silent: bool,
    /// The time that is added to each call, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect but are answered with 503.
    pub lost: u32,
    /// Whether reads return the state as it was when this was set.
    pub stale: bool,
    /// Whether new watches start at the oldest revision that isn't compacted, not at the one that
    /// they ask for.
    pub replay: bool,
    /// Whether all leases that exist when this is set expire at once.
    pub lapse: bool,
    /// Whether all watches that are open when this is set end at once.
    pub unwatch: bool,
    /// The revision up to which changes are compacted; zero compacts none.
    pub compact: u64,
    /// The writes that are accepted in a second; the rest are answered with 429. Zero is no limit.
    pub writes: u32,
    /// The reads that are accepted in a second; the rest are answered with 429. Zero is no limit.
    pub reads: u32,
}

/// The number of calls in the current second.
#[derive(Clone, Copy, Default)]
struct Rate {
    second: u64,
    calls: u32,
}

impl Rate {
    /// Counts a call and returns whether it is within the limit.
    fn allows(&mut self, limit: u32) -> bool {
        let second = now().0 / SECOND_MS;
        if second != self.second {
            *self = Self { second, calls: 0 };
        }
        self.calls += 1;
        limit == 0 || self.calls <= limit
    }
}

/// The state and the faults of a key-value service in this process.
#[derive(Default)]
pub struct Kv {
    state: Mutex<State>,
    changed: Condvar,
    faults: Mutex<FaultState>,
}

/// The current faults and the state that they need.
#[derive(Default)]
struct FaultState {
    faults: Faults,
    /// The state that stale reads return.
    snapshot: Option<Box<State>>,
    /// How many times a fault ended all open watches; a watch ends when this changes.
    watch_ends: u64,
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

/// Starts a service on `addr` that shares `kv` with the caller, who can change its faults.
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
        state.expire_leases(now());
        state
    }

    fn fault_state(&self) -> MutexGuard<'_, FaultState> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults.
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
            let compacted = state.compacted;
            state.changes.retain(|(r, _, _)| *r > compacted);
            let mut fault_state = self.fault_state();
            // Reads that are stale already keep their snapshot.
            let snapshot = fault_state.snapshot.take().filter(|_| faults.stale);
            fault_state.snapshot =
                snapshot.or_else(|| faults.stale.then(|| Box::new(state.clone())));
            fault_state.watch_ends += u64::from(faults.unwatch || faults.down);
            fault_state.faults = faults;
        }
        self.changed.notify_all();
    }

    fn handle(&self, request: Request) {
        let body = serde_json::from_slice::<Value>(request.body()).unwrap_or(Value::Null);
        let path = request.url().to_owned();
        if path == "/faults" {
            return self.handle_faults(request, body);
        }
        let writes = path.starts_with("/v3/lease/") || path == "/v3/kv/txn" && txn_writes(&body);
        if let Some(status) = self.apply_faults(writes) {
            return answer(request, status, &[], Vec::new());
        }
        if path == "/v3/watch" {
            return self.watch(request, &body["createRequest"]);
        }
        let reply = self.execute(&path, &body, writes);
        self.changed.notify_all();
        if writes && self.lose_answer() {
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

    /// Executes a call; returns `None` if it is invalid. Stale reads use the snapshot.
    fn execute(&self, path: &str, body: &Value, writes: bool) -> Option<Value> {
        let snapshot = self.fault_state().snapshot.clone().filter(|_| !writes);
        match snapshot {
            Some(mut snapshot) => snapshot.call(path, body),
            None => self.lock().call(path, body),
        }
    }

    /// Delays a call as the faults say; returns a status if the call fails without effect.
    fn apply_faults(&self, writes: bool) -> Option<u16> {
        let (slow_ms, allowed) = {
            let mut fault_state = self.fault_state();
            let Faults {
                writes: w,
                reads: r,
                slow_ms,
                ..
            } = fault_state.faults;
            let allowed = if writes {
                fault_state.writes.allows(w)
            } else {
                fault_state.reads.allows(r)
            };
            (slow_ms, allowed)
        };
        if !allowed {
            return Some(429);
        }
        std::thread::sleep(Duration::from_millis(slow_ms));
        let mut silent = false;
        while self.fault_state().faults.silent {
            silent = true;
            std::thread::sleep(Duration::from_millis(SILENT_POLL_MS));
        }
        (silent || self.fault_state().faults.down).then_some(503)
    }

    /// Returns whether the answer to a write is lost, and counts it.
    fn lose_answer(&self) -> bool {
        let mut fault_state = self.fault_state();
        let lost = fault_state.faults.lost > 0;
        fault_state.faults.lost = fault_state.faults.lost.saturating_sub(1);
        lost
    }

    /// Streams changes until the peer disconnects or a fault ends the watch. A watch that starts at
    /// a compacted revision is cancelled at once.
    fn watch(&self, request: Request, create: &Value) {
        let range = Range::parse(create);
        let mut next = number(&create["startRevision"]);
        let (replay, watch_ends) = {
            let fault_state = self.fault_state();
            (fault_state.faults.replay, fault_state.watch_ends)
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
            let (revision, events) = self.wait_events(&range, next, watch_ends);
            if self.fault_state().watch_ends != watch_ends {
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

    /// Waits for changes from revision `next` on, until the progress interval is over or a fault
    /// ends the watch. Returns the revision and the events, which may be empty.
    fn wait_events(&self, range: &Range, next: u64, watch_ends: u64) -> (u64, Vec<Value>) {
        let deadline = now().after(WATCH_PROGRESS_MS);
        let mut state = self.lock();
        loop {
            let events: Vec<Value> = state
                .changes
                .iter()
                .filter(|(r, k, _)| *r >= next && range.contains(k))
                .map(event_json)
                .collect();
            let left = deadline.since(now());
            let watch_ended = self.fault_state().watch_ends != watch_ends;
            if !events.is_empty() || left == 0 || watch_ended {
                return (state.revision.max(next.saturating_sub(1)), events);
            }
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(left))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            state.expire_leases(now());
        }
    }
}
