//! The simulated cloud: sockets and limits around [`simulator::cloud::Cloud`]. It notifies the processes that run the
//! workers of machines that have booted and of machines that were released.

use crate::config::Experiment;
use crate::http::{serve, Client, HttpRequest, HttpResponse, SharedTrafficTotals};
use crate::limits::RateLimit;
use crate::role::{send_message, Context, RoleMessage, RoleReport};
use crate::run_layout::{machine_number, Clock, LoopbackNet};
use hyper::Method;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use simulator::cloud::Cloud;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use wire::cloud::{CloudReply, CloudRequest, MachineNames, RentRequest};

/// How often machines that have booted are announced.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(50);
/// Seconds' worth of requests that may come in one burst.
const BURST_S: f64 = 2.0;
/// Most machines in one rental, in one release and on one page of the list.
const MAX_RENTED: u32 = 50;
const MAX_RELEASED: usize = 100;
const MAX_LISTED: u32 = 500;

/// A machine that has booted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BootedMachine {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// Notification to a process that runs workers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineChanges {
    /// Machines that have booted.
    pub up: Vec<BootedMachine>,
    /// Names of machines that were released.
    pub gone: Vec<String>,
}

/// Runs the cloud until `context.stop` resolves.
pub async fn run(context: Context) -> std::io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        stop,
    } = context;
    let traffic_totals = SharedTrafficTotals::default();
    let count = experiment.controllers.count;
    let warmup_ms = (experiment.warmup_s * 1_000.0) as u64;
    let server = Rc::new(CloudServer::new(experiment, net, clock));
    for controller in 0..count {
        let listener = TcpListener::bind(net.cloud(controller)).await?;
        let server = server.clone();
        let handler = move |request| {
            let server = server.clone();
            async move { server.handle(request).await }
        };
        tokio::task::spawn_local(serve(listener, controller, traffic_totals.clone(), handler));
    }
    tokio::task::spawn_local(announce(server.clone()));
    tokio::task::spawn_local(crate::http::clear_totals_at(
        clock,
        warmup_ms,
        traffic_totals.clone(),
    ));
    send_message(&RoleMessage::Ready);
    let _ = stop.await;
    let traffic = traffic_totals.borrow().clone();
    Ok(RoleReport {
        traffic,
        figures: server.figures(),
        ..RoleReport::default()
    })
}

/// Notifies the workers' processes of machines that have booted.
async fn announce(server: Rc<CloudServer>) {
    loop {
        tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
        for process in 0..server.worker_connections.len() {
            let mut connection = server.worker_connections[process].lock().await;
            let up = server.take_newly_booted(process as u32);
            if !up.is_empty() {
                server
                    .announce_changes(
                        &mut connection,
                        process,
                        MachineChanges {
                            up,
                            gone: Vec::new(),
                        },
                    )
                    .await;
            }
        }
    }
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    after: String,
    limit: Option<u32>,
}

struct CloudServer {
    net: LoopbackNet,
    clock: Clock,
    cloud: RefCell<Cloud>,
    rng: RefCell<SmallRng>,
    rate_limit: RefCell<RateLimit>,
    throttled_requests: Cell<u64>,
    latency: Duration,
    announced: RefCell<BTreeSet<String>>,
    /// Connections to the processes that run the workers, by index of the process.
    worker_connections: Vec<Mutex<Option<Client>>>,
}

impl CloudServer {
    fn new(experiment: Experiment, net: LoopbackNet, clock: Clock) -> Self {
        let zones: Vec<&str> = experiment
            .controllers
            .zones
            .iter()
            .map(String::as_str)
            .collect();
        let on_demand = experiment.workers.count.div_ceil(zones.len() as u32);
        CloudServer {
            net,
            clock,
            cloud: RefCell::new(Cloud::new(&zones, on_demand, 0)),
            rng: RefCell::new(SmallRng::seed_from_u64(experiment.seed)),
            rate_limit: RefCell::new(RateLimit::new(experiment.cloud.requests_per_s, BURST_S)),
            throttled_requests: Cell::default(),
            latency: Duration::from_secs_f64(experiment.cloud.latency_ms / 1e3),
            announced: RefCell::default(),
            worker_connections: (0..experiment.worker_process_count())
                .map(|_| Mutex::default())
                .collect(),
        }
    }

    fn figures(&self) -> BTreeMap<String, f64> {
        let cloud = self.cloud.borrow();
        let released = cloud
            .machines
            .values()
            .filter(|m| m.gone_at.is_some())
            .count();
        [
            ("machines rented", cloud.machines.len() as f64),
            ("machines released", released as f64),
            (
                "requests refused (429)",
                self.throttled_requests.get() as f64,
            ),
        ]
        .map(|(name, value)| (name.to_owned(), value))
        .into()
    }

