//! Simulated workers: the sockets, clocks and connections around [`simulator::worker::Worker`]. They send heartbeats,
//! execute commands and let the run time of tasks pass; no task is run.

use crate::cloud::{BootedMachine, MachineChanges};
use crate::config::{Experiment, Fault};
use crate::http::{serve, Client, HttpRequest, HttpResponse, SharedTrafficTotals};
use crate::observations::{TaskChange, TaskEvent};
use crate::role::{send_message, Context, RoleMessage, RoleReport};
use crate::run_layout::{controller_number, job_number, machine_number, Clock, LoopbackNet};
use hyper::Method;
use rand::Rng;
use simulator::message_size::MAX_MESSAGE_BYTES;
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

/// How long a worker waits for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Delay before the next controller is tried.
const NEXT_CONTROLLER_DELAY_MS: u64 = 1_000;
/// Longest delay before the heartbeat after a redirect; the delay is random.
const MAX_REDIRECT_DELAY_MS: u64 = 500;
/// Least time between two heartbeats.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Longest sleep of a worker: it checks at least this often whether a fault has begun or ended.
const MAX_SLEEP_MS: u64 = 1_000;
/// Key under which the traffic of direct calls is counted: they do not say which controller makes them.
pub const UNKNOWN_CONTROLLER: u32 = u32::MAX;

/// Runs the workers of one process until `context.stop` resolves.
pub async fn run(context: Context, process_index: u32) -> std::io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        stop,
    } = context;
    let warmup_ms = (experiment.warmup_s * 1_000.0) as u64;
    let listener = TcpListener::bind(net.worker_process(process_index)).await?;
    let process = Rc::new(WorkerProcess::new(experiment, net, clock));
    let handler = {
        let process = process.clone();
        move |request: HttpRequest| {
            let process = process.clone();
            async move { apply_machine_changes(&process, &request).await }
        }
    };
    tokio::task::spawn_local(serve(listener, 0, SharedTrafficTotals::default(), handler));
    tokio::task::spawn_local(crate::http::clear_totals_at(
        clock,
        warmup_ms,
        process.traffic_totals.clone(),
    ));
    tokio::task::spawn_local(report_progress(process.clone()));
    send_message(&RoleMessage::Ready);
    let _ = stop.await;
    let traffic = process.traffic_totals.borrow().clone();
    let tasks = std::mem::take(&mut *process.task_events.borrow_mut());
    let expired_leases = process.expired_leases.get() as f64;
    let long_messages = process.long_messages.get() as f64;
    let figures = [
        ("leases that lapsed".to_owned(), expired_leases),
        ("messages over 64 KiB".to_owned(), long_messages),
    ]
    .into();
    Ok(RoleReport {
        traffic,
        tasks,
        figures,
        ..RoleReport::default()
    })
}

async fn report_progress(process: Rc<WorkerProcess>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let workers = process.workers.borrow();
        let now = process.clock.now_ms();
        let in_contact = workers
            .values()
            .filter(|w| w.has_recent_response(now))
            .count();
        let tasks: usize = workers
            .values()
            .map(|w| w.state.borrow().present_tasks.len())
            .sum();
        let figures = [
            ("workers", workers.len()),
            ("in contact", in_contact),
            ("tasks", tasks),
        ];
        let figures = figures.map(|(name, value)| (name.to_owned(), value as f64));
        send_message(&RoleMessage::Progress(figures.into()));
    }
}

/// Handles the cloud's notification of machines that have booted or were released.
async fn apply_machine_changes(process: &Rc<WorkerProcess>, request: &HttpRequest) -> HttpResponse {
    let Ok(changes) = serde_json::from_slice::<MachineChanges>(&request.body) else {
        return HttpResponse::error("", 400, "malformed");
    };
    for name in &changes.gone {
        if let Some(worker) = process.workers.borrow_mut().remove(name) {
            worker.remove();
        }
    }
    for machine in changes.up {
        if let Err(error) = start_worker(process, machine).await {
            eprintln!(
                "trackcrank-loadtest: cannot bind the address of a simulated worker: {error}"
            );
        }
    }
    HttpResponse {
        status: 200,
        body: b"{}".to_vec(),
        kind: "",
    }
}

