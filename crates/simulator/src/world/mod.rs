//! The simulated world: an event queue, a network, stand-ins of all services, workers and users, and real
//! [`controller::Controller`]s. [`World::run`] processes events in the order of simulated time and checks the
//! rules after each.

mod active_fault;
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
mod old_heartbeat_counts;
mod old_heartbeat_delivery;
mod old_heartbeats;
mod open_requests;
mod recording;
mod scenario;
mod service_checks;
mod site;
mod state_service;
mod stored_jobs;
mod transport;
mod unusual_requests;
mod users;
mod views;

pub use coverage::FaultCoverage;
pub use old_heartbeat_counts::{
    AttemptHistory, HeartbeatRecipient, OldHeartbeatCase, OldHeartbeatCounts,
};
pub use scenario::{Fault, Mutation, Plan};

use crate::cloud::Cloud;
use crate::failovers::FailoverTimeline;
use crate::fingerprint::Recorder;
use crate::rules::RuleChecker;
use crate::state::{StateService, StateServiceLimits};
use crate::worker::Worker;
use controller::{Event, UserRequest};
use crash_points::CrashPoints;
use event_queue::EventQueue;
use events::{RunningController, ScheduledEvent};
use follow_ups::FollowUpCounts;
use interceptor::MessageInterceptor;
use jobs::SubmittedJobs;
use model::JobId;
use network::Network;
use old_heartbeats::HeartbeatArchive;
use open_requests::{CallKey, OpenRequests};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use service_checks::ServiceChecks;
use site::{SiteParameters, CONTROLLERS};
use state_service::Watch;
use std::collections::BTreeMap;

/// Before this time no job counts as starved and users do not query all jobs, because the site fills up first.
const MIN_FAULTS_END_MS: u64 = 60_000;

/// The simulated world: real controllers, and stand-ins of everything that they communicate with. Times are in
/// ms of simulated time unless a name says otherwise.
pub struct World {
    plan: Plan,
    parameters: SiteParameters,
    rng: SmallRng,
    now: u64,
    queue: EventQueue,
    controllers: Vec<Option<RunningController>>,
    /// Number of the last started incarnation of any controller.
    last_incarnation: u64,
    state: StateService,
    /// A snapshot of `state` of some seconds ago, for [`Mutation::StalePlacementLog`].
    stale_state: StateService,
    watches: Vec<Watch>,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    network: Network,
    interceptor: MessageInterceptor,
    old_heartbeats: HeartbeatArchive,
    open_requests: OpenRequests,
    jobs: SubmittedJobs,
    follow_up_counts: FollowUpCounts,
    /// Limits of the teams that have one, in CPUs.
    cpu_limits: BTreeMap<String, f64>,
    /// Number of requests that the state service has received.
    pub state_requests: u64,
    /// Number of replies that rejected a user's request because of overload.
    pub busy_replies: u64,
    /// Time from the first submission to the acceptance of each job, in ms.
    pub acceptance_latencies_ms: Vec<u64>,
    pub rules: RuleChecker,
    pub failovers: FailoverTimeline,
    service_checks: ServiceChecks,
    /// Number of transactions of each controller that have been applied.
    transactions_applied: [u64; CONTROLLERS],
    pub coverage: FaultCoverage,
    crash_points: CrashPoints,
    /// Number of machines that were up when controllers released them.
    pub machines_released_alive: u64,
    /// Early failovers by controllers that have crashed, and false ones among them.
    early_failovers_of_crashed: (u64, u64),
    /// Records the controllers' outgoing messages if set.
    recorder: Option<Recorder>,
}

impl World {
    /// Returns a world at time 0 with all faults of the plan scheduled.
    pub fn new(plan: Plan) -> Self {
        let parameters = SiteParameters::of(plan.size);
        World::with_parameters(plan, parameters)
    }

    /// As [`World::new`], but with a state service that has these limits.
    pub fn with_state_limits(plan: Plan, state_limits: StateServiceLimits) -> Self {
        let parameters = SiteParameters {
            state_limits,
            ..SiteParameters::of(plan.size)
        };
        World::with_parameters(plan, parameters)
    }

