//! Placement by expected finish, in fleets whose workers differ in speed.
//!
//! A task takes its time on an ordinary worker, stretched by the worker it runs on, and a gang ends with
//! its slowest member. Urgent work goes to the fastest workers, and other work keeps off them as long as
//! it ends in time.

use crate::batch::engine::WorkerKey;
use crate::batch::pack::{
    Bin, Demand, count_fitting, fits_one_rack, place_bound_gang, place_gang, place_some,
};
use crate::batch::rank::{LATE_FACTOR, RankInputs};
use crate::batch::run_times::Stretch;
use crate::batch::worker::Resources;
use crate::time::UnixMs;

/// How far a worker's time may be from an ordinary one's for it to count as ordinary, in percent: the
/// times of tasks that are alike differ by as much.
const TOLERANCE_PERCENT: u32 = 15;
/// The time that work is allowed for, in percent of its estimate: a gang ends with its slowest member.
const MARGIN_PERCENT: u32 = 125;
/// The share of the estimate from which work has ample slack, in percent: estimates are off by up to half.
const AMPLE_PERCENT: u32 = 150;
/// The limits on the stretch are rounded down to multiples of this, in percent, so that requests which
/// are alike have the same limit.
const LIMIT_STEP_PERCENT: u32 = 10;
/// The largest limit on the stretch, in percent: a slower worker is out of order.
const LIMIT_MAX_PERCENT: u32 = 400;

/// The speed of a worker, in classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Speed {
    /// Faster than an ordinary worker.
    Fast,
    /// An ordinary worker.
    Ordinary,
    /// No run has shown it; counts as ordinary.
    Unknown,
    /// Slower than an ordinary worker.
    Slow,
}

impl Stretch {
    /// Returns the class of the worker's speed.
    #[must_use]
    pub const fn speed(self) -> Speed {
        if !self.known {
            Speed::Unknown
        } else if self.percent + TOLERANCE_PERCENT < Self::ORDINARY_PERCENT {
            Speed::Fast
        } else if self.percent > Self::ORDINARY_PERCENT + TOLERANCE_PERCENT {
            Speed::Slow
        } else {
            Speed::Ordinary
        }
    }
}

/// The range of the workers' speeds, without the outliers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedRange {
    /// The stretch of fast workers, in percent.
    pub fastest: u32,
    /// The stretch of slow workers, in percent.
    pub slowest: u32,
}

/// The order in which workers are considered by their speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SpeedOrder {
    /// Their speed doesn't matter.
    #[default]
    Any,
    /// The fastest first.
    FastFirst,
    /// The slowest first.
    SlowFirst,
}

impl SpeedOrder {
    /// Returns the position of a worker in the order.
    #[must_use]
    pub const fn position(self, bin: &Bin) -> u32 {
        let class = match bin.stretch.speed() {
            Speed::Fast => 0,
            Speed::Ordinary => 1,
            Speed::Unknown => 2,
            Speed::Slow => 3,
        };
        match self {
            Self::Any => 0,
            Self::FastFirst => class,
            Self::SlowFirst => 3 - class,
        }
    }
}

/// Which workers a request should be placed on by their speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct SpeedRule {
    /// The order in which they are considered.
    pub order: SpeedOrder,
    /// The largest stretch with which the work ends in time, in percent; `None` without a limit.
    pub limit: Option<u32>,
    /// Whether the request waits rather than take workers above the limit.
    pub may_wait: bool,
    /// Whether the objective can't be met any more on any worker.
    pub late: bool,
    /// Whether no runs are stopped for the work: it is late, and either useful for longer than a wait takes or
    /// no longer useful.
    pub yields: bool,
}

/// Returns the largest stretch with which work that takes `ordinary_ms` on an ordinary worker ends by a
/// time if it starts now, in percent.
fn stretch_limit(ordinary_ms: u64, now: UnixMs, finish_by: UnixMs) -> u32 {
    let left_ms = finish_by.since(now);
    let percent = left_ms.saturating_mul(100) / ordinary_ms.max(1);
    u32::try_from(percent).unwrap_or(u32::MAX)
}

impl SpeedRule {
    /// Returns the rule for a piece of work that would start now.
    #[must_use]
    pub fn new(inputs: &RankInputs, range: SpeedRange, now: UnixMs) -> Self {
        let slack = |by| stretch_limit(inputs.remaining_ms, now, by);
        let limit_of = |slack: u32| {
            let limit = slack.saturating_mul(100) / MARGIN_PERCENT;
            (limit - limit % LIMIT_STEP_PERCENT).min(LIMIT_MAX_PERCENT)
        };
        let mut left = slack(inputs.finish_by);
        let late = limit_of(left) < range.fastest;
        if late {
            let objective = inputs.finish_by.since(inputs.waiting_since);
            let useful_until = inputs
                .waiting_since
                .after(objective.saturating_mul(LATE_FACTOR));
            left = slack(useful_until);
        }
        let limit = limit_of(left);
        let reachable = limit >= range.fastest;
        let ample = left >= range.slowest * AMPLE_PERCENT / 100;
        Self {
            order: if inputs.priority == 0 && !late && !ample {
                SpeedOrder::FastFirst
            } else {
                SpeedOrder::SlowFirst
            },
            limit: reachable.then_some(limit),
            may_wait: reachable && !late && limit < range.slowest,
            late,
            yields: late && !(range.fastest..range.slowest).contains(&limit),
        }
    }

