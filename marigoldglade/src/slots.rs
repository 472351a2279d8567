//! Splits a runner's slots among the live daemons, which don't see each other's queues.
//!
//! Names of daemons and a runner flow in, a bound on what one daemon may send at once flows out.
//! The bounds of all daemons with the same view add up to the runner's slots exactly: each gets
//! the whole quotient, and the remainder goes to the daemons with the highest rendezvous weights
//! (Thaler and Ravishankar, 1998), so that one change of members moves few slots.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Connections of a runner, shared by all daemons.
pub const RUNNER_CONNECTIONS: u16 = 64;

/// How a runner's slots are split: runner, members and own name in, own slots out.
pub type Policy = fn(&str, &[String], &str, u16) -> u16;

fn weight(runner: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(runner.as_bytes(), 0))
}

/// Returns how many members go before `me` at this runner.
fn rank(runner: &str, members: &[String], me: &str) -> usize {
    let own = (weight(runner, me), me);
    let before = |m: &&String| (weight(runner, m), m.as_str()) > own;
    members.iter().filter(before).count()
}

/// Splits evenly; the remainder goes by rendezvous.
#[must_use]
pub fn split(runner: &str, members: &[String], me: &str, slots: u16) -> u16 {
    let n = members.len().max(1);
    let slots = usize::from(slots);
    let extra = rank(runner, members, me) < slots % n;
    (slots / n + usize::from(extra)) as u16
}

/// Gives all slots of a runner to one home daemon.
#[must_use]
pub fn all_to_one(runner: &str, members: &[String], me: &str, slots: u16) -> u16 {
    if rank(runner, members, me) == 0 {
        slots
    } else {
        0
    }
}

/// Lets every daemon use all slots; the runner has to refuse the excess.
#[must_use]
pub fn all_to_each(_runner: &str, _members: &[String], _me: &str, slots: u16) -> u16 {
    slots
}

/// Returns how many connections one of `members` daemons may hold open to a runner.
#[must_use]
pub fn connection_limit(members: usize) -> u16 {
    (usize::from(RUNNER_CONNECTIONS) / members.max(1)) as u16
}
