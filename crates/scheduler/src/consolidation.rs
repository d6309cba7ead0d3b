//! Consolidation: moving replicas of services to fewer machines.
//!
//! Replicas run for minutes and stay on the machines on which they happened to start. When no entry of the
//! queue is ready to be tried, replicas on the emptiest machines are moved to fuller ones that have their
//! image, so that the machines that they leave can be used for other work or returned to the cloud.

use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use crate::reserved_capacity::Reservation;
use model::{JobKind, MachineName, Resources, TaskId, Timestamp};
use std::time::Duration;
use wire::workers::TaskState;

/// The shortest time between the placement of a replica and its move.
const MIN_REPLICA_AGE: Duration = Duration::from_secs(45);
/// The shortest time between the draining of one machine and the next, so that few replicas are down at a time.
const MOVE_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a machine that is being drained takes no tasks, and capacity is reserved for its replicas.
const MOVE_TIMEOUT: Duration = Duration::from_secs(10);
/// How many of the emptiest machines are checked for whether they can be drained.
const MAX_DRAIN_CANDIDATES: usize = 6;

/// The move of a replica to another machine.
struct ReplicaMove {
    task: TaskId,
    target: MachineName,
    needs: Resources,
}

/// What a machine's regular tasks use. Machines are drained in this order, and replicas move to fuller machines
/// only. No two machines compare equal, so no two of them exchange their replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fullness<'a> {
    milli_gpus: u64,
    milli_cpus: u64,
    memory_mb: u64,
    machine: &'a MachineName,
}

impl<'a> Fullness<'a> {
    fn of(machine: &'a Machine) -> Self {
        let used = machine.used.saturating_sub(&machine.best_effort_used);
        Fullness {
            milli_gpus: used.milli_gpus,
            milli_cpus: used.milli_cpus,
            memory_mb: used.memory_mb,
            machine: &machine.name,
        }
    }
}

impl PartitionState {
    /// Starts to drain one of the emptiest machines whose replicas all fit on fuller machines, if there is one.
    pub fn consolidate(&mut self, now: Timestamp) {
        if !self.policy.consolidate_replicas
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
            .filter(|machine| self.may_be_drained(machine, now))
            .collect();
        sources.sort_unstable_by_key(|machine| Fullness::of(machine));
        let found = sources
            .into_iter()
            .take(MAX_DRAIN_CANDIDATES)
            .find_map(|source| {
                let moves = self.find_move_targets(source, now)?;
                Some((source.name.clone(), moves))
            });
        if let Some((source, moves)) = found {
            self.move_replicas(&source, moves, now);
        }
    }

    /// Moves the replicas of a machine: stops its tasks and reserves capacity for the replicas elsewhere.
    fn move_replicas(&mut self, source: &MachineName, moves: Vec<ReplicaMove>, now: Timestamp) {
        tracing::debug!(machine = %source, replicas = moves.len(), "consolidating replicas");
        let Some(machine) = self.machines.get_mut(source) else {
            return;
        };
        machine.draining_until = Some(now + MOVE_TIMEOUT);
        let tasks = machine.tasks.iter().copied().collect();
        self.stop_best_effort_tasks(tasks, now);
        for ReplicaMove {
            task,
            target,
            needs,
        } in moves
        {
            let charged_team = self.jobs.get(&task.job).map(|job| job.spec.team.clone());
            let reservation = Reservation {
                machine: target,
                needs,
                expires_at: now + MOVE_TIMEOUT,
                charged_team,
            };
            self.reserve(EntryKey::Task(task), reservation);
            let grace_ms = self.grace_period_ms(task);
            self.stop_task(task, grace_ms, now);
        }
    }

    /// Whether all tasks on a machine are replicas that may be moved or best-effort tasks, and at least one is a
    /// replica.
    fn may_be_drained(&self, machine: &Machine, now: Timestamp) -> bool {
        machine.replica_count > 0
            && machine.replica_count == machine.regular_count()
            && machine.usable(now, self.heartbeat_timeout())
            && machine.tasks.iter().all(|task| {
                let Some(job) = self.jobs.get(&task.job) else {
                    return false;
                };
                if job.spec.is_best_effort() {
                    return true;
                }
                let is_movable =
                    !job.spec.one_zone && !job.spec.spread_over_zones && !job.cancelled;
                is_movable
                    && job.placed.get(&task.index).is_some_and(|placement| {
                        placement.stop.is_none()
                            && placement.last_status == Some(TaskState::Running)
                            && now.duration_since(placement.placed_at) >= MIN_REPLICA_AGE
                    })
            })
    }

    /// A target for each replica of a machine: a fuller machine that has its image. `None` if there is none for
    /// one of the replicas.
    fn find_move_targets(&self, source: &Machine, now: Timestamp) -> Option<Vec<ReplicaMove>> {
        let mut moves: Vec<ReplicaMove> = Vec::new();
        for task in &source.tasks {
            let job = self.jobs.get(&task.job)?;
            if job.spec.is_best_effort() {
                continue;
            }
            let entry = EntryKey::Task(*task);
            let fits = |machine: &Machine| {
                let mut free = self.free_capacity_for(entry, machine);
                for planned in moves.iter().filter(|other| other.target == machine.name) {
                    free -= planned.needs;
                }
                job.spec.task_resources.fits(&free)
            };
            let target = self
                .machines
                .values()
                .filter(|machine| {
                    machine.replica_count > 0 && Fullness::of(machine) > Fullness::of(source)
                })
                .filter(|machine| {
                    machine.has_image(&job.spec.image) && self.admits(job, machine, now)
                })
                .filter(|machine| job.spec.kind == JobKind::Service && fits(machine))
                .max_by_key(|machine| Fullness::of(machine))?;
            moves.push(ReplicaMove {
                task: *task,
                target: target.name.clone(),
                needs: job.spec.task_resources,
            });
        }
        Some(moves)
    }
}
