//! Hollow workers: the sockets, clocks and connections around [`simulator::worker::Worker`]. They report,
//! obey, and let tasks pass; no task is run.

use crate::cloud::{BootedMachine, MachineChanges};
use crate::config::{Experiment, Fault};
use crate::http::{serve, Client, HttpRequest, HttpResponse, SharedTrafficTotals};
use crate::observations::{TaskChange, TaskEvent};
use crate::role::{send_message, Context, RoleMessage, RoleReport};
use crate::run_layout::{controller_number, job_number, machine_number, Clock, LoopbackNet};
use hyper::Method;
use rand::Rng;
use simulator::worker::{TaskTransition, Worker};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use wire::users::JobRequest;
use wire::workers::{Command, DirectCommands, Heartbeat, HeartbeatResponse, Redirect};

/// How long a report waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Pause before the next controller is tried.
const NEXT_CONTROLLER_PAUSE_MS: u64 = 1_000;
/// Longest pause after a redirection.
const REDIRECT_MS: u64 = 500;
/// Shortest time between two reports.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Longest sleep of a worker, so that faults are noticed.
const MAX_SLEEP_MS: u64 = 1_000;
/// Who sends direct commands is not known: they are counted under this number.
pub const UNKNOWN_CONTROLLER: u32 = u32::MAX;

/// Runs the workers of a process until it is told to stop.
pub async fn run(context: Context, process: u32) -> std::io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        stop,
    } = context;
    let warmup = (experiment.warmup_s * 1_000.0) as u64;
    let listener = TcpListener::bind(net.worker_process(process)).await?;
    let site = Rc::new(Site::new(experiment, net, clock));
    let handler = {
        let site = site.clone();
        move |call: HttpRequest| {
            let site = site.clone();
            async move { change_machines(&site, &call).await }
        }
    };
    tokio::task::spawn_local(serve(listener, 0, SharedTrafficTotals::default(), handler));
    tokio::task::spawn_local(crate::http::clear_totals_at(
        clock,
        warmup,
        site.tally.clone(),
    ));
    tokio::task::spawn_local(report_progress(site.clone()));
    send_message(&RoleMessage::Ready);
    let _ = stop.await;
    let traffic = site.tally.borrow().clone();
    let tasks = std::mem::take(&mut *site.events.borrow_mut());
    let lapsed = site.lapsed.get() as f64;
    let figures = [("leases that lapsed".to_owned(), lapsed)].into();
    Ok(RoleReport {
        traffic,
        tasks,
        figures,
        ..RoleReport::default()
    })
}

async fn report_progress(site: Rc<Site>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let workers = site.workers.borrow();
        let now = site.clock.now_ms();
        let heard = workers.values().filter(|w| w.answered_lately(now)).count();
        let tasks: usize = workers
            .values()
            .map(|w| w.state.borrow().present.len())
            .sum();
        let figures = [
            ("workers", workers.len()),
            ("in contact", heard),
            ("tasks", tasks),
        ];
        let figures = figures.map(|(name, value)| (name.to_owned(), value as f64));
        send_message(&RoleMessage::Progress(figures.into()));
    }
}

/// Carries out what the cloud says of machines.
async fn change_machines(site: &Rc<Site>, call: &HttpRequest) -> HttpResponse {
    let Ok(changes) = serde_json::from_slice::<MachineChanges>(&call.body) else {
        return HttpResponse::error("", 400, "malformed");
    };
    for name in &changes.gone {
        if let Some(worker) = site.workers.borrow_mut().remove(name) {
            worker.end();
        }
    }
    for machine in changes.up {
        if let Err(error) = start_worker(site, machine).await {
            eprintln!("trackcrank-loadtest: a worker cannot listen: {error}");
        }
    }
    HttpResponse {
        status: 200,
        body: b"{}".to_vec(),
        kind: "",
    }
}

async fn start_worker(site: &Rc<Site>, machine: BootedMachine) -> std::io::Result<()> {
    let number = machine_number(&machine.name);
    let listener = TcpListener::bind(site.net.worker(number)).await?;
    let worker = Rc::new(HollowWorker::new(site.clone(), number, &machine));
    let handler = {
        let worker = worker.clone();
        move |call: HttpRequest| {
            let worker = worker.clone();
            async move { worker.direct(call).await }
        }
    };
    let serving = serve(listener, UNKNOWN_CONTROLLER, site.tally.clone(), handler);
    let tasks = vec![
        tokio::task::spawn_local(serving),
        tokio::task::spawn_local(worker.clone().live()),
    ];
    *worker.running.borrow_mut() = tasks;
    site.workers.borrow_mut().insert(machine.name, worker);
    Ok(())
}