    /// Returns the stretch of the worker that the work would be placed on, in percent.
    fn expected_percent(&self, range: SpeedRange) -> u32 {
        if self.late || self.order == SpeedOrder::FastFirst {
            range.fastest
        } else {
            let slowest = range.slowest;
            self.limit.map_or(slowest, |limit| limit.min(slowest))
        }
    }

    /// Returns what decides the rank of work, by its time on the worker that it would be placed on.
    #[must_use]
    pub fn rank_inputs(inputs: RankInputs, range: SpeedRange, now: UnixMs) -> RankInputs {
        let percent = Self::new(&inputs, range, now).expected_percent(range);
        let stretch = Stretch {
            percent,
            known: true,
        };
        RankInputs {
            remaining_ms: stretch.apply(inputs.remaining_ms),
            ..inputs
        }
    }

    /// Returns whether the work ends in time on a worker.
    #[must_use]
    pub fn admits(&self, bin: &Bin) -> bool {
        self.limit.is_none_or(|limit| bin.stretch.percent <= limit)
    }

    /// Returns the workers on which the work ends in time.
    #[must_use]
    pub fn admitted(&self, bins: &[Bin]) -> Vec<Bin> {
        bins.iter().filter(|b| self.admits(b)).copied().collect()
    }
}

/// Returns workers for a whole gang, some of whose tasks, given by their positions, may be bound to a
/// worker; `None` if they don't all fit.
#[must_use]
pub fn place_gang_by_speed(
    bins: &[Bin],
    need: &Demand,
    bound: &[(usize, WorkerKey)],
    rule: &SpeedRule,
) -> Option<Vec<WorkerKey>> {
    if !bound.is_empty() {
        return place_bound_gang(bins, need, bound);
    }
    if rule.order == SpeedOrder::Any {
        return place_gang(bins, need);
    }
    // Within the slowest class that the gang needs, it takes the slowest workers first: the faster ones
    // would only wait for them.
    let need = &Demand {
        order: SpeedOrder::SlowFirst,
        ..*need
    };
    let admitted = rule.admitted(bins);
    let one_rack = need.one_rack && fits_one_rack(bins, need);
    let place_in = |bins: &[Bin]| {
        let enough = count_fitting(bins, need, |b| b.used) >= need.count;
        // A rack whose slow workers are left out must not make the gang spread over racks.
        let whole = !one_rack || fits_one_rack(bins, need);
        (enough && whole).then(|| place_gang(bins, need)).flatten()
    };
    if rule.order == SpeedOrder::FastFirst {
        let mut tried = 0;
        for slowest in [Speed::Fast, Speed::Ordinary, Speed::Unknown] {
            let faster = admitted.iter().filter(|b| b.stretch.speed() <= slowest);
            let faster: Vec<Bin> = faster.copied().collect();
            // The class may have no workers.
            if faster.len() == tried {
                continue;
            }
            tried = faster.len();
            let workers = place_in(&faster);
            if workers.is_some() {
                return workers;
            }
        }
    }
    let workers = place_in(&admitted);
    if workers.is_some() || (rule.may_wait && could_hold(&admitted, need, one_rack)) {
        return workers;
    }
    place_gang(bins, need)
}

/// Returns workers for as many single tasks as fit: those on which they end in time first.
#[must_use]
pub fn place_some_by_speed(bins: &[Bin], need: &Demand, rule: &SpeedRule) -> Vec<WorkerKey> {
    let need = &Demand {
        order: rule.order,
        ..*need
    };
    if rule.limit.is_none() {
        return place_some(&mut bins.to_vec(), need);
    }
    let (mut admitted, mut others): (Vec<_>, Vec<_>) = bins.iter().partition(|b| rule.admits(b));
    let mut workers = place_some(&mut admitted, need);
    let placed = u32::try_from(workers.len()).unwrap_or(u32::MAX);
    let rest = Demand {
        count: need.count.saturating_sub(placed),
        order: SpeedOrder::FastFirst,
        ..*need
    };
    workers.extend(place_some(&mut others, &rest));
    workers
}

/// Returns whether workers could hold a gang if they were empty.
#[must_use]
pub fn could_hold(bins: &[Bin], need: &Demand, one_rack: bool) -> bool {
    if one_rack {
        return fits_one_rack(bins, need);
    }
    count_fitting(bins, need, |_| Resources::default()) >= need.count
}
