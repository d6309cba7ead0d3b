//! Moving replicas together.
//!
//! Replicas stay for minutes and pin the machines they happened to start on. When the share
//! has quietened down, or waits for whole machines, those on the emptiest machines are moved
//! beside others that have their image, so that the machines they leave can be used or returned.

use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use crate::reserved_capacity::Reservation;
use model::{JobKind, MachineName, Resources, TaskId, Timestamp};
use std::time::Duration;
use wire::workers::TaskState;

/// A replica stays where it is for so long at least: a start that is undone sooner was none.
const MIN_REPLICA_AGE: Duration = Duration::from_secs(45);
/// Time between two machines that are emptied, so that few replicas are down at a time.
const MOVE_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a machine is kept free for being emptied, and room for those that move.
const PATIENCE: Duration = Duration::from_secs(10);
/// Emptiest machines that are looked at.
const LOOKED_AT: usize = 6;

impl PartitionState {
    /// Starts to empty one machine if its replicas have better places.
    pub fn consolidate(&mut self, now: Timestamp) {
        if !self.policy.move_replicas
            || !self.update_inventory_known(now)
            || now.duration_since(self.consolidated_at) < MOVE_INTERVAL
            || self.queue.has_active()
        {
            return;
        }
        self.consolidated_at = now;
        let mut sources: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| self.may_empty(m, now))
            .collect();
        sources.sort_unstable_by_key(|m| fullness(m));
        let found = sources
            .into_iter()
            .take(LOOKED_AT)
            .find_map(|source| Some((source.name.clone(), self.better_places(source, now)?)));
        let Some((source, moves)) = found else { return };
        tracing::debug!(machine = %source, replicas = moves.len(), "moving replicas together");
        if let Some(machine) = self.machines.get_mut(&source) {
            machine.emptied_until = Some(now + PATIENCE);
        }
        let rest = self
            .machines
            .get(&source)
            .map(|m| m.tasks.iter().copied().collect());
        self.clear_best_effort(rest.unwrap_or_default(), now);
        for (task, target, needs) in moves {
            let limit_of = self.jobs.get(&task.job).map(|job| job.spec.team.clone());
            let reservation = Reservation {
                machine: target,
                needs,
                until: now + PATIENCE,
                limit_of,
            };
            self.reserve(EntryKey::Task(task), reservation);
            let grace = self.grace_period(task);
            self.stop_task(task, grace, now);
        }
    }

    /// Whether only settled replicas run on the machine.
    fn may_empty(&self, machine: &Machine, now: Timestamp) -> bool {
        machine.pinned > 0
            && machine.pinned == machine.regular()
            && machine.usable(now, self.heartbeat_timeout())
            && machine.tasks.iter().all(|task| {
                let Some(job) = self.jobs.get(&task.job) else {
                    return false;
                };
                if job.spec.is_best_effort() {
                    return true;
                }
                let free = !job.spec.one_zone && !job.spec.spread && !job.cancelled;
                free && job.placed.get(&task.index).is_some_and(|p| {
                    p.stop.is_none()
                        && p.last_status == Some(TaskState::Running)
                        && now.duration_since(p.placed_at) >= MIN_REPLICA_AGE
                })
            })
    }

    /// Places for all replicas of a machine on fuller ones that have their images, or none.
    fn better_places(
        &self,
        source: &Machine,
        now: Timestamp,
    ) -> Option<Vec<(TaskId, MachineName, Resources)>> {
        let mut taken: Vec<(MachineName, Resources)> = Vec::new();
        let mut moves = Vec::new();
        for task in &source.tasks {
            let job = self.jobs.get(&task.job)?;
            if job.spec.is_best_effort() {
                continue;
            }
            let entry = EntryKey::Task(*task);
            let room = |m: &Machine| {
                let mut room = self.free_capacity_for(entry, m);
                for (_, needs) in taken.iter().filter(|(name, _)| *name == m.name) {
                    room -= *needs;
                }
                room
            };
            let target = self
                .machines
                .values()
                .filter(|m| m.pinned > 0 && fullness(m) > fullness(source))
                .filter(|m| m.has_image(&job.spec.image) && self.admits(job, m, now))
                .filter(|m| job.spec.kind == JobKind::Service && job.spec.needs.fits(&room(m)))
                .max_by_key(|m| fullness(m))?;
            taken.push((target.name.clone(), job.spec.needs));
            moves.push((*task, target.name.clone(), job.spec.needs));
        }
        Some(moves)
    }
}

/// Machines in the order in which they are emptied; no two are alike, so that no two swap
/// their replicas.
fn fullness(machine: &Machine) -> (u64, u64, u64, &MachineName) {
    let used = machine.used.saturating_sub(&machine.best_effort_used);
    (
        used.milli_gpus,
        used.milli_cpus,
        used.memory_mb,
        &machine.name,
    )
}
