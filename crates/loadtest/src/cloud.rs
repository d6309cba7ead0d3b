//! The cloud's sockets and limits around [`simulator::cloud::Cloud`]; it tells the processes that hold the
//! workers which machines are up and which are gone.

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

/// How often machines that have come up are announced.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(50);
/// Bursts that the cloud allows.
const BURST_S: f64 = 2.0;
/// Most machines of one rental, of one return and of one page.
const MAX_RENTED: u32 = 50;
const MAX_RELEASED: usize = 100;
const MAX_LISTED: u32 = 500;

/// A machine that has come up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BootedMachine {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// What a process with workers is told.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineChanges {
    pub up: Vec<BootedMachine>,
    pub gone: Vec<String>,
}

/// Runs the cloud until it is told to stop.
pub async fn run(context: Context) -> std::io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        stop,
    } = context;
    let tally = SharedTrafficTotals::default();
    let count = experiment.controllers.count;
    let warmup = (experiment.warmup_s * 1_000.0) as u64;
    let service = Rc::new(Service::new(experiment, net, clock));
    for controller in 0..count {
        let listener = TcpListener::bind(net.cloud(controller)).await?;
        let service = service.clone();
        let handler = move |call| {
            let service = service.clone();
            async move { service.handle(call).await }
        };
        tokio::task::spawn_local(serve(listener, controller, tally.clone(), handler));
    }
    tokio::task::spawn_local(announce(service.clone()));
    tokio::task::spawn_local(crate::http::clear_totals_at(clock, warmup, tally.clone()));
    send_message(&RoleMessage::Ready);
    let _ = stop.await;
    let traffic = tally.borrow().clone();
    Ok(RoleReport {
        traffic,
        figures: service.figures(),
        ..RoleReport::default()
    })
}

/// Tells the workers' processes of machines that have come up.
async fn announce(service: Rc<Service>) {
    loop {
        tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
        for process in 0..service.links.len() {
            let mut link = service.links[process].lock().await;
            let up = service.come_up(process as u32);
            if !up.is_empty() {
                service
                    .announce_changes(
                        &mut link,
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

struct Service {
    net: LoopbackNet,
    clock: Clock,
    cloud: RefCell<Cloud>,
    rng: RefCell<SmallRng>,
    requests: RefCell<RateLimit>,
    throttled: Cell<u64>,
    latency: Duration,
    announced: RefCell<BTreeSet<String>>,
    /// Connections to the processes that hold the workers.
    links: Vec<Mutex<Option<Client>>>,
}

impl Service {
    fn new(experiment: Experiment, net: LoopbackNet, clock: Clock) -> Self {
        let zones: Vec<&str> = experiment
            .controllers
            .zones
            .iter()
            .map(String::as_str)
            .collect();
        let ordinary = experiment.workers.count.div_ceil(zones.len() as u32);
        Service {
            net,
            clock,
            cloud: RefCell::new(Cloud::new(&zones, ordinary, 0)),
            rng: RefCell::new(SmallRng::seed_from_u64(experiment.seed)),
            requests: RefCell::new(RateLimit::new(experiment.cloud.requests_per_s, BURST_S)),
            throttled: Cell::default(),
            latency: Duration::from_secs_f64(experiment.cloud.latency_ms / 1e3),
            announced: RefCell::default(),
            links: (0..experiment.worker_processes())
                .map(|_| Mutex::default())
                .collect(),
        }
    }

    fn figures(&self) -> BTreeMap<String, f64> {
        let cloud = self.cloud.borrow();
        let gone = cloud
            .machines
            .values()
            .filter(|m| m.gone_at.is_some())
            .count();
        [
            ("machines rented", cloud.machines.len() as f64),
            ("machines released", gone as f64),
            ("requests refused (429)", self.throttled.get() as f64),
        ]
        .map(|(name, value)| (name.to_owned(), value))
        .into()
    }

    fn process_of(&self, machine: &str) -> usize {
        machine_number(machine) as usize % self.links.len()
    }

    /// Machines of a process that have come up since the last look.
    fn come_up(&self, process: u32) -> Vec<BootedMachine> {
        let now = self.clock.now_ms();
        let mut announced = self.announced.borrow_mut();
        let cloud = self.cloud.borrow();
        let new = cloud.machines.iter().filter(|(name, machine)| {
            machine.gone_at.is_none()
                && machine.boots_at.is_some_and(|at| at <= now)
                && self.process_of(name) == process as usize
                && !announced.contains(*name)
        });
        let up: Vec<BootedMachine> = new
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

    /// Sends changes to a process and waits until it has carried them out.
    async fn announce_changes(
        &self,
        link: &mut Option<Client>,
        process: usize,
        changes: MachineChanges,
    ) {
        let Ok(body) = serde_json::to_vec(&changes) else {
            return;
        };
        if link.as_ref().is_none_or(|client| !client.usable()) {
            let to = self.net.worker_process(process as u32);
            *link = Client::connect(None, to, 0).await.ok();
        }
        if let Some(client) = link {
            if client
                .exchange(Method::POST, "/machines", body)
                .await
                .is_err()
            {
                *link = None;
            }
        }
    }

    async fn release(&self, names: Vec<String>) {
        let mut by_process: BTreeMap<usize, Vec<String>> = BTreeMap::new();
        for name in names {
            by_process
                .entry(self.process_of(&name))
                .or_default()
                .push(name);
        }
        for (process, gone) in by_process {
            let mut link = self.links[process].lock().await;
            self.announce_changes(
                &mut link,
                process,
                MachineChanges {
                    up: Vec::new(),
                    gone,
                },
            )
            .await;
        }
    }

    async fn handle(&self, call: HttpRequest) -> HttpResponse {
        tokio::time::sleep(self.latency).await;
        let Some((kind, request)) = read_request(&call) else {
            return HttpResponse::error("malformed", 400, "malformed");
        };
        let now = self.clock.now_ms();
        if !self.requests.borrow_mut().take(now) {
            self.throttled.set(self.throttled.get() + 1);
            return HttpResponse::error(kind, 429, "too many requests");
        }
        let (reply, gone) =
            self.cloud
                .borrow_mut()
                .execute(now, &request, &mut self.rng.borrow_mut());
        if !gone.is_empty() {
            self.release(gone).await;
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

fn read_request(call: &HttpRequest) -> Option<(&'static str, CloudRequest)> {
    match (call.method.clone(), call.path.as_str()) {
        (Method::GET, "/machine_types") => Some(("machine types", CloudRequest::MachineTypes)),
        (Method::POST, "/hosts") => {
            let rent: RentRequest = serde_json::from_slice(&call.body).ok()?;
            (rent.count <= MAX_RENTED).then_some(("rent", CloudRequest::Rent(rent)))
        }
        (Method::POST, "/hosts/release") => {
            let names: MachineNames = serde_json::from_slice(&call.body).ok()?;
            let fits = names.machines.len() <= MAX_RELEASED;
            fits.then_some(("release", CloudRequest::Release(names.machines)))
        }
        (Method::GET, "/hosts") => {
            let query: ListQuery = serde_urlencoded::from_str(&call.query).ok()?;
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
