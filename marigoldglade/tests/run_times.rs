//! Checks what is learned of run times and of workers' speeds, without a network.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use std::ops::Range;

use marigoldglade::batch::engine::{Bounds, WorkerKey};
use marigoldglade::batch::run_times::{RunTimes, Sample, StepId, WorkKind};
use marigoldglade::batch::worker::Resources;
use marigoldglade::time::UnixMs;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use simulation::{BOUNDS, Simulation, job_id, spec, step};

const THREE_SPEEDS: [u64; 3] = [60, 100, 160];

fn kind(queue: &str) -> WorkKind {
    WorkKind {
        queue: queue.to_owned(),
        workspace: "w".to_owned(),
        demand: Resources::default(),
        gang: false,
    }
}

/// Workers of given speeds, and steps whose tasks run on workers drawn at random.
struct Fleet {
    run_times: RunTimes,
    /// The stretch of each worker, in percent.
    speeds: Vec<u64>,
    /// By how much tasks of a step differ, in percent of their time on an ordinary worker.
    noise: Range<u64>,
    rng: ChaCha8Rng,
    now: u64,
    jobs: u64,
}

impl Fleet {
    fn new(seed: u64, workers: usize, speeds: &[u64]) -> Self {
        Self {
            run_times: RunTimes::default(),
            speeds: speeds.iter().copied().cycle().take(workers).collect(),
            noise: 80..125,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000_000,
            jobs: 0,
        }
    }

    /// Runs a step of 5 s a task on the given workers: tasks differ, the estimate is off by up to half,
    /// and three of a hundred runs take seven times as long.
    fn run_on(&mut self, workers: &[usize]) {
        self.jobs += 1;
        let estimate_ms = 5_000 * self.rng.random_range(50..150) / 100;
        self.run_part(0, estimate_ms, workers);
    }

    /// Runs tasks of the last step, from the one of index `first` on.
    fn run_part(&mut self, first: u32, estimate_ms: u64, workers: &[usize]) {
        let id = StepId {
            job: job_id(self.jobs),
            round: 0,
            step: 0,
        };
        for (index, worker) in (first..).zip(workers) {
            let noise = self.rng.random_range(self.noise.clone());
            let tail = if self.rng.random_range(0..100) < 3 {
                7
            } else {
                1
            };
            let whole_ms = 5_000 * self.speeds[*worker] / 100 * noise / 100 * tail;
            for ran_ms in [700, 2_000] {
                self.show(id, estimate_ms, index, *worker, ran_ms, whole_ms);
            }
            self.show(id, estimate_ms, index, *worker, whole_ms, whole_ms);
            let worker = WorkerKey(u16::try_from(*worker).expect("few workers"));
            self.run_times.finish(id, estimate_ms, worker, whole_ms);
        }
        self.now += 200;
        self.run_times.refresh(UnixMs(self.now));
    }

    fn show(&mut self, id: StepId, estimate: u64, index: u32, worker: usize, ran: u64, whole: u64) {
        let sample = Sample {
            index,
            worker: WorkerKey(u16::try_from(worker).expect("few workers")),
            ran_ms: ran.min(whole),
            percent: u32::try_from(ran.min(whole) * 100 / whole).expect("at most 100"),
        };
        let now = UnixMs(self.now);
        self.run_times
            .observe(now, id, estimate, &sample, || kind("q"));
    }

    /// Runs steps of 12 tasks.
    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            let count = self.speeds.len();
            let drawn = (0..12).map(|_| self.rng.random_range(0..count));
            let drawn: Vec<usize> = drawn.collect();
            self.run_on(&drawn);
        }
    }

    fn stretch(&self, worker: usize) -> marigoldglade::batch::run_times::Stretch {
        let key = WorkerKey(u16::try_from(worker).expect("few workers"));
        self.run_times.stretch(key)
    }

    /// Returns how many workers are known, and how many of these are off by more than a quarter. The scale is set
    /// by the callers' estimates, so what all workers have in common is left out.
    fn known_and_wrong(&self) -> (usize, usize) {
        let known = (0..self.speeds.len()).filter(|w| self.stretch(*w).known);
        let ratio = |w| u64::from(self.stretch(w).percent) * 1_000 / self.speeds[w];
        let mut ratios: Vec<u64> = known.map(ratio).collect();
        ratios.sort_unstable();
        let middle = ratios.get(ratios.len() / 2).copied().unwrap_or_default();
        let wrong = ratios
            .iter()
            .filter(|r| **r * 4 > middle * 5 || **r * 5 < middle * 4);
        (ratios.len(), wrong.count())
    }
}

/// Uneven workers in a fleet that labels don't tell apart, with tails and estimates that are off: each worker
/// is known after three runs.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn speeds_are_learned_from_three_runs_a_worker(#[case] seed: u64) {
    let mut fleet = Fleet::new(seed, 120, &THREE_SPEEDS);
    fleet.run(30);
    let (known, wrong) = fleet.known_and_wrong();
    assert!(known > 100, "{known} of 120 workers known");
    assert!(wrong * 12 < known, "{wrong} of {known} workers wrong");
    assert!(fleet.run_times.is_uneven());
}

