//! A whole site on loopback: the project's controllers as real processes, stand-ins around them, and users.

use crate::cloud::{Capacity, Cloud, MachineType};
use crate::http::{once, serve};
use crate::state::{Limits, StateService};
use crate::worker::{healthy, Fleet};
use crate::Clock;
use hyper::Method;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
}

/// The settings of a deployment, as its site file and DEPLOY name them.
pub struct Plan {
    pub zones: Vec<String>,
    pub node_zones: Vec<String>,
    pub teams: Vec<Team>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state: Limits,
    pub value_kb: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub types: Vec<MachineType>,
    pub capacity: Capacity,
    pub boot_ms: u64,
    pub sockets: u64,
    pub log: String,
}

/// Writes what is sent, answered and run.
pub struct Record {
    clock: Clock,
    file: RefCell<File>,
}

impl Record {
    pub fn new(clock: Clock, path: &Path) -> std::io::Result<Rc<Self>> {
        let file = RefCell::new(File::create(path)?);
        Ok(Rc::new(Record { clock, file }))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}", self.clock.ms() as f64 / 1e3, text.as_ref());
        let _ = writeln!(self.file.borrow_mut(), "{line}");
    }

    /// A line that is printed as well.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:7.1} s  {}", self.clock.ms() as f64 / 1e3, text.as_ref());
        self.line(text);
    }
}

/// A controller process.
struct Node {
    name: String,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg(signal)
                .arg(child.id().to_string())
                .status();
        }
    }
}

pub struct Site {
    pub clock: Clock,
    pub record: Rc<Record>,
    pub state: Rc<StateService>,
    pub cloud: Rc<Cloud>,
    pub fleet: Rc<Fleet>,
    pub addresses: Vec<SocketAddr>,
    nodes: RefCell<Vec<Node>>,
    run: Vec<String>,
    root: PathBuf,
    folder: PathBuf,
    /// Controllers that ended by themselves.
    pub ended: Cell<u32>,
    log: String,
}

impl Drop for Site {
    /// Ends every process that was started.
    fn drop(&mut self) {
        for node in self.nodes.borrow_mut().iter_mut() {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A free port of a loopback address that no other run uses, so that nothing else takes it before the controller.
fn free_port(last: usize) -> std::io::Result<std::net::TcpListener> {
    let id = std::process::id();
    let ip = std::net::Ipv4Addr::new(
        127,
        64 + (id / 256 % 128) as u8,
        (id % 256) as u8,
        last as u8 + 1,
    );
    std::net::TcpListener::bind((ip, 0))
}

/// Program and arguments of `run` in the deploy file.
fn run_command(root: &Path) -> Result<Vec<String>, String> {
    let file = root.join("deploy/service.toml");
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let line = text.lines().find_map(|l| l.trim().strip_prefix("run = \""));
    let command = line
        .and_then(|l| l.strip_suffix('"'))
        .ok_or("deploy file without `run`")?;
    Ok(command.split_whitespace().map(str::to_owned).collect())
}

impl Site {
    pub async fn start(
        clock: Clock,
        record: Rc<Record>,
        root: &Path,
        plan: Plan,
    ) -> Result<Rc<Self>, String> {
        let fail = |e: std::io::Error| e.to_string();
        let run = run_command(root)?;
        let folder = std::env::temp_dir().join(format!("trackcrank-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(fail)?;
        let count = plan.node_zones.len();
        let mut addresses = Vec::new();
        let mut meshes = Vec::new();
        for n in 0..count {
            let ports = [free_port(n).map_err(fail)?, free_port(n).map_err(fail)?];
            addresses.push(ports[0].local_addr().map_err(fail)?);
            meshes.push(ports[1].local_addr().map_err(fail)?);
        }
        let names: Vec<String> = (0..count).map(|n| format!("rig-{n}")).collect();
        let listed = names
            .iter()
            .cloned()
            .zip(addresses.iter().copied())
            .collect();
        let fleet = Fleet::new(clock, plan.report_s, plan.lease_s, listed, record.clone());
        let state = StateService::new(clock, plan.state.clone(), count);
        tokio::task::spawn_local(state.clone().maintain());
        let cloud = Cloud::new(
            clock,
            plan.types.clone(),
            plan.zones.clone(),
            plan.capacity.clone(),
            plan.list_lag_s,
            plan.cloud_rps,
            plan.boot_ms,
            fleet.clone(),
        );
        let mut nodes = Vec::new();
        for n in 0..count {
            let state_listener = TcpListener::bind("127.0.0.1:0").await.map_err(fail)?;
            let cloud_listener = TcpListener::bind("127.0.0.1:0").await.map_err(fail)?;
            let state_address = state_listener.local_addr().map_err(fail)?;
            let cloud_address = cloud_listener.local_addr().map_err(fail)?;
            let (served_state, served_cloud) = (state.clone(), cloud.clone());
            tokio::task::spawn_local(serve(state_listener, move |req| {
                served_state.clone().handle(n, req)
            }));
            tokio::task::spawn_local(serve(cloud_listener, move |req| {
                served_cloud.clone().handle(req)
            }));
            let config = folder.join(format!("{}.toml", names[n]));
            let text = settings(
                &plan,
                &names,
                n,
                &addresses,
                &meshes,
                cloud_address,
                state_address,
            );
            std::fs::write(&config, text).map_err(fail)?;
            let log = folder.join(format!("{}.log", names[n]));
            nodes.push(Node {
                name: names[n].clone(),
                config,
                log,
                child: None,
            });
        }
        Ok(Rc::new(Site {
            clock,
            record,
            state,
            cloud,
            fleet,
            addresses,
            nodes: RefCell::new(nodes),
            run,
            root: root.to_owned(),
            folder,
            ended: Cell::new(0),
            log: plan.log,
        }))
    }

    pub fn start_node(&self, n: usize) -> Result<(), String> {
        let mut nodes = self.nodes.borrow_mut();
        let node = &mut nodes[n];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&node.log)
            .map_err(|e| e.to_string())?;
        let child = Command::new(self.root.join(&self.run[0]))
            .args(&self.run[1..])
            .arg(&node.config)
            .current_dir(&self.root)
            .env("LOG_LEVEL", &self.log)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.run[0]))?;
        self.record.line(format!("{} is started", node.name));
        node.child = Some(child);
        Ok(())
    }

    pub fn start_all(&self) -> Result<(), String> {
        let count = self.addresses.len();
        (0..count).try_for_each(|n| self.start_node(n))
    }

    pub fn kill_node(&self, n: usize) {
        let mut nodes = self.nodes.borrow_mut();
        let node = &mut nodes[n];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("{} is killed", node.name));
        }
    }

