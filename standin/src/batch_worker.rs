//! Stand-in for a worker that runs tasks of steps: leases, fencing, barred runs and ends.
//!
//! Orders and the time flow in, answers and notes of what happened flow out; it owns no clock.

use std::collections::BTreeMap;

use marigoldglade::batch::id::TaskId;
use marigoldglade::batch::worker::{
    Answer, Ended, Hold, How, Order, Pace, Refusal, Report, Room, Running, Start, Stop, Target,
};

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct StandinRun {
    /// Which start of the task.
    pub run: u64,
    /// The room that it takes.
    pub room: Room,
    /// When it began, on the caller's clock.
    pub began: u64,
    /// How long it takes, in milliseconds.
    pub work_ms: u64,
    /// Whether it fails at its end.
    pub fails: bool,
    /// When a stop takes effect, on the world's clock.
    pub stop_at: Option<u64>,
    /// Its speed in percent.
    pub pace: u32,
    /// The response times of a run that serves users: alone, and added by each filler at full speed,
    /// in milliseconds.
    pub tail: Option<(u64, u64)>,
}

/// What happened on a worker, for the world's checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A run began.
    Began(TaskId, u64),
    /// A run ended; the end's number, or zero when it is listed nowhere.
    Ended(u64, TaskId, u64, How),
    /// Ends up to this number were acknowledged.
    Acked(u64),
}

/// A simulated worker.
pub struct SimWorker {
    /// Its registry entry.
    pub target: Target,
    /// When its process started, on the caller's clock.
    pub born_at: u64,
    /// The newest term that it has seen.
    pub term: u64,
    /// When its leases lapse, on its own clock.
    pub lease: u64,
    /// What runs.
    pub runs: BTreeMap<TaskId, StandinRun>,
    /// Ends that weren't acknowledged.
    pub ended: Vec<Ended>,
    /// The number of the last end.
    pub last_end: u64,
    /// The highest run of each task that ended or was barred.
    pub barred: BTreeMap<TaskId, u64>,
    /// Whether nothing reaches it or comes from it.
    pub cut: bool,
    /// Whether its process is gone for good.
    pub gone: bool,
    /// Whether all that it runs fails.
    pub grey: bool,
    /// Whether what it runs stands still.
    pub hung: bool,
    /// What happened since the last look.
    pub notes: Vec<Note>,
}

/// Reads `tail_ms=ALONE+ADDED` from the text of a task that serves users.
fn read_tail(text: &str) -> Option<(u64, u64)> {
    let mut words = text.split_whitespace();
    let (alone, added) = words.find_map(|w| w.strip_prefix("tail_ms=")?.split_once('+'))?;
    Some((alone.parse().ok()?, added.parse().ok()?))
}

/// The worker's steady clock is a little slow.
fn slow(ms: u64) -> u64 {
    ms - ms / 50
}

impl SimWorker {
    /// Makes an idle worker.
    #[must_use]
    pub fn new(target: Target, now: u64) -> Self {
        Self {
            target,
            born_at: now,
            term: 0,
            lease: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            barred: BTreeMap::new(),
            cut: false,
            gone: false,
            grey: false,
            hung: false,
            notes: Vec::new(),
        }
    }

    /// Returns its steady clock.
    #[must_use]
    pub fn clock(&self, now: u64) -> u64 {
        slow(now - self.born_at) + 1
    }

    /// Returns the room that nothing takes.
    #[must_use]
    pub fn free(&self) -> Room {
        let used = self
            .runs
            .values()
            .fold(Room::default(), |sum, r| sum.plus(&r.room));
        self.target.room.minus(&used)
    }

    /// A new life at the same address.
    pub fn reborn(&mut self, now: u64) {
        for (id, run) in std::mem::take(&mut self.runs) {
            self.notes.push(Note::Ended(0, id, run.run, How::Lapsed));
        }
        let mut target = self.target.clone();
        target.born += 1_000;
        let notes = std::mem::take(&mut self.notes);
        *self = Self::new(target, now);
        self.notes = notes;
    }

    /// Its process ends for good.
    pub fn leave(&mut self) {
        for (id, run) in std::mem::take(&mut self.runs) {
            self.notes.push(Note::Ended(0, id, run.run, How::Lapsed));
        }
        self.gone = true;
    }

    fn end(&mut self, id: TaskId, how: How) {
        if let Some(run) = self.runs.remove(&id) {
            self.last_end += 1;
            let saved = if how == How::Done {
                String::new()
            } else {
                format!("cp{}", run.run)
            };
            self.ended.push(Ended {
                number: self.last_end,
                task: id,
                run: run.run,
                how,
                saved,
            });
            self.notes
                .push(Note::Ended(self.last_end, id, run.run, how));
            self.barred.insert(id, run.run);
        }
    }

