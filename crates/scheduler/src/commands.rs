//! What a machine is told.

use crate::partition_state::PartitionState;
use model::{Attempt, FencingToken, MachineName, TaskId, Timestamp, WorkerEpoch};
use wire::workers::{Command, TaskState};

/// By which way commands go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRoute {
    /// In the answer to a report: dies with it.
    Answer,
    /// Straight to the worker: may arrive late.
    Direct,
}

impl PartitionState {
    /// Commands for a machine: launches of durable placements, stops, and forgets of tasks
    /// whose outcome is durable.
    pub fn commands_for(
        &mut self,
        name: &MachineName,
        route: CommandRoute,
        now: Timestamp,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for orphan in &machine.orphaned_tasks {
            let task = orphan.task.to_string();
            let attempt = orphan.attempt.0;
            if orphan.state != TaskState::Exited {
                commands.push(Command::Stop {
                    task,
                    attempt,
                    grace_s: 0.0,
                });
            } else if !self.undurable_outcomes.contains(&(orphan.task, orphan.attempt))
                && machine.unconfirmed_launch.is_none()
                && machine.may_forget(orphan)
                // A worker that has forgotten the attempt would start it when the launch in a
                // late answer reaches it.
                && !machine.answer_launches.contains(&(orphan.task, orphan.attempt))
            {
                commands.push(Command::Forget { task, attempt });
            }
        }
        let (session, token) = (machine.session, machine.token);
        let launches_allowed = machine.last_seen_at.is_some() && !machine.leaving;
        let noticed = machine.notice.is_some();
        let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
        let mut launches = Vec::new();
        for task in tasks {
            let waits = |share: &PartitionState| {
                let job = share.jobs.get(&task.job)?;
                Some(share.waits_for_fetches(job, share.machines.get(name)?))
            };
            let waits = waits(self) == Some(true);
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let cancelled = job.cancelled;
            let Some(p) = job.placed.get_mut(&task.index) else {
                continue;
            };
            let id = task.to_string();
            let attempt = p.attempt.0;
            if let Some(stop) = p.stop {
                let saving = p.last_status == Some(TaskState::Saving);
                // A second halt with no grace would end a task that is saving.
                if !saving || stop.grace_ms == 0 {
                    let grace_s = stop.grace_ms as f64 / 1000.0;
                    commands.push(Command::Stop {
                        task: id,
                        attempt,
                        grace_s,
                    });
                }
            } else if p.durable
                && !p.inherited
                && p.last_status.is_none()
                && launches_allowed
                && !cancelled
                && !(waits && p.launched.is_none())
                && !(noticed && p.launched.is_none())
            {
                // A direct launch that waits for its answer is not doubled by another.
                if route == CommandRoute::Direct && p.unconfirmed_launch_of.is_some() {
                    continue;
                }
                p.launched = Some(session);
                match route {
                    CommandRoute::Direct => p.unconfirmed_launch_of = Some((token, session)),
                    CommandRoute::Answer => p.launched_in_response = true,
                }
                launches.push(((task, p.attempt), Command::Start { task: id, attempt }));
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            match route {
                CommandRoute::Direct => {
                    if !launches.is_empty() {
                        machine.last_direct_call_at = now;
                    }
                    let sent = launches.iter().map(|(id, _)| (*id, (token, session)));
                    machine.direct.extend(sent);
                }
                CommandRoute::Answer => {
                    machine.answer_launches = launches.iter().map(|(id, _)| *id).collect();
                }
            }
        }
        commands.extend(launches.into_iter().map(|(_, command)| command));
        commands
    }

    /// A direct call was answered: what it carried has been executed or refused, and will
    /// not be executed later.
    pub fn record_direct_response(&mut self, name: &MachineName, sent: &[(TaskId, Attempt)]) {
        for (task, attempt) in sent {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            if let Some(p) = job.placed.get_mut(&task.index) {
                if p.attempt == *attempt && p.machine == *name {
                    p.unconfirmed_launch_of = None;
                }
            }
        }
    }

    /// Session and token under which a direct call to the machine would be accepted.
    pub fn direct_call_target(
        &self,
        name: &MachineName,
    ) -> Option<(String, FencingToken, WorkerEpoch)> {
        let machine = self.machines.get(name)?;
        machine.last_seen_at?;
        Some((machine.address.clone()?, machine.token, machine.session))
    }
}