/// What the workers of a process share.
struct Site {
    net: LoopbackNet,
    clock: Clock,
    experiment: Experiment,
    report_ms: u64,
    lease_ms: u64,
    /// Jobs that workers were told of.
    jobs: RefCell<HashMap<String, JobRequest>>,
    tally: SharedTrafficTotals,
    events: RefCell<Vec<TaskEvent>>,
    workers: RefCell<HashMap<String, Rc<HollowWorker>>>,
    lapsed: Cell<u64>,
}

impl Site {
    fn new(experiment: Experiment, net: LoopbackNet, clock: Clock) -> Self {
        Site {
            net,
            clock,
            report_ms: (experiment.workers.report_s * 1_000.0) as u64,
            lease_ms: (experiment.workers.lease_s * 1_000.0) as u64,
            experiment,
            jobs: RefCell::default(),
            tally: SharedTrafficTotals::default(),
            events: RefCell::default(),
            workers: RefCell::default(),
            lapsed: Cell::default(),
        }
    }

    /// Fetches the descriptions of jobs that commands name.
    fn fetch_jobs(&self, commands: &[Command]) {
        let mut jobs = self.jobs.borrow_mut();
        for command in commands {
            let Command::Launch { task, .. } = command else {
                continue;
            };
            let id = task.split('/').next().unwrap_or_default();
            if jobs.contains_key(id) {
                continue;
            }
            if let Some(job) = job_number(id).and_then(|n| self.experiment.job_request(n)) {
                jobs.insert(id.to_owned(), job);
            }
        }
    }
}

/// What changes of a worker.
struct HollowState {
    worker: Worker,
    connection: Option<Client>,
    /// Sending time of the last answered report, or the begin of the session.
    lease_from: u64,
    /// No report is sent before.
    not_before: u64,
    /// Tasks that are on the machine.
    present: BTreeSet<String>,
    reports: u64,
}

struct HollowWorker {
    site: Rc<Site>,
    machine: u32,
    state: RefCell<HollowState>,
    wake: Notify,
    gone: Cell<bool>,
    running: RefCell<Vec<JoinHandle<()>>>,
}

impl HollowWorker {
    fn new(site: Rc<Site>, machine: u32, up: &BootedMachine) -> Self {
        let now = site.clock.now_ms();
        let mut worker = Worker::new(&up.name, &up.machine_type, &up.zone, up.spot, now);
        worker.controller = rand::rng().random_range(0..site.experiment.controllers.count) as usize;
        let state = HollowState {
            worker,
            connection: None,
            lease_from: now,
            not_before: now,
            present: BTreeSet::new(),
            reports: 0,
        };
        HollowWorker {
            site,
            machine,
            state: RefCell::new(state),
            wake: Notify::new(),
            gone: Cell::default(),
            running: RefCell::default(),
        }
    }

    fn answered_lately(&self, now: u64) -> bool {
        now < self.state.borrow().lease_from + self.site.lease_ms / 2
    }

    /// The machine is gone, with everything on it.
    fn end(&self) {
        self.gone.set(true);
        let now = self.site.clock.now_us();
        let mut state = self.state.borrow_mut();
        state.worker.dead = true;
        state.connection = None;
        for task in std::mem::take(&mut state.present) {
            self.record(&task, TaskChange::Ended, now);
        }
        for task in self.running.borrow_mut().drain(..) {
            task.abort();
        }
    }

    /// Whether a fault keeps the machine silent now.
    fn silent(&self, now: u64) -> bool {
        self.site.experiment.faults.iter().any(|fault| match fault {
            Fault::RestartWorkers { part, .. } => {
                // Spread over all machines, and the same ones for the whole fault.
                let place = f64::from(self.machine.wrapping_mul(2_654_435_761) >> 16) / 65_536.0;
                place < *part && fault.active(now)
            }
            Fault::CutZone { zone, .. } => {
                fault.active(now) && *zone == self.state.borrow().worker.zone
            }
            _ => false,
        })
    }

    fn record(&self, task: &str, change: TaskChange, at_us: u64) {
        let index = task
            .split_once('/')
            .and_then(|(_, index)| index.parse().ok());
        let (Some(job), Some(task)) = (job_number(task), index) else {
            return;
        };
        let event = TaskEvent {
            at_us,
            machine: self.machine,
            job,
            task,
            change,
        };
        self.site.events.borrow_mut().push(event);
    }

