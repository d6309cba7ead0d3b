//! Messages that are delayed, duplicated, lost in one direction or left without a reply.

use super::events::{starts, Endpoint, Message, ScheduledEvent};
use super::network::ActiveFault;
use super::scenario::Mutation;
use super::site::CONTROLLERS;
use super::World;
use controller::Event;
use rand::Rng;
use std::collections::BTreeSet;
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest};
use wire::workers::{Command, Heartbeat};

/// Replayed heartbeats arrive within this time of a new leader's record, in ms.
const REPLAY_WINDOW_MS: u64 = 400;

/// A machine that boots within `FAST_BOOT_MS` counts as new for `NEW_MACHINE_MS`.
const FAST_BOOT_MS: u64 = 2_000;
const NEW_MACHINE_MS: u64 = 4_000;

/// Messages that wait for the next leader, and lost replies that have not been read.
#[derive(Debug, Default)]
pub(super) struct MessageInterceptor {
    /// Heartbeats to be replayed to the next leader.
    copies: Vec<Message>,
    /// Heartbeats held back until the next leader has acted.
    reports: Vec<Message>,
    /// Transactions whose replies were lost and that no other controller has read: their controllers and
    /// revisions.
    unread: Vec<(usize, u64)>,
}

impl World {
    /// Draws whether an event is hit by a fault with a percentage. Nothing is drawn where no such fault is
    /// active.
    fn draw_fault(&mut self, percent: impl Fn(&ActiveFault) -> Option<u64>) -> bool {
        let percent = self.network.find_active(percent);
        percent.is_some_and(|percent| self.rng.random_range(0..100) < percent)
    }

    /// The message to send now, unless it is held back or delayed.
    pub(super) fn intercept(&mut self, message: Message) -> Option<Message> {
        let message = self.without_some_launches(message);
        match &message {
            Message::Heartbeat { .. } => {
                let copied = |fault: &ActiveFault| match fault {
                    ActiveFault::ReplayedHeartbeats(percent) => Some(*percent),
                    _ => None,
                };
                let held = |fault: &ActiveFault| match fault {
                    ActiveFault::HeldHeartbeats(percent) => Some(*percent),
                    _ => None,
                };
                if self.draw_fault(copied) {
                    self.interceptor.copies.push(message.clone());
                }
                if self.draw_fault(held) {
                    self.interceptor.reports.push(message);
                    return None;
                }
            }
            Message::Direct { .. } => {
                let late = |fault: &ActiveFault| match fault {
                    ActiveFault::DelayedCommands(percent) => Some(*percent),
                    _ => None,
                };
                if self.draw_fault(late) {
                    let after = self.rng.random_range(2_000..16_000);
                    self.schedule(
                        self.now + after,
                        ScheduledEvent::DeliverDelayedCommand(Box::new(message)),
                    );
                    return None;
                }
            }
            _ => {}
        }
        Some(message)
    }

    /// A partition record names a new leader: schedules recorded heartbeats to every controller at once, and
    /// held ones to the new leader after its first actions.
    pub(super) fn deliver_to_new_leader(&mut self, machines: &BTreeSet<String>, partition: u32) {
        let leader = self
            .leader(partition)
            .and_then(|name| name.strip_prefix('n')?.parse().ok());
        let Some(leader) = leader else { return };
        for copy in std::mem::take(&mut self.interceptor.copies) {
            let Message::Heartbeat {
                machine,
                mut report,
                ..
            } = copy
            else {
                continue;
            };
            if self.plan.mutation == Some(Mutation::DuplicatedHeartbeatsLookNew) {
                report.sequence_number += 1_000_000;
            }
            self.record_replayed_heartbeat(machines, &machine, &report);
            for controller in 0..CONTROLLERS {
                let (machine, report) = (machine.clone(), report.clone());
                // No worker waits for the reply.
                let message = Message::Heartbeat {
                    controller,
                    machine,
                    number: 0,
                    report,
                };
                let after = self.rng.random_range(1..REPLAY_WINDOW_MS);
                self.schedule(
                    self.now + after,
                    ScheduledEvent::DeliverDuplicate(Box::new(message)),
                );
            }
        }
        for held in std::mem::take(&mut self.interceptor.reports) {
            let Message::Heartbeat {
                machine,
                number,
                mut report,
                ..
            } = held
            else {
                continue;
            };
            if self.plan.mutation == Some(Mutation::DuplicatedHeartbeatsLookNew) {
                report.sequence_number += 1_000_000;
            }
            let message = Message::Heartbeat {
                controller: leader,
                machine,
                number,
                report,
            };
            let after = self.rng.random_range(1_000..6_000);
            self.schedule(
                self.now + after,
                ScheduledEvent::DeliverHeldHeartbeat(Box::new(message)),
            );
        }
    }

