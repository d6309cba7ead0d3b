//! A single controller with any number of machines and jobs and with simulated services that reply at once. Benchmarks
//! use it to measure the cost of each kind of event, tests to feed it with any message.

use crate::state::StateService;
use crate::worker::Worker;
use controller::controller::DirectReply;
use controller::records::{machines_key, MachineRecord, MachinesPage, PackedMachine};
use controller::{Controller, Effect, Event, HeartbeatReply, UserReply, UserRequest};
use model::{CallId, MachineName, PartitionId, Settings, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};
use wire::cloud::{CloudReply, CloudRequest, MachineType, MachineTypes};
use wire::state::{StateReply, StateRequest, Transaction, Write};
use wire::users::{JobKind, JobRequest, Priority};
use wire::workers::{Heartbeat, TaskState};

/// Tasks that fit on a machine.
const TASKS_PER_MACHINE: u64 = 4;
/// Machine records on one page.
const MACHINES_PER_PAGE: usize = 40;
/// Number of teams.
const TEAMS: u64 = 12;
/// Lease of the workers, as in the settings. It is so long that none expires: time passes only as events are
/// handled.
const LEASE_MS: u64 = 600_000;

/// The controller, the simulated services around it and its workers. Times are in ms.
pub struct SingleController {
    settings: Settings,
    controller: Controller,
    state: StateService,
    now: u64,
    workers: Vec<Worker>,
    jobs: HashMap<String, JobRequest>,
    last_job_number: u64,
    /// The watch that waits for a change: its call, its prefix and the revision after which it returns changes.
    pending_watch: Option<(CallId, String, u64)>,
    /// Events that the controller has not handled yet.
    events: VecDeque<Event>,
    last_ticket: u64,
    /// Number of heartbeats that the controller answered as leader, not with a redirect or an error.
    heartbeat_responses: usize,
    machine_count: usize,
    /// If set, another machine answers direct calls at all addresses with this heartbeat.
    substitute_heartbeat: Option<Heartbeat>,
    heartbeat_replies: Vec<HeartbeatReply>,
    user_replies: Vec<UserReply>,
}

fn settings(machine_count: usize, peers: &str) -> Settings {
    let teams: String = (0..TEAMS)
        .map(|team| {
            let cpus = machine_count / 4;
            format!(
                "[[settings.teams]]\nname = \"t{team}\"\ncpus = {cpus}.0\ncpus_max = {machine_count}.0\n"
            )
        })
        .collect();
    let text = format!(
        "member = \"n0\"\nzone = \"a\"\nserve_on = \"10.0.0.1:80\"\nmesh_addr = \"10.0.0.1:81\"\n\
         [endpoints]\ncloud = \"10.1.0.1:1\"\nstate = \"10.1.0.2:1\"\n{teams}\
         [settings.workers]\nreport_s = 5.0\nlease_s = 600.0\ngang_wait_s = 45.0\n\
         gang_peer_s = 8.0\ncancel_s = 1300.0\n[settings.state]\nrps = 1000000.0\n\
         write_rps = 1000000.0\nvalue_kb = 8.0\ntxn_ops = 8\n[settings.cloud]\nrps = 10.0\n\
         list_lag_s = 8.0\n{peers}"
    );
    match Settings::parse(&text) {
        Ok(settings) => settings,
        Err(error) => panic!("settings of the single controller are invalid: {error}"),
    }
}

/// The type of all machines.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "m4".into(),
        cpus: TASKS_PER_MACHINE as f64,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 80.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 0.2,
        spot_price_per_hour: 0.06,
        boot_s: 15.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// The worker of the machine with this index: every second machine is in zone b, every third is a spot machine.
pub fn worker(index: usize) -> Worker {
    let zone = if index.is_multiple_of(2) { "a" } else { "b" };
    let name = format!("host-{index:06}");
    let spot = index.is_multiple_of(3);
    Worker::new(&name, &machine_type().name, zone, spot, 0)
}

