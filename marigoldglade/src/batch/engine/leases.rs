//! Leases on workers: until when a worker may hold them, also those that this owner didn't renew.
//!
//! All leases on a worker end together and never shorten. An owner that gives up a silent worker's runs
//! too early has them run twice, so the bound covers what earlier owners renewed and what orders to an
//! earlier process of the worker extend.

use crate::batch::engine::orders::LATE_ORDER_MS;
use crate::batch::engine::workers::Worker;
use crate::batch::engine::{Engine, WorkerKey};
use crate::batch::worker::Target;
use crate::time::UnixMs;

/// The length of a renewed lease, in milliseconds. It outlasts a takeover (the owner's lease and
/// the loading of all records) and is far below the platform's longest lease.
pub const LEASE_MS: u64 = 5_000;
/// How long an owner may continue while the store doesn't confirm its ownership, in milliseconds.
/// It bridges an outage of the store. A new owner relies on the old one to renew no leases after it.
pub const UNCONFIRMED_LIMIT_MS: u64 = 10_000;
/// How much slower than this process's clock a worker's clock may run, in percent; the platform
/// guarantees this bound.
pub(super) const CLOCK_DRIFT_PERCENT: u64 = 2;
/// How long a worker may take to end its runs once its leases have expired, in milliseconds: as long as for a
/// stop.
const LAPSE_LIMIT_MS: u64 = 900;
/// A margin added to each computed expiry for responses under way, in milliseconds.
const EXPIRY_SLACK_MS: u64 = 300;
/// The most workers that one line of the log names.
const LOGGED_NAMES: usize = 8;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// The time on the worker's clock, in milliseconds.
    pub clock: u64,
    /// When the response with it arrived.
    pub at: UnixMs,
}

/// Returns how long to wait until the runs have ended whose lease has `left_ms` left on a worker's clock, on
/// this process's clock.
pub(super) const fn longest_wait(left_ms: u64) -> u64 {
    let lease_ms = left_ms.saturating_mul(100) / (100 - CLOCK_DRIFT_PERCENT);
    lease_ms + LAPSE_LIMIT_MS + EXPIRY_SLACK_MS
}

impl Worker {
    /// Returns a lower bound of the worker's clock at `now`.
    pub fn clock(&self, now: UnixMs) -> Option<u64> {
        let reading = self.clock_reading?;
        let passed = now.since(reading.at);
        let drift = passed * CLOCK_DRIFT_PERCENT / 100;
        Some(reading.clock.saturating_add(passed - drift))
    }

    /// Returns when all leases of the worker have certainly expired and its runs have ended.
    pub fn all_leases_expired_at(&self) -> UnixMs {
        let known = match self.clock_reading {
            Some(reading) => {
                let left = self.lease_expires_at.saturating_sub(reading.clock);
                reading.at.after(longest_wait(left))
            }
            None => self.uncertain_until,
        };
        known.max(self.foreign_until).max(self.inherited_until)
    }

    /// Returns whether leases may be as long as the platform allows, since orders that were meant for an
    /// earlier process have extended them, or may do so later. A new owner must wait for them.
    pub fn has_long_leases(&self, now: UnixMs) -> bool {
        let inherited_until = if self.answered {
            self.inherited_until
        } else {
            self.uncertain_until
        };
        !self.foreign_until.passed(now) || (self.long_leases && !inherited_until.passed(now))
    }

    /// Notes the response to an order that extends leases to `expires_at`, or its loss.
    ///
    /// An expiry beyond all that were sent to the worker's process was meant for an earlier one, whose
    /// clock read later: this process then holds its leases for `lease_limit_ms`.
    pub fn note_expiry(&mut self, now: UnixMs, expires_at: u64, lost: bool, lease_limit_ms: u64) {
        let late_until = now.after(if lost { LATE_ORDER_MS } else { 0 });
        if expires_at > self.lease_expires_at {
            let end = late_until.after(longest_wait(lease_limit_ms));
            self.foreign_until = self.foreign_until.max(end);
        } else if expires_at > 0 {
            self.late_until = self.late_until.max(late_until);
        }
    }

    /// Notes that the worker's process has answered this owner and so refuses earlier ones, whose leases
    /// last for `foreign_ms` from now on at most; `None` if there were none.
    pub fn fence(&mut self, now: UnixMs, foreign_ms: Option<u64>) {
        if let Some(ms) = foreign_ms.filter(|_| !self.fenced) {
            self.inherited_until = self.inherited_until.max(now.after(ms));
        }
        self.fenced = true;
    }