/// Steps that are far wider than what is remembered of one still show the speeds of all their workers.
#[test]
fn a_wide_step_shows_all_its_workers() {
    let mut fleet = Fleet::new(1, 200, &THREE_SPEEDS);
    for _ in 0..6 {
        fleet.jobs += 1;
        for part in 0..8 {
            let workers: Vec<usize> = (part * 50..part * 50 + 50).map(|i| i % 200).collect();
            let first = u32::try_from(part * 50).expect("few tasks");
            fleet.run_part(first, 6_000, &workers);
        }
    }
    let (known, _) = fleet.known_and_wrong();
    assert!(known > 180, "{known} of 200 workers known");
}

/// A third of the workers is slower by 30 %.
#[rstest]
#[case(1)]
#[case(2)]
fn a_slower_third_makes_a_fleet_uneven(#[case] seed: u64) {
    let mut fleet = Fleet::new(seed, 120, &[100, 100, 130]);
    fleet.run(60);
    assert!(fleet.run_times.is_uneven());
}

/// On an even fleet, tails and estimates that are off never look like speeds, and neither do tasks that differ more
/// from one another than usual.
#[rstest]
#[case(1, 80..125)]
#[case(2, 80..125)]
#[case(3, 80..125)]
#[case(4, 80..125)]
#[case::more_noise(5, 60..165)]
#[case::more_noise(6, 60..165)]
fn an_even_fleet_stays_even(#[case] seed: u64, #[case] noise: Range<u64>) {
    let mut fleet = Fleet::new(seed, 120, &[100]);
    fleet.noise = noise;
    for steps in 0..120 {
        fleet.run(1);
        assert!(!fleet.run_times.is_uneven(), "after {steps} steps");
    }
}

/// A single run that takes seven times as long, on a worker of which nothing else is known.
#[test]
fn one_long_run_does_not_make_a_worker_known() {
    let mut fleet = Fleet::new(1, 30, &[100]);
    fleet.run_on(&(1..30).collect::<Vec<usize>>());
    let id = StepId {
        job: job_id(1),
        round: 0,
        step: 0,
    };
    fleet.show(id, 5_000, 40, 0, 3_500, 35_000);
    fleet.now += 200;
    fleet.run_times.refresh(UnixMs(fleet.now));
    assert!(!fleet.stretch(0).known, "{:?}", fleet.stretch(0));
}

/// A single task has only its caller's estimate to be compared with, which may be off by half.
#[test]
fn a_lone_task_says_little() {
    let mut fleet = Fleet::new(1, 10, &[160]);
    fleet.run_on(&[0]);
    assert!(!fleet.stretch(0).known);
}

/// A worker that turns slow, such as a throttled machine, is known as such after a few more runs.
#[test]
fn a_changed_worker_is_relearned() {
    let mut fleet = Fleet::new(5, 60, &THREE_SPEEDS);
    fleet.run(40);
    assert!(fleet.stretch(0).percent < 75, "{:?}", fleet.stretch(0));
    fleet.speeds[0] = 160;
    for _ in 0..4 {
        let workers: Vec<usize> = [0, 0].into_iter().chain(10..20).collect();
        fleet.run_on(&workers);
    }
    assert!(fleet.stretch(0).percent > 135, "{:?}", fleet.stretch(0));
}

/// Estimates that are half of the run time: the kind's distribution corrects them, and half as much before it has
/// shown eight runs.
#[test]
fn estimates_are_corrected_by_kind() {
    let mut fleet = Fleet::new(1, 40, &[100]);
    let id = StepId {
        job: job_id(900),
        round: 0,
        step: 0,
    };
    for index in 0..40 {
        let worker = usize::try_from(index).expect("small");
        fleet.show(id, 2_500, index, worker, 5_000, 5_000);
        fleet.run_times.finish(
            id,
            2_500,
            WorkerKey(u16::try_from(index).expect("small")),
            5_000,
        );
    }
    let expected = fleet.run_times.expected(&kind("q"), 2_500);
    assert!((4_200..5_400).contains(&expected.median_ms), "{expected:?}");
    assert!(expected.high_ms >= expected.median_ms);
    let other = fleet.run_times.expected(&kind("other"), 2_500);
    assert_eq!(other.median_ms, 2_500);
}

/// Runs of no time and of days, and estimates of zero.
#[test]
fn absurd_times_do_no_harm() {
    let mut fleet = Fleet::new(1, 40, &[100]);
    let day_ms = 86_400_000;
    for (n, estimate, whole) in [
        (1, 0, 5_000),
        (2, 5_000, 1),
        (3, 5_000, 30 * day_ms),
        (4, 1, 5_000),
        (5, u64::MAX, 300),
    ] {
        let id = StepId {
            job: job_id(n),
            round: 0,
            step: 0,
        };
        for index in 0..3 {
            fleet.show(id, estimate, index, 0, whole, whole);
            fleet.run_times.finish(id, estimate, WorkerKey(0), whole);
        }
        fleet.now += 200;
        fleet.run_times.refresh(UnixMs(fleet.now));
    }
    let percent = fleet.stretch(0).percent;
    assert!((10..=1_000).contains(&percent), "{percent}");
    fleet.run(40);
    assert!((70..140).contains(&fleet.stretch(0).percent));
}