/// A job of small tasks: a service has high priority, another job may use spot machines.
pub fn job(number: u64, kind: JobKind, tasks: u64) -> JobRequest {
    let service = kind == JobKind::Service;
    JobRequest {
        id: format!("j-{number:06}"),
        class: "c".into(),
        team: format!("t{}", number % TEAMS),
        kind,
        priority: if service {
            Priority::High
        } else {
            Priority::Normal
        },
        task_count: tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 3.0,
        image: format!("img-{}", number % 11),
        image_gb: 2.0,
        allowed_machine_types: None,
        zone: None,
        one_zone: false,
        spread_over_zones: false,
        spot_allowed: !service,
        estimated_run_time_s: if service { 0.0 } else { 20.0 },
        checkpoint_interval_s: 0.0,
        checkpoint_save_time_s: 0.0,
        deadline_s: None,
    }
}

impl SingleController {
    /// A controller that leads a partition with this many machines, all idle; each has sent a heartbeat.
    pub fn new(machine_count: usize) -> Self {
        SingleController::with_settings(machine_count, settings(machine_count, ""))
    }

    /// As [`SingleController::new`], but with a peer, n1, that sends nothing.
    pub fn with_silent_peer(machine_count: usize) -> Self {
        let peer = "[[peers]]\nmember = \"n1\"\nzone = \"b\"\nendpoint = \"10.0.0.2:81\"\n";
        SingleController::with_settings(machine_count, settings(machine_count, peer))
    }

    fn with_settings(machine_count: usize, settings: Settings) -> Self {
        let mut state = StateService::new(1e9);
        let workers: Vec<Worker> = (0..machine_count).map(worker).collect();
        for (page, workers) in workers.chunks(MACHINES_PER_PAGE).enumerate() {
            let records = workers.iter().map(|worker| {
                let record = MachineRecord {
                    machine_type: worker.machine_type.clone(),
                    zone: worker.zone.clone(),
                    spot: worker.spot,
                    partition: PartitionId(0),
                    token: 0,
                    leaving: false,
                };
                PackedMachine::new(&MachineName::from(worker.name.as_str()), &record)
            });
            let value = serde_json::to_value(MachinesPage {
                machines: records.collect(),
            });
            let write = Write::put(machines_key(page as u32), value.unwrap_or_default());
            state.execute(
                1,
                &StateRequest::Transaction(Transaction::default().write(write)),
            );
        }
        let mut single_controller = SingleController {
            controller: Controller::new(settings.clone(), 1 << 20),
            settings,
            state,
            now: 10,
            workers,
            jobs: HashMap::new(),
            last_job_number: 0,
            pending_watch: None,
            events: VecDeque::new(),
            last_ticket: 0,
            heartbeat_responses: 0,
            machine_count,
            substitute_heartbeat: None,
            heartbeat_replies: Vec::new(),
            user_replies: Vec::new(),
        };
        single_controller.complete_startup();
        single_controller
    }

    /// Ticks until the controller leads its partition, then sends a heartbeat of every machine.
    fn complete_startup(&mut self) {
        for _ in 0..200 {
            self.tick(20);
        }
        for index in 0..self.machine_count {
            self.send_heartbeat(index);
        }
        assert!(
            self.heartbeat_responses >= self.machine_count,
            "only {} of {} machines got a response to their heartbeat",
            self.heartbeat_responses,
            self.machine_count
        );
    }

    /// Fills all machines: a quarter of the slots with replicas of services, the others with array tasks. Array tasks
    /// for another tenth of the slots stay queued.
    pub fn fill(&mut self) {
        let slots = self.machine_count as u64 * TASKS_PER_MACHINE;
        let mut left = slots / 4;
        while left > 0 {
            self.submit(JobKind::Service, 1);
            left -= 1;
        }
        let mut left = slots * 3 / 4 + slots / 10;
        while left > 0 {
            let tasks = left.min(40);
            self.submit(JobKind::Array, tasks);
            left -= tasks;
        }
        // Workers send a heartbeat every 5 s, and a silent machine is given no tasks.
        let heartbeats_per_round = self.machine_count.div_ceil(50);
        for round in 0..1_000 {
            self.tick(70);
            for offset in 0..heartbeats_per_round {
                self.send_heartbeat((round * heartbeats_per_round + offset) % self.machine_count);
            }
            if self.task_count() as u64 >= slots {
                break;
            }
        }
        assert_eq!(self.task_count() as u64, slots, "the machines are not full");
        for index in 0..self.machine_count {
            self.run_fetching_tasks(index);
            self.send_heartbeat(index);
        }
        self.tick(100);
    }

