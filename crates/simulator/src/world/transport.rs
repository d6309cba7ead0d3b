//! Transport of messages: sending with disconnections, losses, duplicates and delays, and delivery to the state
//! service, the cloud, workers and controllers.

use super::active_fault::ActiveFault;
use super::events::{contains_launch, Endpoint, Message, ScheduledEvent};
use super::network::HeldMessage;
use super::open_requests::{CallKey, ReceivedHeartbeat, TicketKey};
use super::scenario::Mutation;
use super::site::CONTROLLERS;
use super::World;
use crate::message_size::LimitedMessage;
use controller::controller::DirectReply;
use controller::Event;
use model::{CallId, ControllerName};
use rand::Rng;
use wire::cloud::{CloudReply, CloudRequest};
use wire::mesh::MeshMessage;
use wire::state::StateRequest;
use wire::workers::DirectCommands;

impl World {
    /// The endpoint of a machine, by the number at the end of its name.
    pub(super) fn machine_endpoint(&self, name: &str) -> Endpoint {
        Endpoint::Machine(
            name.rsplit('-')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0),
        )
    }

    /// The zone of a controller or a machine. Controller 1 is in zone b, the others in zone a.
    pub(super) fn zone_of(&self, endpoint: Endpoint) -> Option<String> {
        match endpoint {
            Endpoint::Controller(1) => Some("b".into()),
            Endpoint::Controller(_) => Some("a".into()),
            Endpoint::Machine(number) => self
                .cloud
                .machines
                .get(&format!("host-{number:06}"))
                .map(|m| m.zone.clone()),
            _ => None,
        }
    }

    /// Whether a disconnection holds back messages between two endpoints, in both directions.
    pub(super) fn is_disconnected(&self, from: Endpoint, to: Endpoint) -> bool {
        let connects = |a: Endpoint, b: Endpoint| (from, to) == (a, b) || (from, to) == (b, a);
        let connects_to_machine = |n: usize| {
            matches!((from, to), (Endpoint::Controller(x), Endpoint::Machine(_))
                | (Endpoint::Machine(_), Endpoint::Controller(x)) if x == n)
        };
        self.network.any_active(|fault| match fault {
            ActiveFault::StateServiceDisconnected(n) => {
                connects(Endpoint::Controller(*n), Endpoint::State)
            }
            ActiveFault::WorkersDisconnected(n) => connects_to_machine(*n),
            ActiveFault::MeshDisconnected(n) => {
                matches!((from, to), (Endpoint::Controller(a), Endpoint::Controller(b))
                if (a == *n) != (b == *n))
            }
            ActiveFault::ZonesPartitioned => match (self.zone_of(from), self.zone_of(to)) {
                (Some(a), Some(b)) => a != b,
                _ => false,
            },
            ActiveFault::MachineDisconnected(name) => {
                let machine = self.machine_endpoint(name);
                from == machine || to == machine
            }
            ActiveFault::ZoneIsolated => {
                let is_inside = |endpoint| self.zone_of(endpoint).is_some_and(|zone| zone == "b");
                is_inside(from) != is_inside(to)
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
            | ActiveFault::OldHeartbeatsFirst(..)
            | ActiveFault::HeldHeartbeats(_) => false,
            ActiveFault::DelayedCommands(_)
            | ActiveFault::CopiedLaunches
            | ActiveFault::OneWayMeshPartition(..)
            | ActiveFault::DuplicatedMeshMessages(_)
            | ActiveFault::SlowLinks(_) => false,
            ActiveFault::FollowUpRequests
            | ActiveFault::CancelAtCompletion(_)
            | ActiveFault::UnusualRequests
            | ActiveFault::OneTaskJobs => false,
        })
    }

    /// Whether a message is lost on its way from a controller to an unreachable machine.
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

    /// Schedules one to three duplicates of a part of the messages, if that fault is active.
    fn schedule_duplicates(&mut self, message: &Message) {
        let can_be_duplicated = match message {
            Message::Heartbeat { .. } | Message::DirectCall { .. } => true,
            Message::StateRequest { request, .. } => {
                matches!(request, StateRequest::Transaction(_))
            }
            Message::CloudRequest { request, .. } => {
                !matches!(request, CloudRequest::ListMachines { .. })
            }
            _ => false,
        };
        if !can_be_duplicated
            || !self.network.is_active(&ActiveFault::DuplicatedMessages)
            || !self.rng.random_bool(0.3)
        {
            return;
        }
        for _ in 0..self.rng.random_range(1..4) {
            let mut duplicate = message.clone();
            if let Message::Heartbeat {
                controller,
                number,
                heartbeat,
                ..
            } = &mut duplicate
            {
                // Number 0: no worker waits for the reply.
                (*controller, *number) = (self.rng.random_range(0..CONTROLLERS), 0);
                if self.plan.mutation == Some(Mutation::DuplicatedHeartbeatsLookNew) {
                    heartbeat.sequence_number += 1_000_000;
                }
            }
            let delay_ms = self
                .rng
                .random_range(1_000..3 * self.parameters.lease_duration_ms);
            self.schedule(
                self.now + delay_ms,
                ScheduledEvent::DeliverDuplicate(Box::new(duplicate)),
            );
        }
    }

    /// Counts a duplicate if it is a heartbeat older than others of its machine.
    pub(super) fn record_duplicate(&mut self, message: &Message) {
        let Message::Heartbeat {
            machine, heartbeat, ..
        } = message
        else {
            return;
        };
        let Some(worker) = self.workers.get(machine).filter(|w| !w.dead) else {
            return;
        };
        self.coverage.stale_heartbeats += u64::from(worker.has_sent_newer(heartbeat));
        self.coverage.earlier_epoch_heartbeats += u64::from(heartbeat.worker_epoch < worker.epoch);
    }

    /// Sends a message. Without a fault it arrives after 1 to 5 ms, and in 0.4 % of the cases 50 to 600 ms later than
    /// that. Faults duplicate, delay or lose it, and a disconnection holds it back until it has ended.
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
        let mut delay_ms = self.rng.random_range(1..6) * self.link_slowdown(from, to);
        if self.rng.random_bool(0.004) {
            delay_ms += self.rng.random_range(50..600);
        }
        let state_service_factor = self.network.find_active(|fault| match fault {
            ActiveFault::SlowStateService(factor) => Some(*factor),
            _ => None,
        });
        if let (Some(factor), true) = (
            state_service_factor,
            from == Endpoint::State || to == Endpoint::State,
        ) {
            delay_ms *= factor;
        }
        self.schedule(
            self.now + delay_ms,
            ScheduledEvent::Deliver(Box::new(message)),
        );
    }

    /// Sends a message from one controller to another; it is lost if the receiver is down.
    pub(super) fn send_mesh(&mut self, controller: usize, receiver: usize, message: MeshMessage) {
        let Some(incarnation) = self.controllers[receiver].as_ref().map(|r| r.incarnation) else {
            return;
        };
        let Some(message) = self.mutate_mesh_message(message) else {
            return;
        };
        let event = Event::Mesh {
            from: ControllerName::from(format!("n{controller}").as_str()),
            message,
        };
        self.duplicate_mesh_event(receiver, &event);
        let message = Message::ControllerEvent {
            controller: receiver,
            incarnation,
            event,
        };
        self.send(
            Endpoint::Controller(controller),
            Endpoint::Controller(receiver),
            message,
        );
    }

    /// Schedules the event that a controller handles if a call gets no reply in time.
    pub(super) fn schedule_timeout(
        &mut self,
        timeout_ms: u64,
        controller: usize,
        incarnation: u64,
        call: CallId,
        event: Event,
    ) {
        let timeout = ScheduledEvent::Timeout {
            controller,
            incarnation,
            call,
            event: Box::new(event),
        };
        self.schedule(self.now + timeout_ms, timeout);
    }

    /// Delivers a message to its receiver.
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
                heartbeat,
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
                self.handle_event(
                    controller,
                    Event::Heartbeat {
                        ticket,
                        report: heartbeat,
                    },
                );
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

    /// Lets the cloud execute a request and sends its reply. Released machines crash.
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
        // 2 % of the replies are lost.
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

    /// Lets a worker execute direct commands; replies with its heartbeat, whether it has executed them or not.
    fn handle_direct_call(&mut self, key: CallKey, machine: String, body: DirectCommands) {
        let CallKey {
            controller,
            incarnation,
            call,
        } = key;
        let now = self.now;
        let from = self.machine_endpoint(&machine);
        self.record_direct_call(&machine);
        if body.is_too_long() {
            let details = format!("a direct call to {machine} has more than 64 KiB");
            self.rules.record_violation("too_long", details, now);
            return;
        }
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
        let heartbeat = Box::new(worker.next_heartbeat());
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
            reply: DirectReply::Answered(heartbeat),
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

    /// Delivers an event to a controller if this incarnation is still running and, for a reply, if its call has
    /// neither been answered nor timed out.
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
            if let Event::Worker {
                reply: DirectReply::Answered(heartbeat),
                ..
            } = &event
            {
                let machine = heartbeat.machine.clone();
                self.record_machine_answered(controller, &machine);
            }
            self.handle_event(controller, event);
        }
    }
}
