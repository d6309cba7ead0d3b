//! Machines and their workers: heartbeats, tasks and gangs.

use super::events::{contains_launch, Endpoint, Message};
use super::jobs::SubmittedJobs;
use super::scenario::Mutation;
use super::site::CONTROLLERS;
use super::World;
use crate::message_size::LimitedMessage;
use crate::worker::{TaskTransition, Worker};
use controller::HeartbeatReply;
use rand::Rng;
use std::collections::BTreeMap;
use wire::users::JobKind;
use wire::workers::{Command, ExitCause, TaskState};

/// A task of a gang: its machine, its name, its state and, once the gang has started, its time of completion.
type GangMember = (String, String, TaskState, Option<u64>);

/// Time after which a worker gives up waiting for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// Time from an unanswered, refused or misdirected heartbeat to the next one, which goes to the next controller.
const HEARTBEAT_RETRY_DELAY_MS: u64 = 1_000;

/// How long a task, or a gang with this job id, runs: 2 to 11 s by its name and the seed, times the factor of its
/// job.
fn run_time_ms(seed: u64, jobs: &SubmittedJobs, name: &str) -> u64 {
    let byte_sum: u64 = name.bytes().map(u64::from).sum();
    let usual_ms = 2_000 + (byte_sum * 7919 + seed * 31) % 9_000;
    let id = name.split('/').next().unwrap_or_default();
    usual_ms * jobs.run_time_factor(id)
}

impl World {
    /// Handles a controller's reply to the heartbeat `number` of a machine. Replies to other heartbeats than the
    /// one in flight are dropped.
    pub(super) fn handle_heartbeat_reply(
        &mut self,
        machine: &str,
        number: u64,
        controller: usize,
        reply: HeartbeatReply,
    ) {
        let now = self.now;
        let ignores_tokens = self.plan.mutation == Some(Mutation::TokensIgnored);
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if worker.dead || worker.in_flight.map(|f| f.0) != Some(number) {
            return;
        }
        worker.check_lease(now, self.parameters.lease_duration_ms);
        let reply = match reply {
            HeartbeatReply::Response(response) if response.is_too_long() => {
                let details = format!("a response to {machine} has a line of more than 64 KiB");
                self.rules.record_violation("too_long", details, now);
                HeartbeatReply::Malformed
            }
            other => other,
        };
        match reply {
            // `Worker::handle_heartbeat_response` takes the heartbeat out of flight.
            HeartbeatReply::Response(mut response) => {
                if ignores_tokens {
                    response.token = response.token.max(worker.token);
                }
                if self.plan.mutation == Some(Mutation::RepliesWithoutStopCommands) {
                    response
                        .commands
                        .retain(|c| !matches!(c, Command::Stop { .. }));
                }
                if worker.handle_heartbeat_response(number, &response, now, self.jobs.all()) {
                    let launches = contains_launch(&response.commands);
                    self.failovers
                        .record_contact(machine, response.token, launches, now);
                    self.record_launch(machine, &response.commands);
                }
            }
            HeartbeatReply::Redirect(Some(to)) => {
                worker.in_flight = None;
                let to: usize = to.as_str().trim_start_matches('n').parse().unwrap_or(0);
                if to == controller {
                    worker.controller = (controller + 1) % CONTROLLERS;
                    worker.next_heartbeat_at = now + HEARTBEAT_RETRY_DELAY_MS;
                } else {
                    worker.controller = to;
                    worker.next_heartbeat_at = now + self.rng.random_range(0..500);
                }
            }
            HeartbeatReply::Redirect(None)
            | HeartbeatReply::Unavailable
            | HeartbeatReply::Malformed => {
                worker.in_flight = None;
                worker.controller = (controller + 1) % CONTROLLERS;
                worker.next_heartbeat_at = now + HEARTBEAT_RETRY_DELAY_MS;
            }
        }
    }

    /// Advances all workers, their tasks and gangs, and ends expired leases in the state service.
    pub(super) fn step_workers(&mut self) {
        if !self.is_state_service_down() {
            self.state.expire(self.now);
            self.answer_watches();
        }
        let now = self.now;
        let booted: Vec<(String, String, String, bool)> = self
            .cloud
            .machines
            .iter()
            .filter(|(name, m)| {
                m.gone_at.is_none()
                    && m.boots_at.is_some_and(|at| at <= now)
                    && !self.workers.contains_key(*name)
            })
            .map(|(n, m)| (n.clone(), m.machine_type.clone(), m.zone.clone(), m.spot))
            .collect();
        for (name, machine_type, zone, spot) in booted {
            let mut worker = Worker::new(&name, &machine_type, &zone, spot, now);
            worker.controller = self.rng.random_range(0..CONTROLLERS);
            self.workers.insert(name, worker);
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            if worker.dead {
                continue;
            }
            // The lease of a machine that hangs expires as well.
            worker.check_lease(now, self.parameters.lease_duration_ms);
            if worker.hung_until > now {
                continue;
            }
            let run_ms = |task: &str| {
                run_time_ms(self.plan.seed, &self.jobs, task) * self.parameters.run_time_factor
            };
            let transitions = worker.advance(now, self.jobs.all(), run_ms);
            for transition in transitions {
                match transition {
                    TaskTransition::Started(task) => {
                        if let Some(worker) = self.workers.get(&name) {
                            self.rules.check_start(
                                &task,
                                worker,
                                &self.workers,
                                self.jobs.all(),
                                now,
                            );
                        }
                        let id = task.split('/').next().unwrap_or_default();
                        if let Some(job) = self.jobs.get(id) {
                            let limit = self.cpu_limits.get(&job.team).copied();
                            self.service_checks.record_start(
                                &task,
                                job,
                                limit.unwrap_or(f64::MAX),
                                now,
                            );
                        }
                    }
                    TaskTransition::Done(task) => self.handle_task_done(task),
                }
            }
            self.step_heartbeat(&name);
        }
        self.step_gangs();
    }

