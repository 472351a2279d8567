//! The quarantine of workers on which tasks fail.
//!
//! A fault is a task that failed on a worker. It counts less against the worker the more often the
//! job or its caller fails on other workers. So a job that fails everywhere puts no worker in
//! quarantine, and neither do the jobs of a single caller before one of them has succeeded on
//! another worker.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::plan::{JobKey, WorkerKey};
use crate::time::UnixMs;

/// The weight of faults since the last success from which a worker is quarantined, in thousandths
/// of a fault.
pub const THRESHOLD_MILLI: u64 = 2_500;
/// The length of the first quarantine in milliseconds. It doubles with each failed probe.
pub const QUARANTINE_MS: u64 = 300_000;
/// The longest quarantine in milliseconds, before up to a tenth is added at random.
pub const QUARANTINE_LIMIT_MS: u64 = 3_600_000;
/// The base of the time for which other workers are preferred after a fault, in milliseconds. It
/// doubles with each fault since the last success, up to 16 times this value.
pub const AVOID_MS: u64 = 5_000;
/// At most one in this many workers of a rack is quarantined, but one is always allowed.
pub const RACK_DIVISOR: usize = 4;
/// At most one in this many workers of the data centre is quarantined, but one is always allowed.
pub const FLEET_DIVISOR: usize = 10;
/// The limit on the faults kept for a worker, and on the failures and the successes kept for a job
/// or caller.
const FAULTS_LIMIT: usize = 16;
/// The limit on the jobs, and on the callers, whose outcomes are kept.
const OUTCOMES_LIMIT: usize = 4_096;
/// The full weight of a fault, in thousandths.
const FAULT_MILLI: u64 = 1_000;

/// Whether a worker gets work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Trust {
    /// The worker gets work.
    #[default]
    Trusted,
    /// The worker gets no work until this time.
    Quarantined(UnixMs),
    /// The worker gets one task, whose outcome decides whether it is trusted again.
    Probing,
}

/// A task that failed.
#[derive(Clone, Copy)]
struct Fault {
    job: JobKey,
    caller: u64,
}

/// What is known about a worker's faults.
#[derive(Default)]
struct WorkerRecord {
    trust: Trust,
    /// The faults since the last success, at most one for each job.
    faults: Vec<Fault>,
    /// The number of failed probes in a row.
    probes: u32,
    /// Until when other workers are preferred.
    avoid_until: UnixMs,
}

/// The workers on which tasks of a job or caller failed or succeeded.
#[derive(Default)]
struct Outcomes {
    failed: Vec<WorkerKey>,
    done: Vec<WorkerKey>,
}

impl Outcomes {
    /// Returns the failure rate on other workers, in thousandths, and whether any task succeeded
    /// there.
    ///
    /// The rate assumes one more success, so that a single failure doesn't make it 100 %.
    fn failure_rate_elsewhere(&self, worker: WorkerKey) -> (u64, bool) {
        let count = |ws: &[WorkerKey]| ws.iter().filter(|w| **w != worker).count() as u64;
        let (failed, done) = (count(&self.failed), count(&self.done));
        (failed * FAULT_MILLI / (failed + done + 1), done > 0)
    }

    /// Appends a worker to a list, dropping the oldest entry of a full one.
    fn push(list: &mut Vec<WorkerKey>, worker: WorkerKey) {
        if list.len() >= FAULTS_LIMIT {
            list.remove(0);
        }
        list.push(worker);
    }
}

/// The outcomes of tasks by worker, job and caller, and which workers are quarantined.
pub(crate) struct Quarantine {
    records: BTreeMap<WorkerKey, WorkerRecord>,
    jobs: BTreeMap<JobKey, Outcomes>,
    callers: BTreeMap<u64, Outcomes>,
    random: ChaCha8Rng,
}

impl Quarantine {
    /// Creates an empty state. `seed` spreads the ends of quarantines.
    pub fn new(seed: u64) -> Self {
        Self {
            records: BTreeMap::new(),
            jobs: BTreeMap::new(),
            callers: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns whether a worker gets work.
    pub fn trust(&self, worker: WorkerKey) -> Trust {
        self.records
            .get(&worker)
            .map_or(Trust::Trusted, |r| r.trust)
    }

    /// Returns whether a task of the job failed on a worker.
    pub fn failed_on(&self, job: JobKey, worker: WorkerKey) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|s| s.failed.contains(&worker))
    }

    /// Returns whether a task of the job failed on any worker.
    pub fn has_failed(&self, job: JobKey) -> bool {
        self.jobs.get(&job).is_some_and(|s| !s.failed.is_empty())
    }

    /// Returns whether other workers are preferred to this one.
    pub fn is_avoided(&self, now: UnixMs, worker: WorkerKey) -> bool {
        self.records
            .get(&worker)
            .is_some_and(|r| !r.avoid_until.passed(now))
    }

