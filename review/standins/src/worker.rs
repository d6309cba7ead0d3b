//! Stand-ins for the workers, as "Workers -> controller nodes" and "Controller nodes -> workers" in PROTOCOL
//! describe them: leases, tokens, sessions, reports and commands. No task is run: its time passes.

use crate::cloud::MachineType;
use crate::http::{json, once, serve, Client, Req, Resp};
use crate::site::Record;
use crate::Clock;
use hyper::Method;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
const MIN_REPORT_GAP_MS: u64 = 500;
/// Longest line of an answer, and largest body of a request.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// What happened on a machine, in the order in which it happened.
#[derive(Clone, Debug)]
pub struct TaskEvent {
    pub at: u64,
    pub host: String,
    pub piece: String,
    pub attempt: u64,
    pub what: &'static str,
}

/// What all workers share.
pub struct Fleet {
    pub clock: Clock,
    pub report_ms: u64,
    pub lease_ms: u64,
    /// The controllers, by name.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Descriptions of jobs that users have uploaded.
    pub jobs: RefCell<BTreeMap<String, Value>>,
    pub events: RefCell<Vec<TaskEvent>>,
    pub workers: RefCell<BTreeMap<String, Rc<Worker>>>,
    pub leases_ended: Cell<u64>,
    /// Reports that a controller answered with another status than 200, 421 or 503.
    pub odd_answers: RefCell<BTreeMap<u16, u64>>,
    /// The longest line in an answer to a worker, in bytes.
    pub longest_line: Cell<usize>,
    pub lines_too_long: Cell<u64>,
    random: Cell<u64>,
    log: Rc<Record>,
}

impl Fleet {
    pub fn new(
        clock: Clock,
        report_s: f64,
        lease_s: f64,
        nodes: Vec<(String, SocketAddr)>,
        log: Rc<Record>,
    ) -> Rc<Self> {
        Rc::new(Fleet {
            clock,
            report_ms: (report_s * 1e3) as u64,
            lease_ms: (lease_s * 1e3) as u64,
            nodes,
            jobs: RefCell::default(),
            events: RefCell::default(),
            workers: RefCell::default(),
            leases_ended: Cell::new(0),
            odd_answers: RefCell::default(),
            longest_line: Cell::new(0),
            lines_too_long: Cell::new(0),
            log,
            random: Cell::new(0x9e37_79b9_7f4a_7c15),
        })
    }

    fn record(&self, text: String) {
        self.log.line(text);
    }

    /// A number below `bound`.
    pub fn random(&self, bound: u64) -> u64 {
        let mut x = self.random.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random.set(x);
        x % bound.max(1)
    }

    fn job(&self, piece: &str) -> Option<Value> {
        self.jobs.borrow().get(piece.split('/').next()?).cloned()
    }

    pub fn remove(&self, name: &str) {
        if let Some(worker) = self.workers.borrow_mut().remove(name) {
            worker.end("gone");
        }
    }
}

struct Task {
    status: &'static str,
    cause: Option<&'static str>,
    stored: bool,
    fetched_at: u64,
    done_at: Option<u64>,
    saved_at: Option<u64>,
    vcpus: f64,
    ram_gb: f64,
    bundle: String,
}

impl Task {
    fn exited(cause: &'static str) -> Self {
        Task {
            status: "exited",
            cause: Some(cause),
            stored: false,
            fetched_at: 0,
            done_at: None,
            saved_at: None,
            vcpus: 0.0,
            ram_gb: 0.0,
            bundle: String::new(),
        }
    }

    fn is_on_machine(&self) -> bool {
        matches!(self.status, "running" | "saving")
    }
}

struct State {
    shift: u64,
    tick: u64,
    baton: u64,
    lease_from: u64,
    tasks: BTreeMap<(String, u64), Task>,
    results: BTreeSet<String>,
    images: BTreeSet<String>,
    node: usize,
    last_report: u64,
    next_report: u64,
    not_before: u64,
    changed: bool,
}

pub struct Worker {
    fleet: Rc<Fleet>,
    pub name: String,
    pub rig: MachineType,
    pub yard: String,
    pub spot: bool,
    address: String,
    up_at: u64,
    state: RefCell<State>,
    wake: Notify,
    /// The machine reaches nobody, and nobody reaches it.
    pub cut: Cell<bool>,
    dead: Cell<bool>,
    running: RefCell<Vec<JoinHandle<()>>>,
}

