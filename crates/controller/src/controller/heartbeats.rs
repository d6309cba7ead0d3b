//! Handling of workers' heartbeats, direct calls to workers and the replies to those calls.

use super::call_kind::WorkerCall;
use super::fleet_planner::UnregisteredMachine;
use super::heartbeat_checks::{check_heartbeat, check_reply, HeartbeatFault};
use super::leadership::HeartbeatOutcome;
use super::{
    CallKind, Controller, DirectReply, Effect, HeartbeatReply, Ticket, MAX_LAUNCH_READ_AGE,
};
use crate::rejections::{MessageFault, MessageSource};
use crate::state_cache::StateCache;
use model::{CallId, FencingToken, MachineName, PartitionId, TaskId, WorkerEpoch};
use scheduler::{CommandRoute, StatusSource, TaskAttempt};
use std::time::Duration;
use wire::limits::commands_that_fit;
use wire::workers::{Command, DirectCommands, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};

/// Timeout of a direct call with commands, and of a reachability probe.
pub(super) const WORKER_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Controller {
    /// Handles a worker's heartbeat and replies to it.
    pub(super) fn handle_heartbeat(&mut self, ticket: Ticket, heartbeat: Heartbeat) {
        let reply = match check_heartbeat(&heartbeat) {
            Ok(()) => self.heartbeat_reply(&heartbeat),
            Err(fault) => {
                tracing::warn!(machine = heartbeat.machine, ?fault, "heartbeat rejected");
                self.counters
                    .rejections
                    .add(MessageSource::Worker, MessageFault::Malformed);
                HeartbeatReply::Malformed
            }
        };
        if let HeartbeatReply::Redirect(_) = reply {
            self.counters
                .rejections
                .add(MessageSource::Worker, MessageFault::Misrouted);
        }
        if reply == HeartbeatReply::Unavailable {
            *self.counters.refusals.entry("report").or_default() += 1;
        }
        self.effects.push(Effect::Heartbeat { ticket, reply });
    }

    /// Applies a valid heartbeat to the partition's state and returns the reply.
    fn heartbeat_reply(&mut self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let name = MachineName::from(heartbeat.machine.as_str());
        let Some(cached) = self.cache.machines.get(&name) else {
            return self.handle_unregistered_heartbeat(&name, heartbeat);
        };
        let partition = cached.record.partition;
        let recorded_token = FencingToken(cached.record.token);
        // A response renews the worker's lease. Without a recent confirmed read of changes this controller
        // must not renew it: a cancelled task could run past the cancel deadline (`cancel_s`).
        let may_renew_lease = self.has_recent_state_read(self.settings.lease_validity());
        let may_launch = self.has_recent_state_read(self.launch_validity());
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            let leader = self
                .cache
                .partitions
                .get(&partition)
                .map(|partition| partition.record.leader.clone());
            return match leader {
                Some(leader) if leader != self.settings.name => {
                    self.record_worker_contact(partition, &name);
                    HeartbeatReply::Redirect(Some(leader))
                }
                _ => HeartbeatReply::Unavailable,
            };
        };
        if let Some(successor) = leadership.successor() {
            return HeartbeatReply::Redirect(Some(successor.clone()));
        }
        if !may_renew_lease || leadership.is_transferring() {
            return HeartbeatReply::Unavailable;
        }
        let token = leadership.token().max(recorded_token);
        if FencingToken(heartbeat.token) > token {
            // A leader with a newer token has already reached the worker.
            return HeartbeatReply::Redirect(None);
        }
        let kill_commands = || kill_commands_for_cancelled_tasks(&self.cache, heartbeat);
        let commands = match leadership.handle_heartbeat(
            &name,
            heartbeat,
            token,
            may_launch,
            kill_commands,
            self.now,
        ) {
            HeartbeatOutcome::Answered(commands) => commands,
            HeartbeatOutcome::Stale(commands) => {
                self.counters
                    .rejections
                    .add(MessageSource::Worker, MessageFault::Stale);
                commands
            }
            HeartbeatOutcome::Withheld(reason) => {
                tracing::warn!(machine = %name, %reason, "heartbeat reply withheld");
                self.counters.replies_withheld += 1;
                return HeartbeatReply::Unavailable;
            }
        };
        HeartbeatReply::Response(HeartbeatResponse {
            token: token.0,
            commands,
        })
    }

    /// How long this controller may still respond to workers, and so renew their leases, if no further
    /// read of changes succeeds.
    pub(super) fn remaining_lease_validity(&self) -> Duration {
        let valid_until = self
            .state_sync
            .last_read_at()
            .map(|at| at + self.settings.lease_validity());
        valid_until.unwrap_or_default().duration_since(self.now)
    }

    /// Maximum age of the last read of changes for launches. It does not exceed the time for which a
    /// successor expects this controller to respond to workers: the successor does not wait for
    /// launches that are sent later.
    fn launch_validity(&self) -> Duration {
        MAX_LAUNCH_READ_AGE.min(self.settings.lease_validity())
    }

    /// Replies to a machine that has no record. The fleet planner creates one; other controllers redirect the
    /// worker to the fleet planner.
    fn handle_unregistered_heartbeat(
        &mut self,
        name: &MachineName,
        heartbeat: &Heartbeat,
    ) -> HeartbeatReply {
        match self.fleet_planner_controller() {
            Some(fleet_planner) if fleet_planner == *self.own_name() => {
                let machine = UnregisteredMachine {
                    name,
                    machine_type: &heartbeat.machine_type,
                    zone: &heartbeat.zone,
                    spot: heartbeat.spot,
                };
                self.fleet_planner
                    .record_unregistered_machine(machine, self.now);
                HeartbeatReply::Unavailable
            }
            Some(fleet_planner) => HeartbeatReply::Redirect(Some(fleet_planner)),
            None => HeartbeatReply::Unavailable,
        }
    }

    /// Sends urgent commands directly to the machines of a partition, without waiting for their next
    /// heartbeats.
    pub(super) fn send_urgent_commands(&mut self, partition: PartitionId) {
        if !self.has_recent_state_read(self.launch_validity()) {
            return;
        }
        let now = self.now;
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        if leadership.is_transferring() || leadership.successor().is_some() {
            return;
        }
        let mut calls = Vec::new();
        if let Some(partition_state) = leadership.partition_state_mut() {
            let unsent = partition_state.machines_with_unsent_commands(now);
            let mut names = partition_state.take_urgent_machines();
            names.extend(unsent.iter().cloned());
            for name in names {
                let Some(target) = partition_state.direct_call_target(&name) else {
                    continue;
                };
                let commands = partition_state.commands_for(&name, CommandRoute::DirectCall, now);
                if !commands.is_empty() || unsent.contains(&name) {
                    calls.push((name, target, commands));
                }
            }
        }
        for (machine, target, commands) in calls {
            let launches = commands
                .iter()
                .filter_map(|command| match command {
                    Command::Launch { task, attempt } => {
                        let task = TaskId::parse(task)?;
                        let attempt = model::Attempt(*attempt);
                        Some(TaskAttempt { task, attempt })
                    }
                    _ => None,
                })
                .collect();
            let call = self.calls.register(CallKind::Worker(WorkerCall::Commands {
                partition,
                machine,
                launches,
                sent_as: target.launch(),
            }));
            let body = DirectCommands {
                token: target.token.0,
                worker_epoch: target.worker_epoch.0,
                commands,
            };
            self.effects.push(Effect::Worker {
                call,
                address: target.address,
                body,
                timeout: WORKER_TIMEOUT,
            });
        }
    }

    /// Requests a heartbeat from a worker by a direct call without commands. A token other than 0 raises
    /// the worker's fencing token if its epoch is the given one.
    pub(super) fn send_probe(
        &mut self,
        address: String,
        token: FencingToken,
        epoch: WorkerEpoch,
        kind: CallKind,
        timeout: Duration,
    ) {
        let call = self.calls.register(kind);
        let body = DirectCommands {
            token: token.0,
            worker_epoch: epoch.0,
            commands: Vec::new(),
        };
        self.effects.push(Effect::Worker {
            call,
            address,
            body,
            timeout,
        });
    }

    /// Handles the reply to a liveness probe.
    fn handle_probe_reply(
        &mut self,
        partition: PartitionId,
        machine: &MachineName,
        reply: DirectReply,
    ) {
        let now = self.now;
        let Some(partition_state) = self.partition_state_of(partition) else {
            return;
        };
        match reply {
            DirectReply::Answered(heartbeat) => {
                partition_state.record_probe_result(machine, true, now);
                partition_state.reconcile(&heartbeat, StatusSource::DirectResponse, now);
            }
            DirectReply::Unknown => partition_state.record_probe_result(machine, false, now),
        }
    }

    /// Replaces an invalid reply by [`DirectReply::Unknown`]: it proves nothing about the called machine,
    /// which may still execute the commands later.
    fn validate_reply(&mut self, called: &MachineName, reply: DirectReply) -> DirectReply {
        let DirectReply::Answered(heartbeat) = &reply else {
            return reply;
        };
        let Err(fault) = check_reply(heartbeat, called) else {
            return reply;
        };
        tracing::warn!(%called, machine = heartbeat.machine, ?fault, "worker reply rejected");
        let fault = match fault {
            HeartbeatFault::WrongMachine => MessageFault::Misrouted,
            HeartbeatFault::InvalidName | HeartbeatFault::InvalidTaskId => MessageFault::Malformed,
        };
        self.counters.rejections.add(MessageSource::Worker, fault);
        DirectReply::Unknown
    }

    /// Handles the reply to a direct call to a worker.
    pub(super) fn handle_worker_reply(&mut self, call: CallId, reply: DirectReply) {
        match self.calls.complete(call) {
            Some(CallKind::Worker(WorkerCall::Commands {
                partition,
                machine,
                launches,
                sent_as,
            })) => match self.validate_reply(&machine, reply) {
                DirectReply::Unknown => self.handle_unanswered_commands(partition, &machine),
                DirectReply::Answered(heartbeat) => {
                    let now = self.now;
                    if let Some(partition_state) = self.partition_state_of(partition) {
                        partition_state.record_direct_response(&machine, &launches, sent_as);
                        partition_state.reconcile(&heartbeat, StatusSource::DirectResponse, now);
                    }
                }
            },
            Some(CallKind::Worker(WorkerCall::ReachabilityProbe { partition, machine })) => {
                let reply = self.validate_reply(&machine, reply);
                self.handle_reachability_reply(
                    partition,
                    matches!(reply, DirectReply::Answered(_)),
                );
            }
            Some(CallKind::Worker(WorkerCall::LivenessProbe { partition, machine })) => {
                let reply = self.validate_reply(&machine, reply);
                self.handle_probe_reply(partition, &machine, reply);
            }
            _ => self
                .counters
                .rejections
                .add(MessageSource::Worker, MessageFault::Stale),
        }
    }

    /// Handles the lack of a reply to commands that were sent directly to a machine.
    fn handle_unanswered_commands(&mut self, partition: PartitionId, machine: &MachineName) {
        let now = self.now;
        if let Some(partition_state) = self.partition_state_of(partition) {
            partition_state.record_unanswered_commands(machine, now);
        }
    }
}

/// Commands that stop tasks listed in a heartbeat without a grace period, if their jobs are cancelled
/// according to the state cache.
///
/// A response renews the worker's lease for its full length, so the controller has to make sure that each
/// cancelled task ends. Before it has read the placement log, it knows the tasks from the heartbeat only.
/// The commands are part of the response that renews the lease, so neither arrives without the other.
fn kill_commands_for_cancelled_tasks(cache: &StateCache, heartbeat: &Heartbeat) -> Vec<Command> {
    let kill_command = |status: &TaskStatus| {
        let task = TaskId::parse(&status.task)?;
        let needs_stop = status.state != TaskState::Exited && cache.is_cancelled(task.job);
        let (task, attempt) = (status.task.clone(), status.attempt);
        needs_stop.then_some(Command::Stop {
            task,
            attempt,
            grace_s: 0.0,
        })
    };
    // The next heartbeat lists the tasks whose commands do not fit, without those that have exited by then.
    commands_that_fit(heartbeat.tasks.iter().filter_map(kill_command))
}
