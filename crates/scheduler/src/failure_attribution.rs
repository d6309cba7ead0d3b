//! Attribution of task failures to a machine or to a job.
//!
//! A machine on which tasks of different jobs fail is quarantined. A job whose tasks fail on different
//! machines without any success is suspect: one of its tasks at a time, or the whole gang, is tried as a
//! probe, at growing intervals, until one succeeds or the job is cancelled. A suspect job is never given
//! up.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::{EntryKey, Rank};
use model::{JobId, JobKind, MachineName, TaskId, Timestamp};
use std::time::Duration;

/// Number of machines on which tasks of a job must have failed before the job is suspect.
const SUSPECT_AFTER_MACHINES: usize = 3;
/// Maximum number of machines with failures that are remembered for one job.
pub(crate) const MAX_FAILED_MACHINES: usize = 2 * SUSPECT_AFTER_MACHINES;
/// A task of a suspect job counts as healthy once it has run for twice the longest time to failure, plus
/// this.
const HEALTHY_RUN_MARGIN: Duration = Duration::from_secs(5);

impl Job {
    /// Whether the job has failed on several machines and never succeeded: its failures then prove nothing
    /// about the machines.
    pub fn is_suspect(&self) -> bool {
        self.successes == 0 && self.failed_on.len() >= SUSPECT_AFTER_MACHINES
    }

    fn record_failure(&mut self, index: u32, machine: &MachineName, now: Timestamp) {
        *self.failures.entry(index).or_default() += 1;
        if let Some(placement) = self.placed.get(&index) {
            let time_to_failure = now.duration_since(placement.placed_at);
            self.longest_failure = self.longest_failure.max(time_to_failure);
        }
        if !self.failed_on.contains(machine) {
            self.failed_on.push(machine.clone());
        }
    }

    /// Forgets the machine that failed first if too many are remembered.
    fn limit_failed_machines(&mut self) {
        if self.failed_on.len() > MAX_FAILED_MACHINES {
            self.failed_on.remove(0);
        }
    }

    /// The queue entry for the next probe: one waiting task, or the whole gang; none if no entry waits.
    fn next_probe_entry(&self) -> Option<EntryKey> {
        let id = self.spec.id;
        if self.spec.kind == JobKind::Gang {
            return self.placed.is_empty().then_some(EntryKey::Gang(id));
        }
        let is_waiting = |index: &u32| !self.is_done(*index) && !self.placed.contains_key(index);
        let index = (0..self.spec.task_count).find(is_waiting)?;
        Some(EntryKey::Task(TaskId { job: id, index }))
    }

    /// Records that a task placed at `placed_at` is running. For a suspect job that counts as a success
    /// once the task has run for long enough.
    pub(crate) fn record_running(&mut self, placed_at: Timestamp, now: Timestamp) {
        if self.is_suspect()
            && now.duration_since(placed_at) > self.longest_failure * 2 + HEALTHY_RUN_MARGIN
        {
            self.successes += 1;
        }
    }
}

impl PartitionState {
    /// Records that a task has failed on a machine, and updates whether the job is suspect and which
    /// machines are quarantined.
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

    /// Updates the quarantine of the machines on which a job has failed: once the job is suspect, its
    /// failures no longer count against them.
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

    /// Quarantines a machine or ends its quarantine, depending on the failures that count against it.
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

    /// How many of a job's failures on a machine count against the machine: all if a task of the job
    /// has succeeded, one if none has yet, and none if the job is suspect.
    fn attributed_failures(&self, id: &JobId, count: u32) -> u32 {
        match self.jobs.get(id) {
            Some(job) if job.is_suspect() => 0,
            Some(job) if job.successes > 0 => count,
            _ => count.min(1),
        }
    }

    /// Removes a job that has become suspect from the queue, so that it takes no capacity from other jobs,
    /// and starts to probe it.
    pub(crate) fn begin_probing(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        tracing::info!(job = %id, "job suspect, probing started");
        let queued_count = std::mem::take(&mut job.next_index_to_queue);
        self.dequeue_job(id, queued_count);
        self.job_probes.start(id, now);
    }

    /// Queues a probe of each suspect job for which one is due, and queues all tasks of jobs that are no
    /// longer suspect.
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
            tracing::info!(job = %id, "job no longer suspect");
            self.enqueue_job(id);
        }
    }
}
