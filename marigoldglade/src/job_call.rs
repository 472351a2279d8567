//! Calls for jobs as daemons hand them on: any daemon takes a call, the owner of the job's data
//! centre answers it.

use serde::{Deserialize, Serialize};

use crate::api::{JobSpec, JobView};
use crate::explain::Explanation;
use crate::time::UnixMs;
use crate::view;

/// A call for jobs of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// This caller submits a job.
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
    /// Show who holds which accelerators.
    Fleet,
}

/// What the owner answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is new and durable.
    Accepted(JobView),
    /// The job.
    View(JobView),
    /// Why the job stands where it stands.
    Explained(Explanation),
    /// The newest jobs.
    Views(Vec<JobView>),
    /// Who holds which accelerators.
    Fleet(view::Fleet),
}
