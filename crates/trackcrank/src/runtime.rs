//! The process around the node: one loop that feeds it events and carries out its effects.

use crate::clients::HttpClient;
use crate::inbound::{request_queue, Inbound, Shared};
use crate::metrics::Metrics;
use crate::{mesh, server};
use controller::controller::Ticket;
use controller::{AdminReply, Controller, Effect, Event, HeartbeatReply, UserReply};
use model::{ControllerName, Settings, Timestamp};
use rand::Rng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use wire::mesh::MeshMessage;

/// Serves until killed.
pub fn serve(settings: Settings) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot start the runtime: {e}"))?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> Result<(), String> {
    let (inbound, requests) = request_queue();
    let (events, results) = mpsc::channel::<Event>(1024);
    let metrics = Arc::new(Metrics::new().map_err(|e| format!("metrics: {e}"))?);
    let client = HttpClient::new(Some(metrics.rejected().clone()));
    mesh::listen(
        settings.mesh_address,
        events.clone(),
        metrics.rejected().clone(),
    )
    .await
    .map_err(|e| format!("mesh_addr {}: {e}", settings.mesh_address))?;
    let shared = Shared {
        inbound,
        healthy: Arc::new(AtomicBool::new(false)),
        metrics,
    };
    let listen = settings.listen_address;
    let server = tokio::spawn(server::run(listen, shared.clone()));
    let peers = settings
        .peers
        .iter()
        .map(|peer| {
            (
                peer.name.clone(),
                mesh::connect(settings.name.clone(), peer.clone()),
            )
        })
        .collect();
    let seed = rand::rng().random();
    let process = Process {
        client,
        state: settings.state_address,
        cloud: settings.cloud_address,
        events,
        peers,
        users: HashMap::new(),
        reports: HashMap::new(),
        admins: HashMap::new(),
        next_ticket: 0,
    };
    tokio::select! {
        ended = server => Err(match ended {
            Ok(Err(problem)) => format!("serve_on {listen}: {problem}"),
            _ => "the server has ended".into(),
        }),
        () = process.run(Controller::new(settings, seed), requests, results, shared) => Ok(()),
    }
}

struct Process {
    client: HttpClient,
    state: std::net::SocketAddr,
    cloud: std::net::SocketAddr,
    events: mpsc::Sender<Event>,
    peers: HashMap<ControllerName, mpsc::Sender<MeshMessage>>,
    users: HashMap<Ticket, oneshot::Sender<UserReply>>,
    reports: HashMap<Ticket, oneshot::Sender<HeartbeatReply>>,
    admins: HashMap<Ticket, oneshot::Sender<AdminReply>>,
    next_ticket: Ticket,
}

impl Process {
    async fn run(
        mut self,
        mut node: Controller,
        mut requests: mpsc::Receiver<Inbound>,
        mut results: mpsc::Receiver<Event>,
        shared: Shared,
    ) {
        let start = Instant::now();
        let now = || Timestamp::from_millis(start.elapsed().as_millis() as u64);
        loop {
            let due = start + Duration::from_millis(node.next_tick().as_millis());
            let event = tokio::select! {
                biased;
                Some(event) = results.recv() => event,
                Some(request) = requests.recv() => self.admit(request),
                () = tokio::time::sleep_until(due) => Event::Tick,
            };
            for effect in node.handle(now(), event) {
                self.carry_out(effect);
            }
            shared.healthy.store(node.healthy(), Ordering::Relaxed);
            for wait in node.counters.waits.drain(..) {
                shared.metrics.observe_wait(wait);
            }
            for (source, fault, count) in node.counters.rejections.drain() {
                shared.metrics.rejected().add_many(source, fault, count);
            }
        }
    }

    fn admit(&mut self, request: Inbound) -> Event {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        match request {
            Inbound::User(request, answer) => {
                self.users.insert(ticket, answer);
                Event::User { ticket, request }
            }
            Inbound::Admin(request, answer) => {
                self.admins.insert(ticket, answer);
                Event::Admin { ticket, request }
            }
            Inbound::Heartbeat(report, answer) => {
                self.reports.insert(ticket, answer);
                Event::Heartbeat { ticket, report }
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let client = self.client.clone();
        let events = self.events.clone();
        match effect {
            Effect::State {
                call,
                request,
                timeout,
            } => {
                let to = self.state;
                tokio::spawn(async move {
                    let reply = client.state(to, &request, timeout).await;
                    let _ = events.send(Event::State { call, reply }).await;
                });
            }
            Effect::Cloud { call, request } => {
                let to = self.cloud;
                tokio::spawn(async move {
                    let reply = client.cloud(to, &request).await;
                    let _ = events.send(Event::Cloud { call, reply }).await;
                });
            }
            Effect::Worker {
                call,
                address,
                body,
                timeout,
            } => {
                tokio::spawn(async move {
                    let reply = client.worker(&address, &body, timeout).await;
                    let _ = events.send(Event::Worker { call, reply }).await;
                });
            }
            Effect::Mesh { to, message } => {
                if let Some(peer) = self.peers.get(&to) {
                    let _ = peer.try_send(message);
                }
            }
            Effect::User { ticket, reply } => {
                if let Some(answer) = self.users.remove(&ticket) {
                    let _ = answer.send(reply);
                }
            }
            Effect::Admin { ticket, reply } => {
                if let Some(answer) = self.admins.remove(&ticket) {
                    let _ = answer.send(reply);
                }
            }
            Effect::Heartbeat { ticket, reply } => {
                if let Some(answer) = self.reports.remove(&ticket) {
                    let _ = answer.send(reply);
                }
            }
        }
    }
}