    /// As [`World::with_state_limits`], but the settings announce other limits for a later time, see
    /// [`World::change_state_limits`].
    pub fn with_changing_state_limits(
        plan: Plan,
        state_limits: StateServiceLimits,
        next_state_limits: StateServiceLimits,
    ) -> Self {
        let parameters = SiteParameters {
            state_limits,
            next_state_limits: Some(next_state_limits),
            ..SiteParameters::of(plan.size)
        };
        World::with_parameters(plan, parameters)
    }

    /// Lets the limits that the settings announce hold from now on.
    pub fn change_state_limits(&mut self) {
        if let Some(limits) = self.parameters.next_state_limits {
            self.state.set_limits(limits);
        }
    }

    fn with_parameters(plan: Plan, parameters: SiteParameters) -> Self {
        let last_fault_end = plan
            .faults
            .iter()
            .map(|(at, fault)| at + fault.duration_ms())
            .max();
        let faults_end_at = last_fault_end.unwrap_or(0).max(MIN_FAULTS_END_MS);
        let mut world = World {
            rng: SmallRng::seed_from_u64(plan.seed),
            now: 0,
            queue: EventQueue::default(),
            controllers: (0..CONTROLLERS).map(|_| None).collect(),
            last_incarnation: 0,
            state: parameters.state_service(),
            stale_state: parameters.state_service(),
            watches: Vec::new(),
            cloud: Cloud::new(&["a", "b"], 5 * plan.size as u32, 2 * plan.size as u32),
            workers: BTreeMap::new(),
            network: Network::default(),
            interceptor: MessageInterceptor::default(),
            old_heartbeats: HeartbeatArchive::default(),
            open_requests: OpenRequests::default(),
            jobs: SubmittedJobs::default(),
            follow_up_counts: FollowUpCounts::default(),
            cpu_limits: (0..6)
                .map(|t| (format!("t{t}"), 6.0 * plan.size as f64))
                .collect(),
            state_requests: 0,
            busy_replies: 0,
            acceptance_latencies_ms: Vec::new(),
            rules: RuleChecker::new(parameters.cancel_deadline_ms),
            failovers: FailoverTimeline::default(),
            service_checks: ServiceChecks::new(faults_end_at),
            transactions_applied: [0; CONTROLLERS],
            coverage: FaultCoverage::default(),
            crash_points: CrashPoints::default(),
            machines_released_alive: 0,
            early_failovers_of_crashed: (0, 0),
            recorder: None,
            parameters,
            plan,
        };
        world.enlarge_machine_types();
        for controller in 0..CONTROLLERS {
            world.schedule(0, ScheduledEvent::StartController { controller });
        }
        world.schedule(0, ScheduledEvent::StepWorkers);
        world.schedule(1_500, ScheduledEvent::SubmitJob);
        world.schedule(faults_end_at, ScheduledEvent::QueryAllJobs);
        for (at, fault) in world.plan.faults.clone() {
            world.schedule(at, ScheduledEvent::StartFault(fault));
        }
        world
    }

    /// Runs to the end of the plan or to the first violation.
    pub fn run(&mut self) {
        self.run_to(self.plan.duration_ms);
    }

    /// Runs to a simulated time or to the first violation.
    pub fn run_to(&mut self, until_ms: u64) {
        while self.rules.violations.is_empty() {
            let Some((at, event)) = self.queue.pop_due(until_ms) else {
                break;
            };
            self.now = at;
            // For speed, the checks below run on large sites only when the workers advance. Starts of tasks are
            // always checked as they occur.
            let is_checked = self.plan.size == 1 || matches!(event, ScheduledEvent::StepWorkers);
            self.process_event(event);
            if !is_checked {
                continue;
            }
            self.rules.check_quotas_and_cancellations(
                &self.workers,
                self.jobs.all(),
                &self.cpu_limits,
                self.now,
            );
            for id in self.service_checks.unanswered().take_overdue(self.now) {
                self.rules.record_violation(
                    "forgotten",
                    format!("{id}: no reply about an accepted job for 75 s"),
                    self.now,
                );
            }
        }
    }

    /// Starts a fault now, for tests that wait for a certain state of the run.
    pub fn inject(&mut self, fault: Fault) {
        self.start_fault(fault);
    }

    /// Schedules an event; a time in the past counts as now.
    fn schedule(&mut self, at: u64, event: ScheduledEvent) {
        self.queue.push(at.max(self.now), event);
    }

