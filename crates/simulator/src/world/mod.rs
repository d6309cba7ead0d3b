//! The world: a queue of events in simulated time, a network, and real [`Controller`]s.

mod cancellations;
mod controllers;
mod coverage;
mod crash_points;
mod event_queue;
mod events;
mod faults;
mod follow_ups;
mod interceptor;
mod jobs;
mod machines;
mod mutations;
mod network;
mod open_requests;
mod recording;
mod scenario;
mod service_checks;
mod site;
mod state_service;
mod transport;
mod unusual_requests;
mod users;
mod views;

pub use coverage::FaultCoverage;
pub use scenario::{Fault, Mutation, Plan};

use crate::cloud::{BootBehavior, Cloud};
use crate::failovers::FailoverTimeline;
use crate::fingerprint::Recorder;
use crate::rules::RuleChecker;
use crate::state::StateService;
use crate::worker::Worker;
use controller::{Event, UserRequest};
use crash_points::CrashPoints;
use event_queue::EventQueue;
use events::{RunningController, ScheduledEvent};
use follow_ups::FollowUpCounts;
use interceptor::MessageInterceptor;
use jobs::SubmittedJobs;
use model::JobId;
use network::{ActiveFault, Network};
use open_requests::{CallKey, OpenRequests};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use service_checks::ServiceChecks;
use site::{SiteParameters, CONTROLLERS};
use state_service::Watch;
use std::collections::BTreeMap;

/// No job counts as starved before this time, in ms: the site fills up first.
const MIN_FAULTS_OVER_MS: u64 = 60_000;

/// The simulated world: real controllers, and stand-ins of all that surrounds them.
pub struct World {
    plan: Plan,
    parameters: SiteParameters,
    rng: SmallRng,
    now: u64,
    queue: EventQueue,
    nodes: Vec<Option<RunningController>>,
    incarnations: u64,
    state: StateService,
    /// As it was some seconds ago, for those who are to read what is old.
    stale_state: StateService,
    watches: Vec<Watch>,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    network: Network,
    interceptor: MessageInterceptor,
    open_requests: OpenRequests,
    jobs: SubmittedJobs,
    /// How often users have looked closely at each confirmation.
    follow_up_counts: FollowUpCounts,
    limits: BTreeMap<String, f64>,
    /// Requests that the state service has had, and answers that turned a user away.
    pub requests: u64,
    pub rejected_busy: u64,
    /// How long users waited for each acceptance.
    pub acceptance_latencies_ms: Vec<u64>,
    pub rules: RuleChecker,
    pub failovers: FailoverTimeline,
    service: ServiceChecks,
    /// Transactions of each node that have been carried out.
    transactions_applied: [u64; CONTROLLERS],
    pub coverage: FaultCoverage,
    crash_points: CrashPoints,
    /// Machines that lived when the controllers gave them back.
    pub machines_released_alive: u64,
    /// Early takeovers, and those of them whose holders lived, of nodes that have ended.
    early: (u64, u64),
    /// Records what leaves the controllers, if that is wanted.
    recorder: Option<Recorder>,
}

impl World {
    /// A world in which nothing has happened yet.
    pub fn new(plan: Plan) -> Self {
        let parameters = SiteParameters::of(plan.size);
        let last_fault_end = plan
            .faults
            .iter()
            .map(|(at, fault)| at + fault.lasts())
            .max();
        let faults_over = last_fault_end.unwrap_or(0).max(MIN_FAULTS_OVER_MS);
        let mut world = World {
            rng: SmallRng::seed_from_u64(plan.seed),
            now: 0,
            queue: EventQueue::default(),
            nodes: (0..CONTROLLERS).map(|_| None).collect(),
            incarnations: 0,
            state: StateService::new(parameters.write_rps),
            stale_state: StateService::new(parameters.write_rps),
            watches: Vec::new(),
            cloud: Cloud::new(&["a", "b"], 5 * plan.size as u32, 2 * plan.size as u32),
            workers: BTreeMap::new(),
            network: Network::default(),
            interceptor: MessageInterceptor::default(),
            open_requests: OpenRequests::default(),
            jobs: SubmittedJobs::default(),
            follow_up_counts: FollowUpCounts::default(),
            limits: (0..6)
                .map(|t| (format!("t{t}"), 6.0 * plan.size as f64))
                .collect(),
            requests: 0,
            rejected_busy: 0,
            acceptance_latencies_ms: Vec::new(),
            rules: RuleChecker::new(parameters.cancel),
            failovers: FailoverTimeline::default(),
            service: ServiceChecks::new(faults_over),
            transactions_applied: [0; CONTROLLERS],
            coverage: FaultCoverage::default(),
            crash_points: CrashPoints::default(),
            machines_released_alive: 0,
            early: (0, 0),
            recorder: None,
            parameters,
            plan,
        };
        world.pretend_large_machines();
        for node in 0..CONTROLLERS {
            world.schedule(0, ScheduledEvent::StartController { node });
        }
        world.schedule(0, ScheduledEvent::StepWorkers);
        world.schedule(1_500, ScheduledEvent::SubmitJob);
        world.schedule(faults_over, ScheduledEvent::QueryAllJobs);
        for (at, fault) in world.plan.faults.clone() {
            world.schedule(at, ScheduledEvent::StartFault(fault));
        }
        world
    }

    /// Runs to the end, or to the first broken rule.
    pub fn run(&mut self) {
        self.run_to(self.plan.ms);
    }

