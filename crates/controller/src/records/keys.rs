//! Keys of the records in the state service.
//!
//! Keys are part of the stored form, which controllers of different builds share.

use model::{ControllerName, JobId, PartitionId};

/// Prefix of all records that every controller watches.
pub const WATCHED_PREFIX: &str = "s/";
/// Key of the counter of fencing tokens and terms.
pub const TOKEN_COUNTER_KEY: &str = "s/t";
/// Key of the machine types, as a fleet planner last read them from the cloud.
pub const MACHINE_TYPES_KEY: &str = "s/k";
/// Key of the settings that operators change at run time.
pub const TUNING_KEY: &str = "s/c";

/// Key of a page of accepted jobs. Only the given controller writes it.
pub fn accepted_jobs_key(controller: &ControllerName, page: u32) -> String {
    format!("{}{page:04}", accepted_jobs_prefix(controller))
}

/// Prefix of all pages of accepted jobs of a controller.
pub fn accepted_jobs_prefix(controller: &ControllerName) -> String {
    format!("s/j/{controller}/")
}

/// Key of a controller's cancellations. Only that controller writes it.
pub fn cancellations_key(controller: &ControllerName) -> String {
    format!("s/x/{controller}")
}

/// Key of a page of jobs in a terminal state.
pub fn terminal_jobs_key(partition: PartitionId, page: u32) -> String {
    format!("s/e/{partition}/{page:04}")
}

/// Key of a page of machines.
pub fn machines_key(page: u32) -> String {
    format!("s/m/{page:04}")
}

/// Key of a job's archived terminal state.
pub fn terminal_state_key(id: JobId) -> String {
    format!("f/{id}")
}

/// Key of a partition's leadership record.
pub fn partition_key(id: PartitionId) -> String {
    format!("s/p/{id}")
}

/// Key of the reclaim request of a partition's preferred leader. The record is bound to that
/// controller's lease.
pub fn reclaim_key(id: PartitionId) -> String {
    format!("s/w/{id}")
}

/// Key of a partition's unmet demand, for a fleet planner that the partition leader does not reach over
/// the mesh.
pub fn demand_key(id: PartitionId) -> String {
    format!("s/d/{id}")
}

/// Key of a controller's incarnation.
pub fn incarnation_key(controller: &ControllerName) -> String {
    format!("s/b/{controller}")
}

/// Prefix of all pages of a partition's placement log.
pub fn log_prefix(id: PartitionId) -> String {
    format!("l/{id}/")
}
