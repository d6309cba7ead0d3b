//! A worker: it fetches images, runs tasks as time passing, reports to one controller and obeys commands.

use crate::http::{call, serve, Handler, Reply, Request};
use crate::record::Record;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time to failure of a task that fails.
const FAILS_AFTER: Duration = Duration::from_millis(300);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// A job as its user describes it, and how long its tasks really run.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub team: String,
    /// `batch`, `group` or `service`.
    pub shape: &'static str,
    pub urgency: &'static str,
    pub pieces: u64,
    pub vcpus: f64,
    pub ram_gb: f64,
    pub bundle: String,
    pub pull_gb: f64,
    pub expect_s: f64,
    pub run_s: f64,
    /// The only allowed zone.
    pub yard: Option<&'static str>,
}

impl Job {
    pub fn body(&self) -> Value {
        json!({
            "id": self.id, "lane": "review", "crew": self.team, "shape": self.shape,
            "urgency": self.urgency, "pieces": self.pieces, "vcpus": self.vcpus, "gpus": 0.0,
            "ram_gb": self.ram_gb, "bundle": self.bundle, "pull_gb": self.pull_gb, "rigs": null,
            "yard": self.yard, "together": false, "spread": false, "loaners": false,
            "expect_s": self.expect_s, "notch_s": 0.0, "stash_s": 0.0, "due_s": null,
        })
    }
}

/// What all workers share.
pub struct Shared {
    pub record: Arc<Record>,
    pub jobs: Mutex<HashMap<String, Job>>,
    /// Names of the controllers with the addresses that they serve on.
    pub nodes: Vec<(String, SocketAddr)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub fetch_gb_per_s: f64,
    pub cpus: f64,
    pub ram_gb: f64,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Fetching,
    Running,
    Exited,
}

struct Task {
    phase: Phase,
    cause: &'static str,
    ends_at: Option<Instant>,
    fails: bool,
}

struct Inner {
    shift: u64,
    tick: u64,
    baton: u64,
    lease_from: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    /// Images with the time at which each is cached.
    images: HashMap<String, Instant>,
    done: HashSet<String>,
    changed: bool,
    node: usize,
    sick: bool,
    gone: bool,
    /// It has lost the network: nothing arrives from it or at it.
    cut: bool,
    /// The reports that it has sent, and the controller that last answered one with 200.
    reports: Vec<Value>,
    answered_by: Option<usize>,
}

pub struct Worker {
    pub name: String,
    pub zone: String,
    pub rig: String,
    shared: Arc<Shared>,
    address: Mutex<Option<SocketAddr>>,
    inner: Mutex<Inner>,
}

impl Worker {
    /// Starts the worker of a machine that has just booted.
    pub fn start(
        name: &str,
        rig: &str,
        zone: &str,
        node: usize,
        shared: Arc<Shared>,
    ) -> Arc<Worker> {
        let inner = Inner {
            shift: 1,
            tick: 0,
            baton: 0,
            lease_from: Instant::now(),
            tasks: BTreeMap::new(),
            images: HashMap::new(),
            done: HashSet::new(),
            changed: false,
            node,
            sick: false,
            gone: false,
            cut: false,
            reports: Vec::new(),
            answered_by: None,
        };
        let worker = Arc::new(Worker {
            name: name.to_owned(),
            zone: zone.to_owned(),
            rig: rig.to_owned(),
            shared,
            address: Mutex::new(None),
            inner: Mutex::new(inner),
        });
        let serving = worker.clone();
        let handler: Handler = Arc::new(move |request| serving.handle(request));
        *worker.address.lock().unwrap() = Some(serve(handler));
        let reporting = worker.clone();
        std::thread::spawn(move || reporting.report_loop());
        worker
    }

    pub fn address(&self) -> String {
        let address = self.address.lock().unwrap();
        address
            .map(|address| address.to_string())
            .unwrap_or_default()
    }

    /// From now on the machine fails every task that it starts, or no longer does.
    pub fn set_sick(&self, sick: bool) {
        self.inner.lock().unwrap().sick = sick;
    }

    /// From now on the machine has no network.
    pub fn cut(&self) {
        self.shared
            .record
            .line(format!("{}: the network is lost", self.name));
        self.inner.lock().unwrap().cut = true;
    }

    /// The reports that it has sent, the oldest first.
    pub fn reports(&self) -> Vec<Value> {
        self.inner.lock().unwrap().reports.clone()
    }

    /// The controller that last answered a report with 200.
    pub fn answered_by(&self) -> Option<usize> {
        self.inner.lock().unwrap().answered_by
    }

    /// The tasks that are on the machine now: they have started and not exited.
    pub fn present(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let present = inner
            .tasks
            .iter()
            .filter(|(_, task)| task.phase == Phase::Running);
        present.map(|((task, _), _)| task.clone()).collect()
    }

