//! The node: its state, its events and its effects.

use model::DurationExt;
use std::time::Duration;
pub mod admin;
mod admission;
mod cancellations;
mod crash_loop;
mod fleet_planner;
mod heartbeat_checks;
mod heartbeats;
mod job_archiver;
mod leadership;
mod linearizable_reads;
mod load_partition;
mod machine_records;
mod membership;
mod standby;
mod state_sync;
mod user_requests;

use crate::controller_lease::{ControllerLease, LeaseCall};
use crate::job_status_cache::JobStatusCache;
use crate::pending_calls::PendingCalls;
use crate::placement_log::CommitId;
use crate::registration::Registration;
use crate::rejections::RejectionCounts;
use crate::request_budget::CallPriority;
use crate::state_cache::StateCache;
use crate::state_client::{QueuedCall, StateClient};
use crate::state_sync::{StateSync, SyncCall};
use admin::{AdminReply, AdminRequest};
use admission::Admission;
use autoscaler::FleetPolicy;
use cancellations::Cancellations;
use fleet_planner::FleetPlanner;
use leadership::PartitionLeadership;
use linearizable_reads::LinearizableReads;
use machine_records::MachineChanges;
use model::{
    CallId, ControllerName, FencingToken, JobId, MachineName, PartitionId, RejectReason, Settings,
    Timestamp, ZoneName,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use scheduler::{Policy, TaskAttempt};
use scheduling_queue::QueueConfig;
use std::collections::{BTreeMap, HashMap, HashSet};
use wire::cloud::{CloudReply, CloudRequest, RentRequest};
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest};
use wire::users::{JobRequest, JobStatus};
use wire::workers::{DirectCommands, Heartbeat, HeartbeatResponse};

/// What operators may change at run time. Nothing here can loosen a rule.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tuning {
    pub queue: QueueConfig,
    pub policy: Policy,
    pub fleet: FleetPolicy,
}

/// Identifies a request that waits for its answer.
pub type Ticket = u64;

/// A user's request, its body already read.
#[derive(Debug, Clone)]
pub enum UserRequest {
    Submit(Box<JobRequest>),
    Get(JobId),
    Cancel(JobId),
}

/// An answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub enum UserReply {
    Created(JobStatus),
    Status(JobStatus),
    NotFound,
    Invalid(String),
    Rejected(RejectReason),
    /// Refused at once; come back after so many seconds.
    Busy {
        retry_after_s: u64,
    },
}

/// An answer to a worker's report.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    Answer(HeartbeatResponse),
    Redirect(Option<ControllerName>),
    Unavailable,
    /// 400: nothing was concluded from it.
    Malformed,
}

/// How a direct call to a worker ended.
#[derive(Debug, Clone)]
pub enum DirectReply {
    /// Executed, or refused as a whole; either way it will not be executed later.
    Answered(Box<Heartbeat>),
    /// No usable answer: it may yet be executed.
    Unknown,
}

/// What happens to the node.
#[derive(Debug, Clone)]
pub enum Event {
    Tick,
    State {
        call: CallId,
        reply: StateReply,
    },
    Cloud {
        call: CallId,
        reply: CloudReply,
    },
    Worker {
        call: CallId,
        reply: DirectReply,
    },
    Mesh {
        from: ControllerName,
        message: MeshMessage,
    },
    User {
        ticket: Ticket,
        request: UserRequest,
    },
    Heartbeat {
        ticket: Ticket,
        report: Box<Heartbeat>,
    },
    Admin {
        ticket: Ticket,
        request: AdminRequest,
    },
}

/// What the node wants done.
#[derive(Debug, Clone)]
pub enum Effect {
    State {
        call: CallId,
        request: StateRequest,
        timeout: Duration,
    },
    Cloud {
        call: CallId,
        request: CloudRequest,
    },
    Worker {
        call: CallId,
        address: String,
        body: DirectCommands,
        timeout: Duration,
    },
    Mesh {
        to: ControllerName,
        message: MeshMessage,
    },
    User {
        ticket: Ticket,
        reply: UserReply,
    },
    Heartbeat {
        ticket: Ticket,
        reply: HeartbeatReply,
    },
    Admin {
        ticket: Ticket,
        reply: AdminReply,
    },
}

