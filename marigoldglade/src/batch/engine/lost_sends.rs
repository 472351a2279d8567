//! Sends of starts that got no response, kept so that the log can tell where an unwanted run comes from.

use crate::batch::engine::workers::Worker;
use crate::batch::id::TaskId;
use crate::batch::worker::Start;
use crate::time::UnixMs;

/// How long lost sends are kept, in milliseconds: longer than TCP keeps sending what a closed
/// connection has left.
const KEPT_MS: u64 = 120_000;

/// The sends of a start that got no response.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostSends {
    pub task: TaskId,
    pub run: u64,
    /// How many sends got no response.
    pub count: u32,
    /// When the worker's process started that the last of them was sent to.
    pub started_at: u64,
    /// The latest deadline, on that process's clock.
    pub deadline: u64,
    /// When the last response was given up.
    pub lost_at: UnixMs,
}

impl Worker {
    /// Notes that a send of a start got no response.
    pub fn note_lost_send(&mut self, now: UnixMs, start: &Start) {
        let run = self.runs.get(&start.task).filter(|r| r.run == start.run);
        let started_at = run.map_or(self.target.started_at, |r| r.sent_to);
        self.lost_sends
            .retain(|s| !s.lost_at.after(KEPT_MS).passed(now));
        let known = self
            .lost_sends
            .iter_mut()
            .find(|s| (s.task, s.run) == (start.task, start.run));
        if let Some(sends) = known {
            sends.count += 1;
            sends.started_at = started_at;
            sends.deadline = sends.deadline.max(start.deadline);
            sends.lost_at = now;
            return;
        }
        self.lost_sends.push(LostSends {
            task: start.task,
            run: start.run,
            count: 1,
            started_at,
            deadline: start.deadline,
            lost_at: now,
        });
    }

    /// Returns the sends of a run's start that got no response; `None` if there were none lately.
    pub fn find_lost_sends(&self, task: &TaskId, run: u64) -> Option<&LostSends> {
        let same = |s: &&LostSends| s.task == *task && s.run == run;
        self.lost_sends.iter().find(same)
    }
}
