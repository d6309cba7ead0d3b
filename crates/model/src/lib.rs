//! Types that the other crates of trackcrank share: ids, times, resources, jobs and settings.

#![warn(missing_docs)]

pub mod ids;
pub mod job;
pub mod resources;
pub mod settings;
pub mod time;

pub use ids::*;
pub use job::{InvalidJob, JobFieldProblem, JobSpec, RejectReason};
pub use resources::Resources;
pub use settings::Settings;
pub use time::{duration_from_secs, DurationExt, Timestamp};
pub use wire::users::{JobKind, JobState, Priority};
