//! Reports of workers and direct calls to them.

use super::heartbeat_checks::{check_answer, check_report, HeartbeatFault};
use super::leadership::HeartbeatOutcome;
use super::{CallKind, Controller, DirectReply, Effect, HeartbeatReply, Ticket, LAUNCH_CONTACT};
use crate::rejections::{MessageFault, MessageSource};
use crate::state_cache::StateCache;
use model::{CallId, FencingToken, MachineName, PartitionId, TaskId, WorkerEpoch};
use scheduler::{CommandRoute, StatusSource};
use std::time::Duration;
use wire::workers::{Command, DirectCommands, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};

/// Patience with a direct call that carries commands, and with one to a partition given up.
pub(super) const WORKER_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Controller {
    pub(super) fn on_report(&mut self, ticket: Ticket, report: Heartbeat) {
        let reply = match check_report(&report) {
            Ok(()) => self.report_reply(&report),
            Err(fault) => {
                tracing::warn!(machine = report.machine, ?fault, "a report is rejected");
                self.counters.rejections.add(MessageSource::Worker, MessageFault::Malformed);
                HeartbeatReply::Malformed
            }
        };
        if let HeartbeatReply::Redirect(_) = reply {
            self.counters.rejections.add(MessageSource::Worker, MessageFault::Misrouted);
        }
        if reply == HeartbeatReply::Unavailable {
            *self.counters.refusals.entry("report").or_default() += 1;
        }
        self.effects.push(Effect::Heartbeat { ticket, reply });
    }

    fn report_reply(&mut self, report: &Heartbeat) -> HeartbeatReply {
        let name = MachineName::from(report.machine.as_str());
        let Some(record) = self.mirror.machines.get(&name) else {
            return self.report_of_unknown(&name, report);
        };
        let partition = record.record.partition;
        let recorded = FencingToken(record.record.token);
        // Without a confirmed read of changes within the span that `cancel_s` leaves, nobody
        // may keep a worker's lease alive: a cancelled task could live on.
        let entitled = self.in_contact(self.settings.blind_span());
        let launches = self.in_contact(self.launch_span());
        let Some(holding) = self.holdings.get_mut(&partition) else {
            let holder = self.mirror.partitions.get(&partition).map(|p| p.record.holder.clone());
            return match holder {
                Some(holder) if holder != self.settings.name => {
                    self.record_worker_contact(partition, &name);
                    HeartbeatReply::Redirect(Some(holder))
                }
                _ => HeartbeatReply::Unavailable,
            };
        };
        if let Some(successor) = holding.successor() {
            return HeartbeatReply::Redirect(Some(successor.clone()));
        }
        if !entitled || holding.is_yielding() {
            return HeartbeatReply::Unavailable;
        }
        let token = holding.token().max(recorded);
        if FencingToken(report.token) > token {
            // Someone with a newer right has spoken to it.
            return HeartbeatReply::Redirect(None);
        }
        let halts = || halts_of_cancelled(&self.mirror, report);
        let commands = match holding.answer_report(&name, report, token, launches, halts, self.now)
        {
            HeartbeatOutcome::Answered(commands) => commands,
            HeartbeatOutcome::Stale(commands) => {
                self.counters.rejections.add(MessageSource::Worker, MessageFault::Stale);
                commands
            }
            HeartbeatOutcome::Withheld => {
                tracing::warn!(machine = %name, "not answered: a launch of a cancelled task may come yet");
                self.counters.answers_withheld += 1;
                return HeartbeatReply::Unavailable;
            }
        };
        HeartbeatReply::Answer(HeartbeatResponse { token: token.0, commands })
    }

    /// For how long workers may be answered if no further read of changes succeeds.
    pub(super) fn answers_left(&self) -> Duration {
        let until = self.contact_at.map(|at| at + self.settings.blind_span());
        until.unwrap_or_default().duration_since(self.now)
    }

    /// How old a read of changes may be for launches: within the span in which a successor counts us as
    /// one who may still answer, since it waits for no launch that is sent later.
    fn launch_span(&self) -> Duration {
        LAUNCH_CONTACT.min(self.settings.blind_span())
    }

    /// A machine without a record: the leader takes it in.
    fn report_of_unknown(&mut self, name: &MachineName, report: &Heartbeat) -> HeartbeatReply {
        match self.leader_node() {
            Some(leader) if leader == *self.me() => {
                self.leader.found(name, &report.machine_type, &report.zone, report.spot, self.now);
                HeartbeatReply::Unavailable
            }
            Some(leader) => HeartbeatReply::Redirect(Some(leader)),
            None => HeartbeatReply::Unavailable,
        }
    }

    /// Sends commands straight to machines for which something has become urgent.
    pub(super) fn send_direct(&mut self, partition: PartitionId) {
        if !self.in_contact(self.launch_span()) {
            return;
        }
        let now = self.now;
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        if holding.is_yielding() || holding.successor().is_some() {
            return;
        }
        let mut calls = Vec::new();
        if let Some(share) = holding.share_mut() {
            for name in share.take_urgent() {
                let Some((address, token, session)) = share.direct_terms(&name) else { continue };
                let commands = share.commands_for(&name, CommandRoute::Direct, now);
                if !commands.is_empty() {
                    calls.push((name, address, token, session, commands));
                }
            }
        }
        for (machine, address, token, session, commands) in calls {
            let launches = commands
                .iter()
                .filter_map(|command| match command {
                    Command::Start { task, attempt } => {
                        TaskId::parse(task).map(|task| (task, model::Attempt(*attempt)))
                    }
                    _ => None,
                })
                .collect();
            let call = self.call(CallKind::Direct { partition, machine, launches });
            let body = DirectCommands { token: token.0, session: session.0, commands };
            self.effects.push(Effect::Worker { call, address, body, timeout: WORKER_TIMEOUT });
        }
    }

    /// Asks a worker for a report. Nothing is executed, since there are no commands; a token that is
    /// not 0 is raised where the session is the one named.
    pub(super) fn ask_worker(
        &mut self,
        address: String,
        token: FencingToken,
        session: WorkerEpoch,
        purpose: CallKind,
        timeout: Duration,
    ) {
        let call = self.call(purpose);
        let body = DirectCommands { token: token.0, session: session.0, commands: Vec::new() };
        self.effects.push(Effect::Worker { call, address, body, timeout });
    }

    /// A machine was asked whether it is there.
    fn on_asked(&mut self, partition: PartitionId, machine: &MachineName, reply: DirectReply) {
        let now = self.now;
        let share = self.holdings.get_mut(&partition).and_then(|h| h.share_mut());
        let Some(share) = share else { return };
        match reply {
            DirectReply::Answered(report) => {
                share.was_asked(machine, true, now);
                share.observe(&report, StatusSource::Direct, now);
            }
            DirectReply::Unknown => share.was_asked(machine, false, now),
        }
    }

    /// An answer that proves nothing about the machine that was asked counts as none: what was sent
    /// there may yet be executed.
    fn checked_answer(&mut self, asked: &MachineName, reply: DirectReply) -> DirectReply {
        let DirectReply::Answered(report) = &reply else { return reply };
        let Err(fault) = check_answer(report, asked) else { return reply };
        tracing::warn!(%asked, by = report.machine, ?fault, "a worker's answer is rejected");
        let fault = match fault {
            HeartbeatFault::OtherMachine => MessageFault::Misrouted,
            HeartbeatFault::Name | HeartbeatFault::Task => MessageFault::Malformed,
        };
        self.counters.rejections.add(MessageSource::Worker, fault);
        DirectReply::Unknown
    }

    pub(super) fn on_direct(&mut self, call: CallId, reply: DirectReply) {
        match self.calls.remove(&call) {
            Some(CallKind::Direct { partition, machine, launches }) => {
                let reply = self.checked_answer(&machine, reply);
                self.on_commanded(partition, &machine, &launches, reply);
            }
            Some(CallKind::Probe { partition, machine }) => {
                let reply = self.checked_answer(&machine, reply);
                self.on_probed(partition, matches!(reply, DirectReply::Answered(_)));
            }
            Some(CallKind::Ask { partition, machine }) => {
                let reply = self.checked_answer(&machine, reply);
                self.on_asked(partition, &machine, reply);
            }
            _ => self.counters.rejections.add(MessageSource::Worker, MessageFault::Stale),
        }
    }

    /// What came of commands that were sent straight to a machine.
    fn on_commanded(
        &mut self,
        partition: PartitionId,
        machine: &MachineName,
        launches: &[(TaskId, model::Attempt)],
        reply: DirectReply,
    ) {
        let now = self.now;
        let Some(share) = self.holdings.get_mut(&partition).and_then(|h| h.share_mut()) else {
            return;
        };
        match reply {
            DirectReply::Unknown => share.was_unanswered(machine, now),
            DirectReply::Answered(report) => {
                share.direct_answered(machine, launches);
                share.observe(&report, StatusSource::Direct, now);
            }
        }
    }
}

/// Halts for the tasks in a report whose jobs are cancelled, by the records alone. Whoever answers keeps a
/// lease up for a whole length after the contact by which it answers, and has to know for each cancelled
/// task that it ends; who has not read its ledger knows of them by the report. The halt shares the fate of
/// the answer: where one is lost, so is the other.
fn halts_of_cancelled(mirror: &StateCache, report: &Heartbeat) -> Vec<Command> {
    let halt = |entry: &TaskStatus| {
        let task = TaskId::parse(&entry.task)?;
        let there = entry.state != TaskState::Exited && mirror.is_cancelled(task.job);
        let (task, attempt) = (entry.task.clone(), entry.attempt);
        there.then_some(Command::Stop { task, attempt, grace_s: 0.0 })
    };
    report.tasks.iter().filter_map(halt).collect()
}