    /// Submits a job.
    pub fn submit(&mut self, kind: JobKind, tasks: u64) {
        self.last_job_number += 1;
        let job = job(self.last_job_number, kind, tasks);
        self.jobs.insert(job.id.clone(), job.clone());
        self.last_ticket += 1;
        let request = UserRequest::Submit(Box::new(job));
        self.handle_event(Event::User {
            ticket: self.last_ticket,
            request,
        });
        // Users submit jobs over time: no more than 50 arrive between two ticks.
        if self.last_job_number.is_multiple_of(50) {
            self.tick(70);
        }
    }

    /// Lets time pass and sends the controller a tick; returns the time that the controller took for it.
    pub fn tick(&mut self, ms: u64) -> Duration {
        self.now += ms;
        let cost = self.handle_event(Event::Tick);
        // A watch that has found no change times out.
        if let Some((call, prefix, after)) = self.pending_watch.take() {
            let changes = self.state.changes(&prefix, after);
            let reply = changes.unwrap_or_else(|| self.state.no_changes());
            self.handle_event(Event::State { call, reply });
        }
        cost
    }

    /// Sends a heartbeat of a machine; returns the time that the controller took for it.
    pub fn send_heartbeat(&mut self, index: usize) -> Duration {
        let report = self.workers[index].next_heartbeat();
        self.now += 1;
        self.last_ticket += 1;
        self.handle_event(Event::Heartbeat {
            ticket: self.last_ticket,
            report: Box::new(report),
        })
    }

    /// Completes a running array task of a machine, if there is one, and sends a heartbeat of the machine; returns the
    /// time that the controller took for it.
    pub fn complete_array_task(&mut self, index: usize) -> Duration {
        let jobs = &self.jobs;
        let is_array_task = |task: &str| {
            let id = task.split('/').next().unwrap_or_default();
            jobs.get(id).is_some_and(|job| job.kind == JobKind::Array)
        };
        let worker = &mut self.workers[index];
        let running = worker
            .tasks
            .iter_mut()
            .find(|((task, _), status)| status.state == TaskState::Running && is_array_task(task));
        if let Some((_, status)) = running {
            status.state = TaskState::Exited;
            status.exit_cause = Some(wire::workers::ExitCause::Done);
        }
        let cost = self.send_heartbeat(index);
        self.run_fetching_tasks(index);
        cost
    }

    fn run_fetching_tasks(&mut self, index: usize) {
        for status in self.workers[index].tasks.values_mut() {
            if status.state == TaskState::Fetching {
                status.state = TaskState::Running;
            }
        }
    }

    /// Starts another incarnation of the controller on the same state; returns the time that it took for all events
    /// until it has loaded its partition and responded to a heartbeat.
    pub fn fail_over(&mut self) -> Duration {
        self.restart();
        let mut total = Duration::ZERO;
        let responses_before = self.heartbeat_responses;
        for round in 0..400 {
            total += self.tick(20);
            if round % 10 == 9 {
                total += self.send_heartbeat(0);
            }
            if self.heartbeat_responses > responses_before {
                break;
            }
        }
        assert!(
            self.heartbeat_responses > responses_before,
            "the next incarnation responds to no heartbeat"
        );
        total
    }

    /// Starts another incarnation of the controller on the same state, after the lease of this one has expired.
    pub fn restart(&mut self) {
        self.controller = Controller::new(self.settings.clone(), (2 + self.now) << 20);
        self.pending_watch = None;
        self.events.clear();
        self.now += 10_000;
        self.state.expire(self.now);
    }

