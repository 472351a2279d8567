//! A job's record flows in, lines that tell an operator why it stands where it stands flow out.

use crate::plan::Reason;
use crate::record::{Id, Record};

/// Returns a reason as a sentence.
#[must_use]
pub fn sentence(reason: &Reason) -> String {
    match reason {
        Reason::Accepted => "it was accepted".to_owned(),
        Reason::Placed(version) => format!("a place was found under configuration {version}"),
        Reason::NoBlock(accels, holders) => no_block(*accels, holders),
        Reason::Reserved => "it waits for room that is reserved for another gang".to_owned(),
        Reason::Reclaiming => "it waits for others to stop".to_owned(),
        Reason::AtQuota => "its workspace is at its quota".to_owned(),
        Reason::Parked => "no live worker could hold it".to_owned(),
        Reason::Preempted(workspace, selector) if selector.is_empty() => {
            format!("it yielded to workspace {workspace}")
        }
        Reason::Preempted(workspace, selector) => {
            format!("it yielded to workspace {workspace} by the selector '{selector}'")
        }
        Reason::StartFailed(vm) => format!("worker {vm} refused or failed to start it"),
        Reason::WorkerLost(vm) => format!("worker {vm}, which ran it, is gone"),
        Reason::TaskFailed(vm) => format!("a task failed on worker {vm}"),
        Reason::Cancelled => "it was cancelled".to_owned(),
        Reason::Expired => "its deadline passed".to_owned(),
        Reason::OwnerChanged(epoch) => format!("its owner changed to epoch {epoch}"),
        Reason::Done => "all its tasks are done".to_owned(),
        Reason::Unknown => "whether it ran can't be known".to_owned(),
    }
}

fn no_block(accels: u32, holders: &[String]) -> String {
    let missing = format!("it waits for {accels} adjacent accelerators");
    if holders.is_empty() {
        return missing;
    }
    format!("{missing}, most of them held by {}", holders.join(", "))
}

/// Returns the lines that explain a job: where it stands, then each reason with its time in
/// milliseconds since the Unix epoch and the version of the configuration that decided.
#[must_use]
pub fn lines(id: &Id, record: &Record) -> Vec<String> {
    let shape = record.spec.shape;
    let mut lines = vec![
        format!("job {id}: {}", record.state),
        format!(
            "shape: {} tasks of {} accelerators, submitted by {} at {}",
            shape.tasks, shape.accels, record.caller, record.since.0
        ),
    ];
    if record.attempt > 0 {
        let vms = record.vms.join(", ");
        lines.push(format!("start {} on {vms}", record.attempt));
    }
    lines.extend(record.reasons.iter().map(|e| {
        let text = sentence(&e.reason);
        format!("{} configuration {}: {text}", e.at.0, e.config)
    }));
    lines
}
