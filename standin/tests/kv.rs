//! The stand-in key-value service has the properties of etcd that the scheduler relies on.

use std::net::SocketAddr;

use marigoldglade::etcd;
use marigoldglade::store::{Body, Call, Compare, Op, Outcome, Reply, Txn, TxnResult};

fn call(addr: SocketAddr, call: &Call) -> Reply {
    let (path, body) = etcd::encode(call);
    let mut answer = ureq::post(format!("http://{addr}{path}"))
        .send(body.to_string())
        .expect("the service answers");
    let text = answer.body_mut().read_to_string().expect("a whole answer");
    let value = serde_json::from_str(&text).expect("JSON");
    etcd::decode(call, &value).expect("the answer fits the call")
}

fn create(key: &str, value: &str) -> Txn {
    Txn {
        when: vec![Compare::Absent(key.to_owned())],
        then: vec![Op::Put(key.to_owned(), value.into(), 0)],
        other: vec![Op::Get(key.to_owned())],
    }
}

fn txn(addr: SocketAddr, txn: Txn) -> TxnResult {
    match call(addr, &Call::Txn(txn)).body {
        Body::Txn(done) => done,
        other => panic!("not a transaction: {other:?}"),
    }
}

#[test]
fn creates_a_key_once() {
    let kv = standin::kv::start(([127, 0, 0, 1], 0).into()).expect("it starts");
    assert!(txn(kv.addr, create("/a", "1")).held);
    let second = txn(kv.addr, create("/a", "2"));
    assert!(!second.held);
    let Outcome::Pairs(pairs) = &second.outcomes[0] else {
        panic!("not a read: {second:?}");
    };
    assert_eq!(pairs[0].value, b"1");
}

#[test]
fn runs_nested_transactions_in_order() {
    let kv = standin::kv::start(([127, 0, 0, 1], 0).into()).expect("it starts");
    assert!(txn(kv.addr, create("/a", "1")).held);
    let nested = |key| Op::Txn(Box::new(create(key, "x")));
    let done = txn(
        kv.addr,
        Txn {
            then: vec![nested("/a"), nested("/b")],
            ..Txn::default()
        },
    );
    let held = |outcome: &Outcome| matches!(outcome, Outcome::Txn(done) if done.held);
    assert_eq!(
        done.outcomes.iter().map(held).collect::<Vec<_>>(),
        [false, true]
    );
}

#[test]
fn deletes_the_keys_of_a_revoked_lease() {
    let kv = standin::kv::start(([127, 0, 0, 1], 0).into()).expect("it starts");
    let Body::Lease { lease, .. } = call(kv.addr, &Call::Grant { ttl_s: 60 }).body else {
        panic!("not a lease");
    };
    let put = Txn {
        then: vec![Op::Put("/owner".to_owned(), b"me".to_vec(), lease)],
        ..Txn::default()
    };
    txn(kv.addr, put);
    call(kv.addr, &Call::Revoke { lease });
    assert!(txn(kv.addr, create("/owner", "other")).held);
}

#[test]
fn a_watch_sees_what_was_written_after_its_revision() {
    let kv = standin::kv::start(([127, 0, 0, 1], 0).into()).expect("it starts");
    let first = call(kv.addr, &Call::Txn(create("/c/1", "old")));
    txn(kv.addr, create("/c/2", "new"));
    let watch = Call::Watch {
        prefix: "/c/".to_owned(),
        since: first.revision,
    };
    let (path, body) = etcd::encode(&watch);
    let mut answer = ureq::post(format!("http://{}{path}", kv.addr))
        .send(body.to_string())
        .expect("the service answers");
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(answer.body_mut().as_reader()));
    let line = lines.next().expect("a line").expect("a whole line");
    let value = serde_json::from_str(&line).expect("JSON");
    let reply = etcd::decode(&watch, &value).expect("the answer fits the call");
    let Body::Changes(changes) = reply.body else {
        panic!("not changes");
    };
    assert!(
        matches!(&changes[..], [marigoldglade::store::Change::Put(pair)] if pair.key == "/c/2")
    );
}
