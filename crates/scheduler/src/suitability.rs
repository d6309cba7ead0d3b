//! Which machines suit a waiting task, and why the others do not.

use crate::colocation::tasks_that_fit;
use crate::cycle::zone_allowed;
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use model::{Timestamp, ZoneName};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;

/// A job avoids machines on which its tasks failed until it has failed on so many.
const MAX_AVOIDED_MACHINES: usize = 4;

/// Why a machine does not suit a waiting task. The filters are applied in this order, so of two rejections
/// the greater one came closer to a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineRejection {
    /// What is free there is too small, or belongs to an entry for which tasks are being preempted.
    NoFreeCapacity,
    /// It takes no tasks at present: it leaves, is quarantined, or has not been heard of lately.
    Unusable,
    /// The job does not run on its type, in its zone, or on spot machines.
    NotAllowed,
    /// Tasks of the job have failed on it.
    FailedBefore,
    /// Best-effort work runs on spare capacity only.
    NotSpare,
    /// The job's tasks have to run in one zone, or to be spread.
    Zone,
    /// It is reserved for a gang.
    Reserved,
    /// It is left to a gang that needs its type.
    LeftToGang,
    /// It is left to a job that backs off.
    LeftToUnplacedJob,
}

impl MachineRejection {
    /// All reasons, in their order.
    pub const ALL: [MachineRejection; 9] = [
        MachineRejection::NoFreeCapacity,
        MachineRejection::Unusable,
        MachineRejection::NotAllowed,
        MachineRejection::FailedBefore,
        MachineRejection::NotSpare,
        MachineRejection::Zone,
        MachineRejection::Reserved,
        MachineRejection::LeftToGang,
        MachineRejection::LeftToUnplacedJob,
    ];

    /// The reason's name in metrics and explanations.
    pub fn as_str(self) -> &'static str {
        match self {
            MachineRejection::NoFreeCapacity => "no_free_capacity",
            MachineRejection::Unusable => "unusable",
            MachineRejection::NotAllowed => "not_allowed",
            MachineRejection::FailedBefore => "failed_before",
            MachineRejection::NotSpare => "not_spare",
            MachineRejection::Zone => "zone",
            MachineRejection::Reserved => "reserved",
            MachineRejection::LeftToGang => "left_to_gang",
            MachineRejection::LeftToUnplacedJob => "left_to_unplaced_job",
        }
    }
}

impl fmt::Display for MachineRejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// How often entries found no machine, by the closest rejection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RejectionCounts([u64; MachineRejection::ALL.len()]);

impl RejectionCounts {
    /// Counts one rejection.
    pub fn add(&mut self, rejection: MachineRejection) {
        self.0[rejection as usize] += 1;
    }

    /// Adds counts and clears them there.
    pub fn append(&mut self, other: &mut RejectionCounts) {
        let added = std::mem::take(other);
        for (count, more) in self.0.iter_mut().zip(added.0) {
            *count += more;
        }
    }

    /// Reasons that have been counted, with their counts, which begin anew.
    pub fn drain(&mut self) -> impl Iterator<Item = (MachineRejection, u64)> {
        let counts = std::mem::take(self).0;
        MachineRejection::ALL
            .into_iter()
            .zip(counts)
            .filter(|(_, count)| *count > 0)
    }
}

/// The search for a machine for one entry: what does not depend on the machine.
pub(crate) struct MachineSearch<'a> {
    partition: &'a PartitionState,
    entry: EntryKey,
    job: &'a Job,
    now: Timestamp,
    zones: BTreeMap<ZoneName, u32>,
    gangs: Vec<&'a Job>,
    /// The greatest rejection so far, which came closest to a placement.
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
            zones: partition.tasks_by_zone(job),
            gangs: partition.gangs_with_precedence(job, now),
            closest: Cell::new(None),
        }
    }

    /// Whether the task may be placed on the machine now.
    pub(crate) fn is_suitable(&self, machine: &Machine) -> bool {
        let rejection = self.rejection(machine);
        self.closest.set(self.closest.get().max(rejection));
        rejection.is_none()
    }

    /// Why the search has found no machine. Machines that are full are not looked at.
    pub(crate) fn closest_rejection(&self) -> MachineRejection {
        self.closest
            .get()
            .unwrap_or(MachineRejection::NoFreeCapacity)
    }

    /// Why the task may not be placed on the machine now.
    pub(crate) fn rejection(&self, machine: &Machine) -> Option<MachineRejection> {
        let (partition, job, now) = (self.partition, self.job, self.now);
        let free = partition.free_capacity_for(self.entry, machine);
        if tasks_that_fit(job, machine, free) == 0 {
            return Some(MachineRejection::NoFreeCapacity);
        }
        if let Some(rejection) = partition.admission_rejection(job, machine, now) {
            return Some(rejection);
        }
        if !zone_allowed(job, &machine.zone, &self.zones) {
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
    /// Whether a job may run on a machine, apart from the free capacity there.
    pub(crate) fn admits(&self, job: &Job, machine: &Machine, now: Timestamp) -> bool {
        self.admission_rejection(job, machine, now).is_none()
    }

    /// Why a job may not run on a machine, apart from the free capacity there.
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
        let avoids_failures = job.failed_on.len() < self.machines.len().min(MAX_AVOIDED_MACHINES);
        if avoids_failures && job.failed_on.contains(&machine.name) {
            return Some(MachineRejection::FailedBefore);
        }
        if !self.admits_best_effort(job, machine) {
            return Some(MachineRejection::NotSpare);
        }
        None
    }

    /// For each reason, how many machines it keeps from taking a task of the job now.
    pub(crate) fn rejections_of(
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
