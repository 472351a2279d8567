//! Splits a runner's slots among the live daemons, which don't see each other's queues.
//!
//! A daemon computes how many requests it may have at a runner at once from the names of the
//! runner and of the live daemons. Daemons that know the same members get parts that add up to the
//! runner's slots exactly: each gets the quotient rounded down, and the remainder goes to the
//! daemons with the highest rendezvous weights (Thaler and Ravishankar, 1998), so that a daemon
//! that joins or leaves moves few slots.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many connections to a runner all daemons together may hold open.
pub const RUNNER_CONNECTIONS: u16 = 64;

/// A way to split a runner's slots: takes the runner, the members, the daemon's own name and the
/// runner's slots, and returns the daemon's part of them.
pub type Policy = fn(&str, &[String], &str, u16) -> u16;

fn weight(runner: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(runner.as_bytes(), 0))
}

/// Returns how many members rank above `me` at this runner.
fn rank(runner: &str, members: &[String], me: &str) -> usize {
    let own = (weight(runner, me), me);
    let above = |m: &&String| (weight(runner, m), m.as_str()) > own;
    members.iter().filter(above).count()
}

/// Splits the slots evenly and gives the remainder to the members with the highest weights.
#[must_use]
pub fn split(runner: &str, members: &[String], me: &str, slots: u16) -> u16 {
    let n = members.len().max(1);
    let slots = usize::from(slots);
    let extra = rank(runner, members, me) < slots % n;
    (slots / n + usize::from(extra)) as u16
}

/// Gives all slots of a runner to the daemon with the highest weight.
#[must_use]
pub fn all_to_one(runner: &str, members: &[String], me: &str, slots: u16) -> u16 {
    if rank(runner, members, me) == 0 {
        slots
    } else {
        0
    }
}

/// Gives every daemon all slots; the runner has to refuse the excess.
#[must_use]
pub fn all_to_each(_runner: &str, _members: &[String], _me: &str, slots: u16) -> u16 {
    slots
}

/// Returns how many connections one of `members` daemons may hold open to a runner.
#[must_use]
pub fn connection_limit(members: usize) -> u16 {
    (usize::from(RUNNER_CONNECTIONS) / members.max(1)) as u16
}
