//! A whole site over loopback: controller processes, state service, cloud, workers and users.

use crate::http::{call, serve, Handler, Reply, Request};
use crate::record::Record;
use crate::state::{Limits, StateService};
use crate::worker::{Job, Shared, Worker};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Settings of a deployment, after its site file.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub limits: Limits,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    /// The machine type that the cloud offers, and its vCPUs, memory and rate of image fetches.
    pub rig: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub fetch_gb_per_s: f64,
    pub ready_s: f64,
    /// Names of the teams with their guaranteed CPUs and their limits.
    pub teams: &'static [(&'static str, f64, f64)],
    pub quota: &'static str,
}

/// `kit/sites/sofia-savevault.toml`, with three of its teams.
pub const SOFIA: Deployment = Deployment {
    report_s: 1.5,
    lease_s: 10.0,
    cancel_s: 40.0,
    gang_wait_s: 45.0,
    gang_peer_s: 8.0,
    limits: Limits {
        rps: 200.0,
        write_rps: 20.0,
        value_kb: 8,
        txn_ops: 8,
    },
    cloud_rps: 8.0,
    list_lag_s: 8.0,
    rig: "kvarta",
    cpus: 4.0,
    ram_gb: 16.0,
    fetch_gb_per_s: 0.2,
    ready_s: 15.0,
    teams: &[
        ("platops-00", 8.0, 16.0),
        ("platops-01", 8.0, 16.0),
        ("platops-02", 8.0, 16.0),
    ],
    quota: "cpu_share = 0.16\nmem_mb = 72.0\nsockets = 1000\n",
};

/// `kit/added/rila-arcade-ops.toml` at its small size, with one of its machine types.
pub const RILA: Deployment = Deployment {
    report_s: 2.5,
    lease_s: 18.0,
    cancel_s: 38.0,
    gang_wait_s: 30.0,
    gang_peer_s: 5.0,
    limits: Limits {
        rps: 120.0,
        write_rps: 40.0,
        value_kb: 32,
        txn_ops: 24,
    },
    cloud_rps: 8.0,
    list_lag_s: 5.0,
    rig: "kestrel",
    cpus: 4.0,
    ram_gb: 16.0,
    fetch_gb_per_s: 0.25,
    ready_s: 30.0,
    teams: &[
        ("boardkeepers", 64.0, 136.0),
        ("reelroom", 104.0, 320.0),
        ("fairplay", 48.0, 136.0),
        ("harbour", 104.0, 320.0),
    ],
    quota: "cpu_share = 0.12\nmem_mb = 56.0\nsockets = 1500\n",
};

pub struct Plan {
    pub deployment: Deployment,
    /// Machines that the cloud has in each zone.
    pub capacity: Vec<(&'static str, usize)>,
    /// Time from a rental to the first report.
    pub boot_s: f64,
}

/// Number of controllers in every deployment.
const CONTROLLERS: usize = 3;

struct Machine {
    zone: String,
    rented_at: Instant,
    worker: Option<Arc<Worker>>,
}

struct Cloud {
    machines: BTreeMap<String, Machine>,
    capacity: HashMap<String, usize>,
    last: u64,
    asks: HashMap<String, Value>,
    deployment: Deployment,
}

pub struct Site {
    pub record: Arc<Record>,
    pub nodes: Vec<(String, SocketAddr)>,
    shared: Arc<Shared>,
    cloud: Arc<Mutex<Cloud>>,
    /// The processes, by the numbers of the controllers.
    children: Vec<Option<Child>>,
    folder: std::path::PathBuf,
}

/// A free loopback port for a controller. It is not one that the system gives to connections, since another process
/// could get it before the controller has bound it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let step = u32::from(NEXT.fetch_add(1, Ordering::SeqCst));
        let port = 12_000 + (std::process::id() * 37 + step) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The program of the deploy file with its arguments.
fn run_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").expect("read the deploy file");
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"));
    let value = line
        .and_then(|line| line.split('"').nth(1))
        .expect("a run command");
    value.split_whitespace().map(str::to_owned).collect()
}