async fn start_worker(process: &Rc<WorkerProcess>, machine: BootedMachine) -> std::io::Result<()> {
    let number = machine_number(&machine.name);
    let listener = TcpListener::bind(process.net.worker(number)).await?;
    let worker = Rc::new(SimulatedWorker::new(process.clone(), number, &machine));
    let handler = {
        let worker = worker.clone();
        move |request: HttpRequest| {
            let worker = worker.clone();
            async move { worker.handle_direct_call(request).await }
        }
    };
    let serving = serve(
        listener,
        UNKNOWN_CONTROLLER,
        process.traffic_totals.clone(),
        handler,
    );
    let tasks = vec![
        tokio::task::spawn_local(serving),
        tokio::task::spawn_local(worker.clone().run()),
    ];
    *worker.async_tasks.borrow_mut() = tasks;
    process.workers.borrow_mut().insert(machine.name, worker);
    Ok(())
}

/// State that the workers of a process share.
struct WorkerProcess {
    net: LoopbackNet,
    clock: Clock,
    experiment: Experiment,
    heartbeat_interval_ms: u64,
    lease_ms: u64,
    /// Requests of the jobs whose tasks the workers were told to launch, by job id.
    job_requests: RefCell<HashMap<String, JobRequest>>,
    traffic_totals: SharedTrafficTotals,
    task_events: RefCell<Vec<TaskEvent>>,
    workers: RefCell<HashMap<String, Rc<SimulatedWorker>>>,
    expired_leases: Cell<u64>,
    /// Responses and commands that the workers refused because they were too long.
    long_messages: Cell<u64>,
}

impl WorkerProcess {
    fn new(experiment: Experiment, net: LoopbackNet, clock: Clock) -> Self {
        WorkerProcess {
            net,
            clock,
            heartbeat_interval_ms: (experiment.workers.report_s * 1_000.0) as u64,
            lease_ms: (experiment.workers.lease_s * 1_000.0) as u64,
            experiment,
            job_requests: RefCell::default(),
            traffic_totals: SharedTrafficTotals::default(),
            task_events: RefCell::default(),
            workers: RefCell::default(),
            expired_leases: Cell::default(),
            long_messages: Cell::default(),
        }
    }

    /// Counts a message of a controller that is longer than the protocol allows.
    fn record_long_message(&self) {
        self.long_messages.set(self.long_messages.get() + 1);
    }

