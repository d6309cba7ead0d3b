//! Identities, times, resources, jobs and settings of trackcrank.

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