    pub fn stop_node(&self, n: usize) {
        self.nodes.borrow()[n].signal("-STOP");
        self.record.line(format!("rig-{n} is stopped"));
    }

    pub fn continue_node(&self, n: usize) {
        self.nodes.borrow()[n].signal("-CONT");
        self.record.line(format!("rig-{n} goes on"));
    }

    /// Counts the processes that have ended by themselves.
    pub fn check_processes(&self) {
        for node in self.nodes.borrow_mut().iter_mut() {
            let status = node
                .child
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = status {
                self.record
                    .say(format!("{} ended by itself: {status}", node.name));
                self.ended.set(self.ended.get() + 1);
                node.child = None;
            }
        }
    }

    /// Resident memory of a controller in MB.
    pub fn memory_mb(&self, n: usize) -> Option<f64> {
        let nodes = self.nodes.borrow();
        let id = nodes[n].child.as_ref()?.id();
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = text.lines().find(|l| l.starts_with("VmRSS"))?;
        line.split_whitespace()
            .nth(1)?
            .parse::<f64>()
            .ok()
            .map(|kb| kb / 1024.0)
    }

    /// Lines of the controllers' logs that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for node in self.nodes.borrow().iter() {
            let log = std::fs::read_to_string(&node.log).unwrap_or_default();
            let found = log.lines().filter(|l| l.contains(text));
            lines.extend(found.map(|l| format!("{}: {l}", node.name)));
        }
        lines
    }

    pub async fn wait_healthy(&self, within: Duration) -> Result<(), String> {
        let until = self.clock.ms() + within.as_millis() as u64;
        for address in &self.addresses {
            while !healthy(*address).await {
                if self.clock.ms() > until {
                    return Err("the controllers do not become healthy".into());
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// One request of a user at a node: status and body.
    pub async fn ask(
        &self,
        n: usize,
        method: Method,
        path: &str,
        body: String,
        wait_s: f64,
    ) -> Option<(u16, Value)> {
        let sent = self.clock.ms();
        let wait = Duration::from_secs_f64(wait_s);
        let answer = once(self.addresses[n], method.clone(), path, body, wait).await;
        let answer = answer
            .map(|(status, body)| (status, serde_json::from_slice(&body).unwrap_or(Value::Null)));
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.line(format!(
            "rig-{n} {method} {path} sent at {:.3} s -> {shown}",
            sent as f64 / 1e3
        ));
        answer
    }

    /// Submits a job as a user does, until it is accepted or 60 s are over; the status that ended it.
    pub async fn submit(&self, first_node: usize, job: &Value) -> Option<u16> {
        let id = job["id"].as_str()?.to_owned();
        self.fleet.jobs.borrow_mut().insert(id, job.clone());
        let began = self.clock.ms();
        let mut node = first_node % self.addresses.len();
        while self.clock.ms() < began + 60_000 {
            match self
                .ask(node, Method::POST, "/v1/jobs", job.to_string(), 5.0)
                .await
            {
                Some((status @ (200 | 201 | 400 | 422), _)) => return Some(status),
                _ => tokio::time::sleep(Duration::from_millis(1100)).await,
            }
            node = (node + 1) % self.addresses.len();
        }
        None
    }

    pub async fn get(&self, n: usize, id: &str) -> Option<(u16, Value)> {
        self.ask(
            n,
            Method::GET,
            &format!("/v1/jobs/{id}"),
            String::new(),
            2.0,
        )
        .await
    }
}

fn settings(
    plan: &Plan,
    names: &[String],
    n: usize,
    addresses: &[SocketAddr],
    meshes: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
) -> String {
    let mut text = format!(
        "member = \"{}\"\nzone = \"{}\"\nserve_on = \"{}\"\nmesh_addr = \"{}\"\n\n",
        names[n], plan.node_zones[n], addresses[n], meshes[n]
    );
    for other in (0..names.len()).filter(|other| *other != n) {
        text += &format!(
            "[[peers]]\nmember = \"{}\"\nzone = \"{}\"\nendpoint = \"{}\"\n\n",
            names[other], plan.node_zones[other], meshes[other]
        );
    }
    text += &format!("[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\n");
    let zones: Vec<String> = plan
        .zones
        .iter()
        .map(|zone| format!("\"{zone}\""))
        .collect();
    text += &format!(
        "[settings]\ncount = {}\nzones = [{}]\nskew_ms = 100.0\n\n",
        names.len(),
        zones.join(", ")
    );
    for team in &plan.teams {
        text += &format!(
            "[[settings.teams]]\nname = \"{}\"\ncpus = {:?}\ncpus_max = {:?}\ngpus = 0.0\ngpus_max = 0.0\n\n",
            team.name, team.cpus, team.cpus_max
        );
    }
    text += &format!(
        "[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = {:?}\n\n",
        plan.report_s, plan.lease_s, plan.cancel_s
    );
    text += &format!(
        "[settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n",
        plan.state.rps, plan.state.write_rps, plan.value_kb, plan.state.txn_ops
    );
    text += &format!(
        "[settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n",
        plan.cloud_rps, plan.list_lag_s
    );
    text += &format!(
        "[settings.quota]\ncpu_share = 0.16\nmem_mb = 72.0\nsockets = {}\n",
        plan.sockets
    );
    text
}

/// A job of independent tasks, or a service if `expect_s` is 0.
pub fn job(id: u64, team: &str, pieces: u64, vcpus: f64, ram_gb: f64, expect_s: f64) -> Value {
    let shape = if expect_s == 0.0 { "service" } else { "batch" };
    json!({"id": format!("j-{id:06}"), "lane": "scan", "crew": team, "shape": shape, "urgency": "standard",
        "pieces": pieces, "vcpus": vcpus, "gpus": 0.0, "ram_gb": ram_gb, "bundle": "img-01", "pull_gb": 0.1,
        "rigs": null, "yard": null, "together": false, "spread": false, "loaners": false,
        "expect_s": expect_s, "notch_s": 0.0, "stash_s": 0.0, "due_s": null})
}

/// The number of started tasks by job, and pieces that were on two machines at a time.
pub fn check_tasks(fleet: &Fleet) -> (BTreeMap<String, u64>, Vec<String>) {
    let mut starts: BTreeMap<String, u64> = BTreeMap::new();
    let mut on: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut twice = Vec::new();
    for event in fleet.events.borrow().iter() {
        let hosts = on.entry(event.piece.clone()).or_default();
        if event.what == "started" {
            *starts
                .entry(event.piece.split('/').next().unwrap_or_default().to_owned())
                .or_default() += 1;
            if hosts.iter().any(|host| *host != event.host) {
                twice.push(format!(
                    "{} started on {} while on {:?}, at {} ms",
                    event.piece, event.host, hosts, event.at
                ));
            }
            hosts.push(event.host.clone());
        } else {
            hosts.retain(|host| *host != event.host);
        }
    }
    (starts, twice)
}