    /// Counts a replayed heartbeat if it is stale and its machine belongs to the new leader's partition.
    fn record_replayed_heartbeat(
        &mut self,
        machines: &BTreeSet<String>,
        machine: &str,
        report: &Heartbeat,
    ) {
        let Some(worker) = self.workers.get(machine).filter(|w| !w.dead) else {
            return;
        };
        if machines.contains(machine) && worker.has_sent_newer(report) {
            self.coverage.stale_heartbeats_at_failover += 1;
            self.coverage.earlier_epoch_heartbeats_at_failover +=
                u64::from(report.worker_epoch < worker.epoch);
        }
    }

    pub(super) fn deliver_held_heartbeat(&mut self, message: Message) {
        self.coverage.held_heartbeats += 1;
        self.deliver(message);
    }

    /// Executes a delayed direct command; its reply is lost.
    pub(super) fn deliver_delayed_command(&mut self, message: Message) {
        let Message::Direct {
            controller,
            incarnation,
            machine,
            body,
            ..
        } = &message
        else {
            return;
        };
        let (now, lease) = (self.now, self.parameters.lease);
        if self.is_disconnected(Endpoint::Controller(*controller), self.machine(machine)) {
            self.schedule(
                now + 1_000,
                ScheduledEvent::DeliverDelayedCommand(Box::new(message)),
            );
            return;
        }
        let ended = !self.is_running(*controller, *incarnation);
        let Some(worker) = self.workers.get_mut(machine).filter(|w| !w.dead) else {
            return;
        };
        worker.check_lease(now, lease);
        let deposed = worker.token > body.token;
        let (token, session) = match self.plan.mutation {
            Some(Mutation::DelayedCommandsUnfenced) => (worker.token, worker.epoch),
            _ => (body.token, body.worker_epoch),
        };
        let executed =
            worker.handle_direct_call(token, session, &body.commands, now, self.jobs.all());
        if executed {
            self.failovers
                .record_contact(machine, token, starts(&body.commands), now);
            self.record_launch(machine, &body.commands);
        }
        if body.commands.is_empty() {
            return;
        }
        self.coverage.delayed_commands += u64::from(executed);
        self.coverage.delayed_commands_rejected += u64::from(!executed);
        self.coverage.delayed_commands_of_crashed += u64::from(ended);
        self.coverage.delayed_commands_of_deposed += u64::from(deposed);
    }

    /// Whether a machine's connections to controllers fail.
    pub(super) fn refuses_connections(&mut self, machine: &str) -> bool {
        let mute = self.network.any_active(
            |fault| matches!(fault, ActiveFault::MachineConnectionsRefused(name) if name == machine),
        );
        self.coverage.refused_connections += u64::from(mute);
        mute
    }

    /// Counts a direct call to a machine whose own connections are refused.
    pub(super) fn record_direct_call(&mut self, machine: &str) {
        let mute = self.network.any_active(
            |fault| matches!(fault, ActiveFault::MachineConnectionsRefused(name) if name == machine),
        );
        self.coverage.direct_calls_while_refusing += u64::from(mute);
    }

