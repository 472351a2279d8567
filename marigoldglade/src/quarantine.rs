//! Suspicion of workers that fail what others run.
//!
//! The ends of tasks flow in; verdicts on workers flow out. A fault counts against a worker as far
//! as neither the job nor its caller fails elsewhere, so that a job that fails everywhere condemns
//! no worker, and one caller's new jobs alone don't either.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::plan::{JobKey, WorkerKey};
use crate::time::UnixMs;

/// The weight of faults since the last success at which a worker is suspected, in thousandths.
pub const THRESHOLD_MILLI: u64 = 2_500;
/// The shortest time under suspicion, in milliseconds; it doubles with each failed probe.
pub const QUARANTINE_MS: u64 = 300_000;
/// The longest time under suspicion, in milliseconds.
pub const QUARANTINE_LIMIT_MS: u64 = 3_600_000;
/// How long others are preferred to a worker after a fault, in milliseconds.
pub const AVOID_MS: u64 = 5_000;
/// One in this many workers of a rack, and at least one, may be out by suspicion.
pub const RACK_DIVISOR: usize = 4;
/// One in this many workers of the data centre, and at least one, may be out by suspicion.
pub const FLEET_DIVISOR: usize = 10;
/// The most faults that are kept of one worker.
const FAULTS_LIMIT: usize = 16;
/// The most jobs and callers whose ends are kept.
const OUTCOMES_LIMIT: usize = 4_096;
/// The weight of a fault that nothing speaks against, in thousandths.
const FAULT_MILLI: u64 = 1_000;

/// Where a worker stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Trust {
    /// It gets work.
    #[default]
    Trusted,
    /// It gets none until then.
    Quarantined(UnixMs),
    /// It gets one task to prove itself.
    Probing,
}

/// A task that failed.
#[derive(Clone, Copy)]
struct Fault {
    job: JobKey,
    caller: u64,
}

#[derive(Default)]
struct WorkerRecord {
    trust: Trust,
    /// Faults since the last success.
    faults: Vec<Fault>,
    /// Probes that failed in a row.
    probes: u32,
    /// Others are preferred until then.
    avoid_until: UnixMs,
}

/// How the tasks of a job or caller ended, by worker.
#[derive(Default)]
struct Outcomes {
    failed: Vec<WorkerKey>,
    done: Vec<WorkerKey>,
}

impl Outcomes {
    /// Returns the share of failures on other workers, in thousandths, and whether any was done.
    fn elsewhere(&self, worker: WorkerKey) -> (u64, bool) {
        let count = |ws: &[WorkerKey]| ws.iter().filter(|w| **w != worker).count() as u64;
        let (failed, done) = (count(&self.failed), count(&self.done));
        (failed * FAULT_MILLI / (failed + done + 1), done > 0)
    }

    fn push(list: &mut Vec<WorkerKey>, worker: WorkerKey) {
        if list.len() >= FAULTS_LIMIT {
            list.remove(0);
        }
        list.push(worker);
    }
}

/// All that is known of how tasks ended.
pub(crate) struct Quarantine {
    records: BTreeMap<WorkerKey, WorkerRecord>,
    jobs: BTreeMap<JobKey, Outcomes>,
    callers: BTreeMap<u64, Outcomes>,
    random: ChaCha8Rng,
}

impl Quarantine {
    /// Makes an empty one whose deadlines are spread by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            records: BTreeMap::new(),
            jobs: BTreeMap::new(),
            callers: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns where a worker stands.
    pub fn trust(&self, worker: WorkerKey) -> Trust {
        self.records
            .get(&worker)
            .map_or(Trust::Trusted, |r| r.trust)
    }

    /// Returns whether a job failed on a worker before.
    pub fn failed_on(&self, job: JobKey, worker: WorkerKey) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|s| s.failed.contains(&worker))
    }

    /// Returns whether a job failed anywhere.
    pub fn has_failed(&self, job: JobKey) -> bool {
        self.jobs.get(&job).is_some_and(|s| !s.failed.is_empty())
    }

    /// Returns whether others are preferred to a worker.
    pub fn is_avoided(&self, now: UnixMs, worker: WorkerKey) -> bool {
        self.records
            .get(&worker)
            .is_some_and(|r| !r.avoid_until.passed(now))
    }

    /// Counts a task that ended well; returns whether the worker is trusted again by that.
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

    /// Counts a task that failed; returns whether the worker is to be suspected.
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

    /// Returns what speaks against a worker, in thousandths.
    pub fn fault_weight(&self, worker: WorkerKey) -> u64 {
        let Some(record) = self.records.get(&worker) else {
            return 0;
        };
        let mut sum = 0;
        let mut seen: BTreeMap<u64, u32> = BTreeMap::new();
        for fault in &record.faults {
            let of_job = self.jobs.get(&fault.job).map(|s| s.elsewhere(worker));
            let of_caller = self.callers.get(&fault.caller).map(|s| s.elsewhere(worker));
            let (job, _) = of_job.unwrap_or_default();
            let (caller, proven) = of_caller.unwrap_or_default();
            let weight = FAULT_MILLI.saturating_sub(job.max(caller));
            // Faults of a caller that never succeeded elsewhere count less and less.
            let times = seen.entry(fault.caller).or_default();
            sum += if proven { weight } else { weight >> *times };
            *times += 1;
        }
        sum
    }

    /// Returns the workers whose weight suffices for suspicion and that are trusted.
    pub fn over_threshold(&self) -> Vec<WorkerKey> {
        let full = self
            .records
            .iter()
            .filter(|(_, r)| r.trust == Trust::Trusted);
        let due = full.filter(|(w, _)| self.fault_weight(**w) >= THRESHOLD_MILLI);
        due.map(|(w, _)| *w).collect()
    }

    /// Trusts the workers again whose jobs and callers failed elsewhere too, as it turned out.
    pub fn take_cleared(&mut self) -> Vec<WorkerKey> {
        let out = self
            .records
            .iter()
            .filter(|(_, r)| r.trust != Trust::Trusted && r.probes == 0);
        let cleared = out.filter(|(w, _)| self.fault_weight(**w) < THRESHOLD_MILLI / 2);
        let cleared: Vec<_> = cleared.map(|(w, _)| *w).collect();
        for worker in &cleared {
            self.records.remove(worker);
        }
        cleared
    }

    /// Puts a worker under suspicion; returns until when.
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

    /// Returns the workers whose time under suspicion is over; each gets a probe.
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

    /// Forgets a worker that is gone.
    pub fn forget(&mut self, worker: WorkerKey) {
        self.records.remove(&worker);
        for outcomes in self.jobs.values_mut().chain(self.callers.values_mut()) {
            outcomes.failed.retain(|w| *w != worker);
            outcomes.done.retain(|w| *w != worker);
        }
    }
}

fn outcomes<K: Ord + Copy>(table: &mut BTreeMap<K, Outcomes>, key: K) -> &mut Outcomes {
    if table.len() >= OUTCOMES_LIMIT && !table.contains_key(&key) {
        table.pop_first();
    }
    table.entry(key).or_default()
}
