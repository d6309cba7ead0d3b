//! Commands to workers: launches, stops, and requests to forget exited tasks.

use crate::command_batch::DueCommand;
use crate::machine::{Machine, OrphanedTask};
use crate::partition_state::PartitionState;
use crate::placement::{DirectLaunch, LaunchState, Placement, TaskAttempt};
use model::{Attempt, FencingToken, MachineName, TaskId, Timestamp, WorkerEpoch};
use std::time::Duration;
use wire::workers::{Command, TaskState};

/// Time from a message that could not carry all commands to the direct call with the next ones.
const UNSENT_COMMANDS_INTERVAL: Duration = Duration::from_millis(500);

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

impl DirectCallTarget {
    /// The token and the worker epoch of a launch that is sent to this target.
    pub fn launch(&self) -> DirectLaunch {
        DirectLaunch {
            token: self.token,
            worker_epoch: self.worker_epoch,
        }
    }
}

impl PartitionState {
    /// The commands that are due for a machine: launches of durable placements, stops, and forget commands
    /// for exited tasks whose outcome is durable; as many of them as one message can carry. The launches are
    /// recorded as sent by `route`.
    pub fn commands_for(
        &mut self,
        name: &MachineName,
        route: CommandRoute,
        now: Timestamp,
    ) -> Vec<Command> {
        self.unsent_commands.remove(name);
        let due = self.due_commands(name, route, now);
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        let heartbeat_bytes = machine.heartbeat_size.free_bytes();
        let batch = machine.stop_delivery.next_batch(due, heartbeat_bytes, now);
        machine.has_unsent_commands = !batch.is_complete;
        if !batch.is_complete || machine.heartbeat_size.is_exceeded() {
            self.unsent_commands
                .insert(name.clone(), now + UNSENT_COMMANDS_INTERVAL);
        }
        let launches: Vec<TaskAttempt> = batch
            .commands
            .iter()
            .filter(|due| matches!(due.command, Command::Launch { .. }))
            .map(|due| due.id)
            .collect();
        self.record_launches(name, &launches, route, now);
        batch.commands.into_iter().map(|due| due.command).collect()
    }

    /// Of commands that kill tasks of cancelled jobs, those that may be sent to the machine now: the heartbeat that
    /// shows the exits must not be too long.
    pub fn kills_that_fit(
        &mut self,
        name: &MachineName,
        kills: Vec<Command>,
        now: Timestamp,
    ) -> Vec<Command> {
        let due = kills
            .into_iter()
            .filter_map(|command| self.due_kill(command, now))
            .collect();
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        let heartbeat_bytes = machine.heartbeat_size.free_bytes();
        let batch = machine.stop_delivery.next_batch(due, heartbeat_bytes, now);
        batch.commands.into_iter().map(|due| due.command).collect()
    }

    fn due_kill(&self, command: Command, now: Timestamp) -> Option<DueCommand> {
        let Command::Stop { task, attempt, .. } = &command else {
            return None;
        };
        let id = TaskAttempt {
            task: TaskId::parse(task)?,
            attempt: Attempt(*attempt),
        };
        let is_overdue = self.is_stop_overdue(id.task, now);
        Some(DueCommand {
            id,
            command,
            is_overdue,
        })
    }