    /// Counts a launch on a machine that has booted fast and just now, while transactions are delayed.
    pub(super) fn record_launch(&mut self, machine: &str, commands: &[Command]) {
        let lag = self
            .network
            .any_active(|fault| matches!(fault, ActiveFault::DelayedTransactions(_)));
        let Some(rented) = self.cloud.machines.get(machine).filter(|_| lag) else {
            return;
        };
        let quick =
            |up: u64| up < rented.rented_at + FAST_BOOT_MS && self.now < up + NEW_MACHINE_MS;
        let young = starts(commands) && rented.boots_at.is_some_and(quick);
        self.coverage.launches_on_new_machines += u64::from(young);
    }

    /// Whether a mesh message is lost.
    pub(super) fn is_lost_on_mesh(&mut self, from: Endpoint, to: Endpoint) -> bool {
        let (Endpoint::Controller(from), Endpoint::Controller(to)) = (from, to) else {
            return false;
        };
        let lost = self
            .network
            .is_active(&ActiveFault::OneWayMeshPartition(from, to));
        self.coverage.one_way_losses += u64::from(lost);
        lost
    }

    /// Schedules a duplicate of a mesh message, if that fault is active.
    pub(super) fn duplicate_mesh_event(&mut self, to: usize, event: &Event) {
        let copied = |fault: &ActiveFault| match fault {
            ActiveFault::DuplicatedMeshMessages(percent) => Some(*percent),
            _ => None,
        };
        if !self.draw_fault(copied) {
            return;
        }
        let mut event = event.clone();
        let trusted = self.plan.mutation == Some(Mutation::MeshDuplicatesClaimAllChanges);
        if let (
            true,
            Event::Mesh {
                message: MeshMessage::Heartbeat { revision, .. },
                ..
            },
        ) = (trusted, &mut event)
        {
            *revision = u64::MAX;
        }
        let after = self.rng.random_range(1_000..3 * self.parameters.lease);
        self.schedule(
            self.now + after,
            ScheduledEvent::DeliverMeshDuplicate { to, event },
        );
    }

    /// Factor by which a link is slower than usual.
    pub(super) fn slowness(&self, from: Endpoint, to: Endpoint) -> u64 {
        let linked = |place| matches!(place, Endpoint::Controller(_) | Endpoint::Machine(_));
        let slow = self.network.find_active(|fault| match fault {
            ActiveFault::SlowLinks(times) => Some(*times),
            _ => None,
        });
        slow.filter(|_| linked(from) && linked(to)).unwrap_or(1)
    }

    /// Whether a request is a transaction whose reply is lost.
    pub(super) fn loses_reply(&mut self, request: &StateRequest) -> bool {
        let lost = |fault: &ActiveFault| match fault {
            ActiveFault::LostTransactionReplies(percent) => Some(*percent),
            _ => None,
        };
        matches!(request, StateRequest::Transaction(_)) && self.draw_fault(lost)
    }

    /// The reply to an applied transaction is lost.
    pub(super) fn record_lost_reply(&mut self, controller: usize, reply: &StateReply) {
        if let StateReply::Committed { revision } = reply {
            self.coverage.lost_replies += 1;
            self.interceptor.unread.push((controller, *revision));
        }
    }

    /// A controller reads changes: counts those of transactions whose replies were lost.
    pub(super) fn record_changes_read(&mut self, reader: usize, reply: &StateReply) {
        let StateReply::Changes(changes) = reply else {
            return;
        };
        let coverage = &mut self.coverage;
        self.interceptor.unread.retain(|(writer, revision)| {
            let read = *writer != reader && changes.events.iter().any(|c| c.version == *revision);
            coverage.lost_replies_read_elsewhere += u64::from(read);
            !read
        });
    }
}
