//! The filters that decide whether a machine is suitable for a waiting task.

use crate::colocation::tasks_that_fit;
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use crate::rejection::MachineRejection;
use crate::zones::zone_allowed;
use model::{Timestamp, ZoneName};
use std::cell::Cell;
use std::collections::BTreeMap;

/// A job avoids the machines on which its tasks failed only while these are fewer than this number, and
/// fewer than the partition's machines.
const MAX_AVOIDED_MACHINES: usize = 4;

/// The search for a machine for one entry. Holds what the filters need and is the same for all machines.
pub(crate) struct MachineSearch<'a> {
    partition: &'a PartitionState,
    entry: EntryKey,
    job: &'a Job,
    now: Timestamp,
    tasks_by_zone: BTreeMap<ZoneName, u32>,
    /// Waiting gangs to which the job leaves machines.
    gangs: Vec<&'a Job>,
    /// The rejection so far that came closest to a placement, which is the greatest.
    closest: Cell<Option<MachineRejection>>,
}

impl<'a> MachineSearch<'a> {
    pub(crate) fn new(
        partition: &'a PartitionState,
        entry: EntryKey,
        job: &'a Job,
        now: Timestamp,
    ) -> Self {
        MachineSearch {
            partition,
            entry,
            job,
            now,
            tasks_by_zone: partition.tasks_by_zone(job),
            gangs: partition.gangs_with_precedence(job, now),
            closest: Cell::new(None),
        }
    }

    /// Whether the task may be placed on the machine now; remembers the closest rejection.
    pub(crate) fn is_suitable(&self, machine: &Machine) -> bool {
        let rejection = self.rejection(machine);
        self.closest.set(self.closest.get().max(rejection));
        rejection.is_none()
    }

    /// The rejection that came closest to a placement. The search skips machines without enough free CPUs and
    /// GPUs: if it has checked none, the rejection is [`MachineRejection::NoFreeCapacity`].
    pub(crate) fn closest_rejection(&self) -> MachineRejection {
        self.closest
            .get()
            .unwrap_or(MachineRejection::NoFreeCapacity)
    }

    /// Why the task may not be placed on the machine now; `None` if it may.
    pub(crate) fn rejection(&self, machine: &Machine) -> Option<MachineRejection> {
        let (partition, job, now) = (self.partition, self.job, self.now);
        let free = partition.free_capacity_for(self.entry, machine);
        if tasks_that_fit(job, machine, free) == 0 {
            return Some(MachineRejection::NoFreeCapacity);
        }
        if let Some(rejection) = partition.admission_rejection(job, machine, now) {
            return Some(rejection);
        }
        if !zone_allowed(job, &machine.zone, &self.tasks_by_zone) {
            return Some(MachineRejection::Zone);
        }
        if partition.is_blocked_by_gang_reservation(job, machine, now) {
            return Some(MachineRejection::Reserved);
        }
        if partition.is_left_to_gangs(&self.gangs, machine, now) {
            return Some(MachineRejection::LeftToGang);
        }
        if partition.is_left_to_unplaced_jobs(job, machine, now) {
            return Some(MachineRejection::LeftToUnplacedJob);
        }
        None
    }
}

impl PartitionState {
    /// Whether a job may run on a machine, leaving aside free capacity, reservations and the zones of its
    /// other tasks.
    pub(crate) fn admits(&self, job: &Job, machine: &Machine, now: Timestamp) -> bool {
        self.admission_rejection(job, machine, now).is_none()
    }

    /// Why [`PartitionState::admits`] is false; `None` if it is true.
    fn admission_rejection(
        &self,
        job: &Job,
        machine: &Machine,
        now: Timestamp,
    ) -> Option<MachineRejection> {
        if !machine.usable(now, self.heartbeat_timeout()) {
            return Some(MachineRejection::Unusable);
        }
        if !job
            .spec
            .allows(&machine.machine_type, &machine.zone, machine.spot)
        {
            return Some(MachineRejection::NotAllowed);
        }
        let avoids_failed_machines =
            job.failed_on.len() < self.machines.len().min(MAX_AVOIDED_MACHINES);
        if avoids_failed_machines && job.failed_on.contains(&machine.name) {
            return Some(MachineRejection::FailedBefore);
        }
        if !self.admits_best_effort(job, machine) {
            return Some(MachineRejection::NotSpare);
        }
        None
    }

    /// For each reason, how many machines may not take the job's entry now because of it.
    pub(crate) fn rejection_counts(
        &self,
        entry: EntryKey,
        job: &Job,
        now: Timestamp,
    ) -> BTreeMap<MachineRejection, usize> {
        let search = MachineSearch::new(self, entry, job, now);
        let mut counts = BTreeMap::new();
        for rejection in self
            .machines
            .values()
            .filter_map(|machine| search.rejection(machine))
        {
            *counts.entry(rejection).or_default() += 1;
        }
        counts
    }
}
