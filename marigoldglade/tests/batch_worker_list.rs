//! Tests of the stored list of workers at the size of the largest fleet.

use marigoldglade::batch::worker::{Resources, TEXT_LIMIT_BYTES, Target};
use marigoldglade::batch::worker_list::{PART_WORKERS, part_key, split, surplus};
use marigoldglade::mesh;

/// The store's largest value, in bytes.
const VALUE_LIMIT_BYTES: usize = 1 << 20;
/// The most parts for which a commit leaves room.
const PARTS_LIMIT: usize = 6;

fn targets(count: usize) -> Vec<Target> {
    (0..count)
        .map(|i| Target {
            name: format!("i-{i:010x}"),
            addr: ([10, 200, 64, 200], 8_481).into(),
            pool: "service-with-a-long-name".to_owned(),
            dc: "data-centre-a".to_owned(),
            labels: vec!["kind-a".to_owned(), format!("r{}-{}", i / 20, i % 7)],
            capacity: Resources {
                cpu: 128_000,
                mem: 524_288,
                accels: 8,
            },
            draining: false,
            started_at: 1_775_019_926_023,
            long_leases: false,
        })
        .collect()
}

#[test]
fn every_part_of_the_list_of_ten_thousand_workers_fits_into_a_value() {
    let all = targets(10_640);
    let parts = split(&all);
    assert!(parts.len() <= PARTS_LIMIT);
    for (key, part) in &parts {
        let bytes = mesh::encode(&part).expect("a part can be encoded");
        assert!(bytes.len() < VALUE_LIMIT_BYTES, "{key}: {}", bytes.len());
    }
    let joined: Vec<Target> = parts.iter().flat_map(|(_, p)| p.to_vec()).collect();
    assert_eq!(joined, all);
}

/// A part used to be bounded by its number of workers only: with long texts it outgrew a value, and the
/// store refused every commit.
#[test]
fn every_part_of_a_list_of_workers_with_long_texts_fits_into_a_value() {
    let mut all = targets(PART_WORKERS + 1);
    for target in &mut all {
        target.labels = vec!["x".repeat(TEXT_LIMIT_BYTES - 100)];
        target.check().expect("as long as a worker's texts may be");
    }
    let parts = split(&all);
    for (key, part) in &parts {
        let bytes = mesh::encode(&part).expect("a part can be encoded");
        assert!(bytes.len() < VALUE_LIMIT_BYTES, "{key}: {}", bytes.len());
    }
    let joined: Vec<Target> = parts.iter().flat_map(|(_, p)| p.to_vec()).collect();
    assert_eq!(joined, all);
}

#[test]
fn a_short_list_keeps_the_key_that_it_always_had() {
    for count in [0, 1, PART_WORKERS] {
        let all = targets(count);
        let keys: Vec<String> = split(&all).into_iter().map(|(key, _)| key).collect();
        assert_eq!(keys, ["mg/workers"]);
    }
}

#[test]
fn parts_that_a_shorter_list_no_longer_has_are_deleted() {
    assert_eq!(surplus(1, 3), [part_key(1), part_key(2)]);
    assert!(surplus(2, 2).is_empty());
    assert!(surplus(3, 1).is_empty());
}

/// Guards against a list that another build can't read: only workers that may have long leases differ.
#[test]
fn long_leases_are_told_apart_in_a_list_that_other_builds_read() {
    let mut all = targets(2);
    all[1].long_leases = true;
    let bytes = mesh::encode(&all).expect("a list can be encoded");
    let fields: Vec<ciborium::Value> = ciborium::from_reader(&bytes[..]).expect("a list");
    let has_field = |worker: &ciborium::Value| {
        let fields = worker.as_map().expect("a map");
        fields
            .iter()
            .any(|(k, _)| k.as_text() == Some("long_leases"))
    };
    assert_eq!(
        fields.iter().map(has_field).collect::<Vec<_>>(),
        [false, true]
    );
    let read: Vec<Target> = ciborium::from_reader(&bytes[..]).expect("a list");
    assert_eq!(read, all);
}