    /// Records a task that succeeded. Returns whether it was a probe, so that the worker is trusted
    /// again.
    pub fn record_success(&mut self, worker: WorkerKey, job: JobKey, caller: u64) -> bool {
        Outcomes::push(&mut outcomes(&mut self.jobs, job).done, worker);
        Outcomes::push(&mut outcomes(&mut self.callers, caller).done, worker);
        let Some(record) = self.records.get_mut(&worker) else {
            return false;
        };
        let probed = record.trust == Trust::Probing;
        if record.trust == Trust::Trusted || probed {
            self.records.remove(&worker);
        }
        probed
    }

    /// Records a task that failed. Returns whether the worker is to be quarantined.
    pub fn record_failure(
        &mut self,
        now: UnixMs,
        worker: WorkerKey,
        job: JobKey,
        caller: u64,
    ) -> bool {
        Outcomes::push(&mut outcomes(&mut self.jobs, job).failed, worker);
        Outcomes::push(&mut outcomes(&mut self.callers, caller).failed, worker);
        let record = self.records.entry(worker).or_default();
        record.faults.retain(|f| f.job != job);
        if record.faults.len() >= FAULTS_LIMIT {
            record.faults.remove(0);
        }
        record.faults.push(Fault { job, caller });
        record.avoid_until = now.after(AVOID_MS << record.faults.len().min(4));
        record.trust == Trust::Probing || self.fault_weight(worker) >= THRESHOLD_MILLI
    }

    /// Returns the weight of a worker's faults, in thousandths.
    pub fn fault_weight(&self, worker: WorkerKey) -> u64 {
        let Some(record) = self.records.get(&worker) else {
            return 0;
        };
        let mut sum = 0;
        let mut seen: BTreeMap<u64, u32> = BTreeMap::new();
        for fault in &record.faults {
            let of_job = self
                .jobs
                .get(&fault.job)
                .map(|s| s.failure_rate_elsewhere(worker));
            let of_caller = self
                .callers
                .get(&fault.caller)
                .map(|s| s.failure_rate_elsewhere(worker));
            let (job, _) = of_job.unwrap_or_default();
            let (caller, proven) = of_caller.unwrap_or_default();
            let weight = FAULT_MILLI.saturating_sub(job.max(caller));
            // The faults of a caller that never succeeded elsewhere count half as much each time.
            let times = seen.entry(fault.caller).or_default();
            sum += if proven { weight } else { weight >> *times };
            *times += 1;
        }
        sum
    }

    /// Returns the trusted workers whose faults reach the threshold.
    pub fn over_threshold(&self) -> Vec<WorkerKey> {
        let trusted = self
            .records
            .iter()
            .filter(|(_, r)| r.trust == Trust::Trusted);
        let over = trusted.filter(|(w, _)| self.fault_weight(**w) >= THRESHOLD_MILLI);
        over.map(|(w, _)| *w).collect()
    }

    /// Ends the quarantine of workers that failed no probe and whose faults have lost most of their
    /// weight, because the same jobs and callers failed on other workers as well. Returns these
    /// workers.
    pub fn take_cleared(&mut self) -> Vec<WorkerKey> {
        let quarantined = self
            .records
            .iter()
            .filter(|(_, r)| r.trust != Trust::Trusted && r.probes == 0);
        let cleared = quarantined.filter(|(w, _)| self.fault_weight(**w) < THRESHOLD_MILLI / 2);
        let cleared: Vec<_> = cleared.map(|(w, _)| *w).collect();
        for worker in &cleared {
            self.records.remove(worker);
        }
        cleared
    }

    /// Quarantines a worker and returns until when.
    pub fn quarantine(&mut self, now: UnixMs, worker: WorkerKey) -> UnixMs {
        let record = self.records.entry(worker).or_default();
        if record.trust == Trust::Probing {
            record.probes += 1;
        }
        let length = (QUARANTINE_MS << record.probes.min(8)).min(QUARANTINE_LIMIT_MS);
        let until = now.after(length + self.random.random_range(0..=length / 10));
        record.trust = Trust::Quarantined(until);
        until
    }

    /// Lets the workers whose quarantine is over be probed, and returns them.
    pub fn start_probes(&mut self, now: UnixMs) -> Vec<WorkerKey> {
        let expired =
            |r: &WorkerRecord| matches!(r.trust, Trust::Quarantined(until) if until.passed(now));
        let mut probed = Vec::new();
        for (worker, record) in self.records.iter_mut().filter(|(_, r)| expired(r)) {
            record.trust = Trust::Probing;
            probed.push(*worker);
        }
        probed
    }

    /// Removes a worker that is gone.
    pub fn forget(&mut self, worker: WorkerKey) {
        self.records.remove(&worker);
        for outcomes in self.jobs.values_mut().chain(self.callers.values_mut()) {
            outcomes.failed.retain(|w| *w != worker);
            outcomes.done.retain(|w| *w != worker);
        }
    }
}

/// Returns the outcomes of a job or caller, dropping the lowest key when the table is full.
fn outcomes<K: Ord + Copy>(table: &mut BTreeMap<K, Outcomes>, key: K) -> &mut Outcomes {
    if table.len() >= OUTCOMES_LIMIT && !table.contains_key(&key) {
        table.pop_first();
    }
    table.entry(key).or_default()
}
