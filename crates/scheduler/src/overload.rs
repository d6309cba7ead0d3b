//! The order under shortage: what is short goes first, more so than usual.
//!
//! While machines are to be had the order is that of submissions, each set back a little by its size,
//! and hardly anything is late. Where there are too few for long, that order makes everybody late,
//! since those who are late already go first. So while what waits would take the machines there are for
//! longer than the users' patience, jobs are set back by a larger multiple of what is left of them: most
//! of the jobs are in time then, at the cost of the few that are large. Nobody waits for ever by that:
//! whatever is submitted later than the time by which a job is set back goes behind it.

use crate::job::Job;
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{JobId, JobKind};
use std::time::Duration;

/// Shortage begins when what waits takes more than so many hundredths of the users' patience, and ends
/// below the other.
const OVERLOAD_START_PERCENT: u64 = 50;
const OVERLOAD_END_PERCENT: u64 = 25;

impl Job {
    /// Whether it waits for room and would be missed if it were late.
    fn is_awaited(&self) -> bool {
        !self.cancelled && !self.finishing && !self.is_best_effort() && self.waiting() > 0
    }
}

impl PartitionState {
    /// Notes whether there is a shortage, and sets jobs back as it asks for.
    pub fn update_overload(&mut self) {
        let (mut waiting, mut patience) = (0, u64::MAX);
        for job in self.jobs.values() {
            let Some(completion_objective) = job.completion_objective.filter(|_| job.is_awaited())
            else {
                continue;
            };
            // What its team's limit keeps back is no want of machines.
            if self.fits_quota_now(job, 1) {
                waiting +=
                    job.waiting() * job.spec.needs.milli_cpus * job.spec.estimate.whole_millis();
                patience = patience.min(completion_objective.whole_millis());
            }
        }
        let mut cpus = 0;
        for machine in self.machines.values().filter(|m| m.is_up()) {
            cpus += machine.capacity.milli_cpus;
        }
        for job in self
            .jobs
            .values()
            .filter(|job| job.spec.kind == JobKind::Service)
        {
            cpus = cpus.saturating_sub(job.placed.len() as u64 * job.spec.needs.milli_cpus);
        }
        let drain = waiting / cpus.max(1);
        let part = if self.overloaded {
            OVERLOAD_END_PERCENT
        } else {
            OVERLOAD_START_PERCENT
        };
        let overloaded = waiting > 0 && drain > patience / 100 * part;
        if overloaded != self.overloaded {
            self.overloaded = overloaded;
            tracing::info!(
                overloaded,
                drain_ms = drain,
                patience_ms = patience,
                "shortage"
            );
        }
        let times = if overloaded {
            self.policy.overload_penalty_factor
        } else {
            0
        };
        let change = |job: &Job| {
            let left =
                job.size_penalty.whole_millis() * job.waiting() / u64::from(job.spec.tasks.max(1));
            let overload_penalty =
                Duration::from_millis(if job.is_awaited() { left * times } else { 0 });
            // What is left shrinks with each task; a new place in the order is worth its cost only now
            // and then.
            let far = overload_penalty
                .whole_millis()
                .abs_diff(job.overload_penalty.whole_millis())
                * 4
                > job.overload_penalty.whole_millis();
            (overload_penalty != job.overload_penalty
                && (far || overload_penalty == Duration::ZERO))
                .then_some(overload_penalty)
        };
        let changed: Vec<(JobId, Duration)> = self
            .jobs
            .iter()
            .filter_map(|(id, job)| Some((*id, change(job)?)))
            .collect();
        for (id, overload_penalty) in changed {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.overload_penalty = overload_penalty;
            if let Some(team) = self.teams.get_mut(&job.spec.team) {
                team.stale = true;
            }
            self.update_ranks(id);
        }
    }
}
