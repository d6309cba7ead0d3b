//! Messages that come late, twice, on one way only or without an answer.

use super::*;
use wire::workers::Heartbeat;

/// Longest time from a holder's record to a copy that meets its begin, in ms.
const REPLAY_WINDOW_MS: u64 = 400;

/// A machine that is up within this time has booted quickly, and is young for so long, in ms.
const FAST_BOOT_MS: u64 = 2_000;
const NEW_MACHINE_MS: u64 = 4_000;

/// What is kept, and what is looked out for.
#[derive(Debug, Default)]
pub(super) struct MessageInterceptor {
    /// Copies of reports that wait for the next holder.
    copies: Vec<Message>,
    /// Reports that are held back until the next holder has acted.
    reports: Vec<Message>,
    /// Transactions whose answers were lost and that no other node has read: their nodes and revisions.
    unread: Vec<(usize, u64)>,
}

impl World {
    /// Draws whether one of so many per cent is meant. Nothing is drawn where there is no such trouble.
    fn draw_fault(&mut self, percent: impl Fn(&ActiveFault) -> Option<u64>) -> bool {
        let percent = self.active_faults.iter().find_map(percent);
        percent.is_some_and(|percent| self.rng.random_range(0..100) < percent)
    }

    /// A message on its way, unless it is held up.
    pub(super) fn intercept(&mut self, message: Message) -> Option<Message> {
        let message = self.without_some_launches(message);
        match &message {
            Message::Heartbeat { .. } => {
                let copied = |cut: &ActiveFault| match cut {
                    ActiveFault::ReplayedHeartbeats(percent) => Some(*percent),
                    _ => None,
                };
                let held = |cut: &ActiveFault| match cut {
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
                let late = |cut: &ActiveFault| match cut {
                    ActiveFault::DelayedCommands(percent) => Some(*percent),
                    _ => None,
                };
                if self.draw_fault(late) {
                    let after = self.rng.random_range(2_000..16_000);
                    self.at(
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

    /// A partition has a new holder by its record. What was kept for it comes: copies while it begins, to
    /// every node; held reports once it has acted, there.
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
            if self.plan.mutation == Some(Mutation::DuplicatesTrusted) {
                report.seq += 1_000_000;
            }
            self.record_replayed_heartbeat(machines, &machine, &report);
            for node in 0..CONTROLLERS {
                let (machine, report) = (machine.clone(), report.clone());
                // Its answer goes to nobody.
                let message = Message::Heartbeat {
                    node,
                    machine,
                    number: 0,
                    report,
                };
                let after = self.rng.random_range(1..REPLAY_WINDOW_MS);
                self.at(
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
            if self.plan.mutation == Some(Mutation::DuplicatesTrusted) {
                report.seq += 1_000_000;
            }
            let message = Message::Heartbeat {
                node: leader,
                machine,
                number,
                report,
            };
            let after = self.rng.random_range(1_000..6_000);
            self.at(
                self.now + after,
                ScheduledEvent::DeliverHeldHeartbeat(Box::new(message)),
            );
        }
    }

    /// Whether a kept copy is an old one of a machine whose holder begins.
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
            self.coverage.stale_sessions_at_failover += u64::from(report.session < worker.session);
        }
    }

    pub(super) fn deliver_held_heartbeat(&mut self, message: Message) {
        self.coverage.held_heartbeats += 1;
        self.deliver(message);
    }

    /// A direct command comes late, and nobody hears of it.
    pub(super) fn deliver_delayed_command(&mut self, message: Message) {
        let Message::Direct {
            node,
            incarnation,
            machine,
            body,
            ..
        } = &message
        else {
            return;
        };
        let (now, lease) = (self.now, self.parameters.lease);
        if self.is_cut(Endpoint::Controller(*node), self.machine(machine)) {
            self.at(
                now + 1_000,
                ScheduledEvent::DeliverDelayedCommand(Box::new(message)),
            );
            return;
        }
        let ended = !self.is_running(*node, *incarnation);
        let Some(worker) = self.workers.get_mut(machine).filter(|w| !w.dead) else {
            return;
        };
        worker.check_lease(now, lease);
        let deposed = worker.token > body.token;
        let (token, session) = match self.plan.mutation {
            Some(Mutation::DelayedCommandsTrusted) => (worker.token, worker.session),
            _ => (body.token, body.session),
        };
        let executed = worker.direct(token, session, &body.commands, now, &self.jobs);
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
        let mute = self.active_faults.iter().any(
            |cut| matches!(cut, ActiveFault::MachineConnectionsRefused(name) if name == machine),
        );
        self.coverage.refused_connections += u64::from(mute);
        mute
    }

    /// Something comes straight to a machine.
    pub(super) fn record_direct_call(&mut self, machine: &str) {
        let mute = self.active_faults.iter().any(
            |cut| matches!(cut, ActiveFault::MachineConnectionsRefused(name) if name == machine),
        );
        self.coverage.direct_calls_while_refusing += u64::from(mute);
    }

    /// A machine was given something to start, perhaps one that has come up quickly a moment ago, while
    /// writes come late.
    pub(super) fn record_launch(&mut self, machine: &str, commands: &[Command]) {
        let lag = self
            .active_faults
            .iter()
            .any(|cut| matches!(cut, ActiveFault::DelayedTransactions(_)));
        let Some(rented) = self.cloud.machines.get(machine).filter(|_| lag) else {
            return;
        };
        let quick =
            |up: u64| up < rented.rented_at + FAST_BOOT_MS && self.now < up + NEW_MACHINE_MS;
        let young = starts(commands) && rented.up_at.is_some_and(quick);
        self.coverage.launches_on_new_machines += u64::from(young);
    }

    /// Whether what one node tells another is lost.
    pub(super) fn is_lost_on_mesh(&mut self, from: Endpoint, to: Endpoint) -> bool {
        let (Endpoint::Controller(from), Endpoint::Controller(to)) = (from, to) else {
            return false;
        };
        let lost = self
            .active_faults
            .contains(&ActiveFault::OneWayMeshPartition(from, to));
        self.coverage.one_way_losses += u64::from(lost);
        lost
    }

    /// Has a copy of what a node is told come again, if there are such at present.
    pub(super) fn duplicate_mesh_event(&mut self, to: usize, event: &Event) {
        let copied = |cut: &ActiveFault| match cut {
            ActiveFault::DuplicatedMeshMessages(percent) => Some(*percent),
            _ => None,
        };
        if !self.draw_fault(copied) {
            return;
        }
        let mut event = event.clone();
        let trusted = self.plan.mutation == Some(Mutation::MeshDuplicatesTrusted);
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
        self.at(
            self.now + after,
            ScheduledEvent::DeliverMeshDuplicate { to, event },
        );
    }

    /// How many times slower a link is than usual.
    pub(super) fn slowness(&self, from: Endpoint, to: Endpoint) -> u64 {
        let linked = |place| matches!(place, Endpoint::Controller(_) | Endpoint::Machine(_));
        let slow = self.active_faults.iter().find_map(|cut| match cut {
            ActiveFault::SlowLinks(times) => Some(*times),
            _ => None,
        });
        slow.filter(|_| linked(from) && linked(to)).unwrap_or(1)
    }

    /// Whether a request is a transaction whose answer will be lost.
    pub(super) fn loses_reply(&mut self, request: &StateRequest) -> bool {
        let lost = |cut: &ActiveFault| match cut {
            ActiveFault::LostTransactionReplies(percent) => Some(*percent),
            _ => None,
        };
        matches!(request, StateRequest::Transaction(_)) && self.draw_fault(lost)
    }

    /// The answer to a transaction that was carried out is lost.
    pub(super) fn record_lost_reply(&mut self, node: usize, reply: &StateReply) {
        if let StateReply::Committed { revision } = reply {
            self.coverage.lost_replies += 1;
            self.interceptor.unread.push((node, *revision));
        }
    }

    /// A node reads changes, perhaps those of a transaction whose own node knows nothing of it.
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