    /// Runs to a time, or to the first broken rule.
    pub fn run_to(&mut self, ms: u64) {
        while self.rules.violations.is_empty() {
            let Some((at, event)) = self.queue.pop_due(ms) else {
                break;
            };
            self.now = at;
            // Where there is much to look at, it is looked at every time the workers move; every
            // start is checked anyway.
            let is_checked = self.plan.size == 1 || matches!(event, ScheduledEvent::StepWorkers);
            self.process_event(event);
            if !is_checked {
                continue;
            }
            self.rules
                .check(&self.workers, self.jobs.all(), &self.limits, self.now);
            for id in self.service.unanswered().take_overdue(self.now) {
                self.rules.record_violation(
                    "forgotten",
                    format!("{id}: no answer for 75 s"),
                    self.now,
                );
            }
        }
    }

    /// A trouble begins now, for tests that wait for the moment at which it meets another.
    pub fn begin(&mut self, fault: Fault) {
        self.fault(fault);
    }

    fn schedule(&mut self, at: u64, event: ScheduledEvent) {
        self.queue.push(at.max(self.now), event);
    }

    fn process_event(&mut self, what: ScheduledEvent) {
        match what {
            ScheduledEvent::Tick { node, incarnation } => {
                if self.is_running(node, incarnation) {
                    self.handle_event(node, Event::Tick);
                }
            }
            ScheduledEvent::ResumeController { node, incarnation } => {
                self.resume_controller(node, incarnation)
            }
            ScheduledEvent::RestoreValue { key, value } => self.write_directly(&key, value),
            ScheduledEvent::Deliver(message) => self.deliver(*message),
            ScheduledEvent::DeliverDuplicate(message) => {
                self.record_duplicate(&message);
                self.deliver(*message);
            }
            ScheduledEvent::ApplyDelayedTransaction {
                node,
                incarnation,
                newer_than,
                txn,
            } => {
                self.apply_delayed_transaction(node, incarnation, newer_than, txn);
            }
            ScheduledEvent::DeliverDelayedCommand(message) => {
                self.deliver_delayed_command(*message)
            }
            ScheduledEvent::DeliverHeldHeartbeat(message) => self.deliver_held_heartbeat(*message),
            ScheduledEvent::DeliverMeshDuplicate { to, event } => {
                self.coverage.mesh_duplicates += 1;
                self.handle_event(to, event);
            }
            ScheduledEvent::QueryAllJobs => self.query_all_jobs(),
            ScheduledEvent::Timeout {
                node,
                incarnation,
                call,
                event,
            } => {
                if self.is_running(node, incarnation)
                    && self.open_requests.take_call(CallKey {
                        node,
                        incarnation,
                        call,
                    })
                {
                    self.handle_event(node, *event);
                }
            }
            ScheduledEvent::WatchTimeout {
                node,
                incarnation,
                call,
            } => {
                let waiting = self.watches.iter().position(|watch| {
                    watch.key
                        == CallKey {
                            node,
                            incarnation,
                            call,
                        }
                });
                if let Some(at) = waiting {
                    if self.refuses(node) {
                        return;
                    }
                    self.watches.remove(at);
                    let reply = self.state.no_changes();
                    self.send_state_reply(node, incarnation, call, reply);
                }
            }
            ScheduledEvent::StepWorkers => {
                let keeps = self.plan.mutation == Some(Mutation::StalePlacementLog);
                if keeps && self.now % 6_000 < self.parameters.step {
                    self.stale_state = self.state.clone();
                }
                self.step_workers();
                for node in 0..CONTROLLERS {
                    let healthy = self.nodes[node].as_ref().is_some_and(|r| r.node.healthy());
                    self.service.record_health(node, healthy, self.now);
                }
                self.service.observe(
                    &self.workers,
                    self.jobs.all(),
                    &self.limits,
                    &mut self.rules,
                    self.now,
                );
                self.schedule(self.now + self.parameters.step, ScheduledEvent::StepWorkers);
            }
            ScheduledEvent::SubmitJob => self.submit(),
            ScheduledEvent::PollStatus { id } => {
                if !self.jobs.is_settled(&id) {
                    if let Some(job) = JobId::parse(&id) {
                        self.send_request(UserRequest::Get(job), id.clone(), 0);
                    }
                    let often = self.network.is_active(&ActiveFault::StatusRequestStorm);
                    self.schedule(
                        self.now + if often { 300 } else { 5_000 },
                        ScheduledEvent::PollStatus { id },
                    );
                }
            }
            ScheduledEvent::CancelJob { id } => {
                self.record_cancel_request(&id);
                if let Some(job) = JobId::parse(&id) {
                    self.send_request(UserRequest::Cancel(job), id, 0);
                }
            }
            ScheduledEvent::SendRequest { request, id, tries } => {
                self.send_request(request, id, tries)
            }
            ScheduledEvent::SendFollowUp { node, request, id } => {
                self.send_follow_up(node, request, id)
            }
            ScheduledEvent::SendUnusualRequest => self.unusual_request(),
            ScheduledEvent::SubmitOneTaskJob => self.one_task_job(),
            ScheduledEvent::StartController { node } => self.start_controller(node),
            ScheduledEvent::StartFault(fault) => self.fault(fault),
            ScheduledEvent::EndFault(cut) => {
                self.network.deactivate(&cut);
                if let ActiveFault::StateRequestsRefused(None) = cut {
                    self.state.refresh_leases(self.now);
                }
                if cut == ActiveFault::ChangedBootBehavior {
                    self.cloud.boots = BootBehavior::Usual;
                }
                self.schedule(self.now + 1, ScheduledEvent::ReleaseHeldMessages);
            }
            ScheduledEvent::ReleaseHeldMessages => {
                for held in self.network.take_held() {
                    self.send(held.from, held.to, held.message);
                }
            }
        }
    }
}
