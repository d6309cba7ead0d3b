//! The state of one partition: its jobs, machines, teams and scheduling queue.
//!
//! [`PartitionState`] keeps what concerns several of them; each part that has rules of its own is a
//! type in a module of its own. The operations on the state are in the modules named after them:
//! `job_lifecycle`, `placements`, `durability`, `guarantees`, `leases`, `reconciliation`, `commands`.

use crate::capacity_index::CapacityIndex;
use crate::job::Job;
use crate::job_probes::JobProbes;
use crate::machine::Machine;
use crate::placement::Placement;
use crate::policy::Policy;
use crate::preemption_candidates::PreemptionCandidates;
use crate::progress::UncommittedProgress;
use crate::queue_entry::{EntryKey, Rank};
use crate::quotas::TeamQuotas;
use crate::reserved_capacity::{GangReservation, Reservation};
use crate::suitability::RejectionCounts;
use crate::zone_alarms::ZoneAlarms;
use model::DurationExt;
use model::{FencingToken, JobId, MachineName, Resources, TaskId, TeamName, Timestamp, ZoneName};
use scheduling_queue::{QueueConfig, SchedulingQueue};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use wire::cloud::MachineType;

/// The state of a partition under one leader.
#[derive(Debug)]
pub struct PartitionState {
    pub policy: Policy,
    /// Duration of a worker's lease.
    pub lease_duration: Duration,
    /// How long tasks of a gang wait for each other.
    pub gang_start_timeout: Duration,
    /// Regular interval between heartbeats; workers may take a quarter longer.
    pub heartbeat_interval: Duration,
    /// Since when this process has been running without interruption. Missed heartbeats before that
    /// prove nothing about workers.
    pub running_since: Timestamp,
    /// Since when this controller has led the partition.
    pub leading_since: Timestamp,
    /// Most machines have sent a heartbeat since then, or have had the time to.
    pub(crate) inventory_known: bool,
    /// How far the clock of [`Job::submitted_at_ms`], which all controllers share, is ahead of this controller's.
    pub logical_clock_offset: Duration,
    /// Until when a previous leader may have renewed the lease of any machine.
    pub predecessors_valid_until: Timestamp,
    /// Time within which jobs of a class should complete if they have no deadline of their own.
    pub completion_objectives: BTreeMap<String, Duration>,
    /// Waiting work would take longer than its users are prepared to wait.
    pub(crate) overloaded: bool,
    /// Zones in which machines are offered, the nearest first.
    pub zones: Vec<ZoneName>,
    /// Gangs that did not fit and wait, one of each kind.
    pub(crate) waiting_gangs: Vec<JobId>,
    /// Machine types that are offered, see [`PartitionState::set_machine_types`].
    pub(crate) machine_types: Vec<MachineType>,
    /// Machines that are kept for gangs that did not fit.
    pub(crate) gang_reservations: BTreeMap<JobId, GangReservation>,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<MachineName, Machine>,
    pub teams: TeamQuotas,
    pub queue: SchedulingQueue<EntryKey, Rank>,
    pub(crate) term: FencingToken,
    /// Number of attempts that were started under this term.
    pub(crate) attempts: u64,
    pub(crate) uncommitted: UncommittedProgress,
    /// Jobs that have reached their terminal state, which is not written yet.
    pub(crate) finished: Vec<JobId>,
    /// Machines to which commands are to be sent without waiting for their next heartbeat.
    pub(crate) urgent_machines: BTreeSet<MachineName>,
    /// Free capacity that is kept for entries for which tasks are being preempted.
    pub(crate) reservations: HashMap<EntryKey, Reservation>,
    /// The machines that accept tasks, by free capacity and cached images.
    pub(crate) capacity_index: CapacityIndex,
    /// When the capacity index was last refreshed.
    pub(crate) capacity_index_refreshed_at: Timestamp,
    pub(crate) zone_alarms: ZoneAlarms,
    pub(crate) preemption_candidates: PreemptionCandidates,
    /// Jobs that are not best-effort and lately found no free capacity: when.
    pub(crate) unplaced_since: BTreeMap<JobId, Timestamp>,
    pub(crate) job_probes: JobProbes,
    /// When replicas were last consolidated.
    pub(crate) consolidated_at: Timestamp,
    /// How often tasks found no machine, for the metrics.
    pub rejections: RejectionCounts,
    /// Times from submission to placement in milliseconds, for the metrics.
    pub placement_waits_ms: Vec<u64>,
}