    /// Lets the controller handle an event and all events that follow from it; returns the time spent in the controller
    /// itself.
    fn handle_event(&mut self, event: Event) -> Duration {
        let mut spent = Duration::ZERO;
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let start = Instant::now();
            let effects = self
                .controller
                .handle(Timestamp::from_millis(self.now), event);
            spent += start.elapsed();
            for effect in effects {
                self.apply_effect(effect);
            }
        }
        spent
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::State { call, request, .. } => self.handle_state_request(call, request),
            Effect::Cloud { call, request } => {
                let reply = match request {
                    CloudRequest::MachineTypes => CloudReply::MachineTypes(MachineTypes {
                        types: vec![machine_type()],
                    }),
                    CloudRequest::Rent(_) => CloudReply::NoCapacity,
                    _ => CloudReply::Refused,
                };
                self.events.push_back(Event::Cloud { call, reply });
            }
            Effect::Worker {
                call,
                address,
                body,
                ..
            } => {
                if let Some(heartbeat) = self.substitute_heartbeat.clone() {
                    let reply = DirectReply::Answered(Box::new(heartbeat));
                    self.events.push_back(Event::Worker { call, reply });
                    return;
                }
                let machine = address.trim_end_matches(":9000");
                let index = machine
                    .trim_start_matches("host-")
                    .parse::<usize>()
                    .unwrap_or(0);
                let worker = &mut self.workers[index];
                worker.check_lease(self.now, LEASE_MS);
                worker.handle_direct_call(
                    body.token,
                    body.worker_epoch,
                    &body.commands,
                    self.now,
                    &self.jobs,
                );
                let heartbeat: Box<Heartbeat> = Box::new(worker.next_heartbeat());
                let reply = DirectReply::Answered(heartbeat);
                self.events.push_back(Event::Worker { call, reply });
            }
            Effect::Heartbeat { reply, .. } => {
                self.heartbeat_responses +=
                    usize::from(matches!(reply, HeartbeatReply::Response(_)));
                self.heartbeat_replies.push(reply);
            }
            Effect::User { reply, .. } => self.user_replies.push(reply),
            Effect::Mesh { .. } | Effect::Admin { .. } => {}
        }
    }

    fn handle_state_request(&mut self, call: CallId, request: StateRequest) {
        if let StateRequest::Watch {
            prefix,
            after,
            wait_ms,
        } = &request
        {
            match self.state.changes(prefix, *after) {
                Some(reply) => self.events.push_back(Event::State { call, reply }),
                None if *wait_ms == 0 => {
                    let reply = self.state.no_changes();
                    self.events.push_back(Event::State { call, reply });
                }
                None => self.pending_watch = Some((call, prefix.clone(), *after)),
            }
            return;
        }
        let reply = self.state.execute(self.now, &request);
        let changed = matches!(reply, StateReply::Committed { .. });
        self.events.push_back(Event::State { call, reply });
        if let Some((call, prefix, after)) = self.pending_watch.take_if(|_| changed) {
            match self.state.changes(&prefix, after) {
                Some(reply) => self.events.push_back(Event::State { call, reply }),
                None => self.pending_watch = Some((call, prefix, after)),
            }
        }
    }

    /// Lets the controller handle any event now.
    pub fn inject(&mut self, event: Event) {
        self.handle_event(event);
    }

    /// Sends a request of a user.
    pub fn send_user_request(&mut self, request: UserRequest) {
        self.last_ticket += 1;
        self.handle_event(Event::User {
            ticket: self.last_ticket,
            request,
        });
    }

    /// Sends any heartbeat, whether or not a worker would.
    pub fn inject_heartbeat(&mut self, heartbeat: Heartbeat) {
        self.last_ticket += 1;
        self.handle_event(Event::Heartbeat {
            ticket: self.last_ticket,
            report: Box::new(heartbeat),
        });
    }

    /// Puts a value into the state service, as another program might.
    pub fn put_state_value(&mut self, key: &str, value: serde_json::Value) {
        let txn = Transaction::default().write(Write::put(key, value));
        self.state
            .execute(self.now, &StateRequest::Transaction(txn));
    }

    /// The value under a key of the state service.
    pub fn state_value(&self, key: &str) -> Option<&serde_json::Value> {
        self.state.value(key)
    }

    /// From now on all direct calls reach another machine, which executes no commands and answers with this heartbeat.
    /// With None they reach the machines that they are meant for again.
    pub fn answer_direct_calls_with(&mut self, heartbeat: Option<Heartbeat>) {
        self.substitute_heartbeat = heartbeat;
    }

    /// The controller.
    pub fn controller(&mut self) -> &mut Controller {
        &mut self.controller
    }

    /// The machines' workers.
    pub fn workers(&mut self) -> &mut [Worker] {
        &mut self.workers
    }

    /// Replies to heartbeats since the last call of this function.
    pub fn take_heartbeat_replies(&mut self) -> Vec<HeartbeatReply> {
        std::mem::take(&mut self.heartbeat_replies)
    }

    /// Replies to users since the last call of this function.
    pub fn take_user_replies(&mut self) -> Vec<UserReply> {
        std::mem::take(&mut self.user_replies)
    }

    /// Number of tasks on all machines, in any state.
    pub fn task_count(&self) -> usize {
        self.workers.iter().map(|w| w.tasks.len()).sum()
    }
}
