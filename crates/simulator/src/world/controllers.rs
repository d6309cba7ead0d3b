//! Controllers of a world: their start, pauses and crashes, the events they handle, and their effects.

use super::events::{Endpoint, Message, RunningController, ScheduledEvent};
use super::open_requests::{CallKey, ReceivedHeartbeat, TicketKey};
use super::scenario::RESTART_AFTER_CRASH_POINT_MS;
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
use wire::workers::DirectCommands;

/// Time after which a controller gives up a cloud request, in ms.
const CLOUD_TIMEOUT_MS: u64 = 4_000;

impl World {
    pub(super) fn is_running(&self, controller: usize, incarnation: u64) -> bool {
        self.controllers[controller]
            .as_ref()
            .is_some_and(|r| r.incarnation == incarnation)
    }

    pub(super) fn handle_event(&mut self, controller: usize, event: Event) {
        let now = self.now;
        let Some(running) = self.controllers[controller].as_mut() else {
            return;
        };
        if let Some(paused) = running.paused.as_mut().filter(|paused| paused.handled) {
            paused.waiting.push(event);
            return;
        }
        let local = Timestamp::from_millis(((now - running.since) as f64 * running.rate) as u64);
        let effects = running.controller.handle(local, event);
        let incarnation = running.incarnation;
        if let Some(paused) = running.paused.as_mut() {
            paused.handled = true;
            paused.decided = effects;
            return;
        }
        let next = running.controller.next_tick();
        let at = running.since + (next.as_millis() as f64 / running.rate).ceil() as u64;
        if running.ticking <= now || at < running.ticking {
            running.ticking = at.max(now + 1);
            let at = running.ticking;
            self.schedule(
                at,
                ScheduledEvent::Tick {
                    controller,
                    incarnation,
                },
            );
        }
        for effect in effects {
            if self.crashes_here(controller, &effect) {
                return;
            }
            self.apply_effect(controller, incarnation, effect);
        }
    }

    /// Crashes a controller that has reached its crash point.
    pub(super) fn crashes_here(&mut self, controller: usize, effect: &Effect) -> bool {
        if !self.crash_points.is_set(controller) {
            return false;
        }
        let changes = match effect {
            Effect::State { request, .. } => matches!(request, StateRequest::Transaction(_)),
            Effect::Cloud { request, .. } => !matches!(request, CloudRequest::ListMachines { .. }),
            Effect::Worker { body, .. } => !body.commands.is_empty(),
            Effect::Mesh { message, .. } => !matches!(message, MeshMessage::Heartbeat { .. }),
            Effect::User { .. } => true,
            Effect::Heartbeat { .. } | Effect::Admin { .. } => false,
        };
        if !changes || !self.crash_points.reaches_crash(controller) {
            return false;
        }
        self.crash_controller(controller, RESTART_AFTER_CRASH_POINT_MS);
        true
    }

    pub(super) fn apply_effect(&mut self, controller: usize, incarnation: u64, effect: Effect) {
        self.record(controller, incarnation, &effect);
        match effect {
            Effect::State {
                call,
                request,
                timeout,
            } => {
                let key = CallKey {
                    controller,
                    incarnation,
                    call,
                };
                self.call_state_service(key, request, timeout.whole_millis());
            }
            Effect::Cloud { call, request } => {
                self.call_cloud(
                    CallKey {
                        controller,
                        incarnation,
                        call,
                    },
                    request,
                );
            }
            Effect::Worker {
                call,
                address,
                body,
                timeout,
            } => {
                let key = CallKey {
                    controller,
                    incarnation,
                    call,
                };
                let machine = address.trim_end_matches(":9000").to_owned();
                self.call_worker(key, machine, body, timeout.whole_millis());
            }
            Effect::Mesh { to, message } => {
                let Some(other) = to.as_str().trim_start_matches('n').parse::<usize>().ok() else {
                    return;
                };
                self.send_mesh(controller, other, message);
            }
            Effect::Admin { .. } => {}
            Effect::User { ticket, reply } => {
                if let Some(pending_request) = self.open_requests.take_user_request(TicketKey {
                    controller,
                    incarnation,
                    ticket,
                }) {
                    self.handle_user_reply(pending_request, reply);
                }
            }
            Effect::Heartbeat { ticket, reply } => {
                if let Some(ReceivedHeartbeat { machine, number }) =
                    self.open_requests.take_heartbeat(TicketKey {
                        controller,
                        incarnation,
                        ticket,
                    })
                {
                    let to = self.machine(&machine);
                    let message = Message::HeartbeatResponse {
                        machine,
                        number,
                        controller,
                        reply,
                    };
                    self.send(Endpoint::Controller(controller), to, message);
                }
            }
        }
    }

