//! Loading of a partition by its new leader: reads of the placement log, readiness checks, and the
//! construction of the partition's state. The steps are the same with and without a replica of the
//! former leader's state, except for what [`Controller::apply_replica`] adds.

use super::call_kind::LogCall;
use super::leadership::{CompletedLogRead, LogPageOutcome, PartitionLeadership};
use super::{CallKind, Controller, MAX_LAUNCH_READ_AGE};
use crate::placement_log::PlacementLog;
use crate::records::{log_prefix, MachineRecord, PartitionRecord};
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::CallPriority;
use crate::state_cache::Versioned;
use failover::readiness::{failed_checks, LeadershipFacts, ReadinessCheck};
use model::{FencingToken, MachineName, PartitionId, ZoneName};
use scheduler::{Machine, PartitionState, StatusSource};
use std::time::Duration;
use wire::state::{StateReply, StateRequest};

/// Delay before the placement log is read again after a failed read.
const LOG_READ_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Delay before the placement log is read again after a read that returned unreadable pages.
const UNREADABLE_LOG_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of placement log pages in one read.
const LOG_READ_LIMIT: u32 = 100;

impl Controller {
    /// Starts reading a partition's placement log.
    pub(super) fn read_placement_log(&mut self, partition: PartitionId) {
        self.list_log_pages(partition, String::new());
    }

    /// The request for the pages of the placement log after a key, with the kind of its call.
    fn log_page_request(
        &self,
        partition: PartitionId,
        after: String,
    ) -> Option<(StateRequest, CallKind)> {
        let term = self.leaderships.get(&partition)?.term().0;
        let request = StateRequest::List {
            prefix: log_prefix(partition),
            after,
            limit: LOG_READ_LIMIT,
        };
        Some((
            request,
            CallKind::Log(LogCall::ReadPage { partition, term }),
        ))
    }

    fn list_log_pages(&mut self, partition: PartitionId, after: String) {
        let Some((request, kind)) = self.log_page_request(partition, after) else {
            return;
        };
        self.queue_state_request(CallPriority::Coordination, request, kind);
    }

    fn restart_log_read(&mut self, partition: PartitionId, delay: Duration) {
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        leadership.restart_log_read();
        let Some((request, kind)) = self.log_page_request(partition, String::new()) else {
            return;
        };
        self.retry_later(delay, CallPriority::Coordination, request, kind);
    }

    /// Handles a read of placement log pages: requests the next ones or, after the last, tries to load
    /// the partition.
    pub(super) fn handle_log_page(&mut self, partition: PartitionId, term: u64, reply: StateReply) {
        let value_bytes = self.settings.state_limits.max_value_bytes;
        let txn_ops = self.settings.state_limits.max_txn_writes();
        let Some(leadership) = self.leadership_in_term(partition, term) else {
            return;
        };
        let StateReply::List(page) = reply else {
            self.restart_log_read(partition, LOG_READ_RETRY_INTERVAL);
            return;
        };
        match leadership.add_log_page(partition, page, value_bytes, txn_ops) {
            LogPageOutcome::OutOfOrder { last_key } => {
                tracing::error!(%partition, last_key, "placement log page out of order");
                self.count_malformed_log_pages(1);
                self.restart_log_read(partition, LOG_READ_RETRY_INTERVAL);
            }
            LogPageOutcome::More { after } => self.list_log_pages(partition, after),
            LogPageOutcome::Complete { unreadable_pages } => {
                self.count_malformed_log_pages(unreadable_pages);
                self.try_load_partition(partition);
            }
            LogPageOutcome::Unexpected => {}
        }
    }

    fn count_malformed_log_pages(&mut self, count: u64) {
        self.counters
            .rejections
            .add_many(MessageSource::State, MessageFault::Malformed, count);
    }

    /// Builds the partition's state once all readiness checks pass. Until then heartbeats are answered
    /// without commands, except to kill tasks of jobs recorded as cancelled.
    pub(super) fn try_load_partition(&mut self, partition: PartitionId) {
        let Some(facts) = self.leadership_facts(partition) else {
            return;
        };
        let failed_checks = failed_checks(&facts);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        if failed_checks != leadership.failed_checks() && !failed_checks.is_empty() {
            let unreadable_pages = leadership
                .completed_log_read()
                .map(|read| read.log.unreadable_pages());
            tracing::warn!(%partition, ?failed_checks, ?unreadable_pages, "partition not ready");
        }
        leadership.set_failed_checks(&failed_checks);
        if failed_checks.is_empty() {
            self.load_partition(partition);
        } else if failed_checks.contains(&ReadinessCheck::PagesSound) {
            self.restart_log_read(partition, UNREADABLE_LOG_RETRY_INTERVAL);
        } else if failed_checks.contains(&ReadinessCheck::LedgerRead) {
            self.restart_log_read(partition, LOG_READ_RETRY_INTERVAL);
        }
    }

    /// The facts that the readiness checks evaluate, once the placement log has been read.
    fn leadership_facts(&self, partition: PartitionId) -> Option<LeadershipFacts> {
        let leadership = self.leaderships.get(&partition)?;
        let log_read = leadership.completed_log_read()?;
        let names_this_leadership = |recorded: &&Versioned<PartitionRecord>| {
            let record = &recorded.record;
            record.leader == *self.own_name()
                && record.incarnation == self.registration.incarnation()
                && record.term == leadership.term().0
        };
        Some(LeadershipFacts {
            cached_version: self
                .cache
                .partitions
                .get(&partition)
                .filter(names_this_leadership)
                .map(|recorded| recorded.version),
            leadership_version: leadership.version(),
            term: leadership.term(),
            next_token: FencingToken(self.cache.next_token()),
            cache_revision: self.cache.revision,
            log_revision: Some(log_read.revision),
            unreadable_pages: log_read.log.unreadable_pages().len(),
            is_contested_or_transferring: leadership.is_transferring()
                || leadership.successor().is_some(),
            has_recent_state_read: self.has_recent_state_read(MAX_LAUNCH_READ_AGE),
        })
    }

