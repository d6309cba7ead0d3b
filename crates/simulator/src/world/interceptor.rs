//! Interception of messages by faults: messages that are delayed, duplicated, lost in one direction or left
//! without a reply.

use super::active_fault::ActiveFault;
use super::events::{contains_launch, Endpoint, Message, ScheduledEvent};
use super::scenario::Mutation;
use super::site::CONTROLLERS;
use super::World;
use crate::worker::TaskKey;
use controller::Event;
use rand::Rng;
use std::collections::BTreeSet;
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest};
use wire::workers::{Command, Heartbeat};

/// Replayed heartbeats arrive within this time of the write of a new leader's record.
const REPLAY_WINDOW_MS: u64 = 400;

/// A machine that boots within `FAST_BOOT_MS` of its rental counts as new until `NEW_MACHINE_MS` after its boot.
const FAST_BOOT_MS: u64 = 2_000;
const NEW_MACHINE_MS: u64 = 4_000;

/// Copies of a direct call with launches, and the earliest and the latest time at which one arrives.
const LAUNCH_COPIES: usize = 8;
const MIN_COPY_DELAY_MS: u64 = 50;
const MAX_COPY_DELAY_MS: u64 = 70_000;

/// Heartbeats that wait for the next leader, and transactions that lost their replies.
#[derive(Debug, Default)]
pub(super) struct MessageInterceptor {
    /// Copies of heartbeats, to be replayed after the next change of leadership.
    heartbeats_to_replay: Vec<Message>,
    /// Heartbeats held back until after the next change of leadership.
    held_heartbeats: Vec<Message>,
    /// Controllers and revisions of committed transactions whose replies were lost and whose changes no other
    /// controller has read yet.
    unread_commits: Vec<(usize, u64)>,
}

impl World {
    /// Draws whether a message is hit by the active fault for which `percent` gives a percentage. Draws nothing if
    /// no such fault is active.
    fn draw_fault(&mut self, percent: impl Fn(&ActiveFault) -> Option<u64>) -> bool {
        let percent = self.network.find_active(percent);
        percent.is_some_and(|percent| self.rng.random_range(0..100) < percent)
    }

    /// Returns the message if it is to be sent now; otherwise it is held back or scheduled for later.
    pub(super) fn intercept(&mut self, message: Message) -> Option<Message> {
        let message = self.without_some_launches(message);
        match &message {
            Message::Heartbeat {
                machine, heartbeat, ..
            } => {
                self.keep_heartbeat(machine, heartbeat);
                let replayed = |fault: &ActiveFault| match fault {
                    ActiveFault::ReplayedHeartbeats(percent) => Some(*percent),
                    _ => None,
                };
                let held_back = |fault: &ActiveFault| match fault {
                    ActiveFault::HeldHeartbeats(percent) => Some(*percent),
                    _ => None,
                };
                if self.draw_fault(replayed) {
                    self.interceptor.heartbeats_to_replay.push(message.clone());
                }
                if self.draw_fault(held_back) {
                    self.interceptor.held_heartbeats.push(message);
                    return None;
                }
            }
            Message::DirectCall { .. } => {
                self.schedule_launch_copies(&message);
                let delayed = |fault: &ActiveFault| match fault {
                    ActiveFault::DelayedCommands(percent) => Some(*percent),
                    _ => None,
                };
                if self.draw_fault(delayed) {
                    let delay_ms = self.rng.random_range(2_000..16_000);
                    self.schedule(
                        self.now + delay_ms,
                        ScheduledEvent::DeliverDelayedCommand(Box::new(message)),
                    );
                    return None;
                }
            }
            _ => {}
        }
        Some(message)
    }

