//! Precedence of waiting gangs: a job that can run on machines of another type leaves the machines that a
//! waiting gang needs to that gang. Otherwise arrays would take each machine that becomes free, and would be
//! preempted as soon as there are enough machines for the gang.

use crate::colocation::tasks_that_fit;
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::{EntryKey, Rank};
use model::DurationExt;
use model::{JobId, JobKind, Timestamp};
use std::time::Duration;

/// How long after its submission a job that can run on other machines leaves machines to gangs. No job may
/// wait for 90 s while there is free capacity for it; the remaining 15 s are for its next scheduling attempt,
/// which may be 10 s away.
const GANG_PRECEDENCE_DURATION: Duration = Duration::from_secs(75);
/// Number of failed placements after which a gang takes precedence and machines are reserved for it.
pub(crate) const GANG_FAILURES_BEFORE_RESERVATION: u32 = 2;

impl PartitionState {
    /// Updates the list of gangs that have failed to fit and still wait; of gangs with the same placement
    /// requirements it contains the first only.
    pub(crate) fn update_waiting_gangs(&mut self) {
        self.waiting_gangs.clear();
        for (id, job) in &self.jobs {
            if job.spec.kind != JobKind::Gang
                || self.gang_failures(*id) < GANG_FAILURES_BEFORE_RESERVATION
            {
                continue;
            }
            let has_same_requirements = |other: &JobId| {
                self.jobs
                    .get(other)
                    .is_some_and(|other| other.spec.has_same_machine_requirements(&job.spec))
            };
            if !self.waiting_gangs.iter().any(has_same_requirements) {
                self.waiting_gangs.push(*id);
            }
        }
    }

    /// How often the placement of a queued gang has failed.
    pub(crate) fn gang_failures(&self, id: JobId) -> u32 {
        self.queue
            .location(EntryKey::Gang(id))
            .map_or(0, |(_, failures)| failures)
    }

    /// The waiting gangs to which a job leaves machines, since it can run on machines of another type. Usually
    /// there are none; of gangs with the same placement requirements only the first is returned.
    pub(crate) fn gangs_with_precedence(&self, job: &Job, now: Timestamp) -> Vec<&Job> {
        let age_ms = self
            .logical_time_ms(now)
            .saturating_sub(job.submitted_at_ms);
        if job.spec.kind == JobKind::Gang || age_ms > GANG_PRECEDENCE_DURATION.whole_millis() {
            return Vec::new();
        }
        let has_precedence = |gang: &&Job| {
            Rank::of_job(gang) < Rank::of_job(job)
                && job
                    .spec
                    .fits_type_unusable_for(&gang.spec, &self.machine_types)
        };
        self.waiting_gang_jobs().filter(has_precedence).collect()
    }

    /// Whether one of the gangs could use a machine, which is then left to it.
    pub(crate) fn is_left_to_gangs(
        &self,
        gangs: &[&Job],
        machine: &Machine,
        now: Timestamp,
    ) -> bool {
        gangs
            .iter()
            .any(|gang| self.could_run_gang(gang, machine, now))
    }

    /// Whether a machine is reserved for a gang, or is empty and could run tasks of a waiting gang.
    pub(crate) fn is_needed_by_gangs(&self, machine: &Machine, now: Timestamp) -> bool {
        machine.reserved_for_gang.is_some()
            || (machine.tasks.is_empty()
                && self
                    .waiting_gang_jobs()
                    .any(|gang| self.could_run_gang(gang, machine, now)))
    }

    /// Whether a machine could run tasks of a gang if it were empty.
    fn could_run_gang(&self, gang: &Job, machine: &Machine, now: Timestamp) -> bool {
        self.admits(gang, machine, now) && tasks_that_fit(gang, machine, machine.capacity) > 0
    }

    fn waiting_gang_jobs(&self) -> impl Iterator<Item = &Job> {
        self.waiting_gangs.iter().filter_map(|id| self.jobs.get(id))
    }
}
