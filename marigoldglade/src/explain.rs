//! Explains a job's state: [`explain`] turns the job's record into an [`Explanation`].

use serde::{Deserialize, Serialize};

use crate::api::JobView;
use crate::plan::Reason;
use crate::record::{JobId, ReasonEntry, Record};
use crate::store::Revision;
use crate::time::UnixMs;

/// Returns a reason as a sentence.
#[must_use]
pub fn describe_reason(reason: &Reason) -> String {
    match reason {
        Reason::Accepted => "it was accepted".to_owned(),
        Reason::Placed(version) => format!("a place was found under configuration {version}"),
        Reason::NoBlock(accels, holders) => describe_no_block(*accels, holders),
        Reason::Reserved => {
            "it waits for accelerators that are reserved for another gang".to_owned()
        }
        Reason::Reclaiming => "it waits for other gangs to stop or finish".to_owned(),
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

fn describe_no_block(accels: u32, holders: &[String]) -> String {
    let text = format!("it waits for {accels} adjacent accelerators");
    if holders.is_empty() {
        return text;
    }
    format!("{text}, most of them held by {}", holders.join(", "))
}

/// A recorded reason as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonLine {
    /// When the reason arose.
    pub at: UnixMs,
    /// The version of the configuration that was in force.
    pub config: Revision,
    /// The reason as a value.
    pub reason: Reason,
    /// The reason as a sentence.
    pub text: String,
}

/// A job with the reasons for its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    #[serde(flatten)]
    pub view: JobView,
    /// The recorded reasons, oldest first.
    pub reasons: Vec<ReasonLine>,
}

/// Explains a job from its record.
#[must_use]
pub fn explain(id: &JobId, record: &Record) -> Explanation {
    let line = |e: &ReasonEntry| ReasonLine {
        at: e.at,
        config: e.config,
        reason: e.reason.clone(),
        text: describe_reason(&e.reason),
    };
    Explanation {
        view: record.view(id),
        reasons: record.reasons.iter().map(line).collect(),
    }
}
