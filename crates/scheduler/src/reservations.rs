//! Reservations of capacity, and of a part of a team's limit, for queue entries while tasks are being stopped
//! for them.
//!
//! Each machine and each team stores the sum of its reservations, so that the cost of a check does not grow
//! with their number.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use crate::reserved_capacity::Reservation;
use model::{JobId, JobKind, MachineName, Resources, Timestamp};

impl PartitionState {
    /// Makes a reservation for an entry. It replaces the entry's previous one.
    pub(crate) fn reserve(&mut self, entry: EntryKey, reservation: Reservation) {
        self.cancel_reservation(&entry);
        if let Some(machine) = self.machines.get_mut(&reservation.machine) {
            machine.reserved += reservation.needs;
            let team = reservation
                .charged_team
                .as_ref()
                .and_then(|team| self.teams.get_mut(team));
            if let Some(team) = team {
                team.reserved += reservation.needs;
            }
            self.reservations.insert(entry, reservation);
        }
    }

    /// Cancels the reservation of an entry, if it has one.
    pub(crate) fn cancel_reservation(&mut self, entry: &EntryKey) {
        if let Some(reservation) = self.reservations.remove(entry) {
            if let Some(machine) = self.machines.get_mut(&reservation.machine) {
                machine.reserved -= reservation.needs;
            }
            let team = reservation
                .charged_team
                .as_ref()
                .and_then(|team| self.teams.get_mut(team));
            if let Some(team) = team {
                team.reserved -= reservation.needs;
            }
        }
    }

    fn cancel_reservations_where(
        &mut self,
        is_cancelled: impl Fn(&EntryKey, &Reservation) -> bool,
    ) {
        let entries: Vec<EntryKey> = self
            .reservations
            .iter()
            .filter(|(entry, reservation)| is_cancelled(entry, reservation))
            .map(|(entry, _)| *entry)
            .collect();
        for entry in entries {
            self.cancel_reservation(&entry);
        }
    }

    /// Cancels reservations that have expired.
    pub(crate) fn expire_reservations(&mut self, now: Timestamp) {
        self.cancel_reservations_where(|_, reservation| reservation.expires_at <= now);
    }

    /// Cancels the reservations of a job's entries.
    pub(crate) fn cancel_reservations_of_job(&mut self, id: JobId) {
        self.cancel_reservations_where(|entry, _| entry.job() == id);
    }

    /// Cancels the reservations on a machine that leaves the partition.
    pub(crate) fn cancel_reservations_on_machine(&mut self, name: &MachineName) {
        self.cancel_reservations_where(|_, reservation| reservation.machine == *name);
    }

    /// Whether the team's limit, less what is reserved of it for other entries, allows this many more tasks of
    /// an entry's job. Without these reservations, better-ranked tasks of the same team would take each part
    /// of the limit that becomes free, and a replica for which tasks were preempted would never start.
    pub(crate) fn fits_limit(&self, entry: EntryKey, job: &Job, tasks: u64) -> bool {
        let own_reservation = self
            .reservations
            .get(&entry)
            .filter(|reservation| reservation.charged_team.is_some());
        let own = own_reservation.map_or(Resources::default(), |reservation| reservation.needs);
        self.teams.get(&job.spec.team).is_some_and(|team| {
            let reserved_for_gangs = match entry {
                EntryKey::Task(_) if job.spec.kind == JobKind::Array => team.reserved_for_gangs,
                _ => Resources::default(),
            };
            let reserved = team.reserved.saturating_sub(&own) + reserved_for_gangs;
            (team.used + reserved + job.spec.task_resources.times(tasks)).fits_quota(&team.limit)
        })
    }

    /// The free capacity of a machine, less what is reserved there for other entries.
    pub(crate) fn free_capacity_for(&self, entry: EntryKey, machine: &Machine) -> Resources {
        let free = machine.free();
        if machine.reserved == Resources::default() {
            return free;
        }
        let own_reservation = self
            .reservations
            .get(&entry)
            .filter(|reservation| reservation.machine == machine.name);
        let own = own_reservation.map_or(Resources::default(), |reservation| reservation.needs);
        free.saturating_sub(&machine.reserved.saturating_sub(&own))
    }
}