    /// All commands that are due for a machine, the launches last.
    fn due_commands(
        &self,
        name: &MachineName,
        route: CommandRoute,
        now: Timestamp,
    ) -> Vec<DueCommand> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let mut commands: Vec<DueCommand> = machine
            .orphaned_tasks
            .iter()
            .filter_map(|orphan| self.command_for_orphan(machine, orphan, now))
            .collect();
        let mut launches = Vec::new();
        for task in &machine.tasks {
            commands.extend(self.stop_command(*task, now));
            if self.should_launch(*task, name, route) {
                launches.extend(self.launch_command(*task));
            }
        }
        commands.append(&mut launches);
        commands
    }

    /// Whether a task must be stopped now whatever the size of its machine's heartbeat: its job is not known here, or
    /// is cancelled and the time in which leases may be renewed although a task of it runs is over.
    fn is_stop_overdue(&self, task: TaskId, now: Timestamp) -> bool {
        self.jobs
            .get(&task.job)
            .is_none_or(|job| job.cancelled && now >= job.leases_renewable_until)
    }

    /// The command for a task that the worker has although it is not placed there. Until it has exited, it is
    /// stopped. After that the worker is to forget it as soon as its outcome is durable and no launch of it can
    /// arrive any more.
    fn command_for_orphan(
        &self,
        machine: &Machine,
        orphan: &OrphanedTask,
        now: Timestamp,
    ) -> Option<DueCommand> {
        let task = orphan.id.task.to_string();
        let attempt = orphan.id.attempt.0;
        let is_overdue = self.is_stop_overdue(orphan.id.task, now);
        let due = |command| DueCommand {
            id: orphan.id,
            command,
            is_overdue,
        };
        if orphan.state != TaskState::Exited {
            return Some(due(Command::Stop {
                task,
                attempt,
                grace_s: 0.0,
            }));
        }
        let may_forget = !self.uncommitted.has_outcome(&orphan.id)
            && machine.lost_launch_bound.is_none()
            && machine.may_forget(orphan)
            // A worker that has forgotten the attempt would start it again if a late heartbeat response
            // brought the launch.
            && !machine.response_launches.contains(&orphan.id);
        may_forget.then(|| due(Command::Forget { task, attempt }))
    }

    /// The stop command for a task that is being stopped, if it has to be sent.
    fn stop_command(&self, task: TaskId, now: Timestamp) -> Option<DueCommand> {
        let placement = self.placement(task)?;
        let stop = placement.stop?;
        // A task that is saving a checkpoint has received its stop command. Another one is sent only without
        // a grace period, which kills the task.
        let is_saving = placement.last_status == Some(TaskState::Saving);
        (!is_saving || stop.grace_ms == 0).then(|| DueCommand {
            id: placement.id(task),
            command: Command::Stop {
                task: task.to_string(),
                attempt: placement.attempt.0,
                grace_s: stop.grace_ms as f64 / 1000.0,
            },
            is_overdue: self.is_stop_overdue(task, now),
        })
    }

    /// The launch command for a placed task.
    fn launch_command(&self, task: TaskId) -> Option<DueCommand> {
        let placement = self.placement(task)?;
        Some(DueCommand {
            id: placement.id(task),
            command: Command::Launch {
                task: task.to_string(),
                attempt: placement.attempt.0,
            },
            is_overdue: false,
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

    /// Records that launches are sent to a machine.
    fn record_launches(
        &mut self,
        name: &MachineName,
        launches: &[TaskAttempt],
        route: CommandRoute,
        now: Timestamp,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let launch = DirectLaunch {
            token: machine.token,
            worker_epoch: machine.worker_epoch,
        };
        machine.record_launches(launches, route, launch, now);
        for launched in launches {
            let Some(placement) = self.placement_mut(launched.task) else {
                continue;
            };
            match route {
                CommandRoute::DirectCall => placement.launch.record_direct_launch(launch),
                CommandRoute::HeartbeatResponse => placement.launch.record_response_launch(),
            }
        }
    }

    /// Records that a direct call was answered: the launches that it carried have been executed or refused, and
    /// will not be executed later. `sent_as` is the token and the worker epoch of the call. An answer to a call of an
    /// earlier term settles no launch of this term, even of the same attempt.
    pub fn record_direct_response(
        &mut self,
        name: &MachineName,
        sent: &[TaskAttempt],
        sent_as: DirectLaunch,
    ) {
        for launched in sent {
            let Some(placement) = self.placement_mut(launched.task) else {
                continue;
            };
            let is_same_launch = placement.attempt == launched.attempt
                && placement.machine == *name
                && placement.launch.unconfirmed_direct() == Some(sent_as);
            if is_same_launch {
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