    /// Builds the partition's state from the records, the placement log, the replica of the former
    /// leader's state and the heartbeats answered so far. All readiness checks have passed.
    fn load_partition(&mut self, partition: PartitionId) {
        let Some(mut leadership) = self.leaderships.remove(&partition) else {
            return;
        };
        let Some(CompletedLogRead { mut log, .. }) = leadership.take_completed_log_read() else {
            return;
        };
        let mut partition_state = self.new_partition_state(partition, &leadership);
        self.add_recorded_machines(partition, &leadership, &mut partition_state);
        for job in log.jobs() {
            if !self.cache.jobs.contains_key(&job) {
                log.forget_job(job);
            }
        }
        self.add_recorded_jobs(partition, &log, &mut partition_state);
        let replicated_machines = self.apply_replica(partition, &mut partition_state);
        for (name, early) in leadership.take_early_heartbeats() {
            if let Some(machine) = partition_state.machines.get_mut(&name) {
                machine.lease_renewed_at = early.answered_at;
            }
            partition_state.reconcile(&early.heartbeat, StatusSource::Heartbeat, early.answered_at);
        }
        tracing::info!(
            %partition,
            jobs = partition_state.jobs.len(),
            machines = partition_state.machines.len(),
            replicated_machines,
            "partition loaded"
        );
        leadership.finish_loading(log, partition_state);
        self.leaderships.insert(partition, leadership);
    }

    /// The state of a partition, still without machines and jobs.
    fn new_partition_state(
        &self,
        partition: PartitionId,
        leadership: &PartitionLeadership,
    ) -> PartitionState {
        let teams: Vec<_> = self
            .settings
            .teams
            .iter()
            .filter(|team| self.partition_of_team(&team.name) == Some(partition))
            .map(|team| (team.name.clone(), team.guarantee, team.limit))
            .collect();
        let workers = &self.settings.workers;
        let mut partition_state = PartitionState::new(
            teams,
            workers.lease_duration,
            self.tuning.policy.clone(),
            self.tuning.queue,
            leadership.term(),
        );
        partition_state.heartbeat_interval = workers.heartbeat_interval;
        partition_state.gang_start_timeout = workers.gang_start_timeout;
        partition_state.logical_clock_offset = self.logical_clock_offset;
        partition_state.completion_objectives = self.settings.completion_objectives.clone();
        partition_state.predecessors_valid_until = leadership.predecessors_valid_until();
        partition_state.leading_since = leadership.leading_since();
        partition_state.zones = self.zones_near(partition);
        if let Some(types) = &self.cache.machine_types {
            partition_state.set_machine_types(&types.record.types);
        }
        partition_state
    }

    fn add_recorded_machines(
        &self,
        partition: PartitionId,
        leadership: &PartitionLeadership,
        partition_state: &mut PartitionState,
    ) {
        for (name, machine) in &self.cache.machines {
            if machine.record.partition != partition {
                continue;
            }
            if let Some(machine) =
                self.machine_from_record(name, &machine.record, leadership.token())
            {
                partition_state.add_machine(machine, self.now);
            }
        }
    }

    fn add_recorded_jobs(
        &self,
        partition: PartitionId,
        log: &PlacementLog,
        partition_state: &mut PartitionState,
    ) {
        for (id, job) in &self.cache.jobs {
            if self.partition_of_team(&job.spec.team) != Some(partition) {
                continue;
            }
            let chunks = log.chunks_of(*id);
            partition_state.add_job(job.spec.clone(), job.submitted_at_ms(), &chunks, self.now);
            if self.cache.is_cancelled(*id) {
                partition_state.cancel_job(*id, self.now);
            }
        }
    }

    /// Zones in which machines can be rented, that of the partition's preferred leader first and the
    /// others by name.
    pub(super) fn zones_near(&self, partition: PartitionId) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = Vec::new();
        if let Some(types) = &self.cache.machine_types {
            let offered = types
                .record
                .types
                .iter()
                .flat_map(|machine_type| &machine_type.zones);
            zones.extend(offered.map(|zone| ZoneName::from(zone.as_str())));
        }
        let preferred = self
            .controllers
            .get(partition.0 as usize)
            .map(|(_, zone)| zone.clone());
        zones.sort_by_key(|zone| (Some(zone) != preferred.as_ref(), zone.clone()));
        zones.dedup();
        zones
    }

    /// The scheduling state of a recorded machine, or none if its type is unknown. Its token is at least
    /// `min_token`.
    pub(super) fn machine_from_record(
        &self,
        name: &MachineName,
        record: &MachineRecord,
        min_token: FencingToken,
    ) -> Option<Machine> {
        let machine_type = self
            .cache
            .machine_types
            .as_ref()?
            .record
            .types
            .iter()
            .find(|known| known.name == record.machine_type)?;
        let token = min_token.max(FencingToken(record.token));
        let zone = ZoneName::from(record.zone.as_str());
        let mut machine = Machine::new(name.clone(), machine_type, zone, record.spot, token);
        machine.leaving = record.leaving || self.machine_changes.removes_from_partition(name);
        machine.idle_since = self.now;
        Some(machine)
    }
}