    /// Sends a machine's heartbeat if it is due, and gives up one that has got no reply in time.
    pub(super) fn step_heartbeat(&mut self, name: &str) {
        let now = self.now;
        let from = self.machine_endpoint(name);
        let interval_ms = self.parameters.heartbeat_interval_ms;
        let wait_ms = self
            .rng
            .random_range(interval_ms * 3 / 4..interval_ms * 5 / 4);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some((_, sent_at, _)) = worker.in_flight {
            if now >= sent_at + HEARTBEAT_TIMEOUT_MS {
                worker.in_flight = None;
                worker.controller = (worker.controller + 1) % CONTROLLERS;
                worker.next_heartbeat_at = now + HEARTBEAT_RETRY_DELAY_MS;
            }
            return;
        }
        if !worker.heartbeat_due(now) {
            return;
        }
        let number = self.open_requests.next_ticket();
        worker.in_flight = Some((number, now, worker.epoch));
        worker.status_changed = false;
        worker.last_heartbeat_at = now;
        worker.next_heartbeat_at = now + wait_ms;
        let controller = worker.controller;
        let heartbeat = Box::new(worker.next_heartbeat());
        let is_refused = self.refuses_connections(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if self.controllers[controller].is_none() || is_refused {
            // The connection fails at once.
            worker.in_flight = None;
            worker.controller = (controller + 1) % CONTROLLERS;
            worker.next_heartbeat_at = now + HEARTBEAT_RETRY_DELAY_MS;
            return;
        }
        if heartbeat.is_too_long() {
            self.coverage.oversized_heartbeats += 1;
            self.handle_heartbeat_reply(name, number, controller, HeartbeatReply::Malformed);
            return;
        }
        let message = Message::Heartbeat {
            controller,
            machine: name.to_owned(),
            number,
            heartbeat,
        };
        self.send(from, Endpoint::Controller(controller), message);
    }

    /// Advances all gangs. A gang starts when all its tasks wait, its tasks end together, and the running ones exit
    /// when others are gone or their machines hang.
    pub(super) fn step_gangs(&mut self) {
        let now = self.now;
        let mut gangs: BTreeMap<(String, u64), Vec<GangMember>> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| !w.dead) {
            for ((task, attempt), status) in &worker.tasks {
                let Some((id, _)) = task.split_once('/') else {
                    continue;
                };
                if self.jobs.get(id).is_some_and(|j| j.kind == JobKind::Gang) && status.is_present()
                {
                    let member = (
                        worker.name.clone(),
                        task.clone(),
                        status.state,
                        status.done_at,
                    );
                    gangs
                        .entry((id.to_owned(), *attempt))
                        .or_default()
                        .push(member);
                }
            }
        }
        for ((id, attempt), members) in gangs {
            let Some(task_count) = self.jobs.get(&id).map(|j| j.task_count) else {
                continue;
            };
            let are_all_present = members.len() as u64 == task_count;
            let all_wait = members.iter().all(|m| m.2 == TaskState::Waiting);
            let any_runs = members.iter().any(|m| m.2 == TaskState::Running);
            let hanging: Vec<bool> = members
                .iter()
                .map(|m| self.workers.get(&m.0).is_some_and(|w| w.hung_until > now))
                .collect();
            let is_complete = are_all_present && !hanging.contains(&true);
            let any_is_done = members.iter().any(|m| m.3.is_some_and(|at| now >= at));
            let done_at = now + run_time_ms(self.plan.seed, &self.jobs, &id);
            for ((machine, task, state, _), hangs) in members.into_iter().zip(hanging) {
                if hangs {
                    continue;
                }
                let key = (task.clone(), attempt);
                let Some(worker) = self.workers.get_mut(&machine) else {
                    continue;
                };
                if is_complete && all_wait {
                    worker.set_gang_task_state(&key, TaskState::Running, None);
                    if let Some(status) = worker.tasks.get_mut(&key) {
                        status.done_at = Some(done_at);
                    }
                } else if any_runs && is_complete && any_is_done {
                    worker.set_gang_task_state(&key, TaskState::Exited, Some(ExitCause::Done));
                    self.handle_task_done(task);
                } else if any_runs && !is_complete && state == TaskState::Running {
                    worker.set_gang_task_state(
                        &key,
                        TaskState::Exited,
                        Some(ExitCause::GangPeersLost),
                    );
                }
            }
        }
    }
}
