//! The keys of the stored list of workers, which is split because the store limits a value's size.
//!
//! All parts are written in one transaction, so a new owner never finds a mixture of two lists.

use crate::batch::worker::Target;

/// The prefix of the keys, and the key of the first part.
pub const PREFIX: &str = "mg/workers";
/// The most workers in one part.
pub const PART_WORKERS: usize = 2_048;
/// The size from which a part takes no further workers, in bytes: half of the store's largest value.
const PART_BYTES: usize = 512 << 10;
/// What a worker takes besides its texts, in bytes.
const WORKER_BYTES: usize = 160;

/// Returns the key of a part.
#[must_use]
pub fn part_key(part: usize) -> String {
    match part {
        0 => PREFIX.to_owned(),
        _ => format!("{PREFIX}/{part}"),
    }
}

/// Returns the keys of all parts with their workers; an empty list has one empty part.
#[must_use]
pub fn split(workers: &[Target]) -> Vec<(String, &[Target])> {
    let mut parts = Vec::new();
    let mut rest = workers;
    while parts.is_empty() || !rest.is_empty() {
        let (part, later) = rest.split_at(part_len(rest));
        parts.push((part_key(parts.len()), part));
        rest = later;
    }
    parts
}

/// Returns how many of some workers go into one part.
fn part_len(workers: &[Target]) -> usize {
    let mut bytes = 0;
    let fits = |worker: &&Target| {
        bytes += worker.text_bytes() + WORKER_BYTES;
        bytes <= PART_BYTES
    };
    let len = workers.iter().take(PART_WORKERS).take_while(fits).count();
    len.max(workers.len().min(1))
}

/// Returns the keys of the parts that a list of `parts` parts no longer has, when `stored` parts are in
/// the store.
#[must_use]
pub fn surplus(parts: usize, stored: usize) -> Vec<String> {
    (parts..stored).map(part_key).collect()
}
