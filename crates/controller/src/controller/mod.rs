//! The [`Controller`], which passes events to its components and runs their recurring work.
//!
//! Each component owns its state. [`Controller::handle`] passes an event to the component that handles it,
//! then runs the recurring work of all components in a fixed order, and returns the effects.

pub mod admin;
mod admission;
mod call_kind;
mod cancellations;
mod counters;
mod crash_loop;
mod events;
mod fleet_planner;
mod heartbeat_checks;
mod heartbeats;
mod job_archiver;
mod leader_election;
mod leadership;
mod linearizable_reads;
mod load_partition;
mod machine_records;
mod mesh_messages;
mod peers;
mod pending_request;
mod standby;
mod state_replies;
mod state_sync;
mod user_requests;

use crate::controller_lease::ControllerLease;
use crate::job_status_cache::JobStatusCache;
use crate::pending_calls::PendingCalls;
use crate::registration::Registration;
use crate::request_budget::{CallPriority, TokenBucket};
use crate::state_cache::StateCache;
use crate::state_client::{QueuedCall, StateClient};
use crate::state_sync::StateSync;
use admission::Admission;
use call_kind::CallKind;
use cancellations::Cancellations;
use fleet_planner::FleetPlanner;
use leader_election::LeaderElection;
use leadership::PartitionLeadership;
use linearizable_reads::LinearizableReads;
use machine_records::MachineChanges;
use model::{CallId, ControllerName, DurationExt, PartitionId, Settings, Timestamp, ZoneName};
use peers::PeerRegistry;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wire::cloud::CloudRequest;
use wire::mesh::MeshMessage;
use wire::state::StateRequest;

pub use counters::Counters;
pub use events::{
    DirectReply, Effect, Event, HeartbeatReply, Ticket, Tuning, UserReply, UserRequest,
};
pub(crate) use pending_request::{PendingRequest, RequestKind};

/// One controller process.
pub struct Controller {
    settings: Settings,
    tuning: Tuning,
    rng: SmallRng,
    now: Timestamp,
    registration: Registration,
    controllers: Vec<(ControllerName, ZoneName)>,
    cache: StateCache,
    state_sync: StateSync,
    /// Start of the process or end of its last pause. Messages from before this time may have been missed,
    /// so their absence proves nothing.
    running_since: Timestamp,
    /// How far the controllers' logical clock is ahead of this controller's monotonic clock.
    logical_clock_offset: Duration,
    lease: ControllerLease,
    calls: PendingCalls<CallKind>,
    state_client: StateClient,
    /// Puts that the archiving of terminal jobs may use.
    archive_budget: TokenBucket,
    leaderships: BTreeMap<PartitionId, PartitionLeadership>,
    leader_election: LeaderElection,
    peers: PeerRegistry,
    statuses_reported_at: Timestamp,
    /// The last write of each partition's unmet demand.
    demand_writes: HashMap<PartitionId, leadership::DemandWrite>,
    job_status: JobStatusCache,
    reads: LinearizableReads,
    admission: Admission,
    cancellations: Cancellations,
    machine_changes: MachineChanges,
    fleet_planner: FleetPlanner,
    standby: standby::Standby,
    effects: Vec<Effect>,
    pub counters: Counters,
}

/// [`Controller::handle`] is called at least ten times a second; a gap of this length or more means that
/// the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Longest time between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum age of the last read of changes at which a controller is healthy regardless of its peers.
const MAX_HEALTHY_READ_AGE: Duration = Duration::from_secs(4);
/// A peer whose last heartbeat is older is assumed not to serve users.
const MAX_PEER_SILENCE: Duration = Duration::from_secs(2);
/// Longest time for which a watch asks the state service to wait for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Maximum age of the last read of changes at which tasks may be launched.
const MAX_LAUNCH_READ_AGE: Duration = Duration::from_millis(4_500);
/// The partition whose leader also runs the fleet planner.
pub(crate) const FLEET_PLANNER_PARTITION: PartitionId = PartitionId(0);

