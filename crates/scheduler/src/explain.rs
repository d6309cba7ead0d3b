//! What operators are told about a partition: why a job waits (admin API), and a periodic summary in the log.

use crate::colocation::tasks_that_fit;
use crate::job::Job;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use model::DurationExt;
use model::{JobId, JobKind, PartitionId, Timestamp};
use wire::workers::TaskState;

/// Maximum number of a job's queue entries that its explanation lists.
const MAX_EXPLAINED_ENTRIES: usize = 3;

/// Totals over the usable machines of a partition, in whole CPUs and GPUs.
#[derive(Debug, Default)]
struct MachineTotals {
    usable: u32,
    spot: u32,
    cpus: u64,
    cpus_used: u64,
    gpus: u64,
    gpus_used: u64,
}

impl PartitionState {
    /// Describes the state of a job and why it waits; `None` if the job is not known.
    pub fn explain(&self, id: JobId, now: Timestamp) -> Option<String> {
        let job = self.jobs.get(&id)?;
        let mut entries: Vec<EntryKey> = self
            .queue
            .keys()
            .filter(|entry| entry.job() == id)
            .collect();
        entries.sort_unstable();
        let queued: Vec<String> = entries
            .iter()
            .take(MAX_EXPLAINED_ENTRIES)
            .filter_map(|entry| {
                let (queue, failures) = self.queue.location(*entry)?;
                Some(format!("{queue} after {failures} failures"))
            })
            .collect();
        let reason = if !self.fits_quota_now(job, 1) {
            "the team's limit is reached"
        } else {
            ""
        };
        let machines = entries
            .first()
            .map(|entry| self.explain_machines(*entry, job, now))
            .unwrap_or_default();
        let gang = self.explain_gang(job, now);
        let is_stopping = |placement: &&crate::placement::Placement| placement.stop.is_some();
        let stopping = job.placed.values().filter(is_stopping).count();
        Some(format!(
            "{} done, {} placed ({} running, {stopping} stopping) of {}; \
             cancelled: {}, ending: {}, guaranteed: {}; queued: [{}] {reason}{gang}{machines}",
            job.done_count(),
            job.placed.len(),
            job.running_count(),
            job.spec.task_count,
            job.cancelled,
            job.finishing,
            job.guaranteed,
            queued.join(", "),
        ))
    }

    /// Describes why machines do not take a waiting task. Empty for gangs, which need several machines, and if
    /// the team's limit is reached.
    fn explain_machines(&self, entry: EntryKey, job: &Job, now: Timestamp) -> String {
        if job.spec.kind == JobKind::Gang || !self.fits_quota_now(job, 1) {
            return String::new();
        }
        let rejections: Vec<String> = self
            .rejection_counts(entry, job, now)
            .into_iter()
            .map(|(rejection, count)| format!("{rejection}: {count}"))
            .collect();
        format!(
            "; machines that do not take it: [{}]",
            rejections.join(", ")
        )
    }

    /// Describes the state of a gang or why it waits. Empty for other jobs.
    fn explain_gang(&self, job: &Job, now: Timestamp) -> String {
        if job.spec.kind != JobKind::Gang || job.all_done() {
            return String::new();
        }
        if !job.placed.is_empty() {
            return explain_placed_gang(job);
        }
        if let Some(reservation) = self.gang_reservations.get(&job.spec.id) {
            let first_machine = reservation
                .machines
                .keys()
                .next()
                .and_then(|name| self.machines.get(name));
            let zone = first_machine
                .map(|machine| machine.zone.to_string())
                .unwrap_or_default();
            return format!(
                "{} machines are kept for it (the first in {zone}), free in {} s",
                reservation.machines.len(),
                reservation.ready_at.duration_since(now).whole_millis() / 1_000,
            );
        }
        let capacity: u64 = self
            .machines
            .values()
            .filter(|machine| self.admits(job, machine, now))
            .map(|machine| tasks_that_fit(job, machine, machine.capacity))
            .sum();
        format!(
            "nothing is kept for it: the machines of its partition hold {capacity} of its {} tasks at most, \
             those kept for gangs before it included",
            job.spec.task_count
        )
    }

    /// Logs how full the partition's machines are, and the waiting and demanded tasks.
    pub fn log_summary(&self, partition: PartitionId, now: Timestamp) {
        let totals = self.machine_totals(now);
        let fetching = self
            .jobs
            .values()
            .flat_map(|job| job.placed.values())
            .filter(|placement| placement.last_status == Some(TaskState::Fetching))
            .count();
        let demand: u64 = self.demand(now).iter().map(|shape| shape.task_count).sum();
        tracing::debug!(
            %partition,
            machines = self.machines.len(),
            usable = totals.usable,
            spot = totals.spot,
            cpus = totals.cpus,
            cpus_used = totals.cpus_used,
            gpus = totals.gpus,
            gpus_used = totals.gpus_used,
            fetching,
            demand,
            queued = ?self.queue.pending().map(|(_, count)| count),
            "partition summary"
        );
    }

    /// Adds up the usable machines.
    fn machine_totals(&self, now: Timestamp) -> MachineTotals {
        let mut totals = MachineTotals::default();
        let heartbeat_timeout = self.heartbeat_timeout();
        for machine in self.machines.values() {
            if !machine.usable(now, heartbeat_timeout) {
                continue;
            }
            totals.usable += 1;
            totals.spot += u32::from(machine.spot);
            totals.cpus += machine.capacity.milli_cpus / 1000;
            totals.cpus_used += machine.used.milli_cpus / 1000;
            totals.gpus += machine.capacity.milli_gpus / 1000;
            totals.gpus_used += machine.used.milli_gpus / 1000;
        }
        totals
    }
}

/// Describes the state of a gang whose tasks are placed.
fn explain_placed_gang(job: &Job) -> String {
    let ready = job
        .placed
        .values()
        .filter(|placement| placement.last_status == Some(TaskState::Waiting))
        .count();
    let state = if job.gang_started_at.is_some() {
        "it has begun"
    } else {
        "it gathers"
    };
    format!(
        "{state}: {ready} of {} tasks wait for the others",
        job.spec.task_count
    )
}
