//! The process around the controller: one event loop that passes events to it and executes its effects.

use crate::clients::HttpClient;
use crate::error::ServeError;
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

/// Results of effects and mesh messages that may be queued for the event loop.
const MAX_QUEUED_RESULTS: usize = 1024;

/// Serves until the process is killed, or until the HTTP server fails.
pub fn serve(settings: Settings) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> Result<(), ServeError> {
    let (inbound, requests) = request_queue();
    let (events, results) = mpsc::channel::<Event>(MAX_QUEUED_RESULTS);
    let metrics = Arc::new(Metrics::new()?);
    let client = HttpClient::new(Some(metrics.rejected().clone()));
    let mesh_address = settings.mesh_address;
    mesh::listen(mesh_address, events.clone(), metrics.rejected().clone())
        .await
        .map_err(|source| ServeError::Mesh {
            address: mesh_address,
            source,
        })?;
    let shared = Shared {
        inbound,
        healthy: Arc::new(AtomicBool::new(false)),
        metrics,
    };
    let address = settings.listen_address;
    // A task of its own, so that requests are read while the event loop is busy; its end is awaited below.
    let server = tokio::spawn(server::run(address, shared.clone()));
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
        heartbeats: HashMap::new(),
        admins: HashMap::new(),
        next_ticket: 0,
    };
    tokio::select! {
        ended = server => Err(match ended {
            Ok(Err(source)) => ServeError::Http { address, source },
            _ => ServeError::ServerEnded,
        }),
        () = process.run(Controller::new(settings, seed), requests, results, shared) => Ok(()),
    }
}

/// Connections and open requests of the process.
struct Process {
    client: HttpClient,
    state: std::net::SocketAddr,
    cloud: std::net::SocketAddr,
    events: mpsc::Sender<Event>,
    peers: HashMap<ControllerName, mpsc::Sender<MeshMessage>>,
    /// Senders of the replies to open requests, by ticket.
    users: HashMap<Ticket, oneshot::Sender<UserReply>>,
    heartbeats: HashMap<Ticket, oneshot::Sender<HeartbeatReply>>,
    admins: HashMap<Ticket, oneshot::Sender<AdminReply>>,
    next_ticket: Ticket,
}

impl Process {
    /// The event loop.
    async fn run(
        mut self,
        mut controller: Controller,
        mut requests: mpsc::Receiver<Inbound>,
        mut results: mpsc::Receiver<Event>,
        shared: Shared,
    ) {
        let start = Instant::now();
        let now = || Timestamp::from_millis(start.elapsed().as_millis() as u64);
        loop {
            let next_tick = start + Duration::from_millis(controller.next_tick().as_millis());
            let event = tokio::select! {
                biased;
                Some(event) = results.recv() => event,
                Some(request) = requests.recv() => self.register(request),
                () = tokio::time::sleep_until(next_tick) => Event::Tick,
            };
            for effect in controller.handle(now(), event) {
                self.execute(effect);
            }
            shared
                .healthy
                .store(controller.healthy(), Ordering::Relaxed);
            for wait in controller.counters.placement_waits_ms.drain(..) {
                shared.metrics.observe_wait(wait);
            }
            for (reason, count) in controller.counters.unplaced.drain() {
                shared.metrics.add_unplaced(reason, count);
            }
            for (source, fault, count) in controller.counters.rejections.drain() {
                shared.metrics.rejected().add_many(source, fault, count);
            }
        }
    }

    /// Keeps the reply channel of a request under a new ticket, and makes the request an event.
    fn register(&mut self, request: Inbound) -> Event {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        match request {
            Inbound::User(request, reply) => {
                self.users.insert(ticket, reply);
                Event::User { ticket, request }
            }
            Inbound::Admin(request, reply) => {
                self.admins.insert(ticket, reply);
                Event::Admin { ticket, request }
            }
            Inbound::Heartbeat(report, reply) => {
                self.heartbeats.insert(ticket, reply);
                Event::Heartbeat { ticket, report }
            }
        }
    }

    /// Executes an effect. Calls over HTTP run in a detached task each: every one has a timeout, and its
    /// outcome comes back as an event.
    fn execute(&mut self, effect: Effect) {
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
                if let Some(sender) = self.users.remove(&ticket) {
                    let _ = sender.send(reply);
                }
            }
            Effect::Admin { ticket, reply } => {
                if let Some(sender) = self.admins.remove(&ticket) {
                    let _ = sender.send(reply);
                }
            }
            Effect::Heartbeat { ticket, reply } => {
                if let Some(sender) = self.heartbeats.remove(&ticket) {
                    let _ = sender.send(reply);
                }
            }
        }
    }
}