    /// Notes that orders to the worker's earlier process may have reached the present one, or may do so
    /// later.
    pub fn expect_late_orders(&mut self, now: UnixMs, lease_limit_ms: u64) {
        let last = self.late_until.max(now);
        let end = last.after(longest_wait(lease_limit_ms));
        self.foreign_until = self.foreign_until.max(end);
        self.idle_until = self.idle_until.max(self.late_ack_until);
    }

    /// Notes that an acknowledgement of completions up to `number` got no response.
    ///
    /// One beyond what this process has made durable was meant for an earlier process.
    pub fn note_lost_ack(&mut self, now: UnixMs, number: u64) {
        let late_until = now.after(LATE_ORDER_MS);
        if number > self.acks.ackable() {
            self.idle_until = self.idle_until.max(late_until);
        } else if number > 0 {
            self.late_ack_until = self.late_ack_until.max(late_until);
        }
    }
}

impl Engine {
    /// Adds a worker that may run tasks of an earlier owner.
    pub(super) fn inherit_worker(&mut self, mut target: Target, predecessors_ended: bool) {
        let unconfirmed_ms = if predecessors_ended {
            0
        } else {
            UNCONFIRMED_LIMIT_MS
        };
        let long = std::mem::take(&mut target.long_leases);
        let lease_ms = self.inherited_lease_ms(long);
        let uncertain_until = self.now.after(unconfirmed_ms + lease_ms);
        let key = self.add_worker(target);
        let worker = self.worker_mut(key);
        worker.inherited = true;
        (worker.long_leases, worker.listed_long) = (long, long);
        worker.uncertain_until = uncertain_until;
    }

    /// Notes that a silent worker of an earlier owner has restarted since that owner wrote the list, so that
    /// its orders to the earlier process may extend leases.
    pub(super) fn expect_long_leases(&mut self, key: WorkerKey) {
        let longer_ms = self.inherited_lease_ms(true) - self.inherited_lease_ms(false);
        let worker = self.worker_mut(key);
        if !std::mem::replace(&mut worker.long_leases, true) {
            worker.uncertain_until = worker.uncertain_until.after(longer_ms);
        }
    }

    /// Has the stored list written when what it says about long leases is out of date.
    pub(super) fn check_listed_leases(&mut self) {
        let now = self.now;
        let outdated = |w: &Worker| w.listed_long != w.has_long_leases(now);
        self.workers_dirty |= self.workers.iter().any(outdated);
    }

    /// Returns how long a lease of an earlier owner can last from now on, on this process's clock. It is
    /// `long` if an order that was meant for an earlier process can still extend it.
    fn inherited_lease_ms(&self, long: bool) -> u64 {
        if long {
            LATE_ORDER_MS + self.foreign_lease_ms()
        } else {
            longest_wait(self.bounds.lease_limit_ms.min(LEASE_MS))
        }
    }

    /// Returns how long a lease can last that isn't known to this owner, on this process's clock.
    pub(super) fn foreign_lease_ms(&self) -> u64 {
        longest_wait(self.bounds.lease_limit_ms)
    }

    /// Shortens the wait for silent workers now that no earlier owner renews leases any more.
    pub(super) fn limit_inherited_leases(&mut self) {
        let short_end = self.now.after(self.inherited_lease_ms(false));
        let long_end = self.now.after(self.inherited_lease_ms(true));
        let (mut silent, mut long) = (0, 0);
        for worker in &mut self.workers {
            if worker.inherited && !worker.answered {
                let end = if worker.long_leases {
                    long_end
                } else {
                    short_end
                };
                worker.uncertain_until = worker.uncertain_until.min(end);
                silent += 1;
                long += u32::from(worker.long_leases);
            }
        }
        log::info!(term = self.term, silent, long; "earlier owners have ended; their leases expire");
    }

    /// Logs, once a worker, that the leases on silent workers of an earlier owner count as expired.
    pub(super) fn log_expired_waits(&mut self) {
        let (now, confirmed_at, term) = (self.now, self.confirmed_at, self.term);
        let over = |w: &&mut Worker| {
            let silent = w.inherited && !w.answered;
            silent && w.uncertain_until.passed(confirmed_at) && !w.wait_logged
        };
        let mut names = Vec::new();
        let mut over_ms = 0;
        for worker in self.workers.iter_mut().filter(over) {
            worker.wait_logged = true;
            over_ms = over_ms.max(now.since(worker.uncertain_until));
            names.push(worker.target.name.as_str());
        }
        if names.is_empty() {
            return;
        }
        let workers = names.len();
        names.truncate(LOGGED_NAMES);
        log::warn!(term, workers, names = names.join(" ").as_str(), over_ms; "leases of an earlier owner on silent workers count as expired");
    }
}
