//! The state of one partition: its jobs, machines, teams and scheduling queue.
//!
//! [`PartitionState`] holds the state that several modules work on; each part of it with rules of its
//! own is a type in a separate module. The operations on the state are implemented in the modules that
//! are named after them: `job_lifecycle`, `placements`, `durability`, `guarantees`, `leases`,
//! `reconciliation`, `commands`.

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
use crate::rejection::RejectionCounts;
use crate::reserved_capacity::{GangReservation, Reservation};
use crate::zone_alarms::ZoneAlarms;
use model::DurationExt;
use model::{FencingToken, JobId, MachineName, Resources, TaskId, TeamName, Timestamp, ZoneName};
use scheduling_queue::{QueueConfig, SchedulingQueue};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use wire::cloud::MachineType;

/// The state of a partition, as its leader keeps it during one term.
#[derive(Debug)]
pub struct PartitionState {
    pub policy: Policy,
    /// Time from the renewal of a worker's lease to its expiry.
    pub lease_duration: Duration,
    /// How long a gang's task waits for the other tasks of the gang to start.
    pub gang_start_timeout: Duration,
    /// Regular interval between two heartbeats of a worker. A worker may take a quarter longer.
    pub heartbeat_interval: Duration,
    /// Since when this process has been running without a pause. Heartbeats that were missed before
    /// prove nothing about the workers.
    pub running_since: Timestamp,
    /// Since when this controller has led the partition.
    pub leading_since: Timestamp,
    /// Most machines have sent a heartbeat to this leader, or have had the time to.
    pub(crate) inventory_known: bool,
    /// How far the clock of [`Job::submitted_at_ms`], which all controllers share, is ahead of this
    /// controller's steady clock.
    pub logical_clock_offset: Duration,
    /// The latest time at which a previous leader may have renewed the lease of a worker.
    pub predecessors_valid_until: Timestamp,
    /// Time within which a job of a class should complete if it has no deadline of its own, by class.
    pub completion_objectives: BTreeMap<String, Duration>,
    /// The waiting work would occupy the machines for longer than its users are prepared to wait.
    pub(crate) overloaded: bool,
    /// Zones in which machines can be rented, that of the partition's preferred leader first.
    pub zones: Vec<ZoneName>,
    /// Gangs that wait after they failed to fit, one for each set of placement requirements.
    pub(crate) waiting_gangs: Vec<JobId>,
    /// Machine types that the cloud offers, see [`PartitionState::set_machine_types`].
    pub(crate) machine_types: Vec<MachineType>,
    /// Machines that are reserved for gangs that did not fit.
    pub(crate) gang_reservations: BTreeMap<JobId, GangReservation>,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<MachineName, Machine>,
    pub teams: TeamQuotas,
    pub queue: SchedulingQueue<EntryKey, Rank>,
    pub(crate) term: FencingToken,
    /// Number of attempts that have been created under this term.
    pub(crate) attempts: u64,
    pub(crate) uncommitted: UncommittedProgress,
    /// Jobs that have reached a terminal state and are not yet handed over to be recorded.
    pub(crate) finished: Vec<JobId>,
    /// Machines to which commands are to be sent by a direct call, before their next heartbeat.
    pub(crate) urgent_machines: BTreeSet<MachineName>,
    /// Machines for which more commands are due than the last message could carry, with the time of the next
    /// direct call.
    pub(crate) unsent_commands: BTreeMap<MachineName, Timestamp>,
    /// Free capacity that is reserved for queue entries while tasks are being preempted for them.
    pub(crate) reservations: HashMap<EntryKey, Reservation>,
    /// Index of the machines that accept tasks, by free capacity and by cached image.
    pub(crate) capacity_index: CapacityIndex,
    pub(crate) capacity_index_refreshed_at: Timestamp,
    pub(crate) zone_alarms: ZoneAlarms,
    pub(crate) preemption_candidates: PreemptionCandidates,
    /// When each job that is not best-effort last found no free capacity.
    pub(crate) last_unplaced_at: BTreeMap<JobId, Timestamp>,
    pub(crate) job_probes: JobProbes,
    /// When a consolidation of replicas was last attempted.
    pub(crate) consolidated_at: Timestamp,
    /// How often tasks found no suitable machine, by reason, for the metrics.
    pub rejections: RejectionCounts,
    /// How long tasks have waited for their placement, since their job was first seen by this leader, in
    /// milliseconds. For the metrics.
    pub placement_waits_ms: Vec<u64>,
}

