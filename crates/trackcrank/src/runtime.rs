//! Runs the controller: an event loop passes events to it and executes the effects that it returns.

use crate::clients::HttpClient;
use crate::error::ServeError;
use crate::inbound::{request_queue, InboundRequest, ServerContext};
use crate::metrics::Metrics;
use crate::{mesh, server};
use controller::controller::Ticket;
use controller::{AdminReply, Controller, Effect, Event, HeartbeatReply, UserReply};
use model::{ControllerName, Settings, Timestamp};
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use wire::mesh::MeshMessage;

/// Capacity of the queue of events for the event loop: outcomes of effects, and messages of peers.
const MAX_QUEUED_EVENTS: usize = 1024;

/// Runs a controller until the process is killed or the HTTP server fails.
pub fn serve(settings: Settings) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> Result<(), ServeError> {
    let (request_sender, requests) = request_queue();
    let (event_sender, events) = mpsc::channel::<Event>(MAX_QUEUED_EVENTS);
    let metrics = Arc::new(Metrics::new()?);
    let client = HttpClient::new(Some(metrics.rejected_messages().clone()));
    let mesh_address = settings.mesh_address;
    mesh::listen(
        mesh_address,
        event_sender.clone(),
        metrics.rejected_messages().clone(),
    )
    .await
    .map_err(|source| ServeError::MeshListener {
        address: mesh_address,
        source,
    })?;
    let context = ServerContext {
        requests: request_sender,
        healthy: Arc::new(AtomicBool::new(false)),
        metrics,
    };
    let address = settings.listen_address;
    // In a task of its own, so that requests are read while the event loop is busy. The `select!` below
    // notices when it ends.
    let server = tokio::spawn(server::run(address, context.clone()));
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
    let event_loop = EventLoop {
        client,
        state_address: settings.state_address,
        cloud_address: settings.cloud_address,
        event_sender,
        peers,
        user_replies: HashMap::new(),
        heartbeat_replies: HashMap::new(),
        admin_replies: HashMap::new(),
        last_ticket: 0,
    };
    tokio::select! {
        result = server => Err(match result {
            Ok(Err(source)) => ServeError::HttpServer { address, source },
            _ => ServeError::ServerStopped,
        }),
        () = event_loop.run(Controller::new(settings, seed), requests, events, context) => Ok(()),
    }
}

/// The event loop, with its connections and the requests that await a reply.
struct EventLoop {
    client: HttpClient,
    state_address: SocketAddr,
    cloud_address: SocketAddr,
    /// Sends the outcomes of effects back to the loop.
    event_sender: mpsc::Sender<Event>,
    /// Queues of messages for the peers.
    peers: HashMap<ControllerName, mpsc::Sender<MeshMessage>>,
    /// Reply channels of the requests that await a reply, by ticket; likewise the two maps below.
    user_replies: HashMap<Ticket, oneshot::Sender<UserReply>>,
    heartbeat_replies: HashMap<Ticket, oneshot::Sender<HeartbeatReply>>,
    admin_replies: HashMap<Ticket, oneshot::Sender<AdminReply>>,
    /// The ticket that was last given out.
    last_ticket: Ticket,
}

impl EventLoop {
    /// Handles events, requests and ticks until the process ends.
    async fn run(
        mut self,
        mut controller: Controller,
        mut requests: mpsc::Receiver<InboundRequest>,
        mut events: mpsc::Receiver<Event>,
        context: ServerContext,
    ) {
        let start = Instant::now();
        let now = || Timestamp::from_millis(start.elapsed().as_millis() as u64);
        loop {
            let next_tick = start + Duration::from_millis(controller.next_tick().as_millis());
            let event = tokio::select! {
                biased;
                Some(event) = events.recv() => event,
                Some(request) = requests.recv() => self.register_request(request),
                () = tokio::time::sleep_until(next_tick) => Event::Tick,
            };
            for effect in controller.handle(now(), event) {
                self.execute(effect);
            }
            context
                .healthy
                .store(controller.healthy(), Ordering::Relaxed);
            for latency_ms in controller.counters.placement_waits_ms.drain(..) {
                context.metrics.observe_start_latency(latency_ms);
            }
            for (reason, count) in controller.counters.unplaced.drain() {
                context.metrics.add_unplaced_tasks(reason, count);
            }
            for (source, fault, count) in controller.counters.rejections.drain() {
                context
                    .metrics
                    .rejected_messages()
                    .add_many(source, fault, count);
            }
        }
    }

    /// Stores the reply channel of a request under a new ticket, and turns the request into an event.
    fn register_request(&mut self, request: InboundRequest) -> Event {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        match request {
            InboundRequest::User(request, reply) => {
                self.user_replies.insert(ticket, reply);
                Event::User { ticket, request }
            }
            InboundRequest::Admin(request, reply) => {
                self.admin_replies.insert(ticket, reply);
                Event::Admin { ticket, request }
            }
            InboundRequest::Heartbeat(report, reply) => {
                self.heartbeat_replies.insert(ticket, reply);
                Event::Heartbeat { ticket, report }
            }
        }
    }

    /// Executes an effect. Each HTTP request runs in a detached task: it has a timeout, and its outcome
    /// comes back as an event.
    fn execute(&mut self, effect: Effect) {
        let client = self.client.clone();
        let event_sender = self.event_sender.clone();
        match effect {
            Effect::State {
                call,
                request,
                timeout,
            } => {
                let state_address = self.state_address;
                tokio::spawn(async move {
                    let reply = client
                        .call_state_service(state_address, &request, timeout)
                        .await;
                    let _ = event_sender.send(Event::State { call, reply }).await;
                });
            }
            Effect::Cloud { call, request } => {
                let cloud_address = self.cloud_address;
                tokio::spawn(async move {
                    let reply = client.call_cloud(cloud_address, &request).await;
                    let _ = event_sender.send(Event::Cloud { call, reply }).await;
                });
            }
            Effect::Worker {
                call,
                address,
                body,
                timeout,
            } => {
                tokio::spawn(async move {
                    let reply = client.send_commands(&address, &body, timeout).await;
                    let _ = event_sender.send(Event::Worker { call, reply }).await;
                });
            }
            Effect::Mesh { to, message } => {
                if let Some(peer) = self.peers.get(&to) {
                    let _ = peer.try_send(message);
                }
            }
            Effect::User { ticket, reply } => {
                if let Some(sender) = self.user_replies.remove(&ticket) {
                    let _ = sender.send(reply);
                }
            }
            Effect::Admin { ticket, reply } => {
                if let Some(sender) = self.admin_replies.remove(&ticket) {
                    let _ = sender.send(reply);
                }
            }
            Effect::Heartbeat { ticket, reply } => {
                if let Some(sender) = self.heartbeat_replies.remove(&ticket) {
                    let _ = sender.send(reply);
                }
            }
        }
    }
}