    /// Schedules copies of a direct call with launches, if that fault is active.
    fn schedule_launch_copies(&mut self, message: &Message) {
        let Message::DirectCall { machine, body, .. } = message else {
            return;
        };
        if !self.network.is_active(&ActiveFault::CopiedLaunches) || !contains_launch(&body.commands)
        {
            return;
        }
        let partition = self.recorded_partition(machine);
        for _ in 0..LAUNCH_COPIES {
            let delay_ms = self.rng.random_range(MIN_COPY_DELAY_MS..MAX_COPY_DELAY_MS);
            let copy = ScheduledEvent::DeliverLaunchCopy {
                message: Box::new(message.clone()),
                sent_at: self.now,
                partition,
            };
            self.schedule(self.now + delay_ms, copy);
        }
    }

    fn recorded_partition(&self, machine: &str) -> Option<u64> {
        self.machine_records()
            .find(|record| record.get(0).is_some_and(|name| *name == machine))?
            .get(4)?
            .as_u64()
    }

    /// Counts the launches in a copy of a direct call if the machine or the controller has restarted since the call.
    pub(super) fn record_launch_copy(
        &mut self,
        message: &Message,
        sent_at: u64,
        partition: Option<u64>,
    ) {
        let Message::DirectCall {
            controller,
            incarnation,
            machine,
            body,
            ..
        } = message
        else {
            return;
        };
        let Some(worker) = self.workers.get(machine).filter(|w| !w.dead) else {
            return;
        };
        let machine_restarted = worker.restarted_at.is_some_and(|at| at > sent_at);
        if !machine_restarted && self.is_running(*controller, *incarnation) {
            return;
        }
        let changed_partition = self.recorded_partition(machine) != partition;
        self.coverage.launch_copies.other_partition += u64::from(changed_partition);
        for command in &body.commands {
            if let Command::Launch { task, attempt } = command {
                self.record_copied_launch(machine, (task.clone(), *attempt));
            }
        }
    }

    fn record_copied_launch(&mut self, machine: &str, key: TaskKey) {
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        let is_moved = self.is_on_other_machine(worker, &key);
        let id = key.0.split('/').next().unwrap_or_default();
        let counts = &mut self.coverage.launch_copies;
        counts.answered += u64::from(worker.launches.contains_key(&key));
        counts.forgotten += u64::from(worker.forgotten_attempts.contains(&key));
        counts.moved += u64::from(is_moved);
        counts.cancelled += u64::from(self.rules.cancel_confirmed.contains_key(id));
    }

    /// After a write of a partition record: schedules the copied heartbeats for every controller almost at once,
    /// and the held ones for the leader when it has already acted. `machines` are the partition's machines that
    /// are up.
    pub(super) fn schedule_heartbeats_for_new_leader(
        &mut self,
        machines: &BTreeSet<String>,
        partition: u32,
    ) {
        let leader = self
            .leader(partition)
            .and_then(|name| name.strip_prefix('n')?.parse().ok());
        let Some(leader) = leader else { return };
        for copy in std::mem::take(&mut self.interceptor.heartbeats_to_replay) {
            let Message::Heartbeat {
                machine,
                mut heartbeat,
                ..
            } = copy
            else {
                continue;
            };
            if self.plan.mutation == Some(Mutation::DuplicatedHeartbeatsLookNew) {
                heartbeat.sequence_number += 1_000_000;
            }
            self.record_replayed_heartbeat(machines, &machine, &heartbeat);
            for controller in 0..CONTROLLERS {
                let (machine, heartbeat) = (machine.clone(), heartbeat.clone());
                // Number 0: no worker waits for the reply.
                let message = Message::Heartbeat {
                    controller,
                    machine,
                    number: 0,
                    heartbeat,
                };
                let delay_ms = self.rng.random_range(1..REPLAY_WINDOW_MS);
                self.schedule(
                    self.now + delay_ms,
                    ScheduledEvent::DeliverDuplicate(Box::new(message)),
                );
            }
        }
        for held in std::mem::take(&mut self.interceptor.held_heartbeats) {
            let Message::Heartbeat {
                machine,
                number,
                mut heartbeat,
                ..
            } = held
            else {
                continue;
            };
            if self.plan.mutation == Some(Mutation::DuplicatedHeartbeatsLookNew) {
                heartbeat.sequence_number += 1_000_000;
            }
            let message = Message::Heartbeat {
                controller: leader,
                machine,
                number,
                heartbeat,
            };
            let delay_ms = self.rng.random_range(1_000..6_000);
            self.schedule(
                self.now + delay_ms,
                ScheduledEvent::DeliverHeldHeartbeat(Box::new(message)),
            );
        }
    }