/// A user's request that waits for a read of the state service.
#[derive(Debug, Clone)]
pub(crate) struct PendingRequest {
    ticket: Ticket,
    kind: RequestKind,
    id: JobId,
    since: Timestamp,
}

/// What a user's request asks for.
#[derive(Debug, Clone)]
pub(crate) enum RequestKind {
    Get,
    Cancel {
        /// How often its write has met a conflict.
        conflicts: u32,
    },
    /// A submission of a job that may be known already; if it is not, it is rejected.
    Resubmit {
        reject: Option<RejectReason>,
    },
    /// A submission that this node has accepted durably.
    Accepted,
}

/// Why a call was made.
#[derive(Debug)]
pub(crate) enum CallKind {
    /// A read that keeps the state cache up to date.
    Sync(SyncCall),
    /// A read of changes that answers these requests.
    ReadChanges(Vec<PendingRequest>),
    /// Creation or renewal of the controller's lease.
    Lease(LeaseCall),
    /// Registration of this incarnation.
    Boot,
    Acquire(PartitionId),
    HandOver {
        partition: PartitionId,
        to: ControllerName,
    },
    /// A higher token for all machines of a partition.
    RaiseAll {
        partition: PartitionId,
        term: u64,
        token: u64,
    },
    /// A wish for our home partition.
    Wish,
    /// What a partition lacks.
    Demand,
    /// A partition given up.
    GiveUp(PartitionId),
    /// A call to a worker of a partition that we gave up: does it reach us again?
    Probe {
        partition: PartitionId,
        machine: MachineName,
    },
    /// A question to a machine that has been quiet: is it there?
    Ask {
        partition: PartitionId,
        machine: MachineName,
    },
    LedgerList {
        partition: PartitionId,
        term: u64,
    },
    LedgerWrite {
        partition: PartitionId,
        term: u64,
    },
    LedgerProof {
        partition: PartitionId,
        term: u64,
        id: CommitId,
    },
    /// A write of accepted jobs.
    Accept,
    /// A write of cancellations.
    Cancel,
    FinalRead {
        request: PendingRequest,
    },
    /// Whether these jobs have no final state.
    CompareFinals(Vec<PendingRequest>),
    Ends {
        partition: PartitionId,
        term: u64,
    },
    /// Changes of machines' records.
    Machines,
    TypesWrite,
    TuningWrite {
        ticket: Ticket,
    },
    Types,
    Rent {
        request: RentRequest,
        partition: PartitionId,
    },
    Release(Vec<MachineName>),
    CloudList {
        gathered: Vec<wire::cloud::ListedMachine>,
    },
    Direct {
        partition: PartitionId,
        machine: MachineName,
        launches: Vec<TaskAttempt>,
    },
}

/// What a peer said last.
#[derive(Debug, Clone)]
pub(crate) struct PeerStatus {
    last_seen_at: Timestamp,
    incarnation: u64,
    state_contact: bool,
    ready: bool,
    /// How long before that it had heard others.
    peer_heartbeat_ages: Vec<(ControllerName, Duration)>,
}

/// Counts for the metrics.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    pub takeovers: u64,
    pub hand_overs: u64,
    /// Partitions taken from holders whose records stood, and those of them whose holders lived.
    pub early_takeovers: u64,
    pub wrong_takeovers: u64,
    pub stood_still: u64,
    /// Jobs that were stopped by another node's word, before the record of their cancellation was read.
    pub cancelled_by_word: u64,
    /// Reports that were not answered since a launch of a cancelled task could still have come.
    pub answers_withheld: u64,
    pub state_calls: u64,
    pub state_writes: u64,
    pub state_refused: u64,
    pub cloud_calls: u64,
    pub cloud_refused: u64,
    pub refusals: BTreeMap<&'static str, u64>,
    /// Messages that changed nothing, to be drained by the metrics.
    pub rejections: RejectionCounts,
    /// Waits from first sight to placement (ms), to be drained by the metrics.
    pub waits: Vec<u64>,
}

