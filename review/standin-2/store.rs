//! Stand-in for the platform's metadata store. Values are kept as the base64 text that they came as.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{Json, base64, decoded_len, quote, unbase64};

/// The usual time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// The largest value, in bytes.
const VALUE_LIMIT: usize = 1_048_576;
/// How many items or bytes one page of a range has at most.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
/// How long the history is kept, and how many bytes of it.
const HISTORY: Duration = Duration::from_secs(20);
const HISTORY_BYTES: usize = 256 << 20;

#[derive(Clone)]
struct Item {
    value: Arc<str>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    bytes: usize,
    compacted: u64,
    leases: BTreeMap<u64, (u64, Instant)>,
    last_lease: u64,
    /// How many transactions were refused because a value was too large, and the largest such value.
    too_large: (u64, usize),
    /// The size of the largest value that was written.
    largest: usize,
}

/// How one daemon sees the store.
#[derive(Default)]
pub struct Viewer {
    /// Whether the daemon is cut off.
    pub cut: Arc<AtomicBool>,
    /// By other daemons' mesh addresses, the addresses of this daemon's paths to them.
    pub paths: Vec<(SocketAddr, SocketAddr)>,
}

impl Viewer {
    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Waits until a cut is over; returns whether there was one.
    fn wait_uncut(&self) -> bool {
        let was_cut = self.is_cut();
        while self.is_cut() {
            std::thread::sleep(Duration::from_millis(20));
        }
        was_cut
    }

    /// Returns the value of a key in which other daemons' addresses are those of this daemon's paths. Values
    /// are CBOR, in which an address is the list of its four bytes and its port.
    fn see(&self, key: &str, value: &str) -> String {
        if self.paths.is_empty() || !key.starts_with("mg/live/") {
            return value.to_owned();
        }
        let mut bytes = unbase64(value);
        for (from, to) in &self.paths {
            let (from, to) = (encode(*from), encode(*to));
            if let Some(at) = bytes.windows(from.len()).position(|w| w == from) {
                bytes.splice(at..at + from.len(), to);
                break;
            }
        }
        base64(&bytes)
    }
}

