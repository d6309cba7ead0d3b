//! Controllers of a world: their start, pauses and crashes, the events they handle, and their effects.

use super::events::{Endpoint, Message, RunningController, ScheduledEvent};
use super::open_requests::{CallKey, ReceivedHeartbeat, TicketKey};
use super::scenario::Fault;
use super::site::{settings, CONTROLLERS};
use super::World;
use controller::controller::DirectReply;
use controller::{Controller, Effect, Event};
use model::{DurationExt, Settings, Timestamp};
use rand::seq::SliceRandom;
use rand::Rng;
use wire::cloud::{CloudReply, CloudRequest};
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest};

impl World {
    pub(super) fn is_running(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node]
            .as_ref()
            .is_some_and(|r| r.incarnation == incarnation)
    }

    pub(super) fn handle_event(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(running) = self.nodes[node].as_mut() else {
            return;
        };
        if let Some(paused) = running.paused.as_mut().filter(|paused| paused.handled) {
            paused.waiting.push(event);
            return;
        }
        let local = Timestamp::from_millis(((now - running.since) as f64 * running.rate) as u64);
        let effects = running.node.handle(local, event);
        let incarnation = running.incarnation;
        if let Some(paused) = running.paused.as_mut() {
            paused.handled = true;
            paused.decided = effects;
            return;
        }
        let next = running.node.next_tick();
        let at = running.since + (next.as_millis() as f64 / running.rate).ceil() as u64;
        if running.ticking <= now || at < running.ticking {
            running.ticking = at.max(now + 1);
            let at = running.ticking;
            self.schedule(at, ScheduledEvent::Tick { node, incarnation });
        }
        for effect in effects {
            if self.crashes_here(node, &effect) {
                return;
            }
            self.apply_effect(node, incarnation, effect);
        }
    }

    /// Ends a node that has come to the deed at which it is to end.
    pub(super) fn crashes_here(&mut self, node: usize, effect: &Effect) -> bool {
        if !self.crash_points.is_set(node) {
            return false;
        }
        let changes = match effect {
            Effect::State { request, .. } => matches!(request, StateRequest::Transaction(_)),
            Effect::Cloud { request, .. } => !matches!(request, CloudRequest::List { .. }),
            Effect::Worker { body, .. } => !body.commands.is_empty(),
            Effect::Mesh { message, .. } => !matches!(message, MeshMessage::Heartbeat { .. }),
            Effect::User { .. } => true,
            Effect::Heartbeat { .. } | Effect::Admin { .. } => false,
        };
        if !changes || !self.crash_points.reaches_crash(node) {
            return false;
        }
        self.fault(Fault::CrashController { node, back: 6_000 });
        true
    }

    pub(super) fn apply_effect(&mut self, node: usize, incarnation: u64, effect: Effect) {
        self.record(node, incarnation, &effect);
        match effect {
            Effect::State {
                call,
                request,
                timeout,
            } => {
                self.open_requests.add_call(CallKey {
                    node,
                    incarnation,
                    call,
                });
                let event = Event::State {
                    call,
                    reply: StateReply::Unknown,
                };
                self.time_out(timeout.whole_millis(), node, incarnation, call, event);
                let message = Message::State {
                    node,
                    incarnation,
                    call,
                    request,
                };
                self.send(Endpoint::Controller(node), Endpoint::State, message);
            }
            Effect::Cloud { call, request } => {
                self.open_requests.add_call(CallKey {
                    node,
                    incarnation,
                    call,
                });
                let event = Event::Cloud {
                    call,
                    reply: CloudReply::Unknown,
                };
                self.time_out(4_000, node, incarnation, call, event);
                let message = Message::Cloud {
                    node,
                    incarnation,
                    call,
                    request,
                };
                self.send(Endpoint::Controller(node), Endpoint::Cloud, message);
            }
            Effect::Worker {
                call,
                address,
                body,
                timeout,
            } => {
                self.open_requests.add_call(CallKey {
                    node,
                    incarnation,
                    call,
                });
                let event = Event::Worker {
                    call,
                    reply: DirectReply::Unknown,
                };
                self.time_out(timeout.whole_millis(), node, incarnation, call, event);
                let machine = address.trim_end_matches(":9000").to_owned();
                let to = self.machine(&machine);
                let message = Message::Direct {
                    node,
                    incarnation,
                    call,
                    machine,
                    body,
                };
                self.send(Endpoint::Controller(node), to, message);
            }
            Effect::Mesh { to, message } => {
                let Some(other) = to.as_str().trim_start_matches('n').parse::<usize>().ok() else {
                    return;
                };
                self.send_mesh(node, other, message);
            }
            Effect::Admin { .. } => {}
            Effect::User { ticket, reply } => {
                if let Some(asked) = self.open_requests.take_user_request(TicketKey {
                    node,
                    incarnation,
                    ticket,
                }) {
                    self.handle_user_reply(asked, reply);
                }
            }
            Effect::Heartbeat { ticket, reply } => {
                if let Some(ReceivedHeartbeat { machine, number }) =
                    self.open_requests.take_heartbeat(TicketKey {
                        node,
                        incarnation,
                        ticket,
                    })
                {
                    let to = self.machine(&machine);
                    let message = Message::HeartbeatResponse {
                        machine,
                        number,
                        node,
                        reply,
                    };
                    self.send(Endpoint::Controller(node), to, message);
                }
            }
        }
    }

    pub(super) fn start_controller(&mut self, node: usize) {
        self.incarnations += 1;
        let text = settings(node, self.plan.mutation, self.plan.size);
        let Ok(settings) = Settings::parse(&text) else {
            panic!("settings of the world")
        };
        let rate = 1.0 + self.rng.random_range(-0.0005..0.0005);
        let seed = self.rng.random();
        self.nodes[node] = Some(RunningController {
            node: Controller::new(settings, seed),
            incarnation: self.incarnations,
            since: self.now,
            rate,
            ticking: 0,
            paused: None,
        });
        self.handle_event(node, Event::Tick);
    }

    /// A node goes on: what it had decided is sent, and what has come meanwhile reaches it in any
    /// order, its own timers among it.
    pub(super) fn resume_controller(&mut self, node: usize, incarnation: u64) {
        if !self.is_running(node, incarnation) {
            return;
        }
        let Some(paused) = self.nodes[node].as_mut().and_then(|r| r.paused.take()) else {
            return;
        };
        for effect in paused.decided {
            self.apply_effect(node, incarnation, effect);
        }
        let mut waiting = paused.waiting;
        waiting.push(Event::Tick);
        waiting.shuffle(&mut self.rng);
        if let Some(running) = self.nodes[node].as_mut() {
            running.ticking = 0;
        }
        for event in waiting {
            self.handle_event(node, event);
        }
    }

    /// A holder ends or stands still: its partitions are to be taken over.
    pub(super) fn record_leader_stop(&mut self, node: usize) {
        let name = format!("n{node}");
        for partition in 0..CONTROLLERS as u32 {
            if self.leader(partition) == Some(&name) {
                self.failovers
                    .record_leader_stop(partition, &name, self.now);
            }
        }
    }
}