impl Site {
    pub fn start(plan: &Plan, record: Arc<Record>) -> Site {
        let folder = std::path::PathBuf::from(
            std::env::var("REVIEW_TMP").expect("REVIEW_TMP names a temporary folder"),
        );
        let deployment = plan.deployment;
        let state_address = StateService::start(deployment.limits);
        let names: Vec<String> = (0..CONTROLLERS).map(|n| format!("rig-{n}")).collect();
        let nodes: Vec<(String, SocketAddr)> = names
            .iter()
            .map(|name| (name.clone(), free_address()))
            .collect();
        let mesh: Vec<SocketAddr> = names.iter().map(|_| free_address()).collect();
        let shared = Arc::new(Shared {
            record: record.clone(),
            jobs: Mutex::default(),
            nodes: nodes.clone(),
            report_s: deployment.report_s,
            lease_s: deployment.lease_s,
            fetch_gb_per_s: deployment.fetch_gb_per_s,
            cpus: deployment.cpus,
            ram_gb: deployment.ram_gb,
        });
        let capacity = plan
            .capacity
            .iter()
            .map(|(zone, count)| ((*zone).to_owned(), *count));
        let cloud = Arc::new(Mutex::new(Cloud {
            machines: BTreeMap::new(),
            capacity: capacity.collect(),
            last: 230,
            asks: HashMap::new(),
            deployment,
        }));
        let zones: Vec<&str> = plan.capacity.iter().map(|(zone, _)| *zone).collect();
        let cloud_address = start_cloud(cloud.clone(), shared.clone(), &zones, plan.boot_s);
        let mut site = Site {
            record,
            nodes,
            shared,
            cloud,
            children: Vec::new(),
            folder,
        };
        for (index, name) in names.iter().enumerate() {
            let zone = zones[index % zones.len()];
            let mut text = format!(
                "member = \"{name}\"\nzone = \"{zone}\"\nserve_on = \"{}\"\nmesh_addr = \"{}\"\n",
                site.nodes[index].1, mesh[index]
            );
            for (peer, peer_name) in names.iter().enumerate().filter(|(peer, _)| *peer != index) {
                text += &format!(
                    "\n[[peers]]\nmember = \"{peer_name}\"\nzone = \"{}\"\nendpoint = \"{}\"\n",
                    zones[peer % zones.len()],
                    mesh[peer]
                );
            }
            text += &format!(
                "\n[endpoints]\ncloud = \"{cloud_address}\"\nstate = \"{state_address}\"\n\n[settings]\n\
                 count = {CONTROLLERS}\nzones = {zones:?}\nskew_ms = 250.0\n",
            );
            for (team, guaranteed, limit) in deployment.teams {
                text += &format!(
                    "\n[[settings.teams]]\nname = \"{team}\"\ncpus = {guaranteed:?}\ncpus_max = {limit:?}\n\
                     gpus = 0.0\ngpus_max = 0.0\n"
                );
            }
            let Deployment {
                report_s,
                lease_s,
                cancel_s,
                gang_wait_s,
                gang_peer_s,
                limits,
                cloud_rps,
                list_lag_s,
                quota,
                ..
            } = deployment;
            text += &format!(
                "\n[settings.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\n\
                 gang_wait_s = {gang_wait_s:?}\ngang_peer_s = {gang_peer_s:?}\ncancel_s = {cancel_s:?}\n\
                 \n[settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {}.0\ntxn_ops = {}\n\
                 \n[settings.cloud]\nrps = {cloud_rps:?}\nlist_lag_s = {list_lag_s:?}\n\
                 \n[settings.quota]\n{quota}",
                limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops
            );
            let file = site.folder.join(format!("{name}.toml"));
            std::fs::write(&file, text).expect("write a settings file");
            site.children.push(None);
            site.start_controller(index);
        }
        site
    }

