//! Machines, their heartbeats, tasks and gangs.

use super::events::{contains_launch, Endpoint, Message};
use super::jobs::SubmittedJobs;
use super::scenario::Mutation;
use super::site::CONTROLLERS;
use super::World;
use crate::worker::{TaskTransition, Worker};
use controller::HeartbeatReply;
use rand::Rng;
use std::collections::BTreeMap;
use wire::users::JobKind;
use wire::workers::{Command, ExitCause, TaskState};

/// A gang's task: its machine, its name, its state and when it completes.
type GangMember = (String, String, TaskState, Option<u64>);

/// How long a task runs, or a gang. Some jobs' tasks run this many times as long.
fn run_time_ms(seed: u64, jobs: &SubmittedJobs, name: &str) -> u64 {
    let sum: u64 = name.bytes().map(u64::from).sum();
    let usual = 2_000 + (sum * 7919 + seed * 31) % 9_000;
    let id = name.split('/').next().unwrap_or_default();
    usual * jobs.run_time_factor(id)
}

impl World {
    pub(super) fn handle_heartbeat_reply(
        &mut self,
        machine: &str,
        number: u64,
        controller: usize,
        reply: HeartbeatReply,
    ) {
        let now = self.now;
        let ignore_tokens = self.plan.mutation == Some(Mutation::TokensIgnored);
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if worker.dead || worker.in_flight.map(|f| f.0) != Some(number) {
            return;
        }
        worker.check_lease(now, self.parameters.lease_duration_ms);
        match reply {
            // `Worker::answered` takes the heartbeat out of flight.
            HeartbeatReply::Response(mut answer) => {
                if ignore_tokens {
                    answer.token = answer.token.max(worker.token);
                }
                if self.plan.mutation == Some(Mutation::RepliesWithoutStopCommands) {
                    answer
                        .commands
                        .retain(|c| !matches!(c, Command::Stop { .. }));
                }
                if worker.handle_heartbeat_response(number, &answer, now, self.jobs.all()) {
                    let launches = contains_launch(&answer.commands);
                    self.failovers
                        .record_contact(machine, answer.token, launches, now);
                    self.record_launch(machine, &answer.commands);
                }
            }
            HeartbeatReply::Redirect(Some(to)) => {
                worker.in_flight = None;
                let to: usize = to.as_str().trim_start_matches('n').parse().unwrap_or(0);
                if to == controller {
                    worker.controller = (controller + 1) % CONTROLLERS;
                    worker.next_heartbeat_at = now + 1_000;
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
                worker.next_heartbeat_at = now + 1_000;
            }
        }
    }

    pub(super) fn step_workers(&mut self) {
        if !self.is_state_service_down() {
            self.state.expire(self.now);
            self.answer_watches();
        }
        let now = self.now;
        let up: Vec<(String, String, String, bool)> = self
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
        for (name, kind, zone, spot) in up {
            let mut worker = Worker::new(&name, &kind, &zone, spot, now);
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
            // A machine that hangs does not outlive its lease either.
            worker.check_lease(now, self.parameters.lease_duration_ms);
            if worker.hung_until > now {
                continue;
            }
            let run = |task: &str| {
                run_time_ms(self.plan.seed, &self.jobs, task) * self.parameters.run_time_factor
            };
            let transitions = worker.advance(now, self.jobs.all(), run);
            for event in transitions {
                match event {
                    TaskTransition::Started(task) => {
                        if let Some(on) = self.workers.get(&name) {
                            self.rules
                                .check_start(&task, on, &self.workers, self.jobs.all(), now);
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

    pub(super) fn step_heartbeat(&mut self, name: &str) {
        let now = self.now;
        let from = self.machine_endpoint(name);
        let report = self.parameters.heartbeat_interval_ms;
        let wait = self.rng.random_range(report * 3 / 4..report * 5 / 4);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some((_, sent, _)) = worker.in_flight {
            if now >= sent + 4_000 {
                worker.in_flight = None;
                worker.controller = (worker.controller + 1) % CONTROLLERS;
                worker.next_heartbeat_at = now + 1_000;
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
        worker.next_heartbeat_at = now + wait;
        let controller = worker.controller;
        let report = Box::new(worker.next_heartbeat());
        let mute = self.refuses_connections(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if self.controllers[controller].is_none() || mute {
            // Refused at once.
            worker.in_flight = None;
            worker.controller = (controller + 1) % CONTROLLERS;
            worker.next_heartbeat_at = now + 1_000;
            return;
        }
        let message = Message::Heartbeat {
            controller,
            machine: name.to_owned(),
            number,
            heartbeat: report,
        };
        self.send(from, Endpoint::Controller(controller), message);
    }

    /// Gangs start when all their tasks wait, end together, and notice lost members.
    pub(super) fn step_gangs(&mut self) {
        let now = self.now;
        let mut gangs: BTreeMap<(String, u64), Vec<GangMember>> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| !w.dead) {
            for ((task, attempt), held) in &worker.tasks {
                let Some((id, _)) = task.split_once('/') else {
                    continue;
                };
                if self.jobs.get(id).is_some_and(|j| j.kind == JobKind::Gang) && held.is_present() {
                    let entry = (worker.name.clone(), task.clone(), held.state, held.done_at);
                    gangs
                        .entry((id.to_owned(), *attempt))
                        .or_default()
                        .push(entry);
                }
            }
        }
        for ((id, attempt), members) in gangs {
            let Some(tasks) = self.jobs.get(&id).map(|j| j.task_count) else {
                continue;
            };
            let all = members.len() as u64 == tasks;
            let waiting = members.iter().all(|m| m.2 == TaskState::Waiting);
            let running = members.iter().any(|m| m.2 == TaskState::Running);
            let hung: Vec<bool> = members
                .iter()
                .map(|m| self.workers.get(&m.0).is_some_and(|w| w.hung_until > now))
                .collect();
            let whole = all && !hung.contains(&true);
            let done = members.iter().any(|m| m.3.is_some_and(|at| now >= at));
            let end = now + run_time_ms(self.plan.seed, &self.jobs, &id);
            for ((machine, task, state, _), hangs) in members.into_iter().zip(hung) {
                if hangs {
                    continue;
                }
                let key = (task.clone(), attempt);
                let Some(worker) = self.workers.get_mut(&machine) else {
                    continue;
                };
                if whole && waiting {
                    worker.set_gang_task_state(&key, TaskState::Running, None);
                    if let Some(held) = worker.tasks.get_mut(&key) {
                        held.done_at = Some(end);
                    }
                } else if running && whole && done {
                    worker.set_gang_task_state(&key, TaskState::Exited, Some(ExitCause::Done));
                    self.handle_task_done(task);
                } else if running && !whole && state == TaskState::Running {
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
