//! Calls about jobs that daemons forward to each other: any daemon takes a call, the owner of the
//! job's data centre answers it.

use serde::{Deserialize, Serialize};

use crate::api::{JobSpec, JobView};
use crate::explain::Explanation;
use crate::time::UnixMs;
use crate::view;

/// A call about jobs of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Submit a job for this caller.
    Submit(String, JobSpec),
    /// Cancel the job with this id.
    Cancel(String),
    /// Show the job with this id.
    Query(String),
    /// Show the job with this id once it has ended, or at the deadline.
    Wait(String, UnixMs),
    /// Explain the job with this id.
    Explain(String),
    /// Show the newest jobs.
    List,
    /// Show which accelerators the workspaces hold and which are free.
    Fleet,
}

/// The owner's answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is new and durable.
    Accepted(JobView),
    /// The job's present state.
    View(JobView),
    /// The job with the reasons for its state.
    Explained(Explanation),
    /// The newest jobs.
    Views(Vec<JobView>),
    /// The accelerators that the workspaces hold and the free ones.
    Fleet(view::Fleet),
}