    /// The machine is gone, with everything on it.
    pub fn remove(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.gone = true;
        for (id, task) in std::mem::take(&mut inner.tasks) {
            if task.phase != Phase::Exited {
                self.shared
                    .record
                    .task(&self.name, &id.0, "is gone with its machine");
            }
        }
    }

    /// CPUs and memory that no task uses.
    pub fn free(&self) -> (f64, f64) {
        let inner = self.inner.lock().unwrap();
        self.free_of(&inner)
    }

    fn free_of(&self, inner: &Inner) -> (f64, f64) {
        let (mut cpus, mut ram) = (self.shared.cpus, self.shared.ram_gb);
        let jobs = self.shared.jobs.lock().unwrap();
        for ((task, _), state) in &inner.tasks {
            if state.phase != Phase::Exited {
                if let Some(job) = jobs.get(job_of(task)) {
                    cpus -= job.vcpus;
                    ram -= job.ram_gb;
                }
            }
        }
        (cpus, ram)
    }

    /// Lets time pass: images arrive, tasks start and end, the lease ends.
    pub fn advance(&self) {
        let mut inner = self.inner.lock().unwrap();
        self.advance_inner(&mut inner);
    }

    fn advance_inner(&self, inner: &mut Inner) {
        if inner.gone {
            return;
        }
        let now = Instant::now();
        if now > inner.lease_from + Duration::from_secs_f64(self.shared.lease_s) {
            for (id, task) in std::mem::take(&mut inner.tasks) {
                if task.phase != Phase::Exited {
                    self.shared
                        .record
                        .task(&self.name, &id.0, "is killed: the lease has ended");
                }
            }
            inner.shift += 1;
            inner.lease_from = now;
            inner.changed = true;
        }
        let jobs = self.shared.jobs.lock().unwrap();
        let sick = inner.sick;
        for ((id, attempt), task) in &mut inner.tasks {
            let Some(job) = jobs.get(job_of(id)) else {
                continue;
            };
            if task.phase == Phase::Fetching
                && inner.images.get(&job.bundle).is_some_and(|at| *at <= now)
            {
                task.phase = Phase::Running;
                inner.changed = true;
                let what = format!("starts (attempt {attempt})");
                self.shared.record.task(&self.name, id, &what);
                task.fails = sick;
                task.ends_at = if sick {
                    Some(now + FAILS_AFTER)
                } else if inner.done.contains(id) {
                    Some(now)
                } else if job.shape == "service" {
                    None
                } else {
                    Some(now + Duration::from_secs_f64(job.run_s))
                };
            }
            if task.phase == Phase::Running && task.ends_at.is_some_and(|at| at <= now) {
                task.phase = Phase::Exited;
                task.cause = if task.fails { "error" } else { "done" };
                inner.changed = true;
                if !task.fails {
                    inner.done.insert(id.clone());
                }
                self.shared
                    .record
                    .task(&self.name, id, &format!("exits {}", task.cause));
            }
        }
    }

    fn report_body(&self, inner: &mut Inner) -> Value {
        inner.tick += 1;
        let pieces: Vec<Value> = inner
            .tasks
            .iter()
            .map(|((task, attempt), state)| {
                let status = match state.phase {
                    Phase::Fetching => "fetching",
                    Phase::Running => "running",
                    Phase::Exited => "exited",
                };
                let mut piece = json!({"piece": task, "try": attempt, "status": status});
                if state.phase == Phase::Exited {
                    piece["cause"] = json!(state.cause);
                }
                piece
            })
            .collect();
        json!({
            "host": self.name, "address": self.address(), "rig": self.rig, "yard": self.zone,
            "loaners": false, "shift": inner.shift, "tick": inner.tick, "baton": inner.baton,
            "warning_s": null, "pieces": pieces,
        })
    }

