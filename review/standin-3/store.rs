//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{quote, Json};

#[derive(Clone)]
struct Item {
    /// The value as base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changes so far: revision, key, and the item, or `None` for its removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    /// When the entry of each runner expires.
    beats: BTreeMap<String, Instant>,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Three heartbeat intervals.
const BEAT_LIMIT: Duration = Duration::from_millis(4_500);
const PAGE: usize = 500;

const CODE: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(CODE[(n >> (18 - 6 * i)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (at, _))| *at <= now)
            .map(|(id, _)| *id)
            .collect();
        let gone: Vec<String> = self
            .beats
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(k, _)| k.clone())
            .collect();
        for id in &ended {
            self.end_lease(*id);
        }
        for key in &gone {
            self.beats.remove(key);
            self.revision += 1;
            self.delete(key);
        }
        !ended.is_empty() || !gone.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    /// Starts the store; it serves until the process ends.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind((crate::world::own_ip(), 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let served = Arc::clone(&store);
        http::serve(listener, move |request| served.handle(request));
        let timed = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            if timed.state.lock().unwrap().expire() {
                timed.changed.notify_all();
            }
        });
        (store, addr)
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        let mut s = self.state.lock().unwrap();
        s.revision += 1;
        s.put(key, base64(value.as_bytes()), 0);
        drop(s);
        self.changed.notify_all();
    }

    /// Returns whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.state.lock().unwrap().items.contains_key(key)
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let s = self.state.lock().unwrap();
        s.items
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn handle(&self, r: &Request) -> Option<(u16, String)> {
        // The time of an answer.
        thread::sleep(Duration::from_millis(4));
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/kv-key") => {
                let s = self.state.lock().unwrap();
                Some(match s.items.get(r.arg("key")) {
                    Some(item) => {
                        let text = show(r.arg("key"), item);
                        (
                            200,
                            format!(r#"{},"as_of":{}}}"#, &text[..text.len() - 1], s.revision),
                        )
                    }
                    None => (404, format!(r#"{{"as_of":{}}}"#, s.revision)),
                })
            }
            ("GET", "/kv-range") => {
                let s = self.state.lock().unwrap();
                let (prefix, after) = (r.arg("prefix"), r.arg("after"));
                let mut found = s
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
                let items: Vec<String> =
                    found.by_ref().take(PAGE).map(|(k, i)| show(k, i)).collect();
                let more = found.next().is_some();
                Some((
                    200,
                    format!(
                        r#"{{"items":[{}],"has_more":{more},"as_of":{}}}"#,
                        items.join(","),
                        s.revision
                    ),
                ))
            }
            ("GET", "/kv-watch") => {
                let after: u64 = r.arg("after").parse().unwrap_or(0);
                let end =
                    Instant::now() + Duration::from_millis(r.arg("wait_ms").parse().unwrap_or(0));
                let prefix = r.arg("prefix");
                let mut s = self.state.lock().unwrap();
                loop {
                    let first = s.history.partition_point(|(at, ..)| *at <= after);
                    let events: Vec<String> = s.history[first..]
                        .iter()
                        .filter(|(_, k, _)| k.starts_with(prefix))
                        .map(|(at, k, item)| match item {
                            Some(item) => show(k, item),
                            None => format!(
                                r#"{{"key":{},"revision":{at},"tombstone":true}}"#,
                                quote(k)
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        return Some((
                            200,
                            format!(
                                r#"{{"events":[{}],"as_of":{}}}"#,
                                events.join(","),
                                s.revision
                            ),
                        ));
                    }
                    s = self.changed.wait_timeout(s, end - now).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => Some(self.transact(&Json::parse(&r.body)?)),
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&r.body)?.get("ttl_ms").num();
                if ttl < 1_000 {
                    return Some((400, "{}".to_owned()));
                }
                let mut s = self.state.lock().unwrap();
                s.last_lease += 1;
                let (id, ttl_for) = (s.last_lease, Duration::from_millis(ttl));
                s.leases.insert(id, (Instant::now() + ttl_for, ttl_for));
                Some((200, format!(r#"{{"lease":{id},"ttl_ms":{ttl}}}"#)))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id: u64 = path["/kv-keep/".len()..].parse().ok()?;
                let mut s = self.state.lock().unwrap();
                s.expire();
                Some(match s.leases.get_mut(&id) {
                    Some((at, ttl)) => {
                        *at = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                })
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id: u64 = path["/kv-lease-end/".len()..].parse().ok()?;
                self.state.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                Some((200, "{}".to_owned()))
            }
            // A runner's own writing of its entry, and its leaving.
            ("POST", "/beat") => {
                let key = format!("servers/{}", r.arg("id"));
                let mut s = self.state.lock().unwrap();
                s.revision += 1;
                s.put(&key, base64(r.body.as_bytes()), 0);
                s.beats.insert(key, Instant::now() + BEAT_LIMIT);
                drop(s);
                self.changed.notify_all();
                Some((200, "{}".to_owned()))
            }
            ("POST", "/leave") => {
                let key = format!("servers/{}", r.arg("id"));
                let mut s = self.state.lock().unwrap();
                s.revision += 1;
                s.beats.remove(&key);
                s.delete(&key);
                drop(s);
                self.changed.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut s = self.state.lock().unwrap();
        s.expire();
        let (expected, puts, deletes) = (
            body.get("expected").items(),
            body.get("puts").items(),
            body.get("deletes").items(),
        );
        if expected.len() + puts.len() + deletes.len() > 32 {
            return (400, "{}".to_owned());
        }
        let reserved = |k: &str| k.starts_with("op/") || k.starts_with("servers/");
        if puts.iter().any(|p| reserved(p.get("key").text()))
            || deletes.iter().any(|k| reserved(k.text()))
        {
            return (403, "{}".to_owned());
        }
        let revision_of = |s: &State, k: &str| s.items.get(k).map_or(0, |i| i.revision);
        if expected
            .iter()
            .any(|e| revision_of(&s, e.get("key").text()) != e.get("revision").num())
        {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|e| {
                    s.items
                        .get(e.get("key").text())
                        .map(|i| show(e.get("key").text(), i))
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let lease_known = |s: &State, p: &Json| {
            p.get("lease").num() == 0 || s.leases.contains_key(&p.get("lease").num())
        };
        if !puts.iter().all(|p| lease_known(&s, p)) {
            return (404, "{}".to_owned());
        }
        s.revision += 1;
        for put in puts {
            s.put(
                put.get("key").text(),
                put.get("value").text().to_owned(),
                put.get("lease").num(),
            );
        }
        for key in deletes {
            s.delete(key.text());
        }
        let revision = s.revision;
        drop(s);
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}