    /// Counts a replayed heartbeat if it is stale and its machine belongs to the new leader's partition.
    fn record_replayed_heartbeat(
        &mut self,
        machines: &BTreeSet<String>,
        machine: &str,
        heartbeat: &Heartbeat,
    ) {
        let Some(worker) = self.workers.get(machine).filter(|w| !w.dead) else {
            return;
        };
        if machines.contains(machine) && worker.has_sent_newer(heartbeat) {
            self.coverage.stale_heartbeats_at_failover += 1;
            self.coverage.earlier_epoch_heartbeats_at_failover +=
                u64::from(heartbeat.worker_epoch < worker.epoch);
        }
    }

    /// Delivers a heartbeat that was held back.
    pub(super) fn deliver_held_heartbeat(&mut self, message: Message) {
        self.coverage.held_heartbeats += 1;
        self.deliver(message);
    }

    /// Delivers a delayed call with direct commands to its worker; the reply is lost. While the controller is
    /// disconnected from the machine, the call is tried again every second.
    pub(super) fn deliver_delayed_command(&mut self, message: Message) {
        let Message::DirectCall {
            controller,
            incarnation,
            machine,
            body,
            ..
        } = &message
        else {
            return;
        };
        let (now, lease_duration_ms) = (self.now, self.parameters.lease_duration_ms);
        if self.is_disconnected(
            Endpoint::Controller(*controller),
            self.machine_endpoint(machine),
        ) {
            self.schedule(
                now + 1_000,
                ScheduledEvent::DeliverDelayedCommand(Box::new(message)),
            );
            return;
        }
        let has_crashed = !self.is_running(*controller, *incarnation);
        let Some(worker) = self.workers.get_mut(machine).filter(|w| !w.dead) else {
            return;
        };
        worker.check_lease(now, lease_duration_ms);
        let is_deposed = worker.token > body.token;
        let (token, session) = match self.plan.mutation {
            Some(Mutation::DelayedCommandsUnfenced) => (worker.token, worker.epoch),
            _ => (body.token, body.worker_epoch),
        };
        let executed =
            worker.handle_direct_call(token, session, &body.commands, now, self.jobs.all());
        if executed {
            self.failovers
                .record_contact(machine, token, contains_launch(&body.commands), now);
            self.record_launch(machine, &body.commands);
        }
        if body.commands.is_empty() {
            return;
        }
        self.coverage.delayed_commands += u64::from(executed);
        self.coverage.delayed_commands_rejected += u64::from(!executed);
        self.coverage.delayed_commands_of_crashed += u64::from(has_crashed);
        self.coverage.delayed_commands_of_deposed += u64::from(is_deposed);
    }

    /// Whether a machine's connections to controllers fail; counts the refused connection if so.
    pub(super) fn refuses_connections(&mut self, machine: &str) -> bool {
        let refused = self.network.any_active(
            |fault| matches!(fault, ActiveFault::MachineConnectionsRefused(name) if name == machine),
        );
        self.coverage.refused_connections += u64::from(refused);
        refused
    }

    /// Counts a direct call to a machine whose own connections are refused.
    pub(super) fn record_direct_call(&mut self, machine: &str) {
        let refused = self.network.any_active(
            |fault| matches!(fault, ActiveFault::MachineConnectionsRefused(name) if name == machine),
        );
        self.coverage.direct_calls_while_refusing += u64::from(refused);
    }

