//! Small types for ids, versions and tokens.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! number {
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

macro_rules! name {
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

number!(
    /// Entitlement of a controller to command a machine; terms are drawn from the same counter.
    FencingToken
);
number!(
    /// One start of a task, or of a whole gang.
    Attempt
);
number!(
    /// Version of a key in the state service; 0 says that the key does not exist.
    Version
);
number!(
    /// Revision of the whole state service.
    Revision
);
number!(
    /// Lease in the state service.
    LeaseId
);
number!(
    /// A worker's session.
    WorkerEpoch
);
number!(
    /// Number of a worker's message within its life.
    SequenceNumber
);
number!(
    /// Correlates a request of the deciding code with its answer.
    CallId
);

name!(
    /// A controller node.
    ControllerName
);
name!(
    /// A rented machine.
    MachineName
);
name!(
    /// A team.
    TeamName
);
name!(
    /// A zone.
    ZoneName
);

/// Number of a partition: fixed teams and a share of the machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartitionId(pub u32);

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A job's id: `j-` and a number of at least six digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Reads an id; only the one canonical spelling is accepted.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("j-")?;
        if digits.len() < 6 || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        if digits.len() > 6 && digits.starts_with('0') {
            return None;
        }
        digits.parse().ok().map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j-{:06}", self.0)
    }
}

/// A task: a job's id and the number of the task within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
    /// Reads `j-000412/3`.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.split_once('/')?;
        if index.is_empty() || !index.bytes().all(|b| b.is_ascii_digit()) {
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn job_ids_have_one_spelling() {
        assert_eq!(JobId::parse("j-000412"), Some(JobId(412)));
        assert_eq!(JobId(412).to_string(), "j-000412");
        assert_eq!(JobId::parse("j-1000000"), Some(JobId(1_000_000)));
        for bad in [
            "",
            "j-",
            "j-12",
            "j-0000412",
            "k-000412",
            "j-00041x",
            "j-+00412",
            "j-000412/1",
        ] {
            assert_eq!(JobId::parse(bad), None, "{bad}");
        }
        assert_eq!(
            TaskId::parse("j-000412/3"),
            Some(TaskId {
                job: JobId(412),
                index: 3
            })
        );
        assert_eq!(TaskId::parse("j-000412/"), None);
    }
}
