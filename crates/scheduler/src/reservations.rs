//! Room, and of a team's limit, that is kept for entries of the queue while tasks are being stopped for them.
//!
//! Each machine carries the sum of what is promised on it, so that a look at its room costs the
//! same however many promises there are.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use crate::reserved_capacity::Reservation;
use model::{JobId, JobKind, MachineName, Resources, Timestamp};

impl PartitionState {
    /// Keeps room on a machine for an entry, instead of what was kept for it before.
    pub(crate) fn reserve(&mut self, entry: EntryKey, reservation: Reservation) {
        self.cancel_reservation(&entry);
        if let Some(machine) = self.machines.get_mut(&reservation.machine) {
            machine.reserved += reservation.needs;
            let team = reservation
                .limit_of
                .as_ref()
                .and_then(|team| self.teams.get_mut(team));
            if let Some(team) = team {
                team.reserved += reservation.needs;
            }
            self.reservations.insert(entry, reservation);
        }
    }

    /// Gives up what is kept for an entry.
    pub(crate) fn cancel_reservation(&mut self, entry: &EntryKey) {
        if let Some(old) = self.reservations.remove(entry) {
            if let Some(machine) = self.machines.get_mut(&old.machine) {
                machine.reserved -= old.needs;
            }
            let team = old
                .limit_of
                .as_ref()
                .and_then(|team| self.teams.get_mut(team));
            if let Some(team) = team {
                team.reserved -= old.needs;
            }
        }
    }

    fn cancel_reservations_where(&mut self, ended: impl Fn(&EntryKey, &Reservation) -> bool) {
        let entries: Vec<EntryKey> = self
            .reservations
            .iter()
            .filter(|(e, p)| ended(e, p))
            .map(|(e, _)| *e)
            .collect();
        for entry in entries {
            self.cancel_reservation(&entry);
        }
    }

    /// Gives up promises whose time is over.
    pub(crate) fn expire_reservations(&mut self, now: Timestamp) {
        self.cancel_reservations_where(|_, reservation| reservation.until <= now);
    }

    /// Gives up what is kept for a job.
    pub(crate) fn cancel_reservations_of_job(&mut self, id: JobId) {
        self.cancel_reservations_where(|entry, _| entry.job() == id);
    }

    /// Gives up what is kept on a machine that leaves.
    pub(crate) fn cancel_reservations_on_machine(&mut self, name: &MachineName) {
        self.cancel_reservations_where(|_, reservation| reservation.machine == *name);
    }

    /// Whether the team's limit leaves room for so many tasks of an entry's job, less what is kept of it
    /// for other entries. Without that, tasks of the team's own that go first in the order take each
    /// freed slice of the limit, and a replica for which they were stopped never starts.
    pub(crate) fn fits_limit(&self, entry: EntryKey, job: &Job, tasks: u64) -> bool {
        let own = self
            .reservations
            .get(&entry)
            .filter(|reservation| reservation.limit_of.is_some());
        let own = own.map_or(Resources::default(), |reservation| reservation.needs);
        self.teams.get(&job.spec.team).is_some_and(|team| {
            let held = match entry {
                EntryKey::Task(_) if job.spec.kind == JobKind::Array => team.held,
                _ => Resources::default(),
            };
            let kept = team.reserved.saturating_sub(&own) + held;
            (team.used + kept + job.spec.needs.times(tasks)).fits_quota(&team.limit)
        })
    }

    /// Room on a machine, less what is promised to other entries.
    pub(crate) fn free_capacity_for(&self, entry: EntryKey, machine: &Machine) -> Resources {
        let free = machine.free();
        if machine.reserved == Resources::default() {
            return free;
        }
        let own = self
            .reservations
            .get(&entry)
            .filter(|reservation| reservation.machine == machine.name);
        let own = own.map_or(Resources::default(), |reservation| reservation.needs);
        free.saturating_sub(&machine.reserved.saturating_sub(&own))
    }
}