    /// Starts a controller's process.
    pub fn start_controller(&mut self, index: usize) {
        let name = self.nodes[index].0.clone();
        let settings = self.folder.join(format!("{name}.toml"));
        let command = run_command();
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let child = Command::new(&command[0])
            .args(&command[1..])
            .arg(settings)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_or(Stdio::null(), Stdio::from))
            .spawn()
            .expect("start a controller");
        // The script ends these processes too, if this one is ended itself.
        let pids = self.folder.join("pids");
        let known = std::fs::read_to_string(&pids).unwrap_or_default();
        let _ = std::fs::write(pids, format!("{known}{}\n", child.id()));
        self.record.line(format!("{name} started"));
        self.children[index] = Some(child);
    }

    /// Kills a controller's process.
    pub fn kill_controller(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("{} killed", self.nodes[index].0));
        }
    }

    /// Waits until all controllers are healthy; false if they are not within the time.
    pub fn wait_healthy(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let is_healthy = |(_, address): &(String, SocketAddr)| {
                let reply = call(*address, "GET", "/healthz", None, Duration::from_secs(1));
                reply.is_some_and(|(status, _)| status == 200)
            };
            if self.nodes.iter().all(is_healthy) {
                self.record.line("all controllers are healthy");
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether a controller has ended by itself.
    pub fn any_controller_ended(&mut self) -> bool {
        let mut ended = false;
        for child in self.children.iter_mut().flatten() {
            if let Ok(Some(status)) = child.try_wait() {
                self.record
                    .line(format!("a controller has ended: {status}"));
                ended = true;
            }
        }
        ended
    }

    /// Submits a job as a user does: repeated until it is accepted, for up to 60 s.
    pub fn submit(&self, job: &Job) -> bool {
        self.shared
            .jobs
            .lock()
            .unwrap()
            .insert(job.id.clone(), job.clone());
        let until = Instant::now() + Duration::from_secs(60);
        let mut node = 0;
        while Instant::now() < until {
            let (name, address) = &self.nodes[node % self.nodes.len()];
            let body = job.body();
            let reply = call(
                *address,
                "POST",
                "/v1/jobs",
                Some(&body),
                Duration::from_secs(5),
            );
            self.record
                .line(format!("user -> {name}: POST /v1/jobs {body} -> {reply:?}"));
            if let Some((200 | 201, _)) = reply {
                return true;
            }
            node += 1;
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }

    /// Polls a job once at a controller; the status, if there is an answer.
    pub fn poll(&self, id: &str, node: usize) -> Option<(u16, String)> {
        let (name, address) = &self.nodes[node % self.nodes.len()];
        let path = format!("/v1/jobs/{id}");
        let reply = call(*address, "GET", &path, None, Duration::from_secs(2));
        self.record
            .line(format!("user -> {name}: GET {path} -> {reply:?}"));
        reply.map(|(status, body)| {
            (
                status,
                body["status"].as_str().unwrap_or_default().to_owned(),
            )
        })
    }

    /// The workers of the machines that are up.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let cloud = self.cloud.lock().unwrap();
        cloud
            .machines
            .values()
            .filter_map(|machine| machine.worker.clone())
            .collect()
    }

    /// Whether any task of the job has been started.
    pub fn has_started(&self, id: &str) -> bool {
        let prefix = format!("{id}/");
        let is_start = |event: &crate::record::TaskEvent| {
            event.task.starts_with(&prefix) && event.what.starts_with("starts")
        };
        self.record.events().iter().any(is_start)
    }

    /// Waits until a condition holds; false if it does not within the time.
    pub fn wait(&self, limit: Duration, condition: impl Fn(&Site) -> bool) -> bool {
        let until = Instant::now() + limit;
        loop {
            if condition(self) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        // No process is left for the script to end.
        let _ = std::fs::remove_file(self.folder.join("pids"));
    }
}

fn start_cloud(
    cloud: Arc<Mutex<Cloud>>,
    shared: Arc<Shared>,
    zones: &[&str],
    boot_s: f64,
) -> SocketAddr {
    let Deployment {
        rig,
        cpus,
        ram_gb,
        fetch_gb_per_s,
        ready_s,
        ..
    } = cloud.lock().unwrap().deployment;
    let types = json!({"rigs": [{
        "label": rig, "vcpus": cpus, "gpus": 0, "ram_gb": ram_gb, "local_gb": 80.0,
        "fetch_gb_per_s": fetch_gb_per_s, "hourly": 0.17, "market_price": 0.05,
        "ready_s": ready_s, "yards": zones,
    }]});
    let booting = (cloud.clone(), shared.clone());
    std::thread::spawn(move || loop {
        std::thread::sleep(Duration::from_millis(50));
        let (cloud, shared) = (&booting.0, &booting.1);
        for (number, (name, machine)) in cloud.lock().unwrap().machines.iter_mut().enumerate() {
            match &machine.worker {
                Some(worker) => worker.advance(),
                None if machine.rented_at.elapsed().as_secs_f64() >= boot_s => {
                    shared
                        .record
                        .line(format!("{name} is up in {}", machine.zone));
                    let node = number % shared.nodes.len();
                    let worker = Worker::start(name, rig, &machine.zone, node, shared.clone());
                    machine.worker = Some(worker);
                }
                None => {}
            }
        }
    });
    let handler: Handler = Arc::new(move |request| {
        std::thread::sleep(Duration::from_millis(100));
        if request.path == "/machine_types" {
            return Reply::Json(200, types.clone());
        }
        handle_cloud(&cloud, &shared, &request)
    });
    serve(handler)
}

fn handle_cloud(cloud: &Mutex<Cloud>, shared: &Shared, request: &Request) -> Reply {
    let mut cloud = cloud.lock().unwrap();
    let body = request.json().unwrap_or(Value::Null);
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/hosts") => {
            let ask = body["ask"].as_str().unwrap_or_default().to_owned();
            if let Some(answer) = cloud.asks.get(&ask) {
                return Reply::Json(200, answer.clone());
            }
            let zone = body["yard"].as_str().unwrap_or_default().to_owned();
            let wanted = body["how_many"].as_u64().unwrap_or(0) as usize;
            let used = cloud
                .machines
                .values()
                .filter(|machine| machine.zone == zone)
                .count();
            let left = cloud
                .capacity
                .get(&zone)
                .copied()
                .unwrap_or(0)
                .saturating_sub(used);
            let count = wanted.min(left).min(50);
            if count == 0 || body["loaners"] == json!(true) {
                return Reply::Json(503, json!({"error": "no capacity"}));
            }
            let mut hosts = Vec::new();
            for _ in 0..count {
                cloud.last += 1;
                let name = format!("host-{:06}", cloud.last);
                shared
                    .record
                    .line(format!("cloud: {name} is rented in {zone}"));
                let machine = Machine {
                    zone: zone.clone(),
                    rented_at: Instant::now(),
                    worker: None,
                };
                cloud.machines.insert(name.clone(), machine);
                hosts.push(name);
            }
            let answer = json!({ "hosts": hosts });
            cloud.asks.insert(ask, answer.clone());
            Reply::Json(200, answer)
        }
        ("POST", "/hosts/release") => {
            for name in body["hosts"].as_array().into_iter().flatten() {
                let name = name.as_str().unwrap_or_default();
                if let Some(machine) = cloud.machines.remove(name) {
                    shared.record.line(format!("cloud: {name} is released"));
                    if let Some(worker) = machine.worker {
                        worker.remove();
                    }
                }
            }
            Reply::Json(200, json!({}))
        }
        ("GET", "/hosts") => {
            let after = request.query("after").unwrap_or_default();
            let Deployment {
                rig,
                list_lag_s: lag,
                ..
            } = cloud.deployment;
            let hosts: Vec<Value> = cloud
                .machines
                .iter()
                .filter(|(name, machine)| {
                    name.as_str() > after && machine.rented_at.elapsed().as_secs_f64() >= lag
                })
                .map(|(name, machine)| {
                    let worker = machine.worker.as_ref();
                    json!({
                        "id": name, "address": worker.map(|worker| worker.address()).unwrap_or_default(),
                        "rig": rig, "yard": machine.zone, "loaners": false,
                        "status": if worker.is_some() { "running" } else { "starting" },
                        "held_s": machine.rented_at.elapsed().as_secs_f64() - lag,
                    })
                })
                .collect();
            Reply::Json(200, json!({"hosts": hosts, "has_next": false}))
        }
        _ => Reply::Json(400, json!({"error": "malformed"})),
    }
}
