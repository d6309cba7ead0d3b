//! Room, and of a team's limit, that is kept for entries of the queue while tasks are being stopped for them.
//!
//! Each machine carries the sum of what is promised on it, so that a look at its room costs the
//! same however many promises there are.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::{EntryKey, PartitionState, Reservation};
use model::{JobId, JobKind, MachineName, Resources, Timestamp};

impl PartitionState {
    /// Keeps room on a machine for an entry, instead of what was kept for it before.
    pub(crate) fn promise(&mut self, entry: EntryKey, promise: Reservation) {
        self.unpromise(&entry);
        if let Some(machine) = self.machines.get_mut(&promise.machine) {
            machine.promised += promise.needs;
            let team = promise.limit_of.as_ref().and_then(|team| self.teams.get_mut(team));
            if let Some(team) = team {
                team.promised += promise.needs;
            }
            self.promises.insert(entry, promise);
        }
    }

    /// Gives up what is kept for an entry.
    pub(crate) fn unpromise(&mut self, entry: &EntryKey) {
        if let Some(old) = self.promises.remove(entry) {
            if let Some(machine) = self.machines.get_mut(&old.machine) {
                machine.promised -= old.needs;
            }
            let team = old.limit_of.as_ref().and_then(|team| self.teams.get_mut(team));
            if let Some(team) = team {
                team.promised -= old.needs;
            }
        }
    }

    fn unpromise_where(&mut self, ended: impl Fn(&EntryKey, &Reservation) -> bool) {
        let entries: Vec<EntryKey> =
            self.promises.iter().filter(|(e, p)| ended(e, p)).map(|(e, _)| *e).collect();
        for entry in entries {
            self.unpromise(&entry);
        }
    }

    /// Gives up promises whose time is over.
    pub(crate) fn expire_promises(&mut self, now: Timestamp) {
        self.unpromise_where(|_, promise| promise.until <= now);
    }

    /// Gives up what is kept for a job.
    pub(crate) fn unpromise_job(&mut self, id: JobId) {
        self.unpromise_where(|entry, _| entry.job() == id);
    }

    /// Gives up what is kept on a machine that leaves.
    pub(crate) fn unpromise_machine(&mut self, name: &MachineName) {
        self.unpromise_where(|_, promise| promise.machine == *name);
    }

    /// Whether the team's limit leaves room for so many tasks of an entry's job, less what is kept of it
    /// for other entries. Without that, tasks of the team's own that go first in the order take each
    /// freed slice of the limit, and a replica for which they were stopped never starts.
    pub(crate) fn limit_room(&self, entry: EntryKey, job: &Job, tasks: u64) -> bool {
        let own = self.promises.get(&entry).filter(|promise| promise.limit_of.is_some());
        let own = own.map_or(Resources::default(), |promise| promise.needs);
        self.teams.get(&job.spec.team).is_some_and(|team| {
            let held = match entry {
                EntryKey::Task(_) if job.spec.kind == JobKind::Array => team.held,
                _ => Resources::default(),
            };
            let kept = team.promised.less(&own) + held;
            (team.used + kept + job.spec.needs.times(tasks)).fits_quota(&team.limit)
        })
    }

    /// Room on a machine, less what is promised to other entries.
    pub(crate) fn room_for(&self, entry: EntryKey, machine: &Machine) -> Resources {
        let free = machine.free();
        if machine.promised == Resources::default() {
            return free;
        }
        let own = self.promises.get(&entry).filter(|promise| promise.machine == machine.name);
        let own = own.map_or(Resources::default(), |promise| promise.needs);
        free.less(&machine.promised.less(&own))
    }
}