    /// Reports, and lets tasks go on, until the machine is gone.
    async fn live(self: Rc<Self>) {
        loop {
            let now = self.site.clock.now_ms();
            self.step();
            let silent = self.silent(now);
            if silent {
                self.state.borrow_mut().connection = None;
            } else if self.report_due(now) {
                tokio::task::spawn_local(self.clone().report());
            }
            let sleep = Duration::from_millis(self.sleep_ms(silent));
            let _ = tokio::time::timeout(sleep, self.wake.notified()).await;
        }
    }

    fn report_due(&self, now: u64) -> bool {
        let state = self.state.borrow();
        now >= state.not_before && state.worker.heartbeat_due(now)
    }

    /// Time until something is due.
    fn sleep_ms(&self, silent: bool) -> u64 {
        let now = self.site.clock.now_ms();
        let state = self.state.borrow();
        let worker = &state.worker;
        let mut due = vec![
            state.lease_from + self.site.lease_ms + 1,
            now + MAX_SLEEP_MS,
        ];
        if worker.in_flight.is_none() && !silent {
            due.push(worker.next_heartbeat_at.max(state.not_before));
            if worker.status_changed {
                due.push(
                    (worker.last_heartbeat_at + MIN_HEARTBEAT_INTERVAL_MS).max(state.not_before),
                );
            }
        }
        for held in worker.tasks.values() {
            if held.state == wire::workers::TaskState::Fetching {
                due.push(held.fetched_at);
            }
            due.extend(held.done_at.filter(|_| held.is_present()));
            due.extend(held.saved_at.filter(|_| held.is_present()));
        }
        due.into_iter()
            .min()
            .unwrap_or(now)
            .saturating_sub(now)
            .max(1)
    }

    /// Ends the session if its lease has run out, and lets tasks go on.
    fn step(&self) {
        let now = self.site.clock.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let lease_end = state.lease_from + self.site.lease_ms;
        if now > lease_end {
            // Tasks end with the lease, however late this process looks at it.
            for task in std::mem::take(&mut state.present) {
                self.record(&task, TaskChange::Ended, lease_end * 1_000);
            }
            state.worker.check_lease(now, self.site.lease_ms);
            state.lease_from = now;
            self.site.lapsed.set(self.site.lapsed.get() + 1);
        }
        let jobs = self.site.jobs.borrow();
        let run_ms = |task: &str| {
            let id = task.split('/').next().unwrap_or_default();
            jobs.get(id)
                .map_or(0, |job| (job.estimated_run_time_s * 1_000.0) as u64)
        };
        let happened = state.worker.advance(now, &jobs, run_ms);
        let now_us = self.site.clock.now_us();
        for event in happened {
            match event {
                TaskTransition::Started(task) => {
                    self.record(&task, TaskChange::Started, now_us);
                    state.present.insert(task);
                }
                TaskTransition::Done(task) => self.record(&task, TaskChange::Done, now_us),
            }
        }
        self.record_ends(state, now_us);
    }

    /// Notes tasks that are no longer there.
    fn record_ends(&self, state: &mut HollowState, now_us: u64) {
        let held = state
            .worker
            .tasks
            .iter()
            .filter(|(_, held)| held.is_present());
        let held: BTreeSet<&str> = held.map(|((task, _), _)| task.as_str()).collect();
        state.present.retain(|task| {
            let there = held.contains(task.as_str());
            if !there {
                self.record(task, TaskChange::Ended, now_us);
            }
            there
        });
    }

    fn message(&self, state: &mut HollowState) -> Heartbeat {
        let mut report = state.worker.next_heartbeat();
        report.address = self.site.net.worker(self.machine).to_string();
        report
    }