    fn call_state_service(&mut self, key: CallKey, request: StateRequest, timeout_ms: u64) {
        let CallKey {
            controller,
            incarnation,
            call,
        } = key;
        self.open_requests.add_call(key);
        let event = Event::State {
            call,
            reply: StateReply::Unknown,
        };
        self.time_out(timeout_ms, controller, incarnation, call, event);
        let message = Message::State {
            controller,
            incarnation,
            call,
            request,
        };
        self.send(Endpoint::Controller(controller), Endpoint::State, message);
    }

    fn call_cloud(&mut self, key: CallKey, request: CloudRequest) {
        let CallKey {
            controller,
            incarnation,
            call,
        } = key;
        self.open_requests.add_call(key);
        let event = Event::Cloud {
            call,
            reply: CloudReply::Unknown,
        };
        self.time_out(CLOUD_TIMEOUT_MS, controller, incarnation, call, event);
        let message = Message::Cloud {
            controller,
            incarnation,
            call,
            request,
        };
        self.send(Endpoint::Controller(controller), Endpoint::Cloud, message);
    }

    fn call_worker(
        &mut self,
        key: CallKey,
        machine: String,
        body: DirectCommands,
        timeout_ms: u64,
    ) {
        let CallKey {
            controller,
            incarnation,
            call,
        } = key;
        self.open_requests.add_call(key);
        let event = Event::Worker {
            call,
            reply: DirectReply::Unknown,
        };
        self.time_out(timeout_ms, controller, incarnation, call, event);
        let to = self.machine(&machine);
        let message = Message::Direct {
            controller,
            incarnation,
            call,
            machine,
            body,
        };
        self.send(Endpoint::Controller(controller), to, message);
    }

    pub(super) fn start_controller(&mut self, controller: usize) {
        self.incarnations += 1;
        let text = settings(controller, self.plan.mutation, self.plan.size);
        let Ok(settings) = Settings::parse(&text) else {
            panic!("settings of the world")
        };
        let rate = 1.0 + self.rng.random_range(-0.0005..0.0005);
        let seed = self.rng.random();
        self.controllers[controller] = Some(RunningController {
            controller: Controller::new(settings, seed),
            incarnation: self.incarnations,
            since: self.now,
            rate,
            ticking: 0,
            paused: None,
        });
        self.handle_event(controller, Event::Tick);
    }

    /// Resumes a paused controller: its last effects are applied, and the events that arrived meanwhile are
    /// delivered in random order, its own timer among them.
    pub(super) fn resume_controller(&mut self, controller: usize, incarnation: u64) {
        if !self.is_running(controller, incarnation) {
            return;
        }
        let Some(paused) = self.controllers[controller]
            .as_mut()
            .and_then(|r| r.paused.take())
        else {
            return;
        };
        for effect in paused.decided {
            self.apply_effect(controller, incarnation, effect);
        }
        let mut waiting = paused.waiting;
        waiting.push(Event::Tick);
        waiting.shuffle(&mut self.rng);
        if let Some(running) = self.controllers[controller].as_mut() {
            running.ticking = 0;
        }
        for event in waiting {
            self.handle_event(controller, event);
        }
    }

    /// A controller crashes or is paused: failovers of its partitions begin.
    pub(super) fn record_leader_stop(&mut self, controller: usize) {
        let name = format!("n{controller}");
        for partition in 0..CONTROLLERS as u32 {
            if self.leader(partition) == Some(&name) {
                self.failovers
                    .record_leader_stop(partition, &name, self.now);
            }
        }
    }
}
