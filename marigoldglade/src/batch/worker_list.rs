//! The keys of the stored list of workers, which is split because the store limits a value's size.
//!
//! All parts are written in one transaction, so a new owner never finds a mixture of two lists.

use crate::batch::worker::Target;

/// The prefix of the keys, and the key of the first part.
pub const PREFIX: &str = "mg/workers";
/// The most workers in one part: at some 200 bytes each, a part takes less than half of the store's
/// largest value.
pub const PART_WORKERS: usize = 2_048;

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
    if workers.is_empty() {
        return vec![(part_key(0), workers)];
    }
    let parts = workers.chunks(PART_WORKERS).enumerate();
    parts.map(|(i, part)| (part_key(i), part)).collect()
}

/// Returns the keys of the parts that a list of `parts` parts no longer has, when `stored` parts are in
/// the store.
#[must_use]
pub fn surplus(parts: usize, stored: usize) -> Vec<String> {
    (parts..stored).map(part_key).collect()
}