    /// Counts a message with launch commands to a new machine, see [`FAST_BOOT_MS`], while transactions are delayed.
    pub(super) fn record_launch(&mut self, machine: &str, commands: &[Command]) {
        let transactions_delayed = self
            .network
            .any_active(|fault| matches!(fault, ActiveFault::DelayedTransactions(_)));
        let Some(rented) = self
            .cloud
            .machines
            .get(machine)
            .filter(|_| transactions_delayed)
        else {
            return;
        };
        let is_new = |boots_at: u64| {
            boots_at < rented.rented_at + FAST_BOOT_MS && self.now < boots_at + NEW_MACHINE_MS
        };
        let is_counted = contains_launch(commands) && rented.boots_at.is_some_and(is_new);
        self.coverage.launches_on_new_machines += u64::from(is_counted);
    }

    /// Whether a message is a mesh message lost by a partition in one direction; counts it if so.
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

    /// Schedules a duplicate of a percentage of the mesh messages, if that fault is active.
    pub(super) fn duplicate_mesh_event(&mut self, to: usize, event: &Event) {
        let duplicated = |fault: &ActiveFault| match fault {
            ActiveFault::DuplicatedMeshMessages(percent) => Some(*percent),
            _ => None,
        };
        if !self.draw_fault(duplicated) {
            return;
        }
        let mut event = event.clone();
        let claims_all_changes =
            self.plan.mutation == Some(Mutation::MeshDuplicatesClaimAllChanges);
        if let (
            true,
            Event::Mesh {
                message: MeshMessage::Heartbeat { revision, .. },
                ..
            },
        ) = (claims_all_changes, &mut event)
        {
            *revision = u64::MAX;
        }
        let delay_ms = self
            .rng
            .random_range(1_000..3 * self.parameters.lease_duration_ms);
        self.schedule(
            self.now + delay_ms,
            ScheduledEvent::DeliverMeshDuplicate { to, event },
        );
    }

    /// Factor by which the link between two endpoints is slower than usual.
    pub(super) fn link_slowdown(&self, from: Endpoint, to: Endpoint) -> u64 {
        let can_be_slow =
            |endpoint| matches!(endpoint, Endpoint::Controller(_) | Endpoint::Machine(_));
        let factor = self.network.find_active(|fault| match fault {
            ActiveFault::SlowLinks(factor) => Some(*factor),
            _ => None,
        });
        factor
            .filter(|_| can_be_slow(from) && can_be_slow(to))
            .unwrap_or(1)
    }

    /// Draws whether the reply to a request is lost; only replies to transactions are.
    pub(super) fn draw_lost_reply(&mut self, request: &StateRequest) -> bool {
        let lost = |fault: &ActiveFault| match fault {
            ActiveFault::LostTransactionReplies(percent) => Some(*percent),
            _ => None,
        };
        matches!(request, StateRequest::Transaction(_)) && self.draw_fault(lost)
    }

    /// Records that the reply to a request is lost, if that committed a transaction.
    pub(super) fn record_lost_reply(&mut self, controller: usize, reply: &StateReply) {
        if let StateReply::Committed { revision } = reply {
            self.coverage.lost_replies += 1;
            self.interceptor
                .unread_commits
                .push((controller, *revision));
        }
    }

    /// Counts the transactions with lost replies whose changes a reply reports to another controller.
    pub(super) fn record_changes_read(&mut self, reader: usize, reply: &StateReply) {
        let StateReply::Changes(changes) = reply else {
            return;
        };
        let coverage = &mut self.coverage;
        self.interceptor
            .unread_commits
            .retain(|(writer, revision)| {
                let is_read =
                    *writer != reader && changes.events.iter().any(|c| c.version == *revision);
                coverage.lost_replies_read_elsewhere += u64::from(is_read);
                !is_read
            });
    }
}