impl PartitionState {
    /// The state of a partition without jobs and machines, led under `term`. `teams` holds each team with
    /// its guarantee and its limit.
    pub fn new(
        teams: impl IntoIterator<Item = (TeamName, Resources, Resources)>,
        lease_duration: Duration,
        policy: Policy,
        queue: QueueConfig,
        term: FencingToken,
    ) -> Self {
        PartitionState {
            policy,
            lease_duration,
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
            unsent_commands: BTreeMap::new(),
            reservations: HashMap::new(),
            capacity_index: CapacityIndex::default(),
            capacity_index_refreshed_at: Timestamp::default(),
            zone_alarms: ZoneAlarms::default(),
            preemption_candidates: PreemptionCandidates::default(),
            last_unplaced_at: BTreeMap::new(),
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

    /// The placement of a task, for changes to it.
    pub(crate) fn placement_mut(&mut self, task: TaskId) -> Option<&mut Placement> {
        self.jobs.get_mut(&task.job)?.placed.get_mut(&task.index)
    }

    /// The longest regular time between two heartbeats.
    pub(crate) fn longest_heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_interval.whole_millis() * 5 / 4)
    }

    /// Age of a machine's last heartbeat beyond which it gets no new tasks. It depends on the heartbeat
    /// interval: with a fixed timeout of 4 s, idle machines of a site with an interval of 6 s would get no
    /// tasks for part of the time.
    pub(crate) fn heartbeat_timeout(&self) -> Duration {
        self.longest_heartbeat_interval() + self.policy.heartbeat_grace
    }

    /// Sets the machine types that the cloud offers. A job that needs no GPUs runs on machines with GPUs
    /// only beside GPU work, unless no type without GPUs has enough capacity for its tasks.
    pub fn set_machine_types(&mut self, machine_types: &[MachineType]) {
        self.machine_types = machine_types.to_vec();
        for job in self.jobs.values_mut() {
            job.colocated_only = job.spec.fits_type_without_gpus(machine_types);
        }
    }

    /// Adds a machine to the partition, unless it is there already.
    pub fn add_machine(&mut self, machine: Machine, now: Timestamp) {
        let name = machine.name.clone();
        if self.machines.contains_key(&name) {
            return;
        }
        self.machines.insert(name, machine);
        self.queue.move_all(now);
    }

    /// Removes a machine, after the cloud has confirmed that it no longer exists, or after it has left
    /// the partition without tasks. All its tasks count as gone.
    pub fn remove_machine(&mut self, name: &MachineName, now: Timestamp) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
        for task in tasks {
            self.drop_placement(task, now, true);
        }
        self.cancel_reservations_on_machine(name);
        self.unsent_commands.remove(name);
        if let Some(mut machine) = self.machines.remove(name) {
            self.capacity_index.remove(&mut machine);
        }
    }

    /// Takes the machines to which commands are to be sent by a direct call, before their next heartbeat.
    pub fn take_urgent_machines(&mut self) -> BTreeSet<MachineName> {
        std::mem::take(&mut self.urgent_machines)
    }

    /// Machines whose next direct call with commands that the last message could not carry is due. A call without
    /// commands is due too: its response shows whether tasks have exited and may be forgotten.
    pub fn machines_with_unsent_commands(&self, now: Timestamp) -> Vec<MachineName> {
        self.unsent_commands
            .iter()
            .filter(|(_, due_at)| now >= **due_at)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Addresses of at most `limit` machines that are not about to be reclaimed, those with the most
    /// recent status first.
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
