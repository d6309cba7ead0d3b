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
const BEGINS: u64 = 50;
const ENDS: u64 = 25;

impl Job {
    /// Whether it waits for room and would be missed if it were late.
    fn is_awaited(&self) -> bool {
        !self.cancelled && !self.finishing && !self.best_effort() && self.waiting() > 0
    }
}

impl PartitionState {
    /// Notes whether there is a shortage, and sets jobs back as it asks for.
    pub fn look_for_shortage(&mut self) {
        let (mut waiting, mut patience) = (0, u64::MAX);
        for job in self.jobs.values() {
            let Some(goal) = job.goal.filter(|_| job.is_awaited()) else { continue };
            // What its team's limit keeps back is no want of machines.
            if self.quota_room(job, 1) {
                waiting +=
                    job.waiting() * job.spec.needs.milli_cpus * job.spec.estimate.whole_millis();
                patience = patience.min(goal.whole_millis());
            }
        }
        let mut cpus = 0;
        for machine in self.machines.values().filter(|m| m.is_up()) {
            cpus += machine.capacity.milli_cpus;
        }
        for job in self.jobs.values().filter(|job| job.spec.kind == JobKind::Service) {
            cpus = cpus.saturating_sub(job.placed.len() as u64 * job.spec.needs.milli_cpus);
        }
        let drain = waiting / cpus.max(1);
        let part = if self.short { ENDS } else { BEGINS };
        let short = waiting > 0 && drain > patience / 100 * part;
        if short != self.short {
            self.short = short;
            tracing::info!(short, drain_ms = drain, patience_ms = patience, "shortage");
        }
        let times = if short { self.policy.short_set_back } else { 0 };
        let change = |job: &Job| {
            let left =
                job.set_back.whole_millis() * job.waiting() / u64::from(job.spec.tasks.max(1));
            let put_back = Duration::from_millis(if job.is_awaited() { left * times } else { 0 });
            // What is left shrinks with each task; a new place in the order is worth its cost only now
            // and then.
            let far = put_back.whole_millis().abs_diff(job.put_back.whole_millis()) * 4
                > job.put_back.whole_millis();
            (put_back != job.put_back && (far || put_back == Duration::ZERO)).then_some(put_back)
        };
        let changed: Vec<(JobId, Duration)> =
            self.jobs.iter().filter_map(|(id, job)| Some((*id, change(job)?))).collect();
        for (id, put_back) in changed {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.put_back = put_back;
            if let Some(team) = self.teams.get_mut(&job.spec.team) {
                team.stale = true;
            }
            self.rerank(id);
        }
    }
}
