//! What the stand-ins of workers have recorded: which runs began, ended and were acknowledged, and when.

use std::collections::BTreeMap;
use std::time::Instant;

use marigoldglade::batch::id::TaskId;
use marigoldglade::batch::worker::Outcome;
use standin::batch_worker::WorkerEvent;

use crate::cluster::Cluster;

/// How much earlier than it is recorded an event of a worker may have happened, in milliseconds.
pub const RECORD_MS: u64 = 12;

/// An event on a worker, by the worker's index, with the milliseconds since the test's start.
pub type Event = (u64, usize, WorkerEvent);

pub fn worker_events(cluster: &Cluster, start: Instant) -> Vec<Event> {
    let workers = cluster.workers.iter().enumerate();
    workers
        .flat_map(|(i, w)| w.timeline(start).into_iter().map(move |(at, e)| (at, i, e)))
        .collect()
}

/// Returns the events that concern a task, for messages.
pub fn events_of(events: &[Event], task: TaskId) -> Vec<&Event> {
    let about = |event: &WorkerEvent| match event {
        WorkerEvent::Started(t, _) | WorkerEvent::Ended(_, t, _, _) => *t == task,
        WorkerEvent::Acknowledged(_) => false,
    };
    events.iter().filter(|(_, _, e)| about(e)).collect()
}

/// Checks that no task ever had two runs at once.
pub fn check_runs(cluster: &Cluster, start: Instant) {
    assert_eq!(find_overlap(worker_events(cluster, start)), None);
}

/// Returns what is known of a task that had two runs at once, if there is one. The events of each worker
/// come in the order in which they happened.
pub fn find_overlap(events: Vec<Event>) -> Option<String> {
    // The order of events on different workers in the same millisecond isn't known, so ends are put before
    // starts; but what one worker did with a task stays in its order.
    let mut phases: BTreeMap<(u64, usize, TaskId), u32> = BTreeMap::new();
    let mut phase = |(at, worker, event): &Event| {
        let (task, parity) = match event {
            WorkerEvent::Ended(_, task, _, _) => (*task, 0),
            WorkerEvent::Started(task, _) => (*task, 1),
            WorkerEvent::Acknowledged(_) => return 0,
        };
        let phase = phases.entry((*at, *worker, task)).or_insert(parity);
        *phase += u32::from(*phase % 2 != parity);
        *phase
    };
    let mut events: Vec<(u32, Event)> = events.into_iter().map(|e| (phase(&e), e)).collect();
    events.sort_by_key(|(phase, (at, _, _))| (*at, *phase));
    let events: Vec<Event> = events.into_iter().map(|(_, event)| event).collect();
    let mut running: BTreeMap<TaskId, usize> = BTreeMap::new();
    for (at, worker, event) in &events {
        match event {
            WorkerEvent::Started(task, run) => {
                if let Some(other) = running.insert(*task, *worker) {
                    return Some(format!(
                        "{task} started run {run} on {worker} at {at} ms, while it ran on {other}: {:?}",
                        events_of(&events, *task)
                    ));
                }
            }
            WorkerEvent::Ended(_, task, _, _) => {
                if running.get(task) == Some(worker) {
                    running.remove(task);
                }
            }
            WorkerEvent::Acknowledged(_) => {}
        }
    }
    None
}

/// A task that started after a run of it was done whose completion was acknowledged.
#[derive(Debug, PartialEq, Eq)]
pub struct Repeat {
    pub task: TaskId,
    /// When the run was done, in milliseconds.
    pub ended_at: u64,
    /// The worker on which it was done.
    pub worker: usize,
}

/// Returns a task that started after a run of it was done whose completion was acknowledged then or
/// later, unless the worker's leases had expired between the two.
pub fn find_repeat(cluster: &Cluster, events: &[Event], start: Instant) -> Option<Repeat> {
    let mut done: Vec<(TaskId, u64, usize)> = Vec::new();
    for (worker, standin) in cluster.workers.iter().enumerate() {
        let lapses = standin.lapses(start);
        let has_lapsed =
            |from: u64, to: u64| lapses.iter().any(|at| at + RECORD_MS >= from && *at <= to);
        let mut held: Vec<(u64, TaskId, u64)> = Vec::new();
        for (at, _, event) in events.iter().filter(|(_, i, _)| *i == worker) {
            match event {
                WorkerEvent::Ended(number, task, _, Outcome::Done) if *number > 0 => {
                    held.push((*number, *task, *at));
                }
                WorkerEvent::Acknowledged(acked) => {
                    held.retain(|(_, _, ended_at)| !has_lapsed(*ended_at, *at));
                    let ended = held.extract_if(.., |(number, _, _)| *number <= *acked);
                    done.extend(ended.map(|(_, task, at)| (task, at, worker)));
                }
                WorkerEvent::Started(..) | WorkerEvent::Ended(..) => {}
            }
        }
    }
    let starts_again = |(task, ended_at, _): &(TaskId, u64, usize)| {
        events.iter().any(|(at, _, event)| {
            matches!(event, WorkerEvent::Started(t, _) if t == task) && *at > ended_at + RECORD_MS
        })
    };
    let (task, ended_at, worker) = done.into_iter().find(starts_again)?;
    Some(Repeat {
        task,
        ended_at,
        worker,
    })
}