impl Controller {
    /// Creates the controller of a process that has just started. `seed` must be random: the incarnation
    /// is derived from it.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let controllers = settings.controllers();
        let state_client = StateClient::new(&settings.state_limits, controllers.len());
        let archive_budget =
            job_archiver::archive_budget(&settings.state_limits, controllers.len());
        Controller {
            tuning: Tuning::default(),
            rng: SmallRng::seed_from_u64(seed),
            now: Timestamp::default(),
            registration: Registration::new(seed >> 12),
            controllers,
            cache: StateCache::default(),
            state_sync: StateSync::default(),
            running_since: Timestamp::default(),
            logical_clock_offset: Duration::ZERO,
            lease: ControllerLease::default(),
            calls: PendingCalls::default(),
            state_client,
            archive_budget,
            leaderships: BTreeMap::new(),
            leader_election: LeaderElection::default(),
            peers: PeerRegistry::default(),
            statuses_reported_at: Timestamp::default(),
            demand_writes: HashMap::new(),
            job_status: JobStatusCache::default(),
            reads: LinearizableReads::default(),
            admission: Admission::default(),
            cancellations: Cancellations::default(),
            machine_changes: MachineChanges::default(),
            fleet_planner: FleetPlanner::new(settings.cloud_requests_per_s),
            standby: standby::Standby::default(),
            effects: Vec::new(),
            counters: Counters::default(),
            settings,
        }
    }

    /// Handles an event and returns the effects. `now` is the time since the start of the process.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        if now.duration_since(self.now) >= PAUSE_THRESHOLD {
            self.handle_pause(now);
        }
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::State { call, reply } => self.handle_state_reply(call, reply),
            Event::Cloud { call, reply } => self.handle_cloud_reply(call, reply),
            Event::Worker { call, reply } => self.handle_worker_reply(call, reply),
            Event::Mesh { from, message } => self.handle_mesh_message(from, message),
            Event::User { ticket, request } => self.handle_user_request(ticket, request),
            Event::Heartbeat { ticket, report } => self.handle_heartbeat(ticket, *report),
            Event::Admin { ticket, request } => self.handle_admin_request(ticket, request),
        }
        self.step();
        std::mem::take(&mut self.effects)
    }

    /// Handles a pause of the process, during which all clocks ran on. Lease validity counts from when the
    /// confirming request was sent, so a pause does not affect it. But messages that are missing after a
    /// pause prove nothing about their senders, so timeouts for them are extended or start again.
    fn handle_pause(&mut self, now: Timestamp) {
        let pause = now.duration_since(self.now);
        tracing::warn!(pause_ms = pause.whole_millis(), "process was paused");
        self.counters.pauses += 1;
        self.running_since = now;
        self.peers.shift_heartbeats(pause);
        self.leader_election.restart_vacancies(now);
        for leadership in self.leaderships.values_mut() {
            if let Some(partition_state) = leadership.partition_state_mut() {
                partition_state.running_since = now;
            }
        }
    }

    /// Runs the recurring work of all components. Their order is part of the controller's behaviour.
    fn step(&mut self) {
        self.drive_state_sync();
        self.maintain_lease();
        self.maintain_leadership();
        self.advance_partitions();
        self.run_fleet_planner();
        self.send_peer_heartbeats();
        self.maintain_standby();
        self.write_machine_changes();
        self.advance_admission();
        self.advance_cancellations();
        self.advance_reads();
        self.dispatch_state_calls();
    }

    /// When the next [`Event::Tick`] is due at the latest.
    pub fn next_tick(&self) -> Timestamp {
        let mut next = self.now + MAX_TICK_INTERVAL;
        for leadership in self.leaderships.values() {
            if let Some(at) = leadership.next_wakeup(self.now) {
                next = next.min(at);
            }
        }
        if let Some(at) = self.next_read_due_at() {
            next = next.min(at);
        }
        if let Some(at) = self.state_client.next_wakeup(self.now) {
            next = next.min(at);
        }
        next.max(self.now + MIN_TICK_INTERVAL)
    }

    /// Whether user requests may be routed to this controller.
    pub fn healthy(&self) -> bool {
        let is_synced = self.state_sync.is_synced();
        if is_synced && self.has_recent_state_read(MAX_HEALTHY_READ_AGE) {
            return true;
        }
        // If no controller reaches the state service, reporting unhealthy helps no user and delays
        // recovery. A controller that receives no peer heartbeats either is cut off itself, and its peers
        // may still serve users.
        let any_peer_serves = self.peers.any_has_state_contact(MAX_PEER_SILENCE, self.now);
        let is_isolated = self.peers.are_all_silent(MAX_PEER_SILENCE, self.now);
        is_synced && !any_peer_serves && !is_isolated
    }

    /// Whether a confirmed read of changes was sent at most `max_age` ago.
    fn has_recent_state_read(&self, max_age: Duration) -> bool {
        self.state_sync.has_recent_read(self.now, max_age)
    }

    /// Time on the controllers' logical clock in milliseconds. This is a Lamport clock: it follows the
    /// monotonic clock and is moved ahead to the times in records that this controller has read. It orders
    /// submissions across restarts and failovers; no safety rule depends on it.
    fn logical_time_ms(&self) -> u64 {
        self.now
            .as_millis()
            .saturating_add(self.logical_clock_offset.whole_millis())
    }

    fn own_name(&self) -> &ControllerName {
        &self.settings.name
    }

    /// Queues a call to the state service.
    fn queue_state_request(
        &mut self,
        priority: CallPriority,
        request: StateRequest,
        kind: CallKind,
    ) {
        let call = self.calls.register(kind);
        self.state_client
            .enqueue(priority, QueuedCall { call, request });
    }

    /// Sends a request to the cloud.
    fn send_cloud_request(&mut self, request: CloudRequest, kind: CallKind) -> CallId {
        let call = self.calls.register(kind);
        self.counters.cloud_calls += 1;
        self.effects.push(Effect::Cloud { call, request });
        call
    }

    /// Sends a message to a peer.
    fn send_to_peer(&mut self, to: &ControllerName, message: MeshMessage) {
        self.effects.push(Effect::Mesh {
            to: to.clone(),
            message,
        });
    }

    /// Sends a message to all peers.
    fn broadcast(&mut self, message: MeshMessage) {
        for peer in self
            .settings
            .peers
            .iter()
            .map(|peer| peer.name.clone())
            .collect::<Vec<_>>()
        {
            self.send_to_peer(&peer, message.clone());
        }
    }

    /// Queues a call again after a delay, because its outcome is unknown or it was refused.
    fn retry_later(
        &mut self,
        delay: Duration,
        priority: CallPriority,
        request: StateRequest,
        kind: CallKind,
    ) {
        let call = self.calls.register(kind);
        self.state_client.retry_after(
            self.now,
            delay,
            &mut self.rng,
            priority,
            QueuedCall { call, request },
        );
    }

    /// Whether a transaction with this many writes would be sent immediately.
    fn may_write(&mut self, priority: CallPriority, writes: f64) -> bool {
        self.state_client.may_write(self.now, priority, writes)
    }

    /// Sends the queued calls that the budgets allow.
    fn dispatch_state_calls(&mut self) {
        for dispatched in self.state_client.dispatch(self.now) {
            self.counters.state_calls += 1;
            self.counters.state_writes += dispatched.write_cost as u64;
            self.effects.push(Effect::State {
                call: dispatched.call,
                request: dispatched.request,
                timeout: dispatched.timeout,
            });
        }
    }

    /// Sends a reply to a user.
    fn reply_user(&mut self, ticket: Ticket, reply: UserReply) {
        if let UserReply::Busy { .. } = reply {
            *self.counters.refusals.entry("busy").or_default() += 1;
        }
        self.effects.push(Effect::User { ticket, reply });
    }
}