/// 12,000 kinds of work on 3,000 workers.
#[test]
fn memory_and_record_are_bounded() {
    let mut run_times = RunTimes::default();
    for n in 0..12_000 {
        let id = StepId {
            job: job_id(n),
            round: 0,
            step: 0,
        };
        for index in 0..2 {
            let worker = (n * 2 + u64::from(index)) % 3_000;
            let sample = Sample {
                index,
                worker: WorkerKey(u16::try_from(worker).expect("below 3,000")),
                ran_ms: 3_000,
                percent: 100,
            };
            let now = UnixMs(1_000_000 + n * 10);
            run_times.observe(now, id, 3_000, &sample, || kind(&format!("q{n}")));
            run_times.finish(id, 3_000, sample.worker, 3_000);
        }
    }
    assert!(run_times.kind_count() <= 10_000);
    let name = |key: WorkerKey| format!("i-{:012x}", key.0);
    let record = run_times.to_record(name).expect("encoded");
    assert!(record.len() < 256 << 10, "{} bytes", record.len());
}

/// A new owner continues from the record, and a damaged one or one of a newer format is refused.
#[test]
fn a_record_keeps_what_was_learned() {
    let mut fleet = Fleet::new(7, 60, &THREE_SPEEDS);
    fleet.run(60);
    let name = |key: WorkerKey| format!("i-{}", key.0);
    let record = fleet.run_times.to_record(name).expect("encoded");
    let mut next = RunTimes::from_record(&record).expect("decoded");
    for worker in (0..60).rev() {
        next.add_worker(WorkerKey(60 - worker), &format!("i-{worker}"));
        let (then, now) = (
            fleet.run_times.stretch(WorkerKey(worker)),
            next.stretch(WorkerKey(60 - worker)),
        );
        assert_eq!(then.known, now.known);
        assert!(
            then.percent.abs_diff(now.percent) <= 15,
            "{then:?} and {now:?}"
        );
    }
    assert!(fleet.run_times.is_uneven() && next.is_uneven());
    let expected = |r: &RunTimes| r.expected(&kind("q"), 5_000).median_ms;
    assert!(expected(&next).abs_diff(expected(&fleet.run_times)) < 500);
    assert!(RunTimes::from_record(&record[..record.len() / 2]).is_err());
    assert!(RunTimes::from_record(b"no record").is_err());
    let mut newer = record.clone();
    let version = newer.windows(8).position(|w| w == b"version\x01");
    newer[version.expect("a version") + 7] = 2;
    let error = RunTimes::from_record(&newer).expect_err("a newer format");
    assert!(error.to_string().contains("format 2"), "{error}");
}

const LEARNING: Bounds = Bounds {
    learn_run_times: true,
    ..BOUNDS
};

fn known(simulation: &Simulation) -> (usize, u32, u32) {
    let owner = simulation.newest_owner();
    simulation.owners[owner].engine.run_times().spread()
}

/// Has an owner learn the speeds of 16 workers, half of which are slow.
fn learned_fleet(bounds: Bounds) -> Simulation {
    let mut simulation = Simulation::new(3, 2, 8);
    simulation.bounds = bounds;
    simulation.kill_newest_owner();
    simulation.elect();
    let slow = simulation.workers.values_mut().step_by(2);
    slow.for_each(|w| w.stretch_percent = 160);
    simulation.run_for(500);
    for n in 0..6 {
        simulation.submit(n, "survey", "w1", spec(vec![step(32, 2, 3_000)]), 3_000);
        simulation.run_for(2_500);
    }
    simulation.run_for(12_000);
    simulation
}

/// Loss of the owner: the next one knows from the start what the last one had recorded, and a record that can't be
/// read costs no more than that knowledge.
#[test]
fn a_successor_keeps_what_was_learned() {
    let mut simulation = learned_fleet(LEARNING);
    let (count, low, high) = known(&simulation);
    assert!(count >= 14 && high > low + 40, "{count} {low} {high}");
    simulation.kill_newest_owner();
    simulation.elect();
    let (next_count, next_low, next_high) = known(&simulation);
    assert!(next_count >= 14, "{next_count} workers known");
    assert!(next_high > next_low + 35, "{next_low} {next_high}");

    simulation.learned = Some(b"\xa1gversion".to_vec());
    simulation.kill_newest_owner();
    simulation.elect();
    assert_eq!(known(&simulation).0, 0);
    simulation.submit(100, "survey", "w1", spec(vec![step(8, 2, 1_000)]), 1_000);
    simulation.run_for(10_000);
    assert!(simulation.all_done([100]));
}

/// Without the setting nothing is learned or stored.
#[test]
fn nothing_is_learned_unless_it_is_switched_on() {
    let simulation = learned_fleet(BOUNDS);
    assert_eq!(known(&simulation).0, 0);
    assert_eq!(simulation.learned, None);
}
