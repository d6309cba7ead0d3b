//! Commands to workers: launches, stops, and requests to forget exited tasks.

use crate::machine::{Machine, OrphanedTask};
use crate::partition_state::PartitionState;
use crate::placement::{DirectLaunch, LaunchState, Placement, TaskAttempt};
use model::{FencingToken, MachineName, TaskId, Timestamp, WorkerEpoch};
use wire::workers::{Command, TaskState};

/// The route by which commands reach a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRoute {
    /// In the response to a heartbeat: they arrive with that response or never.
    HeartbeatResponse,
    /// By a direct call to the worker: they may arrive late.
    DirectCall,
}

/// The address for a direct call to a machine's worker, with the fencing token and the worker epoch under which
/// the worker accepts the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectCallTarget {
    pub address: String,
    pub token: FencingToken,
    pub worker_epoch: WorkerEpoch,
}

impl PartitionState {
    /// The commands that are due for a machine: launches of durable placements, stops, and forget commands
    /// for exited tasks whose outcome is durable. The launches are recorded as sent by `route`.
    pub fn commands_for(
        &mut self,
        name: &MachineName,
        route: CommandRoute,
        now: Timestamp,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let mut commands: Vec<Command> = machine
            .orphaned_tasks
            .iter()
            .filter_map(|orphan| self.command_for_orphan(machine, orphan))
            .collect();
        let launch = DirectLaunch {
            token: machine.token,
            worker_epoch: machine.worker_epoch,
        };
        let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
        let mut launches = Vec::new();
        for task in tasks {
            commands.extend(self.stop_command(task));
            if self.should_launch(task, name, route) {
                launches.extend(self.record_launch(task, route, launch));
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.record_launches(&launches, route, launch, now);
        }
        commands.extend(launches.into_iter().map(|launched| Command::Launch {
            task: launched.task.to_string(),
            attempt: launched.attempt.0,
        }));
        commands
    }

    /// The command for a task that the worker has although it is not placed there. Until it has exited, it is
    /// stopped. After that the worker is to forget it as soon as its outcome is durable and no launch of it can
    /// arrive any more.
    fn command_for_orphan(&self, machine: &Machine, orphan: &OrphanedTask) -> Option<Command> {
        let task = orphan.id.task.to_string();
        let attempt = orphan.id.attempt.0;
        if orphan.state != TaskState::Exited {
            return Some(Command::Stop {
                task,
                attempt,
                grace_s: 0.0,
            });
        }
        let may_forget = !self.uncommitted.has_outcome(&orphan.id)
            && machine.lost_launch_bound.is_none()
            && machine.may_forget(orphan)
            // A worker that has forgotten the attempt would start it again if a late heartbeat response
            // brought the launch.
            && !machine.response_launches.contains(&orphan.id);
        may_forget.then_some(Command::Forget { task, attempt })
    }

    /// The stop command for a task that is being stopped, if it has to be sent.
    fn stop_command(&self, task: TaskId) -> Option<Command> {
        let placement = self.placement(task)?;
        let stop = placement.stop?;
        // A task that is saving a checkpoint has received its stop command. Another one is sent only without
        // a grace period, which kills the task.
        let is_saving = placement.last_status == Some(TaskState::Saving);
        (!is_saving || stop.grace_ms == 0).then(|| Command::Stop {
            task: task.to_string(),
            attempt: placement.attempt.0,
            grace_s: stop.grace_ms as f64 / 1000.0,
        })
    }

    /// Whether a launch of a placed task has to be sent to its machine by `route` now.
    fn should_launch(&self, task: TaskId, name: &MachineName, route: CommandRoute) -> bool {
        let (Some(machine), Some(job)) = (self.machines.get(name), self.jobs.get(&task.job)) else {
            return false;
        };
        let Some(placement) = job.placed.get(&task.index) else {
            return false;
        };
        let task_is_launchable = placement.is_launchable() && !job.cancelled;
        let machine_accepts = machine.last_seen_at.is_some() && !machine.leaving;
        // A launch is repeated until it arrives, even where a first launch would be put off now.
        let allows_first_launch =
            || machine.reclaim_at.is_none() && !self.defers_launch_for_fetches(job, machine);
        let allows_launch = || placement.launch.is_launched() || allows_first_launch();
        // A direct launch that has not been answered is not repeated by another direct call.
        let is_pending_direct_launch =
            route == CommandRoute::DirectCall && placement.launch.unconfirmed_direct().is_some();
        task_is_launchable && machine_accepts && allows_launch() && !is_pending_direct_launch
    }

    /// Records on the task's placement that a launch is sent; returns the attempt that is launched.
    fn record_launch(
        &mut self,
        task: TaskId,
        route: CommandRoute,
        launch: DirectLaunch,
    ) -> Option<TaskAttempt> {
        let placement = self.placement_mut(task)?;
        match route {
            CommandRoute::DirectCall => placement.launch.record_direct_launch(launch),
            CommandRoute::HeartbeatResponse => placement.launch.record_response_launch(),
        }
        Some(TaskAttempt {
            task,
            attempt: placement.attempt,
        })
    }

    /// Records that a direct call was answered: the launches that it carried have been executed or refused, and
    /// will not be executed later.
    pub fn record_direct_response(&mut self, name: &MachineName, sent: &[TaskAttempt]) {
        for launched in sent {
            let Some(placement) = self.placement_mut(launched.task) else {
                continue;
            };
            if placement.attempt == launched.attempt && placement.machine == *name {
                placement.launch.settle_direct_launch();
            }
        }
    }

    /// The target of a direct call to the machine; `None` before its first status.
    pub fn direct_call_target(&self, name: &MachineName) -> Option<DirectCallTarget> {
        let machine = self.machines.get(name)?;
        machine.last_seen_at?;
        Some(DirectCallTarget {
            address: machine.address.clone()?,
            token: machine.token,
            worker_epoch: machine.worker_epoch,
        })
    }
}

impl Placement {
    /// Whether a launch is safe and still needed: the placement is durable, no previous leader may have launched
    /// the task, the task is not being stopped, and no status has shown it.
    fn is_launchable(&self) -> bool {
        self.durable
            && self.stop.is_none()
            && self.launch != LaunchState::Inherited
            && self.last_status.is_none()
    }
}

impl Machine {
    /// Records on the machine that launches are sent to it.
    fn record_launches(
        &mut self,
        launches: &[TaskAttempt],
        route: CommandRoute,
        launch: DirectLaunch,
        now: Timestamp,
    ) {
        match route {
            CommandRoute::DirectCall => {
                if !launches.is_empty() {
                    self.last_direct_call_at = now;
                }
                let sent = launches.iter().map(|launched| (*launched, launch));
                self.direct_launches.extend(sent);
            }
            CommandRoute::HeartbeatResponse => self.response_launches = launches.to_vec(),
        }
    }
}