impl Worker {
    /// Starts the worker of a machine that is up at `up_at`; its address.
    pub async fn start(
        fleet: &Rc<Fleet>,
        name: &str,
        rig: &MachineType,
        yard: &str,
        spot: bool,
        up_at: u64,
    ) -> Option<String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.ok()?;
        let address = listener.local_addr().ok()?.to_string();
        let node = fleet.random(fleet.nodes.len() as u64) as usize;
        let worker = Rc::new(Worker {
            fleet: fleet.clone(),
            name: name.to_owned(),
            rig: rig.clone(),
            yard: yard.to_owned(),
            spot,
            address: address.clone(),
            up_at,
            state: RefCell::new(State {
                shift: 1,
                tick: 0,
                baton: 0,
                lease_from: up_at,
                tasks: BTreeMap::new(),
                results: BTreeSet::new(),
                images: BTreeSet::new(),
                node,
                last_report: 0,
                next_report: up_at,
                not_before: up_at,
                changed: false,
            }),
            wake: Notify::new(),
            cut: Cell::new(false),
            dead: Cell::new(false),
            running: RefCell::default(),
        });
        fleet
            .workers
            .borrow_mut()
            .insert(name.to_owned(), worker.clone());
        let served = worker.clone();
        let server = serve(listener, move |req| {
            let worker = served.clone();
            async move { worker.direct(req).await }
        });
        let tasks = vec![
            tokio::task::spawn_local(server),
            tokio::task::spawn_local(worker.clone().run()),
        ];
        *worker.running.borrow_mut() = tasks;
        Some(address)
    }

    /// CPUs and memory that no task takes which has not exited.
    pub fn free(&self) -> (f64, f64) {
        let state = self.state.borrow();
        let taken = state.tasks.values().filter(|task| task.status != "exited");
        taken.fold((self.rig.vcpus, self.rig.ram_gb), |(cpus, ram), task| {
            (cpus - task.vcpus, ram - task.ram_gb)
        })
    }

    pub fn end(&self, what: &'static str) {
        self.dead.set(true);
        let keys: Vec<(String, u64)> = {
            let state = self.state.borrow();
            let present = state.tasks.iter().filter(|(_, task)| task.is_on_machine());
            present.map(|(key, _)| key.clone()).collect()
        };
        keys.iter().for_each(|key| self.record(key, what));
        for task in self.running.borrow_mut().drain(..) {
            task.abort();
        }
    }

    fn record(&self, key: &(String, u64), what: &'static str) {
        self.fleet.events.borrow_mut().push(TaskEvent {
            at: self.fleet.clock.ms(),
            host: self.name.clone(),
            piece: key.0.clone(),
            attempt: key.1,
            what,
        });
    }

    /// Ends the session if its lease is over, and lets the time of the tasks pass.
    fn advance(&self) {
        let now = self.fleet.clock.ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if now > state.lease_from + self.fleet.lease_ms {
            let lost = state
                .tasks
                .values()
                .filter(|task| task.is_on_machine())
                .count();
            self.fleet.record(format!(
                "{}: its lease is over, {lost} tasks are killed",
                self.name
            ));
            for (key, task) in &state.tasks {
                if task.is_on_machine() {
                    self.record(key, "killed, its lease is over");
                }
            }
            state.tasks.clear();
            state.shift += 1;
            state.lease_from = now;
            state.changed = true;
            self.fleet
                .leases_ended
                .set(self.fleet.leases_ended.get() + 1);
        }
        for (key, task) in &mut state.tasks {
            if task.status == "fetching" && now >= task.fetched_at {
                state.images.insert(task.bundle.clone());
                state.changed = true;
                task.status = "running";
                self.record(key, "started");
                if state.results.contains(&key.0) {
                    task.status = "exited";
                    task.cause = Some("done");
                    self.record(key, "done");
                    continue;
                }
                let job = self.fleet.job(&key.0).unwrap_or_default();
                if job["shape"] == "batch" {
                    task.done_at =
                        Some(now + (job["expect_s"].as_f64().unwrap_or(1.0) * 1e3) as u64);
                }
            }
            if task.status == "running" && task.done_at.is_some_and(|at| now >= at) {
                task.status = "exited";
                task.cause = Some("done");
                state.results.insert(key.0.clone());
                state.changed = true;
                self.record(key, "done");
            }
            if task.status == "saving" && task.saved_at.is_some_and(|at| now >= at) {
                task.status = "exited";
                task.cause = Some("halted");
                task.stored = true;
                state.changed = true;
                self.record(key, "halted");
            }
        }
    }

    fn report(&self) -> Value {
        let mut state = self.state.borrow_mut();
        state.tick += 1;
        let pieces: Vec<Value> = state
            .tasks
            .iter()
            .map(|((piece, attempt), task)| {
                let mut entry = json!({"piece": piece, "try": attempt, "status": task.status});
                if let Some(cause) = task.cause {
                    entry["cause"] = cause.into();
                }
                if task.stored {
                    entry["stored"] = true.into();
                }
                entry
            })
            .collect();
        json!({"host": self.name, "address": self.address, "rig": self.rig.label, "yard": self.yard,
            "loaners": self.spot, "shift": state.shift, "tick": state.tick, "baton": state.baton,
            "warning_s": null, "pieces": pieces})
    }

    fn execute(&self, orders: &Value) {
        let now = self.fleet.clock.ms();
        for order in orders.as_array().into_iter().flatten() {
            let (Some(piece), Some(attempt)) = (order["piece"].as_str(), order["try"].as_u64())
            else {
                continue;
            };
            let key = (piece.to_owned(), attempt);
            match order["verb"].as_str() {
                Some("launch") => self.launch(key, now),
                Some("halt") => self.halt(key, order["mercy_s"].as_f64().unwrap_or(0.0), now),
                Some("forget") => {
                    let mut state = self.state.borrow_mut();
                    if state
                        .tasks
                        .get(&key)
                        .is_some_and(|task| task.status == "exited")
                    {
                        state.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
        self.advance();
    }

    fn launch(&self, key: (String, u64), now: u64) {
        let mut state = self.state.borrow_mut();
        if state.tasks.contains_key(&key) {
            return;
        }
        state.changed = true;
        let Some(job) = self.fleet.job(&key.0) else {
            state.tasks.insert(key, Task::exited("unknown"));
            return;
        };
        let busy = state
            .tasks
            .iter()
            .any(|((piece, _), task)| *piece == key.0 && task.status != "exited");
        if busy {
            state.tasks.insert(key, Task::exited("busy"));
            return;
        }
        let (vcpus, ram_gb) = (
            job["vcpus"].as_f64().unwrap_or(0.0),
            job["ram_gb"].as_f64().unwrap_or(0.0),
        );
        let taken = state.tasks.values().filter(|task| task.status != "exited");
        let (used_cpus, used_ram) =
            taken.fold((0.0, 0.0), |(c, r), task| (c + task.vcpus, r + task.ram_gb));
        if used_cpus + vcpus > self.rig.vcpus + 1e-6 || used_ram + ram_gb > self.rig.ram_gb + 1e-6 {
            state.tasks.insert(key, Task::exited("full"));
            return;
        }
        let bundle = job["bundle"].as_str().unwrap_or_default().to_owned();
        let fetch_s = if state.images.contains(&bundle) {
            0.0
        } else {
            job["pull_gb"].as_f64().unwrap_or(0.0) / self.rig.fetch_gb_per_s
        };
        let fetching = state
            .tasks
            .values()
            .find(|t| t.status == "fetching" && t.bundle == bundle);
        let fetched_at = fetching.map_or(now + (fetch_s * 1e3) as u64, |task| task.fetched_at);
        let task = Task {
            status: "fetching",
            cause: None,
            stored: false,
            fetched_at,
            done_at: None,
            saved_at: None,
            vcpus,
            ram_gb,
            bundle,
        };
        state.tasks.insert(key, task);
    }

    fn halt(&self, key: (String, u64), mercy_s: f64, now: u64) {
        let job = self.fleet.job(&key.0).unwrap_or_default();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(task) = state.tasks.get_mut(&key) else {
            return;
        };
        let stash_s = job["stash_s"].as_f64().unwrap_or(0.0);
        let saves = job["notch_s"].as_f64().unwrap_or(0.0) > 0.0 && mercy_s >= stash_s;
        match task.status {
            "exited" => return,
            "saving" if mercy_s > 0.0 => return,
            "running" if saves => {
                task.status = "saving";
                task.saved_at = Some(now + (stash_s * 1e3) as u64);
            }
            _ => {
                if task.is_on_machine() {
                    self.record(&key, "halted");
                }
                task.status = "exited";
                task.cause = Some("halted");
            }
        }
        state.changed = true;
    }

    async fn direct(self: Rc<Self>, req: Req) -> Option<Resp> {
        while self.cut.get() || self.fleet.clock.ms() < self.up_at {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        if self.dead.get() {
            return None;
        }
        self.advance();
        if req.path == "/status" {
            return json(200, self.report());
        }
        if req.body.len() > MAX_LINE_BYTES {
            self.fleet.record(format!(
                "{} refuses commands of {} bytes",
                self.name,
                req.body.len()
            ));
            return json(400, json!({"error": "the body is too large"}));
        }
        let body: Value = serde_json::from_slice(&req.body).ok()?;
        let (Some(baton), Some(shift)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return json(400, json!({"error": "baton or shift is missing"}));
        };
        {
            let mut state = self.state.borrow_mut();
            if baton < state.baton || shift != state.shift {
                drop(state);
                return json(409, self.report());
            }
            if baton > state.baton {
                state.baton = baton;
                state.changed = true;
            }
        }
        self.execute(&body["orders"]);
        self.wake.notify_one();
        json(200, self.report())
    }

    async fn run(self: Rc<Self>) {
        let clock = self.fleet.clock;
        clock.sleep_until(self.up_at).await;
        let mut client: Option<(usize, Client)> = None;
        loop {
            self.advance();
            let due = {
                let state = self.state.borrow();
                let early = if state.changed {
                    state.last_report + MIN_REPORT_GAP_MS
                } else {
                    u64::MAX
                };
                state.next_report.min(early).max(state.not_before)
            };
            let now = clock.ms();
            if now < due || self.cut.get() {
                let wait = due.saturating_sub(now).clamp(5, 50);
                let _ =
                    tokio::time::timeout(Duration::from_millis(wait), self.wake.notified()).await;
                continue;
            }
            self.send_report(now, &mut client).await;
        }
    }

    async fn send_report(&self, now: u64, client: &mut Option<(usize, Client)>) {
        let fleet = &self.fleet;
        let (node, shift) = {
            let mut state = self.state.borrow_mut();
            state.changed = false;
            state.last_report = now;
            let interval = fleet.report_ms;
            state.next_report = now + interval * 3 / 4 + fleet.random(interval / 2);
            (state.node, state.shift)
        };
        let body = self.report().to_string();
        let sent_bytes = body.len();
        let address = fleet.nodes[node].1;
        let mut kept = client
            .take()
            .filter(|(n, _)| *n == node)
            .map(|(_, client)| client);
        let exchange = async {
            if kept.is_none() {
                kept = Client::connect(address).await;
            }
            kept.as_mut()?.send(Method::POST, "/hello", body).await
        };
        let answer = tokio::time::timeout(REPORT_TIMEOUT, exchange)
            .await
            .ok()
            .flatten();
        self.advance();
        let next = (node + 1) % fleet.nodes.len();
        let now_after = fleet.clock.ms();
        let (status, body) = match answer {
            Some((status, body)) if !self.cut.get() => (status, body),
            _ => return self.turn_to(next, now_after + 1000),
        };
        if let Some(kept) = kept {
            *client = Some((node, kept));
        }
        // "A response to workers and users must not contain any line longer than 64 KiB": such a one can't be read.
        let longest = body
            .split(|byte| *byte == b'\n')
            .map(<[u8]>::len)
            .max()
            .unwrap_or(0);
        fleet
            .longest_line
            .set(fleet.longest_line.get().max(longest));
        if longest > MAX_LINE_BYTES {
            fleet.record(format!(
                "{} receives an answer with a line of {longest} bytes and drops it",
                self.name
            ));
            fleet.lines_too_long.set(fleet.lines_too_long.get() + 1);
            return self.turn_to(next, now_after + 1000);
        }
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        match status {
            200 => {
                let accepted = {
                    let mut state = self.state.borrow_mut();
                    let accepted = state.shift == shift
                        && body["baton"].as_u64().is_some_and(|b| b >= state.baton);
                    if accepted {
                        let baton = body["baton"].as_u64().unwrap_or(0);
                        state.changed |= baton > state.baton;
                        state.baton = baton;
                        state.lease_from = state.lease_from.max(now);
                    }
                    accepted
                };
                if accepted {
                    self.execute(&body["orders"]);
                }
            }
            421 => {
                let foreman = body["foreman"].as_str().unwrap_or_default();
                match fleet.nodes.iter().position(|(name, _)| name == foreman) {
                    Some(other) if other != node => {
                        self.turn_to(other, now_after + fleet.random(500))
                    }
                    _ => self.turn_to(next, now_after + 1000),
                }
            }
            status => {
                if status != 503 {
                    fleet.record(format!(
                        "{} receives {status} to a report of {sent_bytes} bytes",
                        self.name
                    ));
                    *fleet.odd_answers.borrow_mut().entry(status).or_default() += 1;
                }
                self.turn_to(next, now_after + 1000);
            }
        }
    }

    /// The next report goes to this node, at this time.
    fn turn_to(&self, node: usize, at: u64) {
        let mut state = self.state.borrow_mut();
        state.node = node;
        state.next_report = at;
        state.not_before = at;
    }
}

/// Whether a node says that it is healthy.
pub async fn healthy(address: SocketAddr) -> bool {
    let answer = once(
        address,
        Method::GET,
        "/healthz",
        String::new(),
        Duration::from_secs(1),
    )
    .await;
    answer.is_some_and(|(status, _)| status == 200)
}
