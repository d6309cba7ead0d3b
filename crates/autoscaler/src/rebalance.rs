//! Rebalancing: partitions that run work beyond their teams' guarantees transfer machines to partitions
//! with work for which no machines can be rented.

use crate::capacity::capacity_of;
use crate::pending::PendingWork;
use crate::planner::{Planner, MAX_MACHINES_PER_REQUEST};
use model::PartitionId;
use std::collections::BTreeMap;

/// Number of machines for work beyond guarantees by which two partitions may differ, in addition to a
/// quarter. Smaller differences are not worth a transfer, since a transferred machine is idle for a few
/// seconds.
const TOLERATED_MACHINE_DIFFERENCE: i64 = 3;

/// A partition and the types of the machines that it gave away. Donations are counted separately for
/// each set of types, because many small machines do not make up for a large one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DonationKey<'w> {
    machine_types: &'w [&'w str],
    partition: PartitionId,
}

/// Number of machines that partitions give away by earlier transfers of the same plan; negative if they
/// receive machines.
type Donations<'w> = BTreeMap<DonationKey<'w>, i64>;

/// The machines that suit some work and run nothing guaranteed, counted by partition.
struct UnguaranteedMachines {
    /// Number of these machines, less those that earlier transfers of the plan give away.
    counts: BTreeMap<PartitionId, i64>,
    /// Number of these machines that the partition can still give away.
    transferable: BTreeMap<PartitionId, u32>,
}

impl UnguaranteedMachines {
    fn count(&self, partition: PartitionId) -> i64 {
        self.counts.get(&partition).copied().unwrap_or(0)
    }

    /// The partition with the most machines among those that have some to give away.
    fn largest_donor(&self) -> Option<PartitionId> {
        let donors = self.transferable.iter().filter(|(_, left)| **left > 0);
        donors
            .map(|(partition, _)| (self.count(*partition), *partition))
            // Earlier transfers of the plan may already take all machines.
            .filter(|(count, _)| *count > 0)
            .max()
            .map(|(_, partition)| partition)
    }
}

impl Planner<'_> {
    /// Has other partitions transfer machines for work for which no machine can be rented. For urgent
    /// work they give away all they can, otherwise only until the partitions are balanced.
    pub(crate) fn rebalance(&mut self, pending: &[PendingWork<'_>], urgent: bool) {
        let mut donations = Donations::new();
        for work in pending
            .iter()
            .filter(|work| work.unavailable && work.waiting > 0)
        {
            let to = self.needs[work.need_index].partition;
            let donors = self.choose_donors(work, pending, urgent, &mut donations);
            for (from, count) in donors {
                self.request_transfer(from, to, work.planned_shape(), count);
            }
        }
    }

    /// How many machines each of the other partitions gives away for the work.
    fn choose_donors<'w>(
        &self,
        work: &'w PendingWork<'w>,
        pending: &[PendingWork<'_>],
        urgent: bool,
        donations: &mut Donations<'w>,
    ) -> BTreeMap<PartitionId, u32> {
        let to = self.needs[work.need_index].partition;
        let slots = self.slots_per_machine(work);
        let mut unguaranteed = self.count_unguaranteed(work, donations);
        let mut donors: BTreeMap<PartitionId, u32> = BTreeMap::new();
        let missing = work
            .waiting
            .div_ceil(slots)
            .min(u64::from(MAX_MACHINES_PER_REQUEST));
        for _ in 0..missing {
            let Some(from) = unguaranteed.largest_donor() else {
                break;
            };
            let (donor_count, own_count) = (unguaranteed.count(from), unguaranteed.count(to));
            // No machine is taken from a partition in which more work waits per machine than in the
            // receiving one.
            let donor_is_worse_off = self.missing_machines(work, pending, from, slots) as i64
                * own_count
                > self.missing_machines(work, pending, to, slots) as i64 * donor_count;
            let is_balanced =
                donor_count < own_count + own_count / 4 + TOLERATED_MACHINE_DIFFERENCE;
            if !urgent && (is_balanced || donor_is_worse_off) {
                break;
            }
            *unguaranteed.transferable.entry(from).or_default() -= 1;
            let mut record_donation = |partition, count: i64| {
                *unguaranteed.counts.entry(partition).or_default() -= count;
                *donations
                    .entry(DonationKey {
                        machine_types: &work.machine_types,
                        partition,
                    })
                    .or_default() += count;
            };
            record_donation(from, 1);
            if !urgent {
                record_donation(to, -1);
            }
            *donors.entry(from).or_default() += 1;
        }
        donors
    }

    /// Counts the machines that suit the work and run nothing guaranteed.
    fn count_unguaranteed(
        &self,
        work: &PendingWork<'_>,
        donations: &Donations<'_>,
    ) -> UnguaranteedMachines {
        let to = self.needs[work.need_index].partition;
        let mut counts: BTreeMap<PartitionId, i64> =
            self.needs.iter().map(|need| (need.partition, 0)).collect();
        let mut transferable: BTreeMap<PartitionId, u32> = BTreeMap::new();
        for machine in self
            .machines
            .iter()
            .filter(|machine| machine.is_available() && machine.transferable)
        {
            if work.suits(&machine.machine_type, machine.zone.as_str(), machine.spot) {
                *counts.entry(machine.partition).or_default() += 1;
                let may_give_away = machine.partition != to;
                *transferable.entry(machine.partition).or_default() += u32::from(may_give_away);
            }
        }
        for (partition, count) in &mut counts {
            *count -= donations
                .get(&DonationKey {
                    machine_types: &work.machine_types,
                    partition: *partition,
                })
                .copied()
                .unwrap_or(0);
        }
        UnguaranteedMachines {
            counts,
            transferable,
        }
    }

    /// How many tasks of the work fit on the largest machine type that is planned for it.
    fn slots_per_machine(&self, work: &PendingWork<'_>) -> u64 {
        let planned = self
            .machine_types
            .iter()
            .filter(|machine_type| work.machine_types.contains(&machine_type.name.as_str()));
        let slots =
            planned.map(|machine_type| capacity_of(machine_type).how_many_fit(&work.task_size));
        slots.max().unwrap_or(1).max(1)
    }

    /// Number of machines that a partition lacks for all its pending work of the same machine types.
    fn missing_machines(
        &self,
        work: &PendingWork<'_>,
        pending: &[PendingWork<'_>],
        partition: PartitionId,
        slots: u64,
    ) -> u64 {
        pending
            .iter()
            .filter(|other| self.needs[other.need_index].partition == partition)
            .filter(|other| other.machine_types == work.machine_types)
            .map(|other| other.waiting.div_ceil(slots))
            .sum()
    }
}
