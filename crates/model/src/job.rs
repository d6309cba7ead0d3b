//! Jobs: checking what users submit.

use crate::duration_from_secs;
use crate::{JobId, JobKind, Priority, Resources, Settings, TeamName, ZoneName};
use std::time::Duration;
use thiserror::Error;
use wire::cloud::MachineType;
use wire::users::JobRequest;

/// Most tasks a job may have.
pub const MAX_TASKS: u64 = 100_000;

/// A checked job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    pub id: JobId,
    pub class: String,
    pub team: TeamName,
    pub kind: JobKind,
    pub priority: Priority,
    pub tasks: u32,
    pub needs: Resources,
    pub image: std::sync::Arc<str>,
    pub image_gb: f64,
    pub types: Option<Vec<String>>,
    pub zone: Option<ZoneName>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate: Duration,
    pub checkpoint: Duration,
    pub save: Duration,
    pub deadline: Option<Duration>,
}

/// A field that makes a submission malformed (400).
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("field `{field}`: {problem}")]
pub struct InvalidJob {
    pub field: &'static str,
    pub problem: &'static str,
}

/// Why a well-formed job can never run (422).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RejectReason {
    #[error("unknown team")]
    UnknownTeam,
    #[error("a task fits no allowed machine type")]
    FitsNoMachine,
    #[error("the job needs more than the team's limit")]
    BeyondLimit,
}

fn amount(field: &'static str, value: f64) -> Result<f64, InvalidJob> {
    if value.is_finite() && (0.0..=1e9).contains(&value) {
        Ok(value)
    } else {
        Err(InvalidJob {
            field,
            problem: "must be a number from 0",
        })
    }
}

fn named(field: &'static str, value: &str) -> Result<(), InvalidJob> {
    if value.is_empty() || value.len() > 200 {
        Err(InvalidJob {
            field,
            problem: "must have 1 to 200 characters",
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
            problem: "must look like j-000412",
        })?;
        if request.tasks == 0 || request.tasks > MAX_TASKS {
            return Err(InvalidJob {
                field: "pieces",
                problem: "must be from 1 to 100000",
            });
        }
        named("lane", &request.class)?;
        named("crew", &request.team)?;
        named("bundle", &request.image)?;
        if let Some(zone) = &request.zone {
            named("yard", zone)?;
        }
        for kind in request.types.iter().flatten() {
            named("rigs", kind)?;
        }
        let cpus = amount("vcpus", request.cpus)?;
        let gpus = amount("gpus", request.gpus)?;
        let memory = amount("ram_gb", request.memory_gb)?;
        if cpus == 0.0 && gpus == 0.0 && memory == 0.0 {
            return Err(InvalidJob {
                field: "vcpus",
                problem: "a task must take something",
            });
        }
        let deadline = match request.deadline_s {
            Some(seconds) => Some(duration_from_secs(amount("due_s", seconds)?)),
            None => None,
        };
        Ok(JobSpec {
            id,
            class: request.class.clone(),
            team: TeamName::from(request.team.as_str()),
            kind: request.kind,
            priority: request.priority,
            tasks: request.tasks as u32,
            needs: Resources::needed(cpus, gpus, memory),
            image: request.image.as_str().into(),
            image_gb: amount("pull_gb", request.image_gb)?,
            types: request.types.clone(),
            zone: request.zone.as_deref().map(ZoneName::from),
            one_zone: request.one_zone,
            spread: request.spread,
            spot: request.spot,
            estimate: duration_from_secs(amount("expect_s", request.estimate_s)?),
            checkpoint: duration_from_secs(amount("notch_s", request.checkpoint_s)?),
            save: duration_from_secs(amount("stash_s", request.save_s)?),
            deadline,
        })
    }
}

impl JobSpec {
    /// Whether a machine of this type, zone and kind may run the job's tasks.
    pub fn allows(&self, machine_type: &str, zone: &ZoneName, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|name| name == machine_type))
    }

    /// Whether a task fits a machine of this type where the job allows one.
    fn fits_type(&self, kind: &MachineType) -> bool {
        let mut zones = kind.zones.iter().map(|zone| ZoneName::from(zone.as_str()));
        zones.any(|zone| self.allows(&kind.name, &zone, false))
            && self
                .needs
                .fits(&Resources::offered(kind.cpus, kind.gpus, kind.memory_gb))
    }

    /// Whether another job's tasks ask the same of their machines.
    pub fn is_placed_like(&self, other: &JobSpec) -> bool {
        (self.needs, &self.types, &self.zone, self.spot)
            == (other.needs, &other.types, &other.zone, other.spot)
    }

    /// Whether there is a type that holds its tasks and none of the other job's.
    pub fn fits_other_type(&self, other: &JobSpec, types: &[MachineType]) -> bool {
        types
            .iter()
            .any(|kind| self.fits_type(kind) && !other.fits_type(kind))
    }

    /// Whether it takes no GPUs and has machines without any to run on.
    pub fn does_without_gpus(&self, types: &[MachineType]) -> bool {
        let plain = types.iter().filter(|kind| kind.gpus == 0.0);
        self.needs.milli_gpus == 0 && plain.into_iter().any(|kind| self.fits_type(kind))
    }

    /// Whether the whole job must run at one time (its limit check counts all tasks).
    pub fn all_at_once(&self) -> bool {
        self.kind != JobKind::Array
    }

    /// Whether it runs in what others leave: work of any higher priority goes first, and the
    /// fleet grows for it only where machines are cheap. What has a deadline is expected at a time,
    /// whatever its priority: GPU arrays of low priority waited for 553 s at the median, for cheap
    /// machines that were not to be had (`docs/incidents/2026-12-02-low-with-a-deadline.md`).
    pub fn is_best_effort(&self) -> bool {
        self.kind == JobKind::Array && self.priority == Priority::Low && self.deadline.is_none()
    }

    /// Most tasks that one zone may hold at a time.
    pub fn zone_limit(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether the job can ever run here.
    pub fn check(&self, settings: &Settings, types: &[MachineType]) -> Result<(), RejectReason> {
        let team = settings.team(&self.team).ok_or(RejectReason::UnknownTeam)?;
        if !types.iter().any(|kind| self.fits_type(kind)) {
            return Err(RejectReason::FitsNoMachine);
        }
        let at_once = if self.all_at_once() {
            u64::from(self.tasks)
        } else {
            1
        };
        if !self.needs.times(at_once).fits_quota(&team.limit) {
            return Err(RejectReason::BeyondLimit);
        }
        Ok(())
    }
}
