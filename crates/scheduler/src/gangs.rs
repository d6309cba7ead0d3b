//! Gang scheduling: the tasks of a gang are placed all at once or not at all, and launched so that none
//! waits long for the others.

use crate::colocation::tasks_that_fit;
use crate::cycle::{fetch_time, score, PlacementFailure};
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use model::DurationExt;
use model::{JobId, JobKind, MachineName, TaskId, Timestamp, ZoneName};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use wire::workers::TaskState;

/// A machine with free capacity for tasks of a gang.
#[derive(Clone, Copy)]
struct FittingMachine<'a> {
    machine: &'a Machine,
    /// How many of the gang's tasks fit there.
    max_tasks: u64,
}

impl PartitionState {
    /// Places all tasks of a gang, or none.
    pub(crate) fn try_gang(&mut self, id: JobId, now: Timestamp) -> Result<(), PlacementFailure> {
        let Some(job) = self.jobs.get(&id) else {
            return Ok(());
        };
        // Tasks of the previous attempt occupy their machines and zones until they are gone.
        if job.cancelled || job.all_done() || !job.placed.is_empty() {
            return Ok(());
        }
        if !self.fits_limit(EntryKey::Gang(id), job, u64::from(job.spec.task_count)) {
            return Err(PlacementFailure::LimitReached);
        }
        let machines = self
            .machines_for_gang(job, now)
            .ok_or(PlacementFailure::NoFreeCapacity)?;
        let attempt = self.new_attempt();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.gang_started_at = None;
        }
        self.release_gang_reservation(id);
        for (index, machine) in machines.into_iter().enumerate() {
            let task = TaskId {
                job: id,
                index: index as u32,
            };
            self.place(task, &machine, attempt, now);
        }
        Ok(())
    }

    /// The machine for each task of a gang, or `None` if they do not all fit.
    fn machines_for_gang(&self, job: &Job, now: Timestamp) -> Option<Vec<MachineName>> {
        let wanted = u64::from(job.spec.task_count);
        let mut zones = self.fitting_machines_by_zone(job, now);
        if job.spec.one_zone {
            // The smallest zone that the whole gang fits into: the others remain for larger gangs.
            zones.retain(|machines| total_tasks(machines) >= wanted);
            zones.sort_by_key(|machines| total_tasks(machines));
            zones.truncate(1);
        } else {
            // The zone with the most capacity first, so that the gang spans as few zones as possible.
            zones.sort_by_key(|machines| Reverse(total_tasks(machines)));
        }
        let per_zone = u64::from(job.spec.max_tasks_per_zone());
        let mut chosen = Vec::new();
        for mut machines in zones {
            machines.sort_by_key(|fitting| (score(job, fitting.machine), &fitting.machine.name));
            let mut remaining = per_zone.min(wanted - chosen.len() as u64);
            for fitting in machines {
                let count = fitting.max_tasks.min(remaining);
                chosen.extend((0..count).map(|_| fitting.machine.name.clone()));
                remaining -= count;
            }
        }
        (chosen.len() as u64 == wanted).then_some(chosen)
    }

    /// The machines with free capacity for tasks of a gang: one list per zone, in the order of the zones' names.
    fn fitting_machines_by_zone(&self, job: &Job, now: Timestamp) -> Vec<Vec<FittingMachine<'_>>> {
        let entry = EntryKey::Gang(job.spec.id);
        let mut zones: BTreeMap<&ZoneName, Vec<FittingMachine>> = BTreeMap::new();
        let candidates = self
            .capacity_index
            .machines_with_capacity(&job.spec)
            .filter_map(|name| self.machines.get(name));
        for machine in candidates {
            if !self.admits(job, machine, now)
                || self.is_blocked_by_gang_reservation(job, machine, now)
            {
                continue;
            }
            let max_tasks = tasks_that_fit(job, machine, self.free_capacity_for(entry, machine))
                .min(machine.heartbeat_size.free_entries());
            if max_tasks > 0 {
                zones
                    .entry(&machine.zone)
                    .or_default()
                    .push(FittingMachine { machine, max_tasks });
            }
        }
        zones.into_values().collect()
    }

    /// Whether the launch of a gang's task on a machine that has the image is deferred because another task of
    /// the gang is fetching it for more than half of `gang_start_timeout`. A task launched at once would wait
    /// for the others for longer than that timeout, and the gang would be restarted again and again.
    pub(crate) fn defers_launch_for_fetches(&self, job: &Job, machine: &Machine) -> bool {
        if job.spec.kind != JobKind::Gang || !machine.has_image(&job.spec.image) {
            return false;
        }
        job.placed.values().any(|other| {
            let Some(machine) = self.machines.get(&other.machine) else {
                return false;
            };
            let is_fetching = matches!(other.last_status, None | Some(TaskState::Fetching));
            is_fetching && fetch_time(job, machine) * 2 > self.gang_start_timeout
        })
    }

    /// Records that a gang has started, when one of its tasks is first reported as running.
    pub(crate) fn record_gang_start(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.spec.kind != JobKind::Gang || job.gang_started_at.is_some() {
            return;
        }
        let waited_ms = now.duration_since(job.added_at).whole_millis();
        tracing::debug!(job = %id, class = job.spec.class, tasks = job.spec.task_count, waited_ms, "gang started");
        job.gang_started_at = Some(now);
    }

    /// Requests that commands are sent at once to the machines of a gang's tasks that are not launched yet.
    /// Called when one of the gang's tasks has fetched its image.
    pub(crate) fn trigger_deferred_launches(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let machines: Vec<MachineName> = job
            .placed
            .values()
            .filter(|placement| !placement.launch.is_launched() && placement.stop.is_none())
            .map(|placement| placement.machine.clone())
            .collect();
        self.urgent_machines.extend(machines);
    }
}

fn total_tasks(machines: &[FittingMachine]) -> u64 {
    machines.iter().map(|fitting| fitting.max_tasks).sum()
}
