//! A single controller with a given number of machines, work, and a state service that replies at once, to
//! measure the cost of each kind of event.

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

/// Tasks that a machine holds.
const TASKS_PER_MACHINE: u64 = 4;
/// Machines on one page of their records.
const MACHINES_PER_PAGE: usize = 40;
/// A worker's lease, in ms as in the settings: none ends here, since time passes only as events are
/// fed.
const LEASE_MS: u64 = 600_000;

/// The controller and the stand-ins around it.
pub struct SingleController {
    settings: Settings,
    controller: Controller,
    state: StateService,
    now: u64,
    workers: Vec<Worker>,
    jobs: HashMap<String, JobRequest>,
    next_job: u64,
    watch: Option<(CallId, String, u64)>,
    events: VecDeque<Event>,
    tickets: u64,
    answered: usize,
    machines: usize,
    /// If set, another machine answers direct calls at all addresses with this heartbeat.
    impostor: Option<Heartbeat>,
    report_replies: Vec<HeartbeatReply>,
    user_replies: Vec<UserReply>,
}

fn settings(machines: usize, peers: &str) -> Settings {
    let teams: String = (0..12)
        .map(|t| {
            let cpus = machines / 4;
            format!(
                "[[settings.teams]]\nname = \"t{t}\"\ncpus = {cpus}.0\ncpus_max = {machines}.0\n"
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
        Err(error) => panic!("settings of the lone node: {error}"),
    }
}

/// The only type of machine.
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

/// The worker of a machine: every other one is in zone b, every third is a spot machine.
pub fn worker(nth: usize) -> Worker {
    let zone = if nth.is_multiple_of(2) { "a" } else { "b" };
    let name = format!("host-{nth:06}");
    Worker::new(&name, &machine_type().name, zone, nth.is_multiple_of(3), 0)
}

/// A job of small tasks: replicas of high priority, or an array that may use spot machines.
pub fn job(number: u64, kind: JobKind, tasks: u64) -> JobRequest {
    let service = kind == JobKind::Service;
    JobRequest {
        id: format!("j-{number:06}"),
        class: "c".into(),
        team: format!("t{}", number % 12),
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
    /// A controller that leads a partition with this many machines, all idle and known.
    pub fn new(machines: usize) -> Self {
        SingleController::with_settings(machines, settings(machines, ""))
    }

    /// The same with a peer, n1, that sends nothing.
    pub fn with_silent_peer(machines: usize) -> Self {
        let peer = "[[peers]]\nmember = \"n1\"\nzone = \"b\"\nendpoint = \"10.0.0.2:81\"\n";
        SingleController::with_settings(machines, settings(machines, peer))
    }

    fn with_settings(machines: usize, settings: Settings) -> Self {
        let mut state = StateService::new(1e9);
        let workers: Vec<Worker> = (0..machines).map(worker).collect();
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
            next_job: 0,
            watch: None,
            events: VecDeque::new(),
            tickets: 0,
            answered: 0,
            machines,
            impostor: None,
            report_replies: Vec::new(),
            user_replies: Vec::new(),
        };
        single_controller.wait_for_all_heartbeats();
        single_controller
    }

    /// Ticks until the controller holds its partition, and has every machine heartbeat.
    fn wait_for_all_heartbeats(&mut self) {
        for _ in 0..200 {
            self.tick(20);
        }
        for nth in 0..self.machines {
            self.send_heartbeat(nth);
        }
        assert!(
            self.answered >= self.machines,
            "{} of {}",
            self.answered,
            self.machines
        );
    }

    /// Fills all machines but for some slots: a quarter with replicas, the rest with arrays, a
    /// tenth as much again waiting.
    pub fn fill(&mut self) {
        let slots = self.machines as u64 * TASKS_PER_MACHINE;
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
        // Workers heartbeat every 5 s, and a silent machine is given nothing.
        let each = self.machines.div_ceil(50);
        for round in 0..1_000 {
            self.tick(70);
            for nth in 0..each {
                self.send_heartbeat((round * each + nth) % self.machines);
            }
            if self.task_count() as u64 >= slots {
                break;
            }
        }
        assert_eq!(self.task_count() as u64, slots, "the machines are full");
        for nth in 0..self.machines {
            self.run_all(nth);
            self.send_heartbeat(nth);
        }
        self.tick(100);
    }

    /// Submits a job.
    pub fn submit(&mut self, kind: JobKind, tasks: u64) {
        self.next_job += 1;
        let job = job(self.next_job, kind, tasks);
        self.jobs.insert(job.id.clone(), job.clone());
        self.tickets += 1;
        let request = UserRequest::Submit(Box::new(job));
        self.handle_event(Event::User {
            ticket: self.tickets,
            request,
        });
        // A few at a time, as users come.
        if self.next_job.is_multiple_of(50) {
            self.tick(70);
        }
    }

    /// Lets time pass and turns the loop once; returns what that cost.
    pub fn tick(&mut self, ms: u64) -> Duration {
        self.now += ms;
        let cost = self.handle_event(Event::Tick);
        // A long poll that has found nothing ends.
        if let Some((call, ..)) = self.watch.take() {
            let reply = self.state.no_changes();
            self.handle_event(Event::State { call, reply });
        }
        cost
    }

    /// A heartbeat of a machine; returns what it cost.
    pub fn send_heartbeat(&mut self, nth: usize) -> Duration {
        let report = self.workers[nth].next_heartbeat();
        self.now += 1;
        self.tickets += 1;
        self.handle_event(Event::Heartbeat {
            ticket: self.tickets,
            report: Box::new(report),
        })
    }

    /// A heartbeat of a machine on which one array task has just completed; what it cost.
    pub fn complete_array_task(&mut self, nth: usize) -> Duration {
        let jobs = &self.jobs;
        let array = |task: &str| {
            let id = task.split('/').next().unwrap_or_default();
            jobs.get(id).is_some_and(|job| job.kind == JobKind::Array)
        };
        let worker = &mut self.workers[nth];
        let running = worker
            .tasks
            .iter_mut()
            .find(|((task, _), held)| held.state == TaskState::Running && array(task));
        if let Some((_, held)) = running {
            held.state = TaskState::Exited;
            held.exit_cause = Some(wire::workers::ExitCause::Done);
        }
        let cost = self.send_heartbeat(nth);
        self.run_all(nth);
        cost
    }

    fn run_all(&mut self, nth: usize) {
        for held in self.workers[nth].tasks.values_mut() {
            if held.state == TaskState::Fetching {
                held.state = TaskState::Running;
            }
        }
    }

    /// Another incarnation of the controller starts on the same state: what all its events cost until it has
    /// answered the first heartbeat with its partition read.
    pub fn fail_over(&mut self) -> Duration {
        self.restart();
        let mut all = Duration::ZERO;
        let before = self.answered;
        for round in 0..400 {
            all += self.tick(20);
            if round % 10 == 9 {
                all += self.send_heartbeat(0);
            }
            if self.answered > before {
                break;
            }
        }
        assert!(self.answered > before, "the next incarnation answers");
        all
    }

    /// Another incarnation of the controller starts on the same state, after the lease of this one.
    pub fn restart(&mut self) {
        self.controller = Controller::new(self.settings.clone(), (2 + self.now) << 20);
        self.watch = None;
        self.events.clear();
        self.now += 10_000;
        self.state.expire(self.now);
    }

    /// Feeds an event and all that follows from it; returns what the controller itself took.
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
            Effect::State { call, request, .. } => self.state_call(call, request),
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
                if let Some(report) = self.impostor.clone() {
                    let reply = DirectReply::Answered(Box::new(report));
                    self.events.push_back(Event::Worker { call, reply });
                    return;
                }
                let machine = address.trim_end_matches(":9000");
                let nth = machine
                    .trim_start_matches("host-")
                    .parse::<usize>()
                    .unwrap_or(0);
                let worker = &mut self.workers[nth];
                worker.check_lease(self.now, LEASE_MS);
                worker.handle_direct_call(
                    body.token,
                    body.worker_epoch,
                    &body.commands,
                    self.now,
                    &self.jobs,
                );
                let report: Box<Heartbeat> = Box::new(worker.next_heartbeat());
                let reply = DirectReply::Answered(report);
                self.events.push_back(Event::Worker { call, reply });
            }
            Effect::Heartbeat { reply, .. } => {
                self.answered += usize::from(matches!(reply, HeartbeatReply::Response(_)));
                self.report_replies.push(reply);
            }
            Effect::User { reply, .. } => self.user_replies.push(reply),
            Effect::Mesh { .. } | Effect::Admin { .. } => {}
        }
    }

    fn state_call(&mut self, call: CallId, request: StateRequest) {
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
                None => self.watch = Some((call, prefix.clone(), *after)),
            }
            return;
        }
        let reply = self.state.execute(self.now, &request);
        let changed = matches!(reply, StateReply::Committed { .. });
        self.events.push_back(Event::State { call, reply });
        if let Some((call, prefix, after)) = self.watch.take_if(|_| changed) {
            match self.state.changes(&prefix, after) {
                Some(reply) => self.events.push_back(Event::State { call, reply }),
                None => self.watch = Some((call, prefix, after)),
            }
        }
    }

    /// Feeds an event from outside at the present time.
    pub fn inject(&mut self, event: Event) {
        self.handle_event(event);
    }

    /// A user's request.
    pub fn send_user_request(&mut self, request: UserRequest) {
        self.tickets += 1;
        self.handle_event(Event::User {
            ticket: self.tickets,
            request,
        });
    }

    /// Hands a heartbeat to the controller as it is.
    pub fn inject_heartbeat(&mut self, report: Heartbeat) {
        self.tickets += 1;
        self.handle_event(Event::Heartbeat {
            ticket: self.tickets,
            report: Box::new(report),
        });
    }

    /// Puts a value into the state service, as some other program might.
    pub fn put_state_value(&mut self, key: &str, value: serde_json::Value) {
        let txn = Transaction::default().write(Write::put(key, value));
        self.state
            .execute(self.now, &StateRequest::Transaction(txn));
    }

    /// The value under a key of the state service.
    pub fn state_value(&self, key: &str) -> Option<&serde_json::Value> {
        self.state.value(key)
    }

    /// From now on another machine stands at all addresses: it executes no direct call and answers with this
    /// heartbeat. None: each machine answers for itself.
    pub fn answer_direct_calls_with(&mut self, report: Option<Heartbeat>) {
        self.impostor = report;
    }

    /// The controller.
    pub fn controller(&mut self) -> &mut Controller {
        &mut self.controller
    }

    /// The machines' workers.
    pub fn workers(&mut self) -> &mut [Worker] {
        &mut self.workers
    }

    /// Answers to heartbeats since this was asked last.
    pub fn take_heartbeat_replies(&mut self) -> Vec<HeartbeatReply> {
        std::mem::take(&mut self.report_replies)
    }

    /// Answers to users since this was asked last.
    pub fn take_user_replies(&mut self) -> Vec<UserReply> {
        std::mem::take(&mut self.user_replies)
    }

    /// Tasks on all machines.
    pub fn task_count(&self) -> usize {
        self.workers.iter().map(|w| w.tasks.len()).sum()
    }
}