    /// Adds the requests of the jobs whose tasks the commands launch.
    fn add_jobs(&self, commands: &[Command]) {
        let mut jobs = self.job_requests.borrow_mut();
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

/// Mutable state of a worker.
struct WorkerState {
    worker: Worker,
    connection: Option<Client>,
    /// When the lease began to run: when the last answered heartbeat was sent, or when the epoch began.
    lease_started_at: u64,
    /// No heartbeat is sent before this time.
    no_heartbeat_before: u64,
    /// Ids of the tasks that have started on the machine and have not exited.
    present_tasks: BTreeSet<String>,
    heartbeats_sent: u64,
}

struct SimulatedWorker {
    process: Rc<WorkerProcess>,
    machine_number: u32,
    state: RefCell<WorkerState>,
    wake: Notify,
    gone: Cell<bool>,
    async_tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl SimulatedWorker {
    fn new(process: Rc<WorkerProcess>, machine_number: u32, machine: &BootedMachine) -> Self {
        let now = process.clock.now_ms();
        let mut worker = Worker::new(
            &machine.name,
            &machine.machine_type,
            &machine.zone,
            machine.spot,
            now,
        );
        worker.controller =
            rand::rng().random_range(0..process.experiment.controllers.count) as usize;
        let state = WorkerState {
            worker,
            connection: None,
            lease_started_at: now,
            no_heartbeat_before: now,
            present_tasks: BTreeSet::new(),
            heartbeats_sent: 0,
        };
        SimulatedWorker {
            process,
            machine_number,
            state: RefCell::new(state),
            wake: Notify::new(),
            gone: Cell::default(),
            async_tasks: RefCell::default(),
        }
    }

    fn has_recent_response(&self, now: u64) -> bool {
        now < self.state.borrow().lease_started_at + self.process.lease_ms / 2
    }

    /// Removes the machine with all tasks on it.
    fn remove(&self) {
        self.gone.set(true);
        let now = self.process.clock.now_us();
        let mut state = self.state.borrow_mut();
        state.worker.dead = true;
        state.connection = None;
        for task in std::mem::take(&mut state.present_tasks) {
            self.record_task_event(&task, TaskChange::Ended, now);
        }
        for task in self.async_tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    /// Whether a fault keeps the machine from communicating now.
    fn is_silenced(&self, now: u64) -> bool {
        self.process
            .experiment
            .faults
            .iter()
            .any(|fault| match fault {
                Fault::RestartWorkers { part, .. } => {
                    // A hash of the machine's number: it selects machines all over the cluster, and the same ones for the
                    // whole fault.
                    let hash =
                        f64::from(self.machine_number.wrapping_mul(2_654_435_761) >> 16) / 65_536.0;
                    hash < *part && fault.is_active(now)
                }
                Fault::CutZone { zone, .. } => {
                    fault.is_active(now) && *zone == self.state.borrow().worker.zone
                }
                _ => false,
            })
    }

    fn record_task_event(&self, task: &str, change: TaskChange, at_us: u64) {
        let index = task
            .split_once('/')
            .and_then(|(_, index)| index.parse().ok());
        let (Some(job), Some(task)) = (job_number(task), index) else {
            return;
        };
        let event = TaskEvent {
            at_us,
            machine: self.machine_number,
            job,
            task,
            change,
        };
        self.process.task_events.borrow_mut().push(event);
    }

    /// Sends heartbeats and advances tasks until the machine is removed.
    async fn run(self: Rc<Self>) {
        loop {
            let now = self.process.clock.now_ms();
            self.advance();
            let is_silenced = self.is_silenced(now);
            if is_silenced {
                self.state.borrow_mut().connection = None;
            } else if self.heartbeat_due(now) {
                tokio::task::spawn_local(self.clone().send_heartbeat());
            }
            let sleep = Duration::from_millis(self.sleep_ms(is_silenced));
            let _ = tokio::time::timeout(sleep, self.wake.notified()).await;
        }
    }

    fn heartbeat_due(&self, now: u64) -> bool {
        let state = self.state.borrow();
        now >= state.no_heartbeat_before && state.worker.heartbeat_due(now)
    }

    /// Time until something is due, at most `MAX_SLEEP_MS`.
    fn sleep_ms(&self, is_silenced: bool) -> u64 {
        let now = self.process.clock.now_ms();
        let state = self.state.borrow();
        let worker = &state.worker;
        let mut due = vec![
            state.lease_started_at + self.process.lease_ms + 1,
            now + MAX_SLEEP_MS,
        ];
        if worker.in_flight.is_none() && !is_silenced {
            due.push(worker.next_heartbeat_at.max(state.no_heartbeat_before));
            if worker.status_changed {
                due.push(
                    (worker.last_heartbeat_at + MIN_HEARTBEAT_INTERVAL_MS)
                        .max(state.no_heartbeat_before),
                );
            }
        }
        for task in worker.tasks.values() {
            if task.state == wire::workers::TaskState::Fetching {
                due.push(task.fetched_at);
            }
            due.extend(task.done_at.filter(|_| task.is_present()));
            due.extend(task.saved_at.filter(|_| task.is_present()));
        }
        due.into_iter()
            .min()
            .unwrap_or(now)
            .saturating_sub(now)
            .max(1)
    }

    /// Begins a new epoch if the lease has expired, and advances the tasks.
    fn advance(&self) {
        let now = self.process.clock.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let lease_end = state.lease_started_at + self.process.lease_ms;
        if now > lease_end {
            // Tasks end when the lease expires, however late this process checks it.
            for task in std::mem::take(&mut state.present_tasks) {
                self.record_task_event(&task, TaskChange::Ended, lease_end * 1_000);
            }
            state.worker.check_lease(now, self.process.lease_ms);
            state.lease_started_at = now;
            self.process
                .expired_leases
                .set(self.process.expired_leases.get() + 1);
        }
        let jobs = self.process.job_requests.borrow();
        let run_ms = |task: &str| {
            let id = task.split('/').next().unwrap_or_default();
            jobs.get(id)
                .map_or(0, |job| (job.estimated_run_time_s * 1_000.0) as u64)
        };
        let transitions = state.worker.advance(now, &jobs, run_ms);
        let now_us = self.process.clock.now_us();
        for transition in transitions {
            match transition {
                TaskTransition::Started(task) => {
                    self.record_task_event(&task, TaskChange::Started, now_us);
                    state.present_tasks.insert(task);
                }
                TaskTransition::Done(task) => {
                    self.record_task_event(&task, TaskChange::Done, now_us)
                }
            }
        }
        self.record_ends(state, now_us);
    }

    /// Records the end of the tasks that are no longer on the machine.
    fn record_ends(&self, state: &mut WorkerState, now_us: u64) {
        let tasks_on_machine = state
            .worker
            .tasks
            .iter()
            .filter(|(_, task)| task.is_present());
        let tasks_on_machine: BTreeSet<&str> = tasks_on_machine
            .map(|((task, _), _)| task.as_str())
            .collect();
        state.present_tasks.retain(|task| {
            let is_present = tasks_on_machine.contains(task.as_str());
            if !is_present {
                self.record_task_event(task, TaskChange::Ended, now_us);
            }
            is_present
        });
    }

    fn next_heartbeat(&self, state: &mut WorkerState) -> Heartbeat {
        let mut heartbeat = state.worker.next_heartbeat();
        heartbeat.address = self.process.net.worker(self.machine_number).to_string();
        heartbeat
    }

    /// Sends one heartbeat and handles its response.
    async fn send_heartbeat(self: Rc<Self>) {
        let now = self.process.clock.now_ms();
        let interval = self.process.heartbeat_interval_ms;
        let (heartbeat_number, controller, body, connection) = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            state.heartbeats_sent += 1;
            let worker = &mut state.worker;
            worker.in_flight = Some((state.heartbeats_sent, now, worker.epoch));
            worker.status_changed = false;
            worker.last_heartbeat_at = now;
            worker.next_heartbeat_at =
                now + rand::rng().random_range(interval * 3 / 4..=interval * 5 / 4);
            let controller = worker.controller as u32;
            let connection = state.connection.take();
            let connection = connection.filter(|c| c.controller == controller && c.usable());
            let body = serde_json::to_vec(&self.next_heartbeat(state)).unwrap_or_default();
            (state.heartbeats_sent, controller, body, connection)
        };
        let exchange = self.exchange(controller, body, connection);
        let response = tokio::time::timeout(HEARTBEAT_TIMEOUT, exchange)
            .await
            .ok()
            .flatten();
        if !self.gone.get() {
            self.handle_response(heartbeat_number, now, controller, response);
        }
        self.wake.notify_one();
    }

    async fn exchange(
        &self,
        controller: u32,
        body: Vec<u8>,
        connection: Option<Client>,
    ) -> Option<(u16, bytes::Bytes, Client)> {
        let mut client = match connection {
            Some(client) => client,
            None => {
                let local_ip = self.process.net.worker(self.machine_number).ip();
                let address = self.process.net.controller(controller);
                Client::connect(Some(local_ip), address, controller)
                    .await
                    .ok()?
            }
        };
        let (status, _, body) = client.exchange(Method::POST, "/hello", body).await.ok()?;
        client.count(&self.process.traffic_totals, "report");
        Some((status, body, client))
    }

    fn handle_response(
        &self,
        heartbeat_number: u64,
        sent_at: u64,
        controller: u32,
        response: Option<(u16, bytes::Bytes, Client)>,
    ) {
        self.advance();
        let now = self.process.clock.now_ms();
        if self.is_silenced(now) {
            self.state.borrow_mut().worker.in_flight = None;
            return;
        }
        match response {
            Some((200, body, _)) if body.len() > MAX_MESSAGE_BYTES => {
                self.process.record_long_message();
                self.switch_controller(controller + 1, NEXT_CONTROLLER_DELAY_MS);
            }
            Some((200, body, client)) => {
                self.state.borrow_mut().connection = Some(client);
                match serde_json::from_slice::<HeartbeatResponse>(&body) {
                    Ok(response) => self.apply_response(heartbeat_number, sent_at, &response),
                    Err(_) => self.switch_controller(controller + 1, NEXT_CONTROLLER_DELAY_MS),
                }
            }
            Some((421, body, _)) => {
                let redirect = serde_json::from_slice::<Redirect>(&body).ok();
                let target = redirect.and_then(|r| controller_number(&r.controller?));
                let is_other_controller = |target: &u32| {
                    *target != controller && *target < self.process.experiment.controllers.count
                };
                match target.filter(is_other_controller) {
                    Some(target) => self.switch_controller(
                        target,
                        rand::rng().random_range(0..MAX_REDIRECT_DELAY_MS),
                    ),
                    None => self.switch_controller(controller + 1, NEXT_CONTROLLER_DELAY_MS),
                }
            }
            _ => self.switch_controller(controller + 1, NEXT_CONTROLLER_DELAY_MS),
        }
    }

    fn apply_response(&self, heartbeat_number: u64, sent_at: u64, response: &HeartbeatResponse) {
        self.process.add_jobs(&response.commands);
        let now = self.process.clock.now_ms();
        {
            let mut state = self.state.borrow_mut();
            let jobs = self.process.job_requests.borrow();
            if state
                .worker
                .handle_heartbeat_response(heartbeat_number, response, now, &jobs)
            {
                state.lease_started_at = state.lease_started_at.max(sent_at);
            }
            state.worker.in_flight = None;
        }
        self.advance();
    }

    /// Sends the next heartbeat to another controller after a delay.
    fn switch_controller(&self, controller: u32, delay_ms: u64) {
        let now = self.process.clock.now_ms();
        let mut state = self.state.borrow_mut();
        state.worker.in_flight = None;
        state.worker.controller = (controller % self.process.experiment.controllers.count) as usize;
        state.worker.next_heartbeat_at = now + delay_ms;
        state.no_heartbeat_before = now + delay_ms;
    }

    /// Handles a controller's direct call.
    async fn handle_direct_call(&self, request: HttpRequest) -> HttpResponse {
        while self.is_silenced(self.process.clock.now_ms()) && !self.gone.get() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        if self.gone.get() {
            std::future::pending::<()>().await;
        }
        self.advance();
        match (request.method, request.path.as_str()) {
            (Method::GET, "/status") => {
                let heartbeat = self.next_heartbeat(&mut self.state.borrow_mut());
                HttpResponse::json("status", 200, &heartbeat)
            }
            (Method::POST, "/commands") => self.execute_commands(&request.body),
            _ => HttpResponse::error("malformed", 404, "no such path"),
        }
    }

    fn execute_commands(&self, body: &[u8]) -> HttpResponse {
        if body.len() > MAX_MESSAGE_BYTES {
            self.process.record_long_message();
            return HttpResponse::error("commands", 400, "the body is too large");
        }
        let Ok(direct) = serde_json::from_slice::<DirectCommands>(body) else {
            return HttpResponse::error("commands", 400, "baton or shift is missing");
        };
        self.process.add_jobs(&direct.commands);
        let now = self.process.clock.now_ms();
        let executed = {
            let mut state = self.state.borrow_mut();
            let jobs = self.process.job_requests.borrow();
            let DirectCommands {
                token,
                worker_epoch,
                commands,
            } = &direct;
            state
                .worker
                .handle_direct_call(*token, *worker_epoch, commands, now, &jobs)
        };
        self.advance();
        self.wake.notify_one();
        let heartbeat = self.next_heartbeat(&mut self.state.borrow_mut());
        HttpResponse::json("commands", if executed { 200 } else { 409 }, &heartbeat)
    }
}
