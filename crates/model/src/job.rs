//! Specifications of jobs, and the validation of submissions.

use crate::{
    duration_from_secs, JobId, JobKind, Priority, Resources, Settings, TeamName, ZoneName,
};
use std::time::Duration;
use thiserror::Error;
use wire::cloud::MachineType;
use wire::users::JobRequest;

/// Maximum number of tasks of a job.
pub const MAX_TASKS_PER_JOB: u64 = 100_000;
/// Largest amount in a field of a submission.
const MAX_AMOUNT: f64 = 1e9;
/// Longest name in a field of a submission, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// A submitted job whose fields have been checked.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Id of the job.
    pub id: JobId,
    /// Class of the job, to which service-level objectives refer.
    pub class: String,
    /// Team that owns the job.
    pub team: TeamName,
    /// Kind of the job.
    pub kind: JobKind,
    /// Priority class.
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS_PER_JOB`].
    pub task_count: u32,
    /// Resources of one task.
    pub task_resources: Resources,
    /// Name of the image that the tasks run.
    pub image: std::sync::Arc<str>,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Machine types that are allowed; all if absent.
    pub allowed_machine_types: Option<Vec<String>>,
    /// Zone that is required; any if absent.
    pub zone: Option<ZoneName>,
    /// Whether all tasks must run in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    pub spread_over_zones: bool,
    /// Whether spot machines are allowed.
    pub spot_allowed: bool,
    /// Owner's estimate of a task's run time.
    pub estimated_run_time: Duration,
    /// Time between two checkpoints of a task; zero if it saves none.
    pub checkpoint_interval: Duration,
    /// Time that a task takes to save a checkpoint when it is stopped.
    pub checkpoint_save_time: Duration,
    /// Time after the submission within which the job should be finished.
    pub deadline: Option<Duration>,
}

/// A field that makes a submission malformed (status 400).
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("field `{field}`: {problem}")]
pub struct InvalidJob {
    /// Name of the field in the request.
    pub field: &'static str,
    /// What is wrong with the field.
    pub problem: JobFieldProblem,
}

/// What is wrong with a field of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum JobFieldProblem {
    /// The text is not the id of a job.
    #[error("must look like j-000412")]
    NotAJobId,
    /// The number of tasks is zero or above [`MAX_TASKS_PER_JOB`].
    #[error("must be from 1 to {MAX_TASKS_PER_JOB}")]
    TaskCount,
    /// The amount is negative, not finite or too large.
    #[error("must be a number from 0")]
    Amount,
    /// The name is empty or too long.
    #[error("must have 1 to {MAX_NAME_BYTES} characters")]
    NameLength,
    /// A task needs no CPUs, no GPUs and no memory.
    #[error("a task must take something")]
    NoResources,
}

/// Why a well-formed job can never run (status 422).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The settings name no such team.
    #[error("unknown team")]
    UnknownTeam,
    /// No allowed machine type has the resources of one task.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The resources that the job needs at the same time exceed the team's limit.
    #[error("the job needs more than the team's limit")]
    ExceedsTeamLimit,
}

fn checked_amount(field: &'static str, value: f64) -> Result<f64, InvalidJob> {
    if value.is_finite() && (0.0..=MAX_AMOUNT).contains(&value) {
        Ok(value)
    } else {
        Err(InvalidJob {
            field,
            problem: JobFieldProblem::Amount,
        })
    }
}

fn check_name(field: &'static str, value: &str) -> Result<(), InvalidJob> {
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        Err(InvalidJob {
            field,
            problem: JobFieldProblem::NameLength,
        })
    } else {
        Ok(())
    }
}

impl TryFrom<&JobRequest> for JobSpec {
    type Error = InvalidJob;

    fn try_from(request: &JobRequest) -> Result<Self, InvalidJob> {
        let id = JobId::parse(&request.id).ok_or(InvalidJob {
            field: "id",
            problem: JobFieldProblem::NotAJobId,
        })?;
        if request.task_count == 0 || request.task_count > MAX_TASKS_PER_JOB {
            return Err(InvalidJob {
                field: "pieces",
                problem: JobFieldProblem::TaskCount,
            });
        }
        check_name("lane", &request.class)?;
        check_name("crew", &request.team)?;
        check_name("bundle", &request.image)?;
        if let Some(zone) = &request.zone {
            check_name("yard", zone)?;
        }
        for machine_type in request.allowed_machine_types.iter().flatten() {
            check_name("rigs", machine_type)?;
        }
        let cpus = checked_amount("vcpus", request.cpus)?;
        let gpus = checked_amount("gpus", request.gpus)?;
        let memory = checked_amount("ram_gb", request.memory_gb)?;
        if cpus == 0.0 && gpus == 0.0 && memory == 0.0 {
            return Err(InvalidJob {
                field: "vcpus",
                problem: JobFieldProblem::NoResources,
            });
        }
        let deadline = match request.deadline_s {
            Some(seconds) => Some(duration_from_secs(checked_amount("due_s", seconds)?)),
            None => None,
        };
        Ok(JobSpec {
            id,
            class: request.class.clone(),
            team: TeamName::from(request.team.as_str()),
            kind: request.kind,
            priority: request.priority,
            task_count: request.task_count as u32,
            task_resources: Resources::needed(cpus, gpus, memory),
            image: request.image.as_str().into(),
            image_gb: checked_amount("pull_gb", request.image_gb)?,
            allowed_machine_types: request.allowed_machine_types.clone(),
            zone: request.zone.as_deref().map(ZoneName::from),
            one_zone: request.one_zone,
            spread_over_zones: request.spread_over_zones,
            spot_allowed: request.spot_allowed,
            estimated_run_time: duration_from_secs(checked_amount(
                "expect_s",
                request.estimated_run_time_s,
            )?),
            checkpoint_interval: duration_from_secs(checked_amount(
                "notch_s",
                request.checkpoint_interval_s,
            )?),
            checkpoint_save_time: duration_from_secs(checked_amount(
                "stash_s",
                request.checkpoint_save_time_s,
            )?),
            deadline,
        })
    }
}

impl JobSpec {
    /// Whether the job's tasks may run on a machine of this type in this zone; `spot` tells whether it is
    /// a spot machine.
    pub fn allows(&self, machine_type: &str, zone: &ZoneName, spot: bool) -> bool {
        (self.spot_allowed || !spot)
            && self.zone.as_ref().is_none_or(|required| required == zone)
            && self
                .allowed_machine_types
                .as_ref()
                .is_none_or(|types| types.iter().any(|name| name == machine_type))
    }

    /// Whether a task fits a machine of this type in a zone that the job allows.
    fn fits_type(&self, machine_type: &MachineType) -> bool {
        let mut zones = machine_type
            .zones
            .iter()
            .map(|zone| ZoneName::from(zone.as_str()));
        zones.any(|zone| self.allows(&machine_type.name, &zone, false))
            && self.task_resources.fits(&Resources::offered(
                machine_type.cpus,
                machine_type.gpus,
                machine_type.memory_gb,
            ))
    }

    /// Whether the tasks of both jobs have the same requirements for their machines.
    pub fn has_same_machine_requirements(&self, other: &JobSpec) -> bool {
        (
            self.task_resources,
            &self.allowed_machine_types,
            &self.zone,
            self.spot_allowed,
        ) == (
            other.task_resources,
            &other.allowed_machine_types,
            &other.zone,
            other.spot_allowed,
        )
    }

    /// Whether the tasks of this job fit some machine type that those of the other job do not fit.
    pub fn fits_type_unusable_for(&self, other: &JobSpec, machine_types: &[MachineType]) -> bool {
        machine_types
            .iter()
            .any(|machine_type| self.fits_type(machine_type) && !other.fits_type(machine_type))
    }

    /// Whether its tasks need no GPUs and fit some machine type without GPUs.
    pub fn fits_type_without_gpus(&self, machine_types: &[MachineType]) -> bool {
        self.task_resources.milli_gpus == 0
            && machine_types
                .iter()
                .any(|machine_type| machine_type.gpus == 0.0 && self.fits_type(machine_type))
    }

    /// Whether all tasks run at the same time, so that the quota check counts all of them.
    pub fn runs_all_tasks_at_once(&self) -> bool {
        self.kind != JobKind::Array
    }

    /// Whether the job is best-effort work, which uses capacity that other work leaves free, and for which
    /// the fleet is scaled out with spot machines only. A job with a deadline is never best-effort,
    /// whatever its priority: it could wait indefinitely for spot machines that the cloud does not have
    /// (`docs/incidents/2026-12-02-low-with-a-deadline.md`).
    pub fn is_best_effort(&self) -> bool {
        self.kind == JobKind::Array && self.priority == Priority::Low && self.deadline.is_none()
    }

    /// Maximum number of tasks that may run in one zone at the same time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread_over_zones {
            self.task_count.div_ceil(2)
        } else {
            self.task_count
        }
    }

    /// Checks whether the job can ever run with these settings and machine types.
    pub fn check_feasibility(
        &self,
        settings: &Settings,
        machine_types: &[MachineType],
    ) -> Result<(), RejectReason> {
        let team = settings.team(&self.team).ok_or(RejectReason::UnknownTeam)?;
        if !machine_types
            .iter()
            .any(|machine_type| self.fits_type(machine_type))
        {
            return Err(RejectReason::FitsNoMachineType);
        }
        let concurrent_tasks = if self.runs_all_tasks_at_once() {
            u64::from(self.task_count)
        } else {
            1
        };
        if !self
            .task_resources
            .times(concurrent_tasks)
            .fits_quota(&team.limit)
        {
            return Err(RejectReason::ExceedsTeamLimit);
        }
        Ok(())
    }
}