impl PartitionState {
    /// The state of a partition without jobs and machines, led under `term`. Each team comes with its
    /// guarantee and its limit.
    pub fn new(
        teams: impl IntoIterator<Item = (TeamName, Resources, Resources)>,
        lease: Duration,
        policy: Policy,
        queue: QueueConfig,
        term: FencingToken,
    ) -> Self {
        PartitionState {
            policy,
            lease_duration: lease,
            gang_start_timeout: Duration::from_millis(u64::MAX),
            heartbeat_interval: Duration::ZERO,
            running_since: Timestamp::default(),
            leading_since: Timestamp::default(),
            inventory_known: false,
            logical_clock_offset: Duration::ZERO,
            predecessors_valid_until: Timestamp::default(),
            completion_objectives: BTreeMap::new(),
            overloaded: false,
            zones: Vec::new(),
            waiting_gangs: Vec::new(),
            machine_types: Vec::new(),
            gang_reservations: BTreeMap::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            teams: TeamQuotas::new(teams),
            queue: SchedulingQueue::new(queue),
            term,
            attempts: 0,
            uncommitted: UncommittedProgress::default(),
            finished: Vec::new(),
            urgent_machines: BTreeSet::new(),
            reservations: HashMap::new(),
            capacity_index: CapacityIndex::default(),
            capacity_index_refreshed_at: Timestamp::default(),
            zone_alarms: ZoneAlarms::default(),
            preemption_candidates: PreemptionCandidates::default(),
            unplaced_since: BTreeMap::new(),
            job_probes: JobProbes::default(),
            consolidated_at: Timestamp::default(),
            rejections: RejectionCounts::default(),
            placement_waits_ms: Vec::new(),
        }
    }

    /// The time in milliseconds on the clock of [`Job::submitted_at_ms`], which all controllers share.
    pub(crate) fn logical_time_ms(&self, now: Timestamp) -> u64 {
        now.as_millis()
            .saturating_add(self.logical_clock_offset.whole_millis())
    }

    /// The placement of a task.
    pub(crate) fn placement(&self, task: TaskId) -> Option<&Placement> {
        self.jobs.get(&task.job)?.placed.get(&task.index)
    }

    /// The placement of a task, to be changed.
    pub(crate) fn placement_mut(&mut self, task: TaskId) -> Option<&mut Placement> {
        self.jobs.get_mut(&task.job)?.placed.get_mut(&task.index)
    }

    /// The longest regular time between two heartbeats.
    pub(crate) fn longest_heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_interval.whole_millis() * 5 / 4)
    }

    /// A machine whose last heartbeat is older gets no new tasks. The timeout follows the interval:
    /// with a fixed 4 s, idle machines of a site with an interval of 6 s would take no tasks for part
    /// of the time.
    pub(crate) fn heartbeat_timeout(&self) -> Duration {
        self.longest_heartbeat_interval() + self.policy.heartbeat_grace
    }

    /// Sets the machine types that are offered. Work without GPUs runs on machines with GPUs only
    /// beside GPU work, unless no other type has enough capacity for it.
    pub fn set_machine_types(&mut self, types: &[MachineType]) {
        self.machine_types = types.to_vec();
        for job in self.jobs.values_mut() {
            job.colocated_only = job.spec.does_without_gpus(types);
        }
    }

    /// Adds a machine to the partition.
    pub fn add_machine(&mut self, machine: Machine, now: Timestamp) {
        let name = machine.name.clone();
        if self.machines.contains_key(&name) {
            return;
        }
        self.machines.insert(name, machine);
        self.queue.move_all(now);
    }

    /// Removes a machine: the cloud has confirmed that it and everything on it are gone, or it has left
    /// the partition while empty.
    pub fn remove_machine(&mut self, name: &MachineName, now: Timestamp) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
        for task in tasks {
            self.drop_placement(task, now, true);
        }
        self.cancel_reservations_on_machine(name);
        if let Some(mut machine) = self.machines.remove(name) {
            self.capacity_index.remove(&mut machine);
        }
    }

    /// Machines to which commands are to be sent without waiting for their next heartbeat, since the
    /// last call.
    pub fn take_urgent_machines(&mut self) -> BTreeSet<MachineName> {
        std::mem::take(&mut self.urgent_machines)
    }

    /// Addresses of at most `limit` machines, those with the most recent status first.
    pub fn addresses(&self, limit: usize) -> Vec<(MachineName, String)> {
        let mut reachable: Vec<&Machine> = self
            .machines
            .values()
            .filter(|machine| machine.address.is_some() && machine.reclaim_at.is_none())
            .collect();
        reachable.sort_by_key(|machine| Reverse(machine.last_seen_at));
        reachable
            .into_iter()
            .take(limit)
            .filter_map(|machine| Some((machine.name.clone(), machine.address.clone()?)))
            .collect()
    }
}