/// Returns an IPv4 address as the daemons encode it.
fn encode(addr: SocketAddr) -> Vec<u8> {
    let mut bytes = vec![0x84];
    if let SocketAddr::V4(v4) = addr {
        for octet in v4.ip().octets() {
            bytes.extend(if octet < 24 {
                vec![octet]
            } else {
                vec![0x18, octet]
            });
        }
    }
    bytes.push(0x19);
    bytes.extend(addr.port().to_be_bytes());
    bytes
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn log(&mut self, key: &str, item: Option<Item>) {
        self.bytes += item.as_ref().map_or(0, |i| i.value.len());
        self.events.push_back(Event {
            at: Instant::now(),
            key: key.to_owned(),
            revision: self.revision,
            item,
        });
        while let Some(old) = self.events.front()
            && (old.at.elapsed() > HISTORY || self.bytes > HISTORY_BYTES)
        {
            self.compacted = old.revision;
            self.bytes -= old.item.as_ref().map_or(0, |i| i.value.len());
            self.events.pop_front();
        }
    }

    fn put(&mut self, key: &str, value: Arc<str>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.largest = self.largest.max(decoded_len(&item.value));
        self.items.insert(key.to_owned(), item.clone());
        self.log(key, Some(item));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.log(key, None);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let own = self.items.iter().filter(|(_, i)| i.lease == id);
        let keys: Vec<String> = own.map(|(k, _)| k.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        for key in keys {
            self.delete(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, l)| l.1 <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

fn item_json(key: &str, item: &Item, viewer: &Viewer) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
        quote(key),
        viewer.see(key, &item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    /// Serves at a free address.
    pub fn serve(self: &Arc<Self>) -> SocketAddr {
        self.serve_viewer(Viewer::default())
    }

    /// Serves one daemon at a free address.
    pub fn serve_viewer(self: &Arc<Self>, viewer: Viewer) -> SocketAddr {
        let store = Arc::clone(self);
        let server = http::serve(move |request| {
            std::thread::sleep(ANSWER);
            // What a cut holds up isn't carried out, and what was carried out isn't answered.
            let answer = (!viewer.is_cut()).then(|| store.answer(request, &viewer));
            if viewer.wait_uncut() { None } else { answer }
        });
        server.addr
    }

    /// Returns the name of the owner, of daemons that are called `edge-N`.
    pub fn owner(&self) -> Option<String> {
        let state = self.state.lock().expect("no panic");
        let value = unbase64(&state.items.get("mg/live/owner")?.value);
        let text = String::from_utf8_lossy(&value).into_owned();
        let at = text.find("edge-")?;
        Some(text[at..at + 6].to_owned())
    }

    /// Writes a key of the platform or the operator.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("no panic");
        state.revision += 1;
        state.put(key, base64(value.as_bytes()).into(), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().expect("no panic");
        state.revision += 1;
        state.delete(key);
        self.changed.notify_all();
    }

    pub fn has(&self, prefix: &str) -> bool {
        let state = self.state.lock().expect("no panic");
        state.items.keys().any(|k| k.starts_with(prefix))
    }

    /// Returns the refused transactions with too large values, the largest such value, and the largest value
    /// that was written.
    pub fn sizes(&self) -> (u64, usize, usize) {
        let state = self.state.lock().expect("no panic");
        (state.too_large.0, state.too_large.1, state.largest)
    }

    fn answer(&self, request: &Request, viewer: &Viewer) -> (u16, String) {
        let path = request.path().to_owned();
        if path == "/kv-watch" {
            return self.watch(request, viewer);
        }
        let mut state = self.state.lock().expect("no panic");
        state.expire();
        let answer = match path.as_str() {
            "/kv-key" => {
                let key = request.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (
                        200,
                        format!(
                            "{},\"as_of\":{}}}",
                            item_json(&key, item, viewer),
                            state.revision
                        ),
                    ),
                    None => (404, format!("{{\"as_of\":{}}}", state.revision)),
                }
            }
            "/kv-range" => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let mut rows = Vec::new();
                let (mut bytes, mut more) = (0, false);
                for (key, item) in state.items.range(prefix.clone()..) {
                    if !key.starts_with(&prefix) {
                        break;
                    }
                    if *key <= after && !after.is_empty() {
                        continue;
                    }
                    bytes += item.value.len();
                    if !rows.is_empty() && (rows.len() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
                        more = true;
                        break;
                    }
                    rows.push(item_json(key, item, viewer) + "}");
                }
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":{more},\"as_of\":{}}}",
                        rows.join(","),
                        state.revision
                    ),
                )
            }
            "/kv-txn" => match Json::parse(&request.body) {
                Some(body) => txn(&mut state, &body, viewer),
                None => (400, "{}".to_owned()),
            },
            "/kv-lease" => {
                let body = Json::parse(&request.body);
                let ttl_ms = body.map_or(0, |b| b.get("ttl_ms").number()).max(1_000);
                state.last_lease += 1;
                let id = state.last_lease;
                state
                    .leases
                    .insert(id, (ttl_ms, Instant::now() + Duration::from_millis(ttl_ms)));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            path => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|w| w.parse().ok())
                    .unwrap_or(0);
                if path.starts_with("/kv-lease-end/") {
                    state.end_lease(id);
                    (200, "{}".to_owned())
                } else if let Some(lease) = state.leases.get_mut(&id) {
                    lease.1 = Instant::now() + Duration::from_millis(lease.0);
                    (200, format!("{{\"ttl_ms\":{}}}", lease.0))
                } else {
                    (404, "{}".to_owned())
                }
            }
        };
        drop(state);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, request: &Request, viewer: &Viewer) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|v| v.parse().ok())
                .unwrap_or(0)
        };
        let (after, wait_ms) = (number("after"), number("wait_ms").min(30_000));
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().expect("no panic");
        loop {
            state.expire();
            if after < state.compacted {
                return (410, "{}".to_owned());
            }
            let seen = state.events.iter().rev().take_while(|e| e.revision > after);
            let mut rows: Vec<String> = seen
                .filter(|e| e.key.starts_with(&prefix))
                .map(|e| match &e.item {
                    Some(item) => item_json(&e.key, item, viewer) + "}",
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                        quote(&e.key),
                        e.revision
                    ),
                })
                .collect();
            rows.reverse();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"as_of\":{}}}",
                        rows.join(","),
                        state.revision
                    ),
                );
            }
            let step = left.min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, step).expect("no panic").0;
        }
    }
}

fn txn(state: &mut State, body: &Json, viewer: &Viewer) -> (u16, String) {
    let expected = body.get("expected").list();
    let holds = |row: &Json| {
        let now = state
            .items
            .get(row.get("key").text())
            .map_or(0, |i| i.revision);
        now == row.get("revision").number()
    };
    if !expected.iter().all(holds) {
        let keys = expected.iter().map(|r| r.get("key").text());
        let rows: Vec<String> = keys
            .filter_map(|k| Some(item_json(k, state.items.get(k)?, viewer) + "}"))
            .collect();
        return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
    }
    let (puts, deletes) = (body.get("puts").list(), body.get("deletes").list());
    if expected.len() + puts.len() + deletes.len() > 32 {
        return (400, "{}".to_owned());
    }
    let foreign = |k: &str| k.starts_with("op/") || k.starts_with("servers/");
    if puts.iter().any(|p| foreign(p.get("key").text())) {
        return (403, "{}".to_owned());
    }
    let lease_of = |row: &Json| row.get("lease").number();
    if puts
        .iter()
        .any(|p| lease_of(p) != 0 && !state.leases.contains_key(&lease_of(p)))
    {
        return (404, "{}".to_owned());
    }
    let longest = puts
        .iter()
        .map(|p| decoded_len(p.get("value").text()))
        .max()
        .unwrap_or(0);
    if longest > VALUE_LIMIT {
        state.too_large = (state.too_large.0 + 1, state.too_large.1.max(longest));
        return (400, "{}".to_owned());
    }
    state.revision += 1;
    for row in puts {
        state.put(
            row.get("key").text(),
            row.get("value").text().into(),
            lease_of(row),
        );
    }
    for key in deletes {
        state.delete(key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}
