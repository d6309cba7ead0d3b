//! The world: a queue of events in simulated time, a network, and real [`Controller`]s.

mod cancellations;
mod events;
mod faults;
mod follow_ups;
mod interceptor;
mod machines;
mod mutations;
mod network;
mod recording;
mod scenario;
mod site;
mod state_service;
mod unusual_requests;
mod users;
mod views;

use model::DurationExt;
pub use scenario::{Fault, Mutation, Plan};

use crate::availability::{lowest, Availability, ServiceLevel};
use crate::cloud::{BootBehavior, Cloud};
use crate::failovers::FailoverTimeline;
use crate::fingerprint::Recorder;
use crate::rules::RuleChecker;
use crate::starvation::StarvationChecker;
use crate::state::StateService;
use crate::unanswered::UnansweredJobs;
use crate::worker::{TaskTransition, Worker, FAILING_CLASS};
use controller::controller::DirectReply;
use controller::{Controller, Effect, Event, HeartbeatReply, UserReply, UserRequest};
use events::{
    starts, ActiveFault, Endpoint, Message, PendingRequest, QueueEntry, RunningController,
    ScheduledEvent,
};
use follow_ups::{Confirmation, FollowUpCounts};
use interceptor::MessageInterceptor;
use model::{CallId, ControllerName, JobId, Settings, Timestamp};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use site::{settings, SiteParameters, CONTROLLERS};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use unusual_requests::ExpectedRejection;
use users::MAX_ATTEMPTS;
use wire::cloud::{CloudReply, CloudRequest};
use wire::mesh::{MeshMessage, ReplicatedRecord};
use wire::state::{StateReply, StateRequest, Transaction, Write};
use wire::users::{JobKind, JobRequest, JobState, Priority};
use wire::workers::{Command, ExitCause, TaskState};

/// What has really come about of troubles that are there to meet: a test whose troubles never met
/// proves nothing.
#[derive(Debug, Clone, Default)]
pub struct FaultCoverage {
    /// Late transactions that were applied; of these, after newer ones of the same node, and of lives
    /// that were over by then.
    pub delayed_writes: u64,
    pub delayed_writes_after_newer: u64,
    pub delayed_writes_of_crashed: u64,
    /// Late transactions whose conditions voided them.
    pub delayed_writes_rejected: u64,
    /// Copies of reports that came after newer messages of their machines; of these, from earlier
    /// sessions.
    pub stale_heartbeats: u64,
    pub stale_sessions: u64,
    /// Answers and commands that were lost on their way to machines whose reports arrive.
    pub dropped_messages: u64,
    /// Connections of machines that failed, and direct commands and questions that reached these
    /// machines meanwhile.
    pub refused_connections: u64,
    pub direct_calls_while_refusing: u64,
    /// Transactions that were carried out and whose answers were lost; those of them that another node
    /// read.
    pub lost_replies: u64,
    pub lost_replies_read_elsewhere: u64,
    /// Kept copies of reports, older than what their machines had said since, that came to a holder that
    /// had just begun; of these, from earlier sessions.
    pub stale_heartbeats_at_failover: u64,
    pub stale_sessions_at_failover: u64,
    /// Reports that were held back and came to a holder that had begun since.
    pub held_heartbeats: u64,
    /// Late direct commands that were carried out, and that their token or session made void; those
    /// with commands whose node had ended, and those that came after a higher token.
    pub delayed_commands: u64,
    pub delayed_commands_rejected: u64,
    pub delayed_commands_of_crashed: u64,
    pub delayed_commands_of_deposed: u64,
    /// Launches on machines that had come up within two seconds a moment before, while writes came late.
    pub launches_on_new_machines: u64,
    /// What nodes told each other and was lost on one way, and what came again late.
    pub one_way_losses: u64,
    pub mesh_duplicates: u64,
    /// Jobs that were cancelled at the moment of their acceptance, while they ran with long to go, and
    /// around the end of their last task.
    pub cancelled_at_acceptance: u64,
    pub cancelled_running: u64,
    pub cancelled_at_completion: BTreeSet<String>,
    /// Machines that hung while their jobs were cancelled.
    pub hung_machines_of_cancelled_jobs: u64,
    /// Odd requests, by kind.
    pub repeated_unfinished: u64,
    pub cancelled_done: u64,
    pub rejected_unschedulable: u64,
    pub rejected_malformed: u64,
    pub one_task_jobs: u64,
}

