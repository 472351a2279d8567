//! The stand-in key-value service fails as its faults say, and in no other way.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::sync::Arc;

use marigoldglade::etcd;
use marigoldglade::store::{Body, Call, Change, Compare, Op, Outcome, Reply, Txn};
use rstest::rstest;
use standin::http::Server;
use standin::kv::{Faults, Kv, start_shared};

struct Service {
    kv: Arc<Kv>,
    served: Server,
}

impl Service {
    fn start() -> Self {
        let kv = Arc::new(Kv::default());
        let addr: SocketAddr = ([127, 0, 0, 1], 0).into();
        let served = start_shared(addr, Arc::clone(&kv)).expect("it starts");
        Self { kv, served }
    }

    /// Makes a call; returns the status if it isn't 200.
    fn call(&self, call: &Call) -> Result<Reply, u16> {
        let (path, body) = etcd::encode(call);
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let mut answer = agent
            .post(format!("http://{}{path}", self.served.addr))
            .send(body.to_string())
            .expect("it answers");
        if answer.status() != 200 {
            return Err(answer.status().as_u16());
        }
        let reader = BufReader::new(answer.body_mut().as_reader());
        let mut last = Err(0);
        for line in reader.lines() {
            let value = serde_json::from_str(&line.expect("a line")).expect("JSON");
            last = Ok(etcd::decode(call, &value).expect("the answer fits the call"));
            if !matches!(&last, Ok(Reply { body: Body::Changes(c), .. }) if c.is_empty()) {
                break;
            }
        }
        last
    }

    fn put(&self, key: &str, value: &str) -> Result<Reply, u16> {
        self.call(&Call::Txn(Txn {
            then: vec![Op::Put(key.to_owned(), value.into(), 0)],
            ..Txn::default()
        }))
    }

    fn get(&self, key: &str) -> Option<String> {
        let get = Txn {
            then: vec![Op::Get(key.to_owned())],
            ..Txn::default()
        };
        let Body::Txn(done) = self.call(&Call::Txn(get)).expect("a reply").body else {
            panic!("not a transaction");
        };
        let Outcome::Pairs(pairs) = &done.outcomes[0] else {
            panic!("not a read");
        };
        let value = pairs.first().map(|p| p.value.clone());
        value.map(|v| String::from_utf8(v).expect("text"))
    }

    fn set(&self, faults: Faults) {
        self.kv.set_faults(faults);
    }
}

#[rstest]
#[case::down(Faults { down: true, ..Faults::default() }, 503, None)]
#[case::lost(Faults { lost: 1, ..Faults::default() }, 503, Some("new"))]
#[case::rate(Faults { writes: 1, ..Faults::default() }, 429, None)]
fn a_write_fails_as_the_fault_says(
    #[case] faults: Faults,
    #[case] status: u16,
    #[case] after: Option<&str>,
) {
    let service = Service::start();
    let limited = faults.writes > 0;
    service.set(faults);
    // Under a limit of one write a second, a write fails once two of them fall into one second.
    let tries = if limited { 10_000 } else { 1 };
    let status_seen = (0..tries).find_map(|_| service.put("/a0", "new").err());
    assert_eq!(status_seen, Some(status));
    service.set(Faults::default());
    if !limited {
        assert_eq!(service.get("/a0").as_deref(), after);
    }
    assert!(service.put("/b", "new").is_ok());
}

#[test]
fn stale_reads_return_the_snapshot_and_writes_see_the_current_state() {
    let service = Service::start();
    service.put("/a", "old").expect("it is written");
    service.set(Faults {
        stale: true,
        ..Faults::default()
    });
    service.put("/a", "new").expect("it is written");
    assert_eq!(service.get("/a").as_deref(), Some("old"));
    service.set(Faults::default());
    assert_eq!(service.get("/a").as_deref(), Some("new"));
}

#[test]
fn leases_expire_with_their_keys() {
    let service = Service::start();
    let Body::Lease { lease, .. } = service
        .call(&Call::Grant { ttl_s: 60 })
        .expect("a reply")
        .body
    else {
        panic!("not a lease");
    };
    let put = Call::Txn(Txn {
        then: vec![Op::Put("/owner".to_owned(), Vec::new(), lease)],
        ..Txn::default()
    });
    service.call(&put).expect("it is written");
    service.set(Faults {
        lapse: true,
        ..Faults::default()
    });
    assert_eq!(service.get("/owner"), None);
    let renewed = service.call(&Call::Renew { lease }).expect("a reply");
    assert!(matches!(renewed.body, Body::Lease { ttl_s: 0, .. }));
    assert_eq!(service.call(&put), Err(400));
}

#[test]
fn a_watch_from_a_compacted_revision_is_cancelled_and_a_replay_starts_at_the_oldest() {
    let service = Service::start();
    for value in ["1", "2", "3"] {
        service.put("/a", value).expect("it is written");
    }
    let watch = |since| Call::Watch {
        prefix: "/a".to_owned(),
        since,
    };
    service.set(Faults {
        compact: 2,
        ..Faults::default()
    });
    let reply = service.call(&watch(1)).expect("a reply");
    assert_eq!(reply.body, Body::Compacted);
    service.set(Faults {
        replay: true,
        ..Faults::default()
    });
    let reply = service.call(&watch(3)).expect("a reply");
    let Body::Changes(changes) = reply.body else {
        panic!("not changes: {reply:?}");
    };
    assert!(matches!(&changes[..], [Change::Put(pair)] if pair.value == b"3"));
}

#[test]
fn open_watches_end_when_the_fault_is_set() {
    let service = Service::start();
    let end = || {
        service.set(Faults {
            unwatch: true,
            ..Faults::default()
        });
    };
    let watch = Call::Watch {
        prefix: "/a".to_owned(),
        since: 0,
    };
    std::thread::scope(|scope| {
        let waiting = scope.spawn(|| service.call(&watch));
        // The watch may not be open yet when the fault is set first.
        while !waiting.is_finished() {
            end();
            std::thread::yield_now();
        }
        let reply = waiting.join().expect("it ends");
        assert!(!matches!(reply, Ok(Reply { body: Body::Changes(c), .. }) if !c.is_empty()));
    });
}

#[test]
fn a_failed_transaction_changes_nothing() {
    let service = Service::start();
    service.put("/a", "old").expect("it is written");
    let put = |key: &str| Op::Put(key.to_owned(), b"new".to_vec(), 0);
    let twice = Txn {
        when: vec![Compare::Absent("/b".to_owned())],
        then: vec![put("/a"), put("/b"), put("/a")],
        other: Vec::new(),
    };
    assert_eq!(service.call(&Call::Txn(twice)), Err(400));
    assert_eq!(service.get("/a").as_deref(), Some("old"));
    assert_eq!(service.get("/b"), None);
}
