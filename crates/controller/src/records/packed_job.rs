//! The stored form of an accepted job.

use serde::{Deserialize, Serialize};
use wire::users::{JobKind, JobRequest, Priority};

/// An accepted job on its page. It is stored as an array without field names, to fit many jobs into one
/// value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "PackedJobFields", into = "PackedJobFields")]
pub struct PackedJob {
    /// When the job was submitted, in ms on the controllers' common clock
    /// (`Controller::logical_time_ms`). Jobs are queued and counted against quotas in this order,
    /// whichever controller leads their partition.
    pub submitted_at_ms: u64,
    /// The submission as the user sent it.
    pub request: JobRequest,
}

impl PackedJob {
    /// Packs a submission.
    pub fn new(submitted_at_ms: u64, request: JobRequest) -> Self {
        PackedJob {
            submitted_at_ms,
            request,
        }
    }

    /// The job's id as the user wrote it.
    pub fn id(&self) -> &str {
        &self.request.id
    }
}

/// The array as it is stored. The order of its elements is part of the stored form.
#[derive(Serialize, Deserialize)]
struct PackedJobFields(
    /// `submitted_at_ms`
    u64,
    /// `id`
    String,
    /// `class`
    String,
    /// `team`
    String,
    JobKind,
    Priority,
    /// `task_count`
    u64,
    /// `cpus`, `gpus`, `memory_gb`
    [f64; 3],
    /// `image`
    String,
    /// `image_gb`
    f64,
    /// `one_zone`, `spread_over_zones`, `spot_allowed`
    [bool; 3],
    /// `estimated_run_time_s`, `checkpoint_interval_s`, `checkpoint_save_time_s`
    [f64; 3],
    /// `deadline_s`
    Option<f64>,
    /// `zone`
    Option<String>,
    /// `allowed_machine_types`
    Option<Vec<String>>,
);

impl From<PackedJob> for PackedJobFields {
    fn from(packed: PackedJob) -> Self {
        let job = packed.request;
        PackedJobFields(
            packed.submitted_at_ms,
            job.id,
            job.class,
            job.team,
            job.kind,
            job.priority,
            job.task_count,
            [job.cpus, job.gpus, job.memory_gb],
            job.image,
            job.image_gb,
            [job.one_zone, job.spread_over_zones, job.spot_allowed],
            [
                job.estimated_run_time_s,
                job.checkpoint_interval_s,
                job.checkpoint_save_time_s,
            ],
            job.deadline_s,
            job.zone,
            job.allowed_machine_types,
        )
    }
}

impl From<PackedJobFields> for PackedJob {
    fn from(fields: PackedJobFields) -> Self {
        let PackedJobFields(
            submitted_at_ms,
            id,
            class,
            team,
            kind,
            priority,
            task_count,
            [cpus, gpus, memory_gb],
            image,
            image_gb,
            [one_zone, spread_over_zones, spot_allowed],
            [estimated_run_time_s, checkpoint_interval_s, checkpoint_save_time_s],
            deadline_s,
            zone,
            allowed_machine_types,
        ) = fields;
        let request = JobRequest {
            id,
            class,
            team,
            kind,
            priority,
            task_count,
            cpus,
            gpus,
            memory_gb,
            image,
            image_gb,
            allowed_machine_types,
            zone,
            one_zone,
            spread_over_zones,
            spot_allowed,
            estimated_run_time_s,
            checkpoint_interval_s,
            checkpoint_save_time_s,
            deadline_s,
        };
        PackedJob {
            submitted_at_ms,
            request,
        }
    }
}
