//! The group commit: lost answers, late transactions of a former owner, idempotency keys in use.

#[path = "support/store.rs"]
mod store;

use marigoldglade::api::{JobSpec, Shape};
use marigoldglade::plan::JobKey;
use marigoldglade::prelude::*;
use marigoldglade::record::{JobId, Record, owner_key};
use marigoldglade::store::{Call, Fault};
use marigoldglade::writer::{Action, Write, WriteKind, Writer, unique_value};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use store::FakeStore;

const DC: &str = "kista";
const NOW: UnixMs = UnixMs(1_000_000);

/// Creates an owner's key in the store, and the writer whose epoch is its create revision.
fn become_owner(store: &mut FakeStore) -> Writer {
    store.pairs.remove(&owner_key(DC));
    store.put(&owner_key(DC), b"", 1);
    store.revision += 1;
    Writer::new(DC, store.revision, ChaCha8Rng::seed_from_u64(1))
}

fn accept_write(job: u32, key: &str, nonce: u64) -> Write {
    let spec = JobSpec {
        workspace: "register".to_owned(),
        key: key.to_owned(),
        labels: Labels::new(),
        shape: Shape {
            tasks: 1,
            accels: 1,
        },
        checkpoint: false,
        idempotent: true,
        run_ms: 0,
        deadline: UnixMs::MAX,
        body: String::new(),
    };
    let id = JobId::new(DC, &spec);
    let record = Record::new(spec, "foreman", NOW, nonce);
    Write {
        job: JobKey(job),
        kind: WriteKind::Accept,
        mark: 1,
        key: id.record_key(),
        value: record.encode().expect("a small record"),
        unique: Some((id.unique_key(), unique_value(&id.to_string(), nonce))),
    }
}

fn flush(writer: &mut Writer, now: UnixMs) -> (u64, Call) {
    let mut out = Vec::new();
    writer.flush(now, &mut out);
    match out.pop() {
        Some(Action::Call(number, _, call)) => (number, call),
        other => panic!("expected a call, got {other:?}"),
    }
}

#[test]
fn a_late_transaction_of_a_former_owner_changes_nothing() {
    let mut store = FakeStore::default();
    let mut old = become_owner(&mut store);
    old.push(accept_write(0, "a", 1));
    let (number, late) = flush(&mut old, NOW);
    let _new = become_owner(&mut store);
    let before = store.pairs.clone();
    let reply = store.call(&late);
    assert_eq!(store.pairs, before);
    assert_eq!(store.records().count(), 0);
    let mut out = Vec::new();
    old.handle_reply(NOW, number, &Ok(reply), &mut out);
    assert_eq!(out, vec![Action::Deposed]);
}

#[test]
fn a_lost_answer_is_recovered_by_a_repeat_and_a_late_copy_changes_nothing() {
    let mut store = FakeStore::default();
    let mut writer = become_owner(&mut store);
    let taken = accept_write(9, "taken", 9);
    store.put("/mg/key/register/taken", b"solna/register/taken 5", 0);
    writer.push(accept_write(0, "a", 1));
    writer.push(taken);
    let (number, first) = flush(&mut writer, NOW);
    store.call(&first);
    let mut out = Vec::new();
    writer.handle_reply(NOW, number, &Err(Fault::Unknown), &mut out);
    assert_eq!(
        out,
        vec![],
        "nothing is reported while the outcome is unknown"
    );
    let (number, again) = flush(&mut writer, NOW.after(10_000));
    let reply = store.call(&again);
    writer.handle_reply(NOW, number, &Ok(reply), &mut out);
    let expected = vec![
        Action::KeyTaken(JobKey(9), "solna/register/taken".to_owned()),
        Action::Written(JobKey(0), 1),
    ];
    out.sort_by_key(|a| matches!(a, Action::Written(..)));
    assert_eq!(out, expected);
    let before = store.pairs.clone();
    store.call(&first);
    assert_eq!(store.pairs, before);
}

#[test]
fn a_repeat_fences_a_first_try_that_arrives_later() {
    let mut store = FakeStore::default();
    let mut writer = become_owner(&mut store);
    writer.push(accept_write(0, "a", 1));
    let (number, late) = flush(&mut writer, NOW);
    writer.handle_reply(NOW, number, &Err(Fault::Unknown), &mut Vec::new());
    let (number, again) = flush(&mut writer, NOW.after(10_000));
    let reply = store.call(&again);
    let mut out = Vec::new();
    writer.handle_reply(NOW, number, &Ok(reply), &mut out);
    assert_eq!(out, vec![Action::Written(JobKey(0), 1)]);
    let before = store.pairs.clone();
    store.call(&late);
    assert_eq!(store.pairs, before);
}

#[test]
fn a_new_job_that_was_not_sent_is_dropped() {
    let mut store = FakeStore::default();
    let mut writer = become_owner(&mut store);
    writer.push(accept_write(0, "a", 1));
    let (number, _) = flush(&mut writer, NOW);
    writer.push(accept_write(1, "b", 2));
    let mut out = Vec::new();
    writer.handle_reply(NOW, number, &Err(Fault::NotSent), &mut out);
    out.sort_by_key(|a| matches!(a, Action::Dropped(JobKey(1))));
    let dropped = [0, 1].map(|n| Action::Dropped(JobKey(n)));
    assert_eq!(out, dropped);
    assert!(writer.is_down(NOW));
}
