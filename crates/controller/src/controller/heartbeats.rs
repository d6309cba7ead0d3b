//! Reports of workers and direct calls to them.

use super::fleet_planner::UnregisteredMachine;
use super::heartbeat_checks::{check_answer, check_report, HeartbeatFault};
use super::leadership::HeartbeatOutcome;
use super::{
    CallKind, Controller, DirectReply, Effect, HeartbeatReply, Ticket, MAX_LAUNCH_READ_AGE,
};
use crate::rejections::{MessageFault, MessageSource};
use crate::state_cache::StateCache;
use model::{CallId, FencingToken, MachineName, PartitionId, TaskId, WorkerEpoch};
use scheduler::{CommandRoute, StatusSource, TaskAttempt};
use std::time::Duration;
use wire::workers::{Command, DirectCommands, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};

/// Patience with a direct call that carries commands, and with one to a partition given up.
pub(super) const WORKER_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Controller {
    pub(super) fn handle_heartbeat(&mut self, ticket: Ticket, report: Heartbeat) {
        let reply = match check_report(&report) {
            Ok(()) => self.heartbeat_reply(&report),
            Err(fault) => {
                tracing::warn!(machine = report.machine, ?fault, "a report is rejected");
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

    fn heartbeat_reply(&mut self, report: &Heartbeat) -> HeartbeatReply {
        let name = MachineName::from(report.machine.as_str());
        let Some(record) = self.cache.machines.get(&name) else {
            return self.handle_unregistered_heartbeat(&name, report);
        };
        let partition = record.record.partition;
        let recorded = FencingToken(record.record.token);
        // Without a confirmed read of changes within the span that `cancel_s` leaves, nobody
        // may keep a worker's lease alive: a cancelled task could live on.
        let entitled = self.has_recent_state_read(self.settings.lease_validity());
        let launches = self.has_recent_state_read(self.launch_validity());
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            let leader = self
                .cache
                .partitions
                .get(&partition)
                .map(|p| p.record.leader.clone());
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
        if !entitled || leadership.is_transferring() {
            return HeartbeatReply::Unavailable;
        }
        let token = leadership.token().max(recorded);
        if FencingToken(report.token) > token {
            // Someone with a newer right has spoken to it.
            return HeartbeatReply::Redirect(None);
        }
        let halts = || halts_of_cancelled(&self.cache, report);
        let commands = match leadership
            .handle_heartbeat(&name, report, token, launches, halts, self.now)
        {
            HeartbeatOutcome::Answered(commands) => commands,
            HeartbeatOutcome::Stale(commands) => {
                self.counters
                    .rejections
                    .add(MessageSource::Worker, MessageFault::Stale);
                commands
            }
            HeartbeatOutcome::Withheld => {
                tracing::warn!(machine = %name, "not answered: a launch of a cancelled task may come yet");
                self.counters.answers_withheld += 1;
                return HeartbeatReply::Unavailable;
            }
        };
        HeartbeatReply::Answer(HeartbeatResponse {
            token: token.0,
            commands,
        })
    }

    /// For how long workers may be answered if no further read of changes succeeds.
    pub(super) fn remaining_lease_validity(&self) -> Duration {
        let until = self
            .state_sync
            .last_read_at()
            .map(|at| at + self.settings.lease_validity());
        until.unwrap_or_default().duration_since(self.now)
    }

    /// How old a read of changes may be for launches: within the span in which a successor counts us as
    /// one who may still answer, since it waits for no launch that is sent later.
    fn launch_validity(&self) -> Duration {
        MAX_LAUNCH_READ_AGE.min(self.settings.lease_validity())
    }

    /// A machine without a record: the leader takes it in.
    fn handle_unregistered_heartbeat(
        &mut self,
        name: &MachineName,
        report: &Heartbeat,
    ) -> HeartbeatReply {
        match self.fleet_planner_controller() {
            Some(fleet_planner) if fleet_planner == *self.own_name() => {
                let machine = UnregisteredMachine {
                    name,
                    machine_type: &report.machine_type,
                    zone: &report.zone,
                    spot: report.spot,
                };
                self.fleet_planner
                    .record_unregistered_machine(machine, self.now);
                HeartbeatReply::Unavailable
            }
            Some(fleet_planner) => HeartbeatReply::Redirect(Some(fleet_planner)),
            None => HeartbeatReply::Unavailable,
        }
    }

    /// Sends commands straight to machines for which something has become urgent.
    pub(super) fn send_direct(&mut self, partition: PartitionId) {
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
            for name in partition_state.take_urgent_machines() {
                let Some(target) = partition_state.direct_call_target(&name) else {
                    continue;
                };
                let commands = partition_state.commands_for(&name, CommandRoute::Direct, now);
                if !commands.is_empty() {
                    calls.push((name, target, commands));
                }
            }
        }
        for (machine, target, commands) in calls {
            let launches = commands
                .iter()
                .filter_map(|command| match command {
                    Command::Start { task, attempt } => {
                        let task = TaskId::parse(task)?;
                        let attempt = model::Attempt(*attempt);
                        Some(TaskAttempt { task, attempt })
                    }
                    _ => None,
                })
                .collect();
            let call = self.calls.register(CallKind::Direct {
                partition,
                machine,
                launches,
            });
            let body = DirectCommands {
                token: target.token.0,
                session: target.worker_epoch.0,
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

    /// Asks a worker for a report. Nothing is executed, since there are no commands; a token that is
    /// not 0 is raised where the session is the one named.
    pub(super) fn send_probe(
        &mut self,
        address: String,
        token: FencingToken,
        session: WorkerEpoch,
        purpose: CallKind,
        timeout: Duration,
    ) {
        let call = self.calls.register(purpose);
        let body = DirectCommands {
            token: token.0,
            session: session.0,
            commands: Vec::new(),
        };
        self.effects.push(Effect::Worker {
            call,
            address,
            body,
            timeout,
        });
    }

    /// A machine was asked whether it is there.
    fn handle_probe_reply(
        &mut self,
        partition: PartitionId,
        machine: &MachineName,
        reply: DirectReply,
    ) {
        let now = self.now;
        let partition_state = self
            .leaderships
            .get_mut(&partition)
            .and_then(|h| h.partition_state_mut());
        let Some(partition_state) = partition_state else {
            return;
        };
        match reply {
            DirectReply::Answered(report) => {
                partition_state.record_probe_result(machine, true, now);
                partition_state.reconcile(&report, StatusSource::Direct, now);
            }
            DirectReply::Unknown => partition_state.record_probe_result(machine, false, now),
        }
    }

    /// An answer that proves nothing about the machine that was asked counts as none: what was sent
    /// there may yet be executed.
    fn checked_answer(&mut self, asked: &MachineName, reply: DirectReply) -> DirectReply {
        let DirectReply::Answered(report) = &reply else {
            return reply;
        };
        let Err(fault) = check_answer(report, asked) else {
            return reply;
        };
        tracing::warn!(%asked, by = report.machine, ?fault, "a worker's answer is rejected");
        let fault = match fault {
            HeartbeatFault::OtherMachine => MessageFault::Misrouted,
            HeartbeatFault::Name | HeartbeatFault::Task => MessageFault::Malformed,
        };
        self.counters.rejections.add(MessageSource::Worker, fault);
        DirectReply::Unknown
    }

    pub(super) fn handle_worker_reply(&mut self, call: CallId, reply: DirectReply) {
        match self.calls.complete(call) {
            Some(CallKind::Direct {
                partition,
                machine,
                launches,
            }) => {
                let reply = self.checked_answer(&machine, reply);
                self.handle_command_reply(partition, &machine, &launches, reply);
            }
            Some(CallKind::Probe { partition, machine }) => {
                let reply = self.checked_answer(&machine, reply);
                self.handle_reachability_reply(
                    partition,
                    matches!(reply, DirectReply::Answered(_)),
                );
            }
            Some(CallKind::Ask { partition, machine }) => {
                let reply = self.checked_answer(&machine, reply);
                self.handle_probe_reply(partition, &machine, reply);
            }
            _ => self
                .counters
                .rejections
                .add(MessageSource::Worker, MessageFault::Stale),
        }
    }

    /// What came of commands that were sent straight to a machine.
    fn handle_command_reply(
        &mut self,
        partition: PartitionId,
        machine: &MachineName,
        launches: &[TaskAttempt],
        reply: DirectReply,
    ) {
        let now = self.now;
        let Some(partition_state) = self
            .leaderships
            .get_mut(&partition)
            .and_then(|h| h.partition_state_mut())
        else {
            return;
        };
        match reply {
            DirectReply::Unknown => partition_state.record_unanswered_commands(machine, now),
            DirectReply::Answered(report) => {
                partition_state.record_direct_response(machine, launches);
                partition_state.reconcile(&report, StatusSource::Direct, now);
            }
        }
    }
}

/// Halts for the tasks in a report whose jobs are cancelled, by the records alone. Whoever answers keeps a
/// lease up for a whole length after the contact by which it answers, and has to know for each cancelled
/// task that it ends; who has not read its ledger knows of them by the report. The halt shares the fate of
/// the answer: where one is lost, so is the other.
fn halts_of_cancelled(cache: &StateCache, report: &Heartbeat) -> Vec<Command> {
    let halt = |entry: &TaskStatus| {
        let task = TaskId::parse(&entry.task)?;
        let there = entry.state != TaskState::Exited && cache.is_cancelled(task.job);
        let (task, attempt) = (entry.task.clone(), entry.attempt);
        there.then_some(Command::Stop {
            task,
            attempt,
            grace_s: 0.0,
        })
    };
    report.tasks.iter().filter_map(halt).collect()
}