    /// Lets time act.
    pub fn settle(&mut self, now: u64) {
        if self.clock(now) > self.lease {
            let all: Vec<TaskId> = self.runs.keys().copied().collect();
            for id in all {
                self.end(id, How::Lapsed);
            }
            return;
        }
        let due: Vec<(TaskId, How)> = self
            .runs
            .iter()
            .filter_map(|(id, r)| {
                if r.stop_at.is_some_and(|at| at <= now) {
                    Some((*id, How::Stopped))
                } else if !self.hung && now >= r.began + r.work_ms {
                    Some((
                        *id,
                        if r.fails || self.grey {
                            How::Failed
                        } else {
                            How::Done
                        },
                    ))
                } else {
                    None
                }
            })
            .collect();
        for (id, how) in due {
            self.end(id, how);
        }
    }

    /// Carries an order out; `work` says how long a run takes and whether it fails.
    pub fn obey(
        &mut self,
        now: u64,
        order: &Order,
        work: impl FnOnce(&Start) -> (u64, Room, bool),
    ) -> Answer {
        self.settle(now);
        let clock = self.clock(now);
        let term = match order {
            Order::Start(s) => s.term,
            Order::Stop(s) => s.term,
            Order::Hold(h) => h.term,
            Order::Pace(p) => p.term,
        };
        if term < self.term {
            return Answer::Refused(Refusal::Fenced, Some(clock));
        }
        self.term = term;
        match order {
            Order::Start(s) => self.start(now, clock, s, work),
            Order::Stop(s) => self.stop(now, clock, s),
            Order::Hold(h) => self.hold(now, clock, h),
            Order::Pace(p) => self.pace(clock, p),
        }
    }

    fn start(
        &mut self,
        now: u64,
        clock: u64,
        s: &Start,
        work: impl FnOnce(&Start) -> (u64, Room, bool),
    ) -> Answer {
        if self.runs.get(&s.task).is_some_and(|r| r.run == s.run) {
            self.lease = self.lease.max(s.end);
            return Answer::Obeyed(clock);
        }
        let bar = self.barred.get(&s.task).copied().unwrap_or(0);
        if s.run <= bar || self.runs.contains_key(&s.task) {
            return Answer::Refused(Refusal::Superseded, Some(clock));
        }
        if s.end <= clock {
            return Answer::Refused(Refusal::Late, Some(clock));
        }
        let (work_ms, room, fails) = work(s);
        if !self.free().fits(&room) {
            return Answer::Refused(Refusal::Full, Some(clock));
        }
        self.lease = self.lease.max(s.end);
        let run = StandinRun {
            run: s.run,
            room,
            began: now,
            work_ms,
            fails,
            stop_at: None,
            pace: 100,
            tail: read_tail(&s.text),
        };
        self.runs.insert(s.task, run);
        self.notes.push(Note::Began(s.task, s.run));
        Answer::Obeyed(clock)
    }

    fn stop(&mut self, now: u64, clock: u64, s: &Stop) -> Answer {
        match self.runs.get_mut(&s.task) {
            Some(run) if run.run <= s.run => {
                run.stop_at.get_or_insert(now + 400);
            }
            _ => {
                let bar = self.barred.entry(s.task).or_default();
                *bar = (*bar).max(s.run);
            }
        }
        Answer::Obeyed(clock)
    }

    fn pace(&mut self, clock: u64, p: &Pace) -> Answer {
        match self.runs.get_mut(&p.task).filter(|r| r.run == p.run) {
            Some(run) => {
                run.pace = p.percent;
                Answer::Obeyed(clock)
            }
            None => Answer::Refused(Refusal::Superseded, Some(clock)),
        }
    }

    /// Returns the tail of a run that serves users, in milliseconds.
    #[must_use]
    pub fn tail(&self, run: &StandinRun) -> Option<u64> {
        let (alone, added) = run.tail?;
        let fillers = self.runs.values().filter(|r| r.tail.is_none());
        let speed: u64 = fillers.map(|r| u64::from(r.pace)).sum();
        Some(alone + added * speed / 100)
    }

    fn hold(&mut self, now: u64, clock: u64, h: &Hold) -> Answer {
        self.lease = self.lease.max(h.end);
        let before = self.ended.len();
        self.ended.retain(|e| e.number > h.acked);
        if self.ended.len() < before {
            self.notes.push(Note::Acked(h.acked));
        }
        let percent = |r: &StandinRun| {
            if self.hung {
                return 0;
            }
            // What serves users is at work at once.
            if r.tail.is_some() {
                return 100;
            }
            u32::try_from((now - r.began) * 100 / r.work_ms.max(1))
                .unwrap_or(100)
                .min(99)
        };
        let running = self.runs.iter().map(|(id, r)| Running {
            task: *id,
            run: r.run,
            saved: String::new(),
            percent: percent(r),
            load: self.tail(r),
        });
        Answer::Report(Report {
            clock,
            born: self.target.born,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }
}
