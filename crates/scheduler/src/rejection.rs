//! Reasons why a machine is rejected for a waiting task, and their counts.

use std::fmt;

/// Why a machine is not suitable for a waiting task. The filters are applied in the order of the variants, so
/// the greater of two rejections came closer to a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineRejection {
    /// Its free capacity is too small, or is reserved for an entry for which tasks are being preempted.
    NoFreeCapacity,
    /// It accepts no tasks now: for example it is leaving, is quarantined, or has missed heartbeats.
    Unusable,
    /// The job does not allow its type or zone, or does not allow spot machines.
    NotAllowed,
    /// Tasks of the job have failed on it.
    FailedBefore,
    /// The job is best-effort work, which runs on spare capacity only, and the machine has none.
    NotSpare,
    /// The job's tasks have to run in one zone or to be spread over zones, and this zone does not fit.
    Zone,
    /// It is reserved for a gang that ranks before the job.
    Reserved,
    /// It is left to a waiting gang, since the job could run on a machine type that does not fit the gang.
    LeftToGang,
    /// The job is best-effort work, and the free capacity is left to a job that found none and backs off.
    LeftToUnplacedJob,
}

impl MachineRejection {
    /// All reasons, in the order of the filters.
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

/// How often tasks found no machine, by the rejection that came closest to a placement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RejectionCounts([u64; MachineRejection::ALL.len()]);

impl RejectionCounts {
    /// Counts one rejection.
    pub fn add(&mut self, rejection: MachineRejection) {
        self.0[rejection as usize] += 1;
    }

    /// Moves the counts of `other` here.
    pub fn append(&mut self, other: &mut RejectionCounts) {
        let other = std::mem::take(other);
        for (count, added) in self.0.iter_mut().zip(other.0) {
            *count += added;
        }
    }

    /// Returns the reasons that have been counted with their counts, and resets all counts to zero.
    pub fn drain(&mut self) -> impl Iterator<Item = (MachineRejection, u64)> {
        let counts = std::mem::take(self).0;
        MachineRejection::ALL
            .into_iter()
            .zip(counts)
            .filter(|(_, count)| *count > 0)
    }
}
