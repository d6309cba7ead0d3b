//! Controllers of a world: starts and resumptions, the events that they handle, and the application of their
//! effects. Crashes and pauses are injected by `faults`.

use super::events::{Endpoint, Message, RunningController, ScheduledEvent};
use super::open_requests::{CallKey, ReceivedHeartbeat, TicketKey};
use super::scenario::RESTART_AFTER_CRASH_POINT_MS;
use super::site::{settings_toml, CONTROLLERS};
use super::World;
use controller::controller::DirectReply;
use controller::{Controller, Effect, Event, HeartbeatReply};
use model::{DurationExt, Settings, Timestamp};
use rand::seq::SliceRandom;
use rand::Rng;
use wire::cloud::{CloudReply, CloudRequest};
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest};
use wire::workers::DirectCommands;

/// Time after which a controller gives up waiting for the cloud's reply.
const CLOUD_TIMEOUT_MS: u64 = 4_000;

impl World {
    /// Whether this incarnation of a controller is still running.
    pub(super) fn is_running(&self, controller: usize, incarnation: u64) -> bool {
        self.controllers[controller]
            .as_ref()
            .is_some_and(|r| r.incarnation == incarnation)
    }

    /// Lets a controller handle an event, applies its effects and schedules its next timer event. A paused
    /// controller handles one event, whose effects wait, and queues all others.
    pub(super) fn handle_event(&mut self, controller: usize, event: Event) {
        let now = self.now;
        let Some(running) = self.controllers[controller].as_mut() else {
            return;
        };
        if let Some(paused) = running
            .paused
            .as_mut()
            .filter(|paused| paused.has_handled_event)
        {
            paused.queued_events.push(event);
            return;
        }
        let local_time =
            Timestamp::from_millis(((now - running.started_at) as f64 * running.clock_rate) as u64);
        let effects = running.controller.handle(local_time, event);
        let incarnation = running.incarnation;
        if let Some(paused) = running.paused.as_mut() {
            paused.has_handled_event = true;
            paused.pending_effects = effects;
            return;
        }
        let next_tick = running.controller.next_tick();
        let at =
            running.started_at + (next_tick.as_millis() as f64 / running.clock_rate).ceil() as u64;
        if running.next_tick_at <= now || at < running.next_tick_at {
            running.next_tick_at = at.max(now + 1);
            let at = running.next_tick_at;
            self.schedule(
                at,
                ScheduledEvent::Tick {
                    controller,
                    incarnation,
                },
            );
        }
        for effect in effects {
            if self.crash_if_due(controller, &effect) {
                return;
            }
            self.apply_effect(controller, incarnation, effect);
        }
    }

    /// Counts an effect towards the controller's crash point if others could observe it, and crashes the
    /// controller if the crash point is reached. Returns whether it crashed.
    pub(super) fn crash_if_due(&mut self, controller: usize, effect: &Effect) -> bool {
        if !self.crash_points.is_set(controller) {
            return false;
        }
        let is_observable = match effect {
            Effect::State { request, .. } => matches!(request, StateRequest::Transaction(_)),
            Effect::Cloud { request, .. } => !matches!(request, CloudRequest::ListMachines { .. }),
            Effect::Worker { body, .. } => !body.commands.is_empty(),
            Effect::Mesh { message, .. } => !matches!(message, MeshMessage::Heartbeat { .. }),
            Effect::User { .. } => true,
            Effect::Heartbeat { .. } | Effect::Admin { .. } => false,
        };
        if !is_observable || !self.crash_points.reaches_crash(controller) {
            return false;
        }
        self.crash_controller(controller, RESTART_AFTER_CRASH_POINT_MS);
        true
    }

    /// Records an effect and carries it out: sends the message or hands the reply to its user.
    pub(super) fn apply_effect(&mut self, controller: usize, incarnation: u64, effect: Effect) {
        self.record_effect(controller, incarnation, &effect);
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
                let Some(receiver) = to.as_str().trim_start_matches('n').parse::<usize>().ok()
                else {
                    return;
                };
                self.send_mesh(controller, receiver, message);
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
                    if matches!(reply, HeartbeatReply::Response(_)) {
                        self.record_status_received(&machine);
                    }
                    let to = self.machine_endpoint(&machine);
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
        self.schedule_timeout(timeout_ms, controller, incarnation, call, event);
        let message = Message::StateRequest {
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
        self.schedule_timeout(CLOUD_TIMEOUT_MS, controller, incarnation, call, event);
        let message = Message::CloudRequest {
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
        self.schedule_timeout(timeout_ms, controller, incarnation, call, event);
        let to = self.machine_endpoint(&machine);
        let message = Message::DirectCall {
            controller,
            incarnation,
            call,
            machine,
            body,
        };
        self.send(Endpoint::Controller(controller), to, message);
    }

    /// Starts a controller as a new incarnation, with a clock that deviates from simulated time by up to 0.05 %.
    pub(super) fn start_controller(&mut self, controller: usize) {
        self.last_incarnation += 1;
        let toml = settings_toml(
            controller,
            self.plan.mutation,
            self.plan.size,
            &self.parameters,
        );
        let Ok(settings) = Settings::parse(&toml) else {
            panic!("the generated settings are invalid")
        };
        let clock_rate = 1.0 + self.rng.random_range(-0.0005..0.0005);
        let seed = self.rng.random();
        self.controllers[controller] = Some(RunningController {
            controller: Controller::new(settings, seed),
            incarnation: self.last_incarnation,
            started_at: self.now,
            clock_rate,
            next_tick_at: 0,
            paused: None,
        });
        self.record_running_controllers();
        self.handle_event(controller, Event::Tick);
    }

    /// Resumes a paused controller: the pending effects are applied, and the queued events are handled in random
    /// order, its own timer event among them.
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
        for effect in paused.pending_effects {
            self.apply_effect(controller, incarnation, effect);
        }
        let mut events = paused.queued_events;
        events.push(Event::Tick);
        events.shuffle(&mut self.rng);
        if let Some(running) = self.controllers[controller].as_mut() {
            running.next_tick_at = 0;
        }
        for event in events {
            self.handle_event(controller, event);
        }
    }

    /// Records that a controller crashes or is paused: failovers of its partitions begin.
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
