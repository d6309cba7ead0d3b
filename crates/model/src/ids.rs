//! Types of ids, names, versions and tokens, so that the compiler tells them apart.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Defines a type that wraps a number.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

/// Defines a type that wraps a name, which is cheap to clone.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub std::sync::Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

number_type!(
    /// Fencing token: entitles a controller to send commands to a machine. Workers drop commands with a
    /// lower token than the highest that they have received. Terms are drawn from the same counter.
    FencingToken
);
number_type!(
    /// Number of an attempt to run a task, or all tasks of a gang.
    Attempt
);
number_type!(
    /// Version of a key in the state service: the revision of its last write, or 0 if it does not exist.
    Version
);
number_type!(
    /// Revision of the whole state service.
    Revision
);
number_type!(
    /// Id of a lease in the state service.
    LeaseId
);
number_type!(
    /// Worker epoch: it increases whenever the worker's lease expires.
    WorkerEpoch
);
number_type!(
    /// Sequence number of a worker's message within the lifetime of the worker.
    SequenceNumber
);
number_type!(
    /// Correlates a request to another service with its response.
    CallId
);

name_type!(
    /// Name of a controller.
    ControllerName
);
name_type!(
    /// Name of a rented machine.
    MachineName
);
name_type!(
    /// Name of a team.
    TeamName
);
name_type!(
    /// Name of a zone.
    ZoneName
);

/// Number of a partition, which consists of a fixed set of teams and a share of the machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartitionId(pub u32);

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Minimum number of digits in a job's id; smaller numbers are padded with zeros.
const MIN_JOB_ID_DIGITS: usize = 6;

/// Id of a job: `j-` and a number of at least six digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses an id; only the canonical form is accepted.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("j-")?;
        if digits.len() < MIN_JOB_ID_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        if digits.len() > MIN_JOB_ID_DIGITS && digits.starts_with('0') {
            return None;
        }
        digits.parse().ok().map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j-{:0width$}", self.0, width = MIN_JOB_ID_DIGITS)
    }
}

/// Id of a task, written as the id of its job and its index: `j-000412/3`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses an id such as `j-000412/3`.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.split_once('/')?;
        if index.is_empty() || !index.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        Some(TaskId {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