    fn execute(&self, inner: &mut Inner, orders: &Value, route: &str) {
        for order in orders.as_array().into_iter().flatten() {
            let verb = order["verb"].as_str().unwrap_or_default();
            let task = order["piece"].as_str().unwrap_or_default().to_owned();
            let key = (task.clone(), order["try"].as_u64().unwrap_or(0));
            self.shared
                .record
                .line(format!("{}: {route} order {order}", self.name));
            match verb {
                "launch" if !inner.tasks.contains_key(&key) => {
                    let state = self.launch(inner, &task);
                    inner.tasks.insert(key, state);
                    inner.changed = true;
                }
                "halt" => {
                    if let Some(state) = inner.tasks.get_mut(&key) {
                        if state.phase != Phase::Exited {
                            state.phase = Phase::Exited;
                            state.cause = "halted";
                            inner.changed = true;
                            self.shared.record.task(&self.name, &task, "exits halted");
                        }
                    }
                }
                "forget" => {
                    let is_exited = |state: &Task| state.phase == Phase::Exited;
                    if inner.tasks.get(&key).is_some_and(is_exited) {
                        inner.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn launch(&self, inner: &mut Inner, task: &str) -> Task {
        let exited = |cause| Task {
            phase: Phase::Exited,
            cause,
            ends_at: None,
            fails: false,
        };
        let job = self.shared.jobs.lock().unwrap().get(job_of(task)).cloned();
        let Some(job) = job else {
            return exited("unknown");
        };
        let is_here = |(other, state): (&(String, u64), &Task)| {
            other.0 == task && state.phase != Phase::Exited
        };
        if inner.tasks.iter().any(is_here) {
            return exited("busy");
        }
        let (cpus, ram) = self.free_of(inner);
        if job.vcpus > cpus + 1e-6 || job.ram_gb > ram + 1e-6 {
            return exited("full");
        }
        let now = Instant::now();
        let fetch = Duration::from_secs_f64(job.pull_gb / self.shared.fetch_gb_per_s);
        inner.images.entry(job.bundle).or_insert(now + fetch);
        Task {
            phase: Phase::Fetching,
            cause: "",
            ends_at: None,
            fails: false,
        }
    }

    /// Handles `/commands` and `/status`.
    fn handle(&self, request: Request) -> Reply {
        if self.inner.lock().unwrap().cut {
            std::thread::sleep(Duration::from_secs(4));
            return Reply::Silent;
        }
        let mut inner = self.inner.lock().unwrap();
        if inner.gone {
            return Reply::Silent;
        }
        self.advance_inner(&mut inner);
        if request.path == "/status" {
            return Reply::Json(200, self.report_body(&mut inner));
        }
        let body = request.json().unwrap_or(Value::Null);
        let (Some(baton), Some(shift)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return Reply::Json(400, json!({"error": "baton or shift is missing"}));
        };
        if baton < inner.baton || shift != inner.shift {
            return Reply::Json(409, self.report_body(&mut inner));
        }
        inner.baton = baton;
        self.execute(&mut inner, &body["orders"], "direct");
        self.advance_inner(&mut inner);
        Reply::Json(200, self.report_body(&mut inner))
    }

    fn report_loop(&self) {
        let mut last = Instant::now() - Duration::from_secs(60);
        let mut interval = Duration::ZERO;
        let mut counter = 0u32;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let (body, node, shift, sent_at) = {
                let mut inner = self.inner.lock().unwrap();
                if inner.gone {
                    return;
                }
                self.advance_inner(&mut inner);
                let is_due = last.elapsed() >= interval
                    || inner.changed && last.elapsed() >= MIN_REPORT_INTERVAL;
                if !is_due {
                    continue;
                }
                inner.changed = false;
                let body = self.report_body(&mut inner);
                inner.reports.push(body.clone());
                (body, inner.node, inner.shift, Instant::now())
            };
            last = sent_at;
            counter = counter.wrapping_add(1);
            let spread =
                0.75 + 0.5 * f64::from(counter.wrapping_mul(2_654_435_761) >> 16) / 65_536.0;
            interval = Duration::from_secs_f64(self.shared.report_s * spread);
            let address = self.shared.nodes[node].1;
            let reply = if self.inner.lock().unwrap().cut {
                std::thread::sleep(REPORT_TIMEOUT);
                None
            } else {
                call(address, "POST", "/hello", Some(&body), REPORT_TIMEOUT)
            };
            self.handle_reply(reply, node, shift, sent_at);
        }
    }

    fn handle_reply(&self, reply: Option<(u16, Value)>, node: usize, shift: u64, sent_at: Instant) {
        let count = self.shared.nodes.len();
        let pause = match reply {
            Some((200, body)) if sent_at.elapsed() <= REPORT_TIMEOUT => {
                let mut inner = self.inner.lock().unwrap();
                self.advance_inner(&mut inner);
                let baton = body["baton"].as_u64().unwrap_or(0);
                let is_valid =
                    body["baton"].is_u64() && baton >= inner.baton && shift == inner.shift;
                inner.answered_by = Some(node);
                if is_valid && !inner.gone {
                    inner.changed |= baton > inner.baton;
                    inner.baton = baton;
                    inner.lease_from = inner.lease_from.max(sent_at);
                    self.execute(&mut inner, &body["orders"], "reply");
                    self.advance_inner(&mut inner);
                }
                return;
            }
            Some((421, body)) => {
                let foreman = body["foreman"].as_str().unwrap_or_default();
                let position = self
                    .shared
                    .nodes
                    .iter()
                    .position(|(name, _)| name == foreman);
                match position.filter(|position| *position != node) {
                    Some(position) => {
                        let mut inner = self.inner.lock().unwrap();
                        inner.node = position;
                        inner.changed = true;
                        return;
                    }
                    None => Duration::from_secs(1),
                }
            }
            _ => Duration::from_secs(1),
        };
        std::thread::sleep(pause);
        let mut inner = self.inner.lock().unwrap();
        inner.node = (node + 1) % count;
        inner.changed = true;
    }
}

pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}