    fn process_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick {
                controller,
                incarnation,
            } => {
                if self.is_running(controller, incarnation) {
                    self.handle_event(controller, Event::Tick);
                }
            }
            ScheduledEvent::ResumeController {
                controller,
                incarnation,
            } => self.resume_controller(controller, incarnation),
            ScheduledEvent::RestoreValue { key, value } => self.write_directly(&key, value),
            ScheduledEvent::Deliver(message) => self.deliver(*message),
            ScheduledEvent::DeliverDuplicate(message) => {
                self.record_duplicate(&message);
                self.deliver(*message);
            }
            ScheduledEvent::ApplyDelayedTransaction {
                controller,
                incarnation,
                applied_when_sent,
                txn,
            } => {
                self.apply_delayed_transaction(controller, incarnation, applied_when_sent, txn);
            }
            ScheduledEvent::DeliverDelayedCommand(message) => {
                self.deliver_delayed_command(*message)
            }
            ScheduledEvent::DeliverLaunchCopy {
                message,
                sent_at,
                partition,
            } => {
                self.record_launch_copy(&message, sent_at, partition);
                self.deliver_delayed_command(*message);
            }
            ScheduledEvent::DeliverHeldHeartbeat(message) => self.deliver_held_heartbeat(*message),
            ScheduledEvent::DeliverOldHeartbeat(delivery) => self.deliver_old_heartbeat(*delivery),
            ScheduledEvent::DeliverMeshDuplicate { to, event } => {
                self.coverage.mesh_duplicates += 1;
                self.handle_event(to, event);
            }
            ScheduledEvent::QueryAllJobs => self.query_all_jobs(),
            ScheduledEvent::Timeout {
                controller,
                incarnation,
                call,
                event,
            } => {
                let key = CallKey {
                    controller,
                    incarnation,
                    call,
                };
                if self.is_running(controller, incarnation) && self.open_requests.take_call(key) {
                    self.handle_event(controller, *event);
                }
            }
            ScheduledEvent::WatchTimeout {
                controller,
                incarnation,
                call,
            } => {
                self.time_out_watch(CallKey {
                    controller,
                    incarnation,
                    call,
                });
            }
            ScheduledEvent::StepWorkers => self.step(),
            ScheduledEvent::SubmitJob => self.submit_next_job(),
            ScheduledEvent::PollStatus { id } => self.poll_status(id),
            ScheduledEvent::CancelJob { id } => {
                self.record_cancel_request(&id);
                if let Some(job) = JobId::parse(&id) {
                    self.send_request(UserRequest::Cancel(job), id, 0);
                }
            }
            ScheduledEvent::SendRequest {
                request,
                id,
                attempts,
            } => self.send_request(request, id, attempts),
            ScheduledEvent::SendFollowUp {
                controller,
                request,
                id,
            } => self.send_follow_up(controller, request, id),
            ScheduledEvent::SendUnusualRequest => self.send_unusual_request(),
            ScheduledEvent::SubmitOneTaskJob => self.submit_one_task_job(),
            ScheduledEvent::StartController { controller } => self.start_controller(controller),
            ScheduledEvent::StartFault(fault) => self.start_fault(fault),
            ScheduledEvent::EndFault(fault) => self.end_fault(&fault),
            ScheduledEvent::ReleaseHeldMessages => {
                for held in self.network.take_held() {
                    self.send(held.from, held.to, held.message);
                }
            }
        }
    }

    /// Advances all workers, observes the service and schedules the next step. For
    /// [`Mutation::StalePlacementLog`], takes a snapshot of the state service every 6 s.
    fn step(&mut self) {
        let takes_snapshots = self.plan.mutation == Some(Mutation::StalePlacementLog);
        if takes_snapshots && self.now % 6_000 < self.parameters.step_ms {
            self.stale_state = self.state.clone();
        }
        self.step_workers();
        for controller in 0..CONTROLLERS {
            let healthy = self.controllers[controller]
                .as_ref()
                .is_some_and(|r| r.controller.healthy());
            self.service_checks
                .record_health(controller, healthy, self.now);
        }
        self.service_checks.observe(
            &self.workers,
            self.jobs.all(),
            &self.cpu_limits,
            &mut self.rules,
            self.now,
        );
        self.schedule(
            self.now + self.parameters.step_ms,
            ScheduledEvent::StepWorkers,
        );
    }
}