    fn process_index(&self, machine: &str) -> usize {
        machine_number(machine) as usize % self.worker_connections.len()
    }

    /// Marks the machines of a process that have booted since the last call as announced, and returns them.
    fn take_newly_booted(&self, process: u32) -> Vec<BootedMachine> {
        let now = self.clock.now_ms();
        let mut announced = self.announced.borrow_mut();
        let cloud = self.cloud.borrow();
        let newly_booted = cloud.machines.iter().filter(|(name, machine)| {
            machine.gone_at.is_none()
                && machine.boots_at.is_some_and(|at| at <= now)
                && self.process_index(name) == process as usize
                && !announced.contains(*name)
        });
        let up: Vec<BootedMachine> = newly_booted
            .map(|(name, machine)| BootedMachine {
                name: name.clone(),
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            })
            .collect();
        announced.extend(up.iter().map(|machine| machine.name.clone()));
        up
    }

    /// Sends changes to a process and waits until it has applied them.
    async fn announce_changes(
        &self,
        connection: &mut Option<Client>,
        process: usize,
        changes: MachineChanges,
    ) {
        let Ok(body) = serde_json::to_vec(&changes) else {
            return;
        };
        if connection.as_ref().is_none_or(|client| !client.usable()) {
            let address = self.net.worker_process(process as u32);
            *connection = Client::connect(None, address, 0).await.ok();
        }
        if let Some(client) = connection {
            if client
                .exchange(Method::POST, "/machines", body)
                .await
                .is_err()
            {
                *connection = None;
            }
        }
    }

    async fn announce_released(&self, names: Vec<String>) {
        let mut by_process: BTreeMap<usize, Vec<String>> = BTreeMap::new();
        for name in names {
            by_process
                .entry(self.process_index(&name))
                .or_default()
                .push(name);
        }
        for (process, gone) in by_process {
            let mut connection = self.worker_connections[process].lock().await;
            self.announce_changes(
                &mut connection,
                process,
                MachineChanges {
                    up: Vec::new(),
                    gone,
                },
            )
            .await;
        }
    }

    async fn handle(&self, http_request: HttpRequest) -> HttpResponse {
        tokio::time::sleep(self.latency).await;
        let Some((kind, request)) = read_request(&http_request) else {
            return HttpResponse::error("malformed", 400, "malformed");
        };
        let now = self.clock.now_ms();
        if !self.rate_limit.borrow_mut().take(now) {
            self.throttled_requests
                .set(self.throttled_requests.get() + 1);
            return HttpResponse::error(kind, 429, "too many requests");
        }
        let (reply, released) =
            self.cloud
                .borrow_mut()
                .execute(now, &request, &mut self.rng.borrow_mut());
        if !released.is_empty() {
            self.announce_released(released).await;
        }
        match reply {
            CloudReply::MachineTypes(types) => HttpResponse::json(kind, 200, &types),
            CloudReply::Rented(machines) => {
                HttpResponse::json(kind, 200, &MachineNames { machines })
            }
            CloudReply::Released => HttpResponse {
                status: 200,
                body: b"{}".to_vec(),
                kind,
            },
            CloudReply::MachineList(mut list) => {
                for machine in &mut list.machines {
                    machine.address = self.net.worker(machine_number(&machine.name)).to_string();
                }
                HttpResponse::json(kind, 200, &list)
            }
            CloudReply::NoCapacity => HttpResponse::error(kind, 503, "no capacity"),
            CloudReply::Refused | CloudReply::Unknown => HttpResponse::error(kind, 503, "trouble"),
        }
    }
}

fn read_request(request: &HttpRequest) -> Option<(&'static str, CloudRequest)> {
    match (request.method.clone(), request.path.as_str()) {
        (Method::GET, "/machine_types") => Some(("machine types", CloudRequest::MachineTypes)),
        (Method::POST, "/hosts") => {
            let rent: RentRequest = serde_json::from_slice(&request.body).ok()?;
            (rent.count <= MAX_RENTED).then_some(("rent", CloudRequest::Rent(rent)))
        }
        (Method::POST, "/hosts/release") => {
            let names: MachineNames = serde_json::from_slice(&request.body).ok()?;
            let within_limit = names.machines.len() <= MAX_RELEASED;
            within_limit.then_some(("release", CloudRequest::Release(names.machines)))
        }
        (Method::GET, "/hosts") => {
            let query: ListQuery = serde_urlencoded::from_str(&request.query).ok()?;
            let limit = query.limit.unwrap_or(MAX_LISTED).min(MAX_LISTED);
            Some((
                "list machines",
                CloudRequest::ListMachines {
                    after: query.after,
                    limit,
                },
            ))
        }
        _ => None,
    }
}