/// The world.
pub struct World {
    plan: Plan,
    parameters: SiteParameters,
    rng: SmallRng,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    nodes: Vec<Option<RunningController>>,
    incarnations: u64,
    state: StateService,
    /// As it was some seconds ago, for those who are to read what is old.
    stale_state: StateService,
    watches: Vec<(usize, u64, CallId, String, u64)>,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    active_faults: Vec<ActiveFault>,
    held: Vec<(Endpoint, Endpoint, Message)>,
    interceptor: MessageInterceptor,
    pending_calls: HashSet<(usize, u64, CallId)>,
    user_requests: HashMap<(usize, u64, u64), PendingRequest>,
    heartbeat_tickets: HashMap<(usize, u64, u64), (String, u64)>,
    next_ticket: u64,
    jobs: HashMap<String, JobRequest>,
    /// Jobs whose tasks run so many times as long.
    long: HashMap<String, u64>,
    next_job: u64,
    /// How often users have looked closely at each confirmation.
    follow_up_counts: FollowUpCounts,
    /// Submissions that have to be refused.
    invalid_jobs: HashMap<String, ExpectedRejection>,
    limits: BTreeMap<String, f64>,
    settled: BTreeSet<String>,
    submitted: HashMap<String, u64>,
    /// Requests that the state service has had, and answers that turned a user away.
    pub requests: u64,
    pub rejected_busy: u64,
    /// How long users waited for each acceptance.
    pub acceptance_latencies_ms: Vec<u64>,
    pub rules: RuleChecker,
    pub failovers: FailoverTimeline,
    /// Whether questions are answered once all troubles are over.
    unanswered: UnansweredJobs,
    /// Whether jobs wait beside room for them, from the end of all troubles on.
    starvation: StarvationChecker,
    faults_over: u64,
    /// Arrays of low priority among them: these are left to cheap machines and to the gaps beside other
    /// work, see `scheduler::best_effort`, and are told apart until that is settled.
    pub starved_low_priority: Vec<String>,
    /// Since when each node has been healthy without a break.
    healthy_since: [Option<u64>; CONTROLLERS],
    availability: Availability,
    /// Transactions of each node that have been carried out.
    transactions_applied: [u64; CONTROLLERS],
    pub coverage: FaultCoverage,
    /// Nodes that end as they are about to do something: what they have done so far, and at which
    /// deed they end.
    crash_points: HashMap<usize, (u64, u64)>,
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
        let mut world = World {
            rng: SmallRng::seed_from_u64(plan.seed),
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            nodes: (0..CONTROLLERS).map(|_| None).collect(),
            incarnations: 0,
            state: StateService::new(parameters.write_rps),
            stale_state: StateService::new(parameters.write_rps),
            watches: Vec::new(),
            cloud: Cloud::new(&["a", "b"], 5 * plan.size as u32, 2 * plan.size as u32),
            workers: BTreeMap::new(),
            active_faults: Vec::new(),
            held: Vec::new(),
            interceptor: MessageInterceptor::default(),
            pending_calls: HashSet::new(),
            user_requests: HashMap::new(),
            heartbeat_tickets: HashMap::new(),
            next_ticket: 0,
            jobs: HashMap::new(),
            long: HashMap::new(),
            next_job: 0,
            follow_up_counts: FollowUpCounts::default(),
            invalid_jobs: HashMap::new(),
            limits: (0..6)
                .map(|t| (format!("t{t}"), 6.0 * plan.size as f64))
                .collect(),
            settled: BTreeSet::new(),
            submitted: HashMap::new(),
            requests: 0,
            rejected_busy: 0,
            acceptance_latencies_ms: Vec::new(),
            rules: RuleChecker::new(parameters.cancel),
            failovers: FailoverTimeline::default(),
            unanswered: UnansweredJobs::default(),
            starvation: StarvationChecker::default(),
            faults_over: 0,
            starved_low_priority: Vec::new(),
            healthy_since: [None; CONTROLLERS],
            availability: Availability::default(),
            transactions_applied: [0; CONTROLLERS],
            coverage: FaultCoverage::default(),
            crash_points: HashMap::new(),
            machines_released_alive: 0,
            early: (0, 0),
            recorder: None,
            parameters,
            plan,
        };
        world.pretend_large_machines();
        for node in 0..CONTROLLERS {
            world.at(0, ScheduledEvent::StartController { node });
        }
        world.at(0, ScheduledEvent::StepWorkers);
        world.at(1_500, ScheduledEvent::SubmitJob);
        let over = world
            .plan
            .faults
            .iter()
            .map(|(at, fault)| at + fault.lasts())
            .max();
        world.faults_over = over.unwrap_or(0).max(60_000);
        world.at(world.faults_over, ScheduledEvent::QueryAllJobs);
        for (at, fault) in world.plan.faults.clone() {
            world.at(at, ScheduledEvent::StartFault(fault));
        }
        world
    }

    /// Runs to the end, or to the first broken rule.
    pub fn run(&mut self) {
        self.run_to(self.plan.ms);
    }

    /// Puts and deletes that the state service has taken, and those it has refused for want of
    /// budget.
    pub fn writes(&self) -> (u64, u64) {
        (self.state.taken, self.state.refused)
    }

    /// Machines recorded for a partition.
    pub fn machines_of(&self, partition: u32) -> usize {
        self.records()
            .filter(|m| m.get(4).is_some_and(|p| *p == partition))
            .count()
    }

    /// Takeovers of partitions whose records stood, and those of them whose holders lived.
    pub fn early_failovers(&self) -> (u64, u64) {
        let counts = |r: &RunningController| {
            (
                r.node.counters.early_takeovers,
                r.node.counters.wrong_takeovers,
            )
        };
        let living = self.nodes.iter().flatten().map(counts);
        living.fold(self.early, |sum, n| (sum.0 + n.0, sum.1 + n.1))
    }

    /// All records of machines.
    fn records(&self) -> impl Iterator<Item = &serde_json::Value> {
        let page = |n: u32| self.state.value(&format!("s/m/{n:04}"));
        (0..)
            .map_while(page)
            .filter_map(|p| p.get("machines")?.as_array())
            .flatten()
    }

    /// Machines that ended with tasks on them, and are recorded and not given up yet.
    pub fn recorded_dead_machines(&self) -> usize {
        let kept = self
            .records()
            .filter(|m| m.get(6).is_some_and(|leaving| *leaving == false));
        let names = kept.filter_map(|m| m.get(0)?.as_str());
        names
            .filter(|name| {
                self.workers
                    .get(*name)
                    .is_some_and(|w| w.crashed_with_tasks)
            })
            .count()
    }

    /// How much of what is due has been served, by kind of work and by team. What came within the last
    /// `patience` ms need not be done.
    pub fn service_levels(&self, patience: u64) -> Vec<ServiceLevel> {
        let RuleChecker {
            accepted,
            cancel_requests,
            done_confirmed,
            ..
        } = &self.rules;
        let until = self.now.saturating_sub(patience);
        let mut shares =
            self.availability
                .shares(&self.jobs, accepted, cancel_requests, done_confirmed, until);
        shares.extend(self.availability.largest(
            &self.jobs,
            accepted,
            &self.submitted,
            cancel_requests,
            self.now,
        ));
        shares
    }

    /// The class or team of which the least was served, see [`World::availability`].
    pub fn lowest_service_level(&self, patience: u64) -> Option<(String, f64)> {
        lowest(&self.service_levels(patience))
    }

    /// Names of the machines recorded for a partition that live.
    fn living_machines_of(&self, partition: u32) -> BTreeSet<String> {
        let ours = self
            .records()
            .filter(|m| m.get(4).is_some_and(|p| *p == partition));
        let names = ours.filter_map(|m| m.get(0)?.as_str());
        let incarnations = |name: &&str| self.workers.get(*name).is_some_and(|w| !w.dead);
        names.filter(incarnations).map(str::to_owned).collect()
    }

    /// Tasks of jobs that were confirmed as cancelled which are still on machines of a partition.
    pub fn cancelled_tasks_present(&self, partition: u32) -> usize {
        let machines = self.living_machines_of(partition);
        let workers = machines.iter().filter_map(|name| self.workers.get(name));
        let tasks = workers.flat_map(|w| w.tasks.iter().filter(|(_, held)| held.present()));
        let cancelled = |task: &str| {
            let id = task.split('/').next().unwrap_or_default();
            self.rules.cancel_confirmed.contains_key(id)
        };
        tasks.filter(|((task, _), _)| cancelled(task)).count()
    }

    /// A holder ends or stands still: its partitions are to be taken over.
    fn record_leader_stop(&mut self, node: usize) {
        let name = format!("n{node}");
        for partition in 0..CONTROLLERS as u32 {
            if self.leader(partition) == Some(&name) {
                self.failovers
                    .record_leader_stop(partition, &name, self.now);
            }
        }
    }

    /// Machines that are up.
    pub fn machines_up(&self) -> usize {
        self.workers.values().filter(|w| !w.dead).count()
    }

    /// The node that holds a partition by its record.
    pub fn leader(&self, partition: u32) -> Option<&str> {
        self.state
            .value(&format!("s/p/{partition}"))?
            .get("holder")?
            .as_str()
    }

    /// The term of a partition by its record.
    pub fn term(&self, partition: u32) -> Option<u64> {
        self.state
            .value(&format!("s/p/{partition}"))?
            .get("term")?
            .as_u64()
    }

    /// Runs to a time, or to the first broken rule.
    pub fn run_to(&mut self, ms: u64) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > ms || !self.rules.violations.is_empty() {
                self.queue.push(Reverse(next));
                break;
            }
            self.now = next.at;
            // Where there is much to look at, it is looked at every time the workers move; every
            // start is checked anyway.
            let look = self.plan.size == 1 || matches!(next.what, ScheduledEvent::StepWorkers);
            self.process_event(next.what);
            if !look {
                continue;
            }
            self.rules
                .check(&self.workers, &self.jobs, &self.limits, self.now);
            for id in self.unanswered.take_overdue(self.now) {
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

    /// Prints where a job's tasks are, for the eyes of whoever looks into a run.
    pub fn dump(&self, id: &str) {
        for worker in self.workers.values() {
            for ((task, attempt), held) in &worker.tasks {
                if task.starts_with(id) {
                    println!(
                        "{} dead={} {task} try {attempt} {held:?}",
                        worker.name, worker.dead
                    );
                }
            }
        }
        for running in self.nodes.iter().flatten() {
            println!("{}", running.node.explain(id));
        }
    }

    /// A job as it was submitted.
    pub fn job(&self, id: &str) -> Option<&JobRequest> {
        self.jobs.get(id)
    }

    /// Tasks that workers have killed since their lease had run out.
    pub fn killed_by_lease(&self) -> u64 {
        self.workers.values().map(|w| w.tasks_killed_by_lease).sum()
    }

    /// Tasks of jobs that were accepted, are not over and have nothing on any machine.
    pub fn waiting(&self) -> u64 {
        let placed: HashSet<&str> = self
            .workers
            .values()
            .filter(|worker| !worker.dead)
            .flat_map(|worker| worker.tasks.keys())
            .filter_map(|(task, _)| task.split('/').next())
            .collect();
        let unplaced = self
            .unfinished()
            .into_iter()
            .filter(|id| !placed.contains(id.as_str()));
        unplaced
            .filter_map(|id| Some(self.jobs.get(&id)?.tasks))
            .sum()
    }

    /// Notes jobs that have been waiting for too long beside room for them.
    fn check_starvation(&mut self) {
        if self.now < self.faults_over {
            return;
        }
        let RuleChecker {
            accepted,
            done_confirmed,
            cancel_requests,
            ..
        } = &self.rules;
        let open = accepted
            .keys()
            .filter(|id| !done_confirmed.contains_key(*id) && !cancel_requests.contains(*id));
        let starvation =
            self.starvation
                .observe(&self.workers, &self.jobs, open, &self.limits, self.now);
        for id in starvation {
            let low =
                |job: &JobRequest| job.kind == JobKind::Array && job.priority == Priority::Low;
            if self.jobs.get(&id).is_some_and(low) {
                self.starved_low_priority.push(id);
            } else {
                self.rules.record_violation(
                    "starved",
                    format!("{id} waits beside room for it"),
                    self.now,
                );
            }
        }
    }

    /// Jobs that were accepted and are neither done nor cancelled by now.
    pub fn unfinished(&self) -> Vec<String> {
        self.rules
            .accepted
            .keys()
            .filter(|id| {
                !self.rules.done_confirmed.contains_key(*id)
                    && !self.rules.cancel_confirmed.contains_key(*id)
            })
            .cloned()
            .collect()
    }

    fn at(&mut self, at: u64, what: ScheduledEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(QueueEntry {
            at: at.max(self.now),
            sequence: self.sequence,
            what,
        }));
    }

    fn is_running(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node]
            .as_ref()
            .is_some_and(|r| r.incarnation == incarnation)
    }

    fn handle_event(&mut self, node: usize, event: Event) {
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
            self.at(at, ScheduledEvent::Tick { node, incarnation });
        }
        for effect in effects {
            if self.crashes_here(node, &effect) {
                return;
            }
            self.apply_effect(node, incarnation, effect);
        }
    }

    /// Ends a node that has come to the deed at which it is to end.
    fn crashes_here(&mut self, node: usize, effect: &Effect) -> bool {
        let Some((done, last)) = self.crash_points.get_mut(&node) else {
            return false;
        };
        let changes = match effect {
            Effect::State { request, .. } => matches!(request, StateRequest::Transaction(_)),
            Effect::Cloud { request, .. } => !matches!(request, CloudRequest::List { .. }),
            Effect::Worker { body, .. } => !body.commands.is_empty(),
            Effect::Mesh { message, .. } => !matches!(message, MeshMessage::Heartbeat { .. }),
            Effect::User { .. } => true,
            Effect::Heartbeat { .. } | Effect::Admin { .. } => false,
        };
        *done += u64::from(changes);
        if !changes || done < last {
            return false;
        }
        self.crash_points.remove(&node);
        self.fault(Fault::CrashController { node, back: 6_000 });
        true
    }

    fn apply_effect(&mut self, node: usize, incarnation: u64, effect: Effect) {
        self.record(node, incarnation, &effect);
        match effect {
            Effect::State {
                call,
                request,
                timeout,
            } => {
                self.pending_calls.insert((node, incarnation, call));
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
                self.pending_calls.insert((node, incarnation, call));
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
                self.pending_calls.insert((node, incarnation, call));
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
                if let Some(asked) = self.user_requests.remove(&(node, incarnation, ticket)) {
                    self.handle_user_reply(asked, reply);
                }
            }
            Effect::Heartbeat { ticket, reply } => {
                if let Some((machine, number)) =
                    self.heartbeat_tickets.remove(&(node, incarnation, ticket))
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
                    && self.pending_calls.remove(&(node, incarnation, call))
                {
                    self.handle_event(node, *event);
                }
            }
            ScheduledEvent::WatchTimeout {
                node,
                incarnation,
                call,
            } => {
                let waiting = self
                    .watches
                    .iter()
                    .position(|w| (w.0, w.1, w.2) == (node, incarnation, call));
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
                    let since = self.healthy_since[node].filter(|_| healthy);
                    self.healthy_since[node] = since.or(healthy.then_some(self.now));
                }
                let (accepted, asked) = (&self.rules.accepted, &self.rules.cancel_requests);
                self.availability
                    .observe(&self.workers, &self.jobs, accepted, asked, self.now);
                self.check_starvation();
                self.at(self.now + self.parameters.step, ScheduledEvent::StepWorkers);
            }
            ScheduledEvent::SubmitJob => self.submit(),
            ScheduledEvent::PollStatus { id } => {
                if !self.settled.contains(&id) {
                    if let Some(job) = JobId::parse(&id) {
                        self.send_request(UserRequest::Get(job), id.clone(), 0);
                    }
                    let often = self
                        .active_faults
                        .contains(&ActiveFault::StatusRequestStorm);
                    self.at(
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
                if let Some(at) = self.active_faults.iter().position(|c| *c == cut) {
                    self.active_faults.remove(at);
                }
                if let ActiveFault::StateRequestsRefused(None) = cut {
                    self.state.refresh_leases(self.now);
                }
                if cut == ActiveFault::ChangedBootBehavior {
                    self.cloud.boots = BootBehavior::Usual;
                }
                self.at(self.now + 1, ScheduledEvent::ReleaseHeldMessages);
            }
            ScheduledEvent::ReleaseHeldMessages => {
                let held = std::mem::take(&mut self.held);
                for (from, to, message) in held {
                    self.send(from, to, message);
                }
            }
        }
    }

    fn start_controller(&mut self, node: usize) {
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
    fn resume_controller(&mut self, node: usize, incarnation: u64) {
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
}
