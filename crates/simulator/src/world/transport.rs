//! Transport of messages: disconnections, losses, duplicates and delays.

use super::events::{contains_launch, Endpoint, Message, ScheduledEvent};
use super::network::{ActiveFault, HeldMessage};
use super::open_requests::{CallKey, ReceivedHeartbeat, TicketKey};
use super::scenario::Mutation;
use super::site::CONTROLLERS;
use super::World;
use controller::controller::DirectReply;
use controller::Event;
use model::{CallId, ControllerName};
use rand::Rng;
use wire::cloud::{CloudReply, CloudRequest};
use wire::mesh::MeshMessage;
use wire::state::StateRequest;
use wire::workers::DirectCommands;

impl World {
    pub(super) fn machine_endpoint(&self, name: &str) -> Endpoint {
        Endpoint::Machine(
            name.rsplit('-')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0),
        )
    }

    pub(super) fn zone_of(&self, place: Endpoint) -> Option<String> {
        match place {
            Endpoint::Controller(1) => Some("b".into()),
            Endpoint::Controller(_) => Some("a".into()),
            Endpoint::Machine(n) => self
                .cloud
                .machines
                .get(&format!("host-{n:06}"))
                .map(|m| m.zone.clone()),
            _ => None,
        }
    }

    pub(super) fn is_disconnected(&self, from: Endpoint, to: Endpoint) -> bool {
        let between = |a: Endpoint, b: Endpoint| (from, to) == (a, b) || (from, to) == (b, a);
        let node_machine = |n: usize| {
            matches!((from, to), (Endpoint::Controller(x), Endpoint::Machine(_))
                | (Endpoint::Machine(_), Endpoint::Controller(x)) if x == n)
        };
        self.network.any_active(|fault| match fault {
            ActiveFault::StateServiceDisconnected(n) => {
                between(Endpoint::Controller(*n), Endpoint::State)
            }
            ActiveFault::WorkersDisconnected(n) => node_machine(*n),
            ActiveFault::MeshDisconnected(n) => {
                matches!((from, to), (Endpoint::Controller(a), Endpoint::Controller(b))
                if (a == *n) != (b == *n))
            }
            ActiveFault::ZonesPartitioned => match (self.zone_of(from), self.zone_of(to)) {
                (Some(a), Some(b)) => a != b,
                _ => false,
            },
            ActiveFault::MachineDisconnected(name) => {
                let place = self.machine_endpoint(name);
                from == place || to == place
            }
            ActiveFault::ZoneIsolated => {
                let inside = |place| self.zone_of(place).is_some_and(|zone| zone == "b");
                inside(from) != inside(to)
            }
            // Messages lost in one direction are not held back.
            ActiveFault::MachineUnreachable(_)
            | ActiveFault::ZoneUnreachable
            | ActiveFault::DuplicatedMessages => false,
            ActiveFault::StateRequestsRefused(_)
            | ActiveFault::CloudOutage
            | ActiveFault::UsersDisconnected(_)
            | ActiveFault::SlowStateService(_) => false,
            ActiveFault::ChangedBootBehavior
            | ActiveFault::FailingJobs
            | ActiveFault::StatusRequestStorm
            | ActiveFault::SkewedLoad => false,
            ActiveFault::DelayedTransactions(_) | ActiveFault::LongTasks(_) => false,
            ActiveFault::MachineConnectionsRefused(_)
            | ActiveFault::LostTransactionReplies(_)
            | ActiveFault::ReplayedHeartbeats(_)
            | ActiveFault::HeldHeartbeats(_) => false,
            ActiveFault::DelayedCommands(_)
            | ActiveFault::OneWayMeshPartition(..)
            | ActiveFault::DuplicatedMeshMessages(_)
            | ActiveFault::SlowLinks(_) => false,
            ActiveFault::FollowUpRequests
            | ActiveFault::CancelAtCompletion(_)
            | ActiveFault::UnusualRequests
            | ActiveFault::OneTaskJobs => false,
        })
    }

    /// Whether a message is lost on its way to a machine.
    fn is_lost_on_way_to_machine(&self, from: Endpoint, to: Endpoint) -> bool {
        let (Endpoint::Controller(_), Endpoint::Machine(_)) = (from, to) else {
            return false;
        };
        self.network.any_active(|fault| match fault {
            ActiveFault::MachineUnreachable(name) => self.machine_endpoint(name) == to,
            ActiveFault::ZoneUnreachable => self.zone_of(to).is_some_and(|zone| zone == "b"),
            _ => false,
        })
    }

    /// Schedules duplicates of a message, if that fault is active.
    fn schedule_duplicates(&mut self, message: &Message) {
        let copied = match message {
            Message::Heartbeat { .. } | Message::DirectCall { .. } => true,
            Message::StateRequest { request, .. } => {
                matches!(request, StateRequest::Transaction(_))
            }
            Message::CloudRequest { request, .. } => {
                !matches!(request, CloudRequest::ListMachines { .. })
            }
            _ => false,
        };
        if !copied
            || !self.network.is_active(&ActiveFault::DuplicatedMessages)
            || !self.rng.random_bool(0.3)
        {
            return;
        }
        for _ in 0..self.rng.random_range(1..4) {
            let mut copy = message.clone();
            if let Message::Heartbeat {
                controller,
                number,
                heartbeat: report,
                ..
            } = &mut copy
            {
                // No worker waits for the reply.
                (*controller, *number) = (self.rng.random_range(0..CONTROLLERS), 0);
                if self.plan.mutation == Some(Mutation::DuplicatedHeartbeatsLookNew) {
                    report.sequence_number += 1_000_000;
                }
            }
            let after = self
                .rng
                .random_range(1_000..3 * self.parameters.lease_duration_ms);
            self.schedule(
                self.now + after,
                ScheduledEvent::DeliverDuplicate(Box::new(copy)),
            );
        }
    }

    /// Counts a duplicated heartbeat that is older than others of its machine.
    pub(super) fn record_duplicate(&mut self, message: &Message) {
        let Message::Heartbeat {
            machine,
            heartbeat: report,
            ..
        } = message
        else {
            return;
        };
        let Some(worker) = self.workers.get(machine).filter(|w| !w.dead) else {
            return;
        };
        self.coverage.stale_heartbeats += u64::from(worker.has_sent_newer(report));
        self.coverage.earlier_epoch_heartbeats += u64::from(report.worker_epoch < worker.epoch);
    }

    /// Sends a message; a disconnection holds it back until it ends.
    pub(super) fn send(&mut self, from: Endpoint, to: Endpoint, message: Message) {
        self.schedule_duplicates(&message);
        if self.is_lost_on_mesh(from, to) {
            return;
        }
        let Some(message) = self.intercept(message) else {
            return;
        };
        if self.is_lost_on_way_to_machine(from, to) {
            self.coverage.dropped_messages += 1;
            return;
        }
        if self.is_disconnected(from, to) {
            self.network.hold(HeldMessage { from, to, message });
            return;
        }
        let mut delay = self.rng.random_range(1..6) * self.link_slowdown(from, to);
        if self.rng.random_bool(0.004) {
            delay += self.rng.random_range(50..600);
        }
        let slow = self.network.find_active(|fault| match fault {
            ActiveFault::SlowStateService(times) => Some(*times),
            _ => None,
        });
        if let (Some(times), true) = (slow, from == Endpoint::State || to == Endpoint::State) {
            delay *= times;
        }
        self.schedule(self.now + delay, ScheduledEvent::Deliver(Box::new(message)));
    }

    pub(super) fn send_mesh(&mut self, controller: usize, other: usize, message: MeshMessage) {
        let Some(incarnation) = self.controllers[other].as_ref().map(|r| r.incarnation) else {
            return;
        };
        let Some(message) = self.mutate_mesh_message(message) else {
            return;
        };
        let event = Event::Mesh {
            from: ControllerName::from(format!("n{controller}").as_str()),
            message,
        };
        self.duplicate_mesh_event(other, &event);
        let message = Message::ControllerEvent {
            controller: other,
            incarnation,
            event,
        };
        self.send(
            Endpoint::Controller(controller),
            Endpoint::Controller(other),
            message,
        );
    }

    pub(super) fn schedule_timeout(
        &mut self,
        after: u64,
        controller: usize,
        incarnation: u64,
        call: CallId,
        event: Event,
    ) {
        let what = ScheduledEvent::Timeout {
            controller,
            incarnation,
            call,
            event: Box::new(event),
        };
        self.schedule(self.now + after, what);
    }

    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::StateRequest {
                controller,
                incarnation,
                call,
                request,
            } => {
                self.handle_state_request(controller, incarnation, call, request);
            }
            Message::CloudRequest {
                controller,
                incarnation,
                call,
                request,
            } => {
                self.handle_cloud_request(
                    CallKey {
                        controller,
                        incarnation,
                        call,
                    },
                    &request,
                );
            }
            Message::ControllerEvent {
                controller,
                incarnation,
                event,
            } => self.deliver_to_controller(controller, incarnation, event),
            Message::Heartbeat {
                controller,
                machine,
                number,
                heartbeat: report,
            } => {
                let Some(incarnation) =
                    self.controllers[controller].as_ref().map(|r| r.incarnation)
                else {
                    return;
                };
                let ticket = self.open_requests.next_ticket();
                self.open_requests.add_heartbeat(
                    TicketKey {
                        controller,
                        incarnation,
                        ticket,
                    },
                    ReceivedHeartbeat { machine, number },
                );
                self.handle_event(controller, Event::Heartbeat { ticket, report });
            }
            Message::HeartbeatResponse {
                machine,
                number,
                controller,
                reply,
            } => {
                self.handle_heartbeat_reply(&machine, number, controller, reply);
            }
            Message::DirectCall {
                controller,
                incarnation,
                call,
                machine,
                body,
            } => {
                self.handle_direct_call(
                    CallKey {
                        controller,
                        incarnation,
                        call,
                    },
                    machine,
                    body,
                );
            }
        }
    }

    fn handle_cloud_request(&mut self, key: CallKey, request: &CloudRequest) {
        let CallKey {
            controller,
            incarnation,
            call,
        } = key;
        let reply = if self.network.is_active(&ActiveFault::CloudOutage) {
            CloudReply::Refused
        } else {
            let (reply, released) = self.cloud.execute(self.now, request, &mut self.rng);
            for name in released {
                let was_up = self.workers.get(&name).is_some_and(|w| !w.dead);
                self.machines_released_alive += u64::from(was_up);
                self.crash_machine(&name);
            }
            reply
        };
        // A small share of the replies is lost.
        if !self.rng.random_bool(0.02) {
            let event = Event::Cloud { call, reply };
            let message = Message::ControllerEvent {
                controller,
                incarnation,
                event,
            };
            self.send(Endpoint::Cloud, Endpoint::Controller(controller), message);
        }
    }

    fn handle_direct_call(&mut self, key: CallKey, machine: String, body: DirectCommands) {
        let CallKey {
            controller,
            incarnation,
            call,
        } = key;
        let now = self.now;
        let from = self.machine_endpoint(&machine);
        self.record_direct_call(&machine);
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        if worker.dead {
            return;
        }
        worker.check_lease(now, self.parameters.lease_duration_ms);
        if self.plan.mutation == Some(Mutation::DirectCommandsRenewLease) {
            worker.renew_without_reply(now);
        }
        let executed = worker.handle_direct_call(
            body.token,
            body.worker_epoch,
            &body.commands,
            now,
            self.jobs.all(),
        );
        let report = Box::new(worker.next_heartbeat());
        if executed {
            self.failovers.record_contact(
                &machine,
                body.token,
                contains_launch(&body.commands),
                now,
            );
            self.record_launch(&machine, &body.commands);
        }
        let event = Event::Worker {
            call,
            reply: DirectReply::Answered(report),
        };
        self.send(
            from,
            Endpoint::Controller(controller),
            Message::ControllerEvent {
                controller,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn deliver_to_controller(
        &mut self,
        controller: usize,
        incarnation: u64,
        event: Event,
    ) {
        let call = match &event {
            Event::State { call, .. } | Event::Cloud { call, .. } | Event::Worker { call, .. } => {
                Some(*call)
            }
            _ => None,
        };
        if !self.is_running(controller, incarnation) {
            return;
        }
        if call.is_none_or(|call| {
            self.open_requests.take_call(CallKey {
                controller,
                incarnation,
                call,
            })
        }) {
            self.handle_event(controller, event);
        }
    }
}
