//! Attribution of task failures to a machine or to a job.
//!
//! A machine on which tasks of different jobs fail is quarantined, and a job whose tasks fail on
//! different machines without any success is suspect. A suspect job is probed with one task at a time,
//! at growing intervals, until one succeeds or its user cancels it; it is never abandoned.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::{EntryKey, Rank};
use model::{JobId, JobKind, MachineName, TaskId, Timestamp};
use std::time::Duration;

/// Machines on which tasks of a job must have failed for the job to be suspect.
const SUSPECT_AFTER_MACHINES: usize = 3;
/// Machines that are remembered for one job.
pub(crate) const MAX_FAILED_MACHINES: usize = 2 * SUSPECT_AFTER_MACHINES;
/// A task is healthy if it has run for longer than twice the time in which others failed, plus this.
const HEALTHY_RUN_MARGIN: Duration = Duration::from_secs(5);

impl Job {
    /// Whether the job failed on several machines and never succeeded: then its failures prove nothing
    /// about the machines.
    pub fn is_suspect(&self) -> bool {
        self.successes == 0 && self.failed_on.len() >= SUSPECT_AFTER_MACHINES
    }

    fn record_failure(&mut self, index: u32, machine: &MachineName, now: Timestamp) {
        *self.failures.entry(index).or_default() += 1;
        if let Some(placement) = self.placed.get(&index) {
            let took = now.duration_since(placement.placed_at);
            self.longest_failure = self.longest_failure.max(took);
        }
        if !self.failed_on.contains(machine) {
            self.failed_on.push(machine.clone());
        }
    }

    /// Forgets the oldest failed machine if there are too many.
    fn limit_failed_machines(&mut self) {
        if self.failed_on.len() > MAX_FAILED_MACHINES {
            self.failed_on.remove(0);
        }
    }

    /// The queue entry of the next probe: one waiting task, or the whole gang.
    fn next_probe_entry(&self) -> Option<EntryKey> {
        let id = self.spec.id;
        if self.spec.kind == JobKind::Gang {
            return self.placed.is_empty().then_some(EntryKey::Gang(id));
        }
        let is_waiting = |index: &u32| !self.is_done(*index) && !self.placed.contains_key(index);
        let index = (0..self.spec.tasks).find(is_waiting)?;
        Some(EntryKey::Task(TaskId { job: id, index }))
    }

    /// A task that was placed at `placed_at` is running, which counts as a success if it has run for
    /// long enough.
    pub(crate) fn record_running(&mut self, placed_at: Timestamp, now: Timestamp) {
        if self.is_suspect()
            && now.duration_since(placed_at) > self.longest_failure * 2 + HEALTHY_RUN_MARGIN
        {
            self.successes += 1;
        }
    }
}

impl PartitionState {
    /// A task on the machine has failed.
    pub(crate) fn record_task_failure(&mut self, task: TaskId, name: &MachineName, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let was_suspect = job.is_suspect();
        job.record_failure(task.index, name, now);
        let has_become_suspect = job.is_suspect() && !was_suspect;
        job.limit_failed_machines();
        if let Some(machine) = self.machines.get_mut(name) {
            *machine.failures_by_job.entry(task.job).or_default() += 1;
        }
        if has_become_suspect {
            self.begin_probing(task.job, now);
            self.update_quarantine_for_job(task.job);
        } else {
            self.update_quarantine(name);
        }
    }

    /// The failures of a suspect job no longer count against the machines on which it failed.
    fn update_quarantine_for_job(&mut self, id: JobId) {
        let has_failed_job = |machine: &&Machine| machine.failures_by_job.contains_key(&id);
        let names: Vec<MachineName> = self
            .machines
            .values()
            .filter(has_failed_job)
            .map(|machine| machine.name.clone())
            .collect();
        for name in names {
            self.update_quarantine(&name);
        }
    }

    /// Quarantines a machine, or ends its quarantine.
    fn update_quarantine(&mut self, name: &MachineName) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let failures: u32 = machine
            .failures_by_job
            .iter()
            .map(|(id, count)| self.attributed_failures(id, *count))
            .sum();
        let quarantined = failures >= self.policy.quarantine_threshold;
        if quarantined != machine.quarantined {
            tracing::info!(machine = %name, quarantined, jobs = machine.failures_by_job.len(), "machine quarantine changed");
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.quarantined = quarantined;
        }
    }

    /// How many of a job's failures on a machine count against the machine: all of a job that runs
    /// elsewhere, one of a job that has yet to succeed, none of a suspect job.
    fn attributed_failures(&self, id: &JobId, count: u32) -> u32 {
        match self.jobs.get(id) {
            Some(job) if job.is_suspect() => 0,
            Some(job) if job.successes > 0 => count,
            _ => count.min(1),
        }
    }

    /// Removes a suspect job from the queue, so that it takes no capacity from other jobs.
    pub(crate) fn begin_probing(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        tracing::info!(job = %id, "job suspected: it fails on every machine and is probed from now on");
        let queued = std::mem::take(&mut job.next_index_to_queue);
        self.dequeue_job(id, queued);
        self.job_probes.start(id, now);
    }

    /// Queues one task of each suspect job whose probe is due, and all tasks of a job that has
    /// succeeded.
    pub(crate) fn queue_probes(&mut self, now: Timestamp) {
        if self.job_probes.is_empty() {
            return;
        }
        let mut job_probes = std::mem::take(&mut self.job_probes);
        let mut cleared = Vec::new();
        job_probes.retain(|id, probe| {
            let is_open = |job: &&Job| !job.cancelled && !job.finishing;
            let Some(job) = self.jobs.get(&id).filter(is_open) else {
                return false;
            };
            if !job.is_suspect() {
                cleared.push(id);
                return false;
            }
            if probe.is_due(now) {
                let entry = job.next_probe_entry();
                if let Some(entry) = entry.filter(|entry| !self.queue.contains(*entry)) {
                    self.queue.add(entry, Rank::of_job(job));
                }
                probe.back_off(now);
            }
            true
        });
        self.job_probes = job_probes;
        for id in cleared {
            tracing::info!(job = %id, "job no longer suspected");
            self.enqueue_job(id);
        }
    }
}
