//! Users' requests that wait for reads of the state service.

use super::{Ticket, UserReply};
use model::{JobId, JobState, RejectReason, Timestamp};
use wire::users::JobStatus;

/// Seconds after which a user whose request is refused may retry.
pub(super) const RETRY_AFTER_S: u64 = 1;

/// A user's request that waits for a read of the state service.
#[derive(Debug, Clone)]
pub(crate) struct PendingRequest {
    pub(super) ticket: Ticket,
    pub(super) kind: RequestKind,
    pub(super) id: JobId,
    /// When the request arrived or, for an accepted submission, when its write was confirmed.
    pub(super) waiting_since: Timestamp,
}

/// What a waiting request asks for.
#[derive(Debug, Clone)]
pub(crate) enum RequestKind {
    Get,
    Cancel {
        /// How often the cancellation was retried after its write had not been applied.
        retries: u32,
    },
    /// A submission of a job that may have been accepted before.
    Resubmit {
        /// Why the job is rejected if it was not accepted before; without a reason the user is told to
        /// retry.
        rejection: Option<Rejection>,
    },
    /// A submission that this controller has accepted durably.
    Accepted,
}

/// Why a job that was not accepted before is rejected. The limits on which this depends may have been others
/// when it was accepted.
#[derive(Debug, Clone)]
pub(crate) enum Rejection {
    /// The job can never run.
    Unschedulable(RejectReason),
    /// The job's description does not fit on a page.
    TooLong,
}

impl From<Rejection> for UserReply {
    fn from(rejection: Rejection) -> Self {
        match rejection {
            Rejection::Unschedulable(reason) => UserReply::Rejected(reason),
            Rejection::TooLong => UserReply::Invalid("the job's description is too long".into()),
        }
    }
}

/// Status of a job without task counts.
pub(super) fn status_without_counts(id: JobId, state: JobState) -> JobStatus {
    JobStatus {
        id: id.to_string(),
        state,
        done: None,
        running: None,
    }
}
