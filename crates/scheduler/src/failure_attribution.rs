//! Whether a machine or a job is to blame for failed tasks.
//!
//! Judged by variety: a machine on which tasks of different jobs fail is faulty, and a job whose
//! tasks fail on different machines without any success is suspect. A suspect job is probed with
//! one task at a time, ever more rarely, until one succeeds or its user cancels it; it is never
//! given up.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::{rank_of, EntryKey, JobProbe, PartitionState};
use model::DurationExt;
use model::{JobId, JobKind, MachineName, TaskId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Machines on which a job must have failed to be suspect.
const SUSPECT_AFTER_MACHINES: usize = 3;
/// Machines that are remembered of one job.
pub(crate) const MAX_FAILED_MACHINES: usize = 2 * SUSPECT_AFTER_MACHINES;
/// Time between the first two probes of a suspect job, which doubles up to a limit.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);
/// A task that has run for so much longer than twice the time in which others failed is sound.
const HEALTHY_RUN_MARGIN: Duration = Duration::from_secs(5);

impl Job {
    /// Whether it failed on several machines and never succeeded: then it says nothing about them.
    pub fn is_suspect(&self) -> bool {
        self.successes == 0 && self.failed_on.len() >= SUSPECT_AFTER_MACHINES
    }

    /// A task that was placed at `since` runs.
    pub(crate) fn seen_running(&mut self, since: Timestamp, now: Timestamp) {
        if self.is_suspect()
            && now.duration_since(since) > self.longest_failure * 2 + HEALTHY_RUN_MARGIN
        {
            self.successes += 1;
        }
    }
}

impl PartitionState {
    /// A task failed.
    pub(crate) fn task_error(&mut self, task: TaskId, name: &MachineName, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        *job.failures.entry(task.index).or_default() += 1;
        if let Some(placement) = job.placed.get(&task.index) {
            job.longest_failure = job
                .longest_failure
                .max(now.duration_since(placement.placed_at));
        }
        let suspect_before = job.is_suspect();
        if !job.failed_on.contains(name) {
            job.failed_on.push(name.clone());
        }
        let suspect = job.is_suspect();
        if job.failed_on.len() > MAX_FAILED_MACHINES {
            job.failed_on.remove(0);
        }
        if let Some(machine) = self.machines.get_mut(name) {
            *machine.failures_by_job.entry(task.job).or_default() += 1;
        }
        if suspect && !suspect_before {
            self.begin_probing(task.job, now);
            // What it has been blamed on is sound as far as this job goes.
            let blamed = |m: &&Machine| m.failures_by_job.contains_key(&task.job);
            let names: Vec<MachineName> = self
                .machines
                .values()
                .filter(blamed)
                .map(|m| m.name.clone())
                .collect();
            names.iter().for_each(|name| self.judge(name));
        } else {
            self.judge(name);
        }
    }

    /// Sets a machine aside, or takes it back.
    fn judge(&mut self, name: &MachineName) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let errors: u32 = machine
            .failures_by_job
            .iter()
            .map(|(id, count)| self.weight(id, *count))
            .sum();
        let quarantined = errors >= self.policy.quarantine_threshold;
        if quarantined != machine.quarantined {
            tracing::info!(machine = %name, quarantined, jobs = machine.failures_by_job.len(), "judged by what fails");
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.quarantined = quarantined;
        }
    }

    /// What a job's failures say about the machine: each of a job that runs elsewhere, the first
    /// of one that has yet to succeed, none of a suspect.
    fn weight(&self, id: &JobId, count: u32) -> u32 {
        match self.jobs.get(id) {
            Some(job) if job.is_suspect() => 0,
            Some(job) if job.successes > 0 => count,
            _ => count.min(1),
        }
    }

    /// Takes a suspect job out of the queue, so that it takes no room from sound work.
    pub(crate) fn begin_probing(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        tracing::info!(job = %id, "fails on every machine: probed from now on");
        let queued = std::mem::take(&mut job.cursor);
        self.unqueue(id, queued);
        self.job_probes.insert(
            id,
            JobProbe {
                next: now + INITIAL_PROBE_INTERVAL,
                pause: INITIAL_PROBE_INTERVAL,
            },
        );
    }

    /// Queues probes that are due, and all of a job that has succeeded.
    pub(crate) fn queue_probes(&mut self, now: Timestamp) {
        if self.job_probes.is_empty() {
            return;
        }
        let mut job_probes: BTreeMap<JobId, JobProbe> = std::mem::take(&mut self.job_probes);
        let mut cleared = Vec::new();
        job_probes.retain(|id, probe| {
            let Some(job) = self.jobs.get(id).filter(|j| !j.cancelled && !j.finishing) else {
                return false;
            };
            if !job.is_suspect() {
                cleared.push(*id);
                return false;
            }
            if now < probe.next {
                return true;
            }
            let open = |index: &u32| !job.is_done(*index) && !job.placed.contains_key(index);
            let entry = if job.spec.kind == JobKind::Gang {
                job.placed.is_empty().then_some(EntryKey::Gang(*id))
            } else {
                let index = (0..job.spec.tasks).find(open);
                index.map(|index| EntryKey::Task(TaskId { job: *id, index }))
            };
            if let Some(entry) = entry.filter(|entry| !self.queue.contains(*entry)) {
                self.queue.add(entry, rank_of(job));
            }
            probe.pause =
                Duration::from_millis(probe.pause.whole_millis() * 2).min(MAX_PROBE_INTERVAL);
            probe.next = now + probe.pause;
            true
        });
        self.job_probes = job_probes;
        for id in cleared {
            tracing::info!(job = %id, "succeeds after all");
            self.enqueue(id);
        }
    }
}