    /// Sends one report and takes its answer.
    async fn report(self: Rc<Self>) {
        let now = self.site.clock.now_ms();
        let interval = self.site.report_ms;
        let (number, node, body, connection) = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            state.reports += 1;
            let worker = &mut state.worker;
            worker.in_flight = Some((state.reports, now, worker.epoch));
            worker.status_changed = false;
            worker.last_heartbeat_at = now;
            worker.next_heartbeat_at =
                now + rand::rng().random_range(interval * 3 / 4..=interval * 5 / 4);
            let node = worker.controller as u32;
            let connection = state.connection.take();
            let connection = connection.filter(|c| c.controller == node && c.usable());
            let body = serde_json::to_vec(&self.message(state)).unwrap_or_default();
            (state.reports, node, body, connection)
        };
        let exchange = self.exchange(node, body, connection);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .ok()
            .flatten();
        if !self.gone.get() {
            self.take_answer(number, now, node, answer);
        }
        self.wake.notify_one();
    }

    async fn exchange(
        &self,
        node: u32,
        body: Vec<u8>,
        connection: Option<Client>,
    ) -> Option<(u16, bytes::Bytes, Client)> {
        let mut client = match connection {
            Some(client) => client,
            None => {
                let from = self.site.net.worker(self.machine).ip();
                let to = self.site.net.controller(node);
                Client::connect(Some(from), to, node).await.ok()?
            }
        };
        let (status, _, body) = client.exchange(Method::POST, "/hello", body).await.ok()?;
        client.count(&self.site.tally, "report");
        Some((status, body, client))
    }

    fn take_answer(
        &self,
        number: u64,
        sent: u64,
        node: u32,
        answer: Option<(u16, bytes::Bytes, Client)>,
    ) {
        self.step();
        let now = self.site.clock.now_ms();
        if self.silent(now) {
            self.state.borrow_mut().worker.in_flight = None;
            return;
        }
        match answer {
            Some((200, body, client)) => {
                self.state.borrow_mut().connection = Some(client);
                match serde_json::from_slice::<HeartbeatResponse>(&body) {
                    Ok(answer) => self.obey(number, sent, &answer),
                    Err(_) => self.try_node(node + 1, NEXT_CONTROLLER_PAUSE_MS),
                }
            }
            Some((421, body, _)) => {
                let redirect = serde_json::from_slice::<Redirect>(&body).ok();
                let to = redirect.and_then(|r| controller_number(&r.controller?));
                let known = |to: &u32| *to != node && *to < self.site.experiment.controllers.count;
                match to.filter(known) {
                    Some(to) => self.try_node(to, rand::rng().random_range(0..REDIRECT_MS)),
                    None => self.try_node(node + 1, NEXT_CONTROLLER_PAUSE_MS),
                }
            }
            _ => self.try_node(node + 1, NEXT_CONTROLLER_PAUSE_MS),
        }
    }

    fn obey(&self, number: u64, sent: u64, answer: &HeartbeatResponse) {
        self.site.fetch_jobs(&answer.commands);
        let now = self.site.clock.now_ms();
        {
            let mut state = self.state.borrow_mut();
            let jobs = self.site.jobs.borrow();
            if state
                .worker
                .handle_heartbeat_response(number, answer, now, &jobs)
            {
                state.lease_from = state.lease_from.max(sent);
            }
            state.worker.in_flight = None;
        }
        self.step();
    }

    /// Reports to another controller after a pause.
    fn try_node(&self, node: u32, pause_ms: u64) {
        let now = self.site.clock.now_ms();
        let mut state = self.state.borrow_mut();
        state.worker.in_flight = None;
        state.worker.controller = (node % self.site.experiment.controllers.count) as usize;
        state.worker.next_heartbeat_at = now + pause_ms;
        state.not_before = now + pause_ms;
    }

    /// A request straight to the worker.
    async fn direct(&self, call: HttpRequest) -> HttpResponse {
        while self.silent(self.site.clock.now_ms()) && !self.gone.get() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        if self.gone.get() {
            std::future::pending::<()>().await;
        }
        self.step();
        match (call.method, call.path.as_str()) {
            (Method::GET, "/status") => {
                let report = self.message(&mut self.state.borrow_mut());
                HttpResponse::json("status", 200, &report)
            }
            (Method::POST, "/commands") => self.execute(&call.body),
            _ => HttpResponse::error("malformed", 404, "no such path"),
        }
    }

    fn execute(&self, body: &[u8]) -> HttpResponse {
        let Ok(direct) = serde_json::from_slice::<DirectCommands>(body) else {
            return HttpResponse::error("commands", 400, "baton or shift is missing");
        };
        self.site.fetch_jobs(&direct.commands);
        let now = self.site.clock.now_ms();
        let executed = {
            let mut state = self.state.borrow_mut();
            let jobs = self.site.jobs.borrow();
            let DirectCommands {
                token,
                worker_epoch: session,
                commands,
            } = &direct;
            state
                .worker
                .handle_direct_call(*token, *session, commands, now, &jobs)
        };
        self.step();
        self.wake.notify_one();
        let report = self.message(&mut self.state.borrow_mut());
        HttpResponse::json("commands", if executed { 200 } else { 409 }, &report)
    }
}