/// A controller node.
pub struct Controller {
    settings: Settings,
    tuning: Tuning,
    rng: SmallRng,
    now: Timestamp,
    registration: Registration,
    nodes: Vec<(ControllerName, ZoneName)>,
    cache: StateCache,
    state_sync: StateSync,
    /// Since when we have been running without a stop: what we have not heard before that, we may
    /// have been unable to hear.
    running_since: Timestamp,
    /// How far the nodes' common clock is ahead of ours.
    logical_clock_offset: Duration,
    lease: ControllerLease,
    calls: PendingCalls<CallKind>,
    state_client: StateClient,
    leaderships: BTreeMap<PartitionId, PartitionLeadership>,
    /// Terms under which partitions were handed over: they are not taken up again.
    relinquished_terms: HashMap<PartitionId, FencingToken>,
    /// Partitions of ours that are to be taken anew, under a term of their own: our idea of them was wrong.
    /// The term that was wrong, and when a new one was tried for.
    renewed: HashMap<PartitionId, (FencingToken, Timestamp)>,
    acquiring: HashSet<PartitionId>,
    vacant_since: HashMap<PartitionId, Timestamp>,
    peers: BTreeMap<ControllerName, PeerStatus>,
    reclaim_requested_at: Option<Timestamp>,
    /// Since when another node holds our home partition while we could.
    displaced_since: Option<Timestamp>,
    reclaim_pending: bool,
    /// When others told us that they gave a partition up.
    resigned_at: HashMap<PartitionId, HashMap<ControllerName, Timestamp>>,
    /// Partitions given up since their workers do not reach us.
    reacquisition_backoffs: BTreeMap<PartitionId, membership::ReacquisitionBackoff>,
    alive_at: Timestamp,
    load_at: Timestamp,
    /// The last writes of partitions' unmet demand.
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

/// The loop turns ten times a second; after a longer pause we must have stood still.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Longest wait of the watch.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Launches need changes read not longer ago than this.
const MAX_LAUNCH_READ_AGE: Duration = Duration::from_millis(4_500);
/// The partition whose holder is the leader.
pub(crate) const FLEET_PLANNER_PARTITION: PartitionId = PartitionId(0);

impl Controller {
    /// A node that has just started. `seed` must be random, it names the incarnation.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let nodes = settings.nodes();
        let state_client = StateClient::new(&settings.state_limits, nodes.len());
        Controller {
            tuning: Tuning::default(),
            rng: SmallRng::seed_from_u64(seed),
            now: Timestamp::default(),
            registration: Registration::new(seed >> 12),
            nodes,
            cache: StateCache::default(),
            state_sync: StateSync::default(),
            running_since: Timestamp::default(),
            logical_clock_offset: Duration::ZERO,
            lease: ControllerLease::default(),
            calls: PendingCalls::default(),
            state_client,
            leaderships: BTreeMap::new(),
            relinquished_terms: HashMap::new(),
            renewed: HashMap::new(),
            acquiring: HashSet::new(),
            vacant_since: HashMap::new(),
            peers: BTreeMap::new(),
            reclaim_requested_at: None,
            displaced_since: None,
            reclaim_pending: false,
            resigned_at: HashMap::new(),
            reacquisition_backoffs: BTreeMap::new(),
            alive_at: Timestamp::default(),
            load_at: Timestamp::default(),
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

    /// Takes in an event at a steady time and returns what is to be done.
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

    /// We stood still while clocks ran on. Rights are judged by when their evidence was sent, so
    /// nothing changes for them; but the silence of others was our own.
    fn handle_pause(&mut self, now: Timestamp) {
        let stood = now.duration_since(self.now);
        tracing::warn!(stood_ms = stood.whole_millis(), "stood still");
        self.counters.stood_still += 1;
        self.running_since = now;
        for peer in self.peers.values_mut() {
            peer.last_seen_at += stood;
        }
        for since in self.vacant_since.values_mut() {
            *since = now;
        }
        for leadership in self.leaderships.values_mut() {
            if let Some(partition_state) = leadership.partition_state_mut() {
                partition_state.running_since = now;
            }
        }
    }

    /// The loops that work out the difference between what is wanted and what is.
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

    /// When the next `Tick` is due at the latest.
    pub fn next_tick(&self) -> Timestamp {
        let mut next = self.now + Duration::from_millis(100);
        for leadership in self.leaderships.values() {
            if let Some(at) = leadership.next_wakeup(self.now) {
                next = next.min(at);
            }
        }
        if let Some(at) = self.next_read() {
            next = next.min(at);
        }
        if let Some(at) = self.state_client.next_wakeup(self.now) {
            next = next.min(at);
        }
        next.max(self.now + Duration::from_millis(2))
    }

    /// Whether users may be sent here.
    pub fn healthy(&self) -> bool {
        let is_synced = self.state_sync.is_synced();
        if is_synced && self.has_recent_state_read(Duration::from_secs(4)) {
            return true;
        }
        // When nobody has contact, going unhealthy helps nobody and costs time afterwards. Who hears none
        // of the others either is cut off itself: they may serve.
        let sends_heartbeats =
            |p: &&PeerStatus| self.now.duration_since(p.last_seen_at) <= Duration::from_secs(2);
        let peer_serves = self
            .peers
            .values()
            .filter(sends_heartbeats)
            .any(|p| p.state_contact);
        let alone = !self.peers.is_empty() && !self.peers.values().any(|p| sends_heartbeats(&p));
        is_synced && !peer_serves && !alone
    }

    fn has_recent_state_read(&self, max_age: Duration) -> bool {
        self.state_sync.has_recent_read(self.now, max_age)
    }

    /// Now on a clock that all nodes share: each reads its steady clock and goes ahead as far as
    /// the records that it sees (a Lamport clock in ms). It orders submissions across restarts and
    /// takeovers; no right or proof hangs on it.
    fn logical_time(&self) -> u64 {
        self.now
            .as_millis()
            .saturating_add(self.logical_clock_offset.whole_millis())
    }

    fn own_name(&self) -> &ControllerName {
        &self.settings.name
    }

    /// Queues a call to the state service.
    fn state(&mut self, priority: CallPriority, request: StateRequest, kind: CallKind) {
        let call = self.calls.register(kind);
        self.state_client
            .enqueue(priority, QueuedCall { call, request });
    }

    fn cloud(&mut self, request: CloudRequest, purpose: CallKind) -> CallId {
        let call = self.calls.register(purpose);
        self.counters.cloud_calls += 1;
        self.effects.push(Effect::Cloud { call, request });
        call
    }

    fn mesh(&mut self, to: &ControllerName, message: MeshMessage) {
        self.effects.push(Effect::Mesh {
            to: to.clone(),
            message,
        });
    }

    fn broadcast(&mut self, message: MeshMessage) {
        for peer in self
            .settings
            .peers
            .iter()
            .map(|p| p.name.clone())
            .collect::<Vec<_>>()
        {
            self.mesh(&peer, message.clone());
        }
    }

    /// Repeats a call after a pause: its outcome is unknown, or it was refused.
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

    /// Whether a transaction of so many writes would be sent at once.
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

    fn reply_user(&mut self, ticket: Ticket, reply: UserReply) {
        if let UserReply::Busy { .. } = reply {
            *self.counters.refusals.entry("busy").or_default() += 1;
        }
        self.effects.push(Effect::User { ticket, reply });
    }
}
