//! Operators' requests: the views and metrics of the admin API, and changes of the run-time settings.

mod settings;
mod views;

pub use settings::{FieldOutOfBounds, SettingsError, TuningRecord};

use super::call_kind::RecordCall;
use super::{CallKind, Controller, Ticket, Tuning, MAX_LAUNCH_READ_AGE};
use crate::records::{PackedMachine, TUNING_KEY};
use crate::request_budget::CallPriority;
use model::{DurationExt, PartitionId};
use scheduler::PartitionState;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use views::{
    CountersView, ErrorView, GaugesView, IncomingView, JobView, MachineView, MachinesView,
    MetricsView, PartitionView, PartitionsView, QueueView, QueuesView, SettingsVersionView,
    SettingsView,
};
use wire::limits::truncate_error;
use wire::state::{StateReply, StateRequest, Transaction, Write};

// HTTP status codes of replies.
const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const CONFLICT: u16 = 409;
const UNAVAILABLE: u16 = 503;

/// An operator's request.
#[derive(Debug, Clone)]
pub enum AdminRequest {
    /// The run-time settings and their version.
    Settings,
    /// Replaces the run-time settings, on condition that their version is still this one.
    ChangeSettings { version: u64, settings: Value },
    /// All partitions and their leaders.
    Partitions,
    /// Standbys, replicas and what prevents a failover.
    Standby,
    /// All machines.
    Machines,
    /// The scheduling queues of the partitions that the controller leads.
    Queues,
    /// The state of the job with this id, and why it waits.
    Job(String),
    /// Counters and gauges for the metrics page.
    Metrics,
}

/// A reply to an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct AdminReply {
    /// The HTTP status code.
    pub status: u16,
    /// The body, as JSON.
    pub body: Value,
}

impl AdminReply {
    fn new(status: u16, view: impl Serialize) -> Self {
        let body = serde_json::to_value(view).unwrap_or_default();
        AdminReply { status, body }
    }

    fn ok(view: impl Serialize) -> Self {
        AdminReply::new(OK, view)
    }

    fn error(status: u16, error: impl Into<String>) -> Self {
        let error = truncate_error(&error.into()).to_owned();
        AdminReply::new(status, ErrorView { error })
    }
}

impl Controller {
    /// Answers an operator's request. A change of settings is answered once it has been written.
    pub(super) fn handle_admin_request(&mut self, ticket: Ticket, request: AdminRequest) {
        let reply = match request {
            AdminRequest::ChangeSettings { version, settings } => {
                match self.change_settings(ticket, version, &settings) {
                    Ok(()) => return,
                    Err(error) => AdminReply::error(BAD_REQUEST, error.to_string()),
                }
            }
            _ if !self.state_sync.is_synced() => {
                AdminReply::error(UNAVAILABLE, "not in step with the state service yet")
            }
            AdminRequest::Settings => AdminReply::ok(self.settings_view()),
            AdminRequest::Partitions => AdminReply::ok(self.partitions_view()),
            AdminRequest::Standby => AdminReply::ok(self.standby_view()),
            AdminRequest::Machines => AdminReply::ok(self.machines_view()),
            AdminRequest::Queues => AdminReply::ok(self.queues_view()),
            AdminRequest::Job(id) => AdminReply::ok(JobView {
                id: &id,
                explanation: self.explain(&id),
            }),
            AdminRequest::Metrics => AdminReply::ok(self.metrics_view()),
        };
        self.reply_admin(ticket, reply);
    }

    fn reply_admin(&mut self, ticket: Ticket, reply: AdminReply) {
        self.effects.push(super::Effect::Admin { ticket, reply });
    }

    /// Checks settings and queues a write of them that is conditional on their version.
    fn change_settings(
        &mut self,
        ticket: Ticket,
        version: u64,
        settings: &Value,
    ) -> Result<(), SettingsError> {
        let record = TuningRecord::decode(settings)?;
        Tuning::try_from(&record)?;
        let value = serde_json::to_value(record)?;
        let txn = Transaction::default()
            .if_version(TUNING_KEY, version)
            .write(Write::put(TUNING_KEY, value));
        self.queue_state_request(
            CallPriority::Background,
            StateRequest::Transaction(txn),
            CallKind::Record(RecordCall::Tuning { ticket }),
        );
        Ok(())
    }

    /// Handles the reply to a write of settings and answers the operator who requested it.
    pub(super) fn handle_settings_reply(&mut self, ticket: Ticket, reply: StateReply) {
        let admin_reply = match reply {
            StateReply::Committed { revision } => {
                AdminReply::ok(SettingsVersionView { version: revision })
            }
            StateReply::Conflict { .. } => AdminReply::error(CONFLICT, "the version is stale"),
            _ => AdminReply::error(
                UNAVAILABLE,
                "the state service gave no answer; read the settings",
            ),
        };
        self.reply_admin(ticket, admin_reply);
    }

    /// Applies a change of the recorded settings. Invalid settings are ignored.
    pub(super) fn handle_settings_record(&mut self) {
        let tuning = match self.recorded_tuning() {
            Ok(tuning) => tuning,
            Err(error) => {
                tracing::error!(%error, "operator settings rejected");
                return;
            }
        };
        tracing::info!("operator settings applied");
        for leadership in self.leaderships.values_mut() {
            if let Some(partition_state) = leadership.partition_state_mut() {
                partition_state.policy = tuning.policy.clone();
                partition_state.queue.configure(tuning.queue);
            }
        }
        self.tuning = tuning;
    }

    /// The recorded settings, or the defaults if none are recorded.
    fn recorded_tuning(&self) -> Result<Tuning, SettingsError> {
        let Some(recorded) = &self.cache.tuning else {
            return Ok(Tuning::default());
        };
        let record = TuningRecord::decode(&recorded.record)?;
        Ok(Tuning::try_from(&record)?)
    }

    fn settings_view(&self) -> SettingsView {
        let recorded = self.cache.tuning.as_ref();
        SettingsView {
            version: recorded.map_or(0, |settings| settings.version.0),
            settings: TuningRecord::from(&self.tuning),
        }
    }

    /// The state of a partition that this controller leads and has loaded.
    fn loaded_partition(&self, partition: PartitionId) -> Option<&PartitionState> {
        self.leaderships.get(&partition)?.partition_state()
    }

    /// The states of all partitions that this controller leads and has loaded.
    fn loaded_partitions(&self) -> impl Iterator<Item = (PartitionId, &PartitionState)> {
        self.leaderships
            .iter()
            .filter_map(|(id, leadership)| Some((*id, leadership.partition_state()?)))
    }

    fn partitions_view(&self) -> PartitionsView<'_> {
        let partitions = (0..self.partition_count())
            .map(|number| self.partition_view(PartitionId(number)))
            .collect();
        PartitionsView { partitions }
    }

    fn partition_view(&self, id: PartitionId) -> PartitionView<'_> {
        let cached = self.cache.partitions.get(&id);
        let record = cached.map(|cached| &cached.record);
        let loaded = self.loaded_partition(id);
        PartitionView {
            partition: id.0,
            preferred_leader: self.preferred_leader(id),
            leader: record.map(|record| &record.leader),
            term: record.map(|record| record.term),
            machines: loaded.map(|partition| partition.machines.len()),
            jobs: loaded.map(|partition| partition.jobs.len()),
        }
    }

    fn machines_view(&self) -> MachinesView<'_> {
        let machines = self
            .cache
            .machines
            .iter()
            .map(|(name, cached)| {
                let machine = self
                    .loaded_partition(cached.record.partition)
                    .and_then(|partition| partition.machines.get(name));
                let last_heartbeat_at = machine.and_then(|machine| machine.last_heartbeat_at);
                MachineView {
                    machine: name,
                    record: PackedMachine::new(name, &cached.record),
                    since_heartbeat_ms: last_heartbeat_at
                        .map(|at| self.now.duration_since(at).whole_millis()),
                    tasks: machine.map(|machine| {
                        let tasks = machine.tasks.iter();
                        tasks.map(|task| task.to_string()).collect()
                    }),
                    quarantined: machine.map(|machine| machine.quarantined),
                    unreachable: machine.map(|machine| machine.is_unreachable()),
                }
            })
            .collect();
        MachinesView { machines }
    }

    /// Number of machines that send heartbeats but cannot be reached by direct calls.
    fn unreachable_machine_count(&self) -> usize {
        self.loaded_partitions()
            .flat_map(|(_, partition)| partition.machines.values())
            .filter(|machine| machine.is_unreachable())
            .count()
    }

    fn queues_view(&self) -> QueuesView {
        let queues = self
            .loaded_partitions()
            .map(|(id, partition)| {
                let pending = partition.queue.pending();
                let demand = partition.demand(self.now);
                QueueView {
                    partition: id,
                    pending: pending
                        .iter()
                        .map(|(kind, count)| (kind.as_str(), *count))
                        .collect(),
                    demand: demand.iter().map(|shape| shape.task_count).sum(),
                }
            })
            .collect();
        QueuesView { queues }
    }

    /// Counters and gauges for the metrics page.
    fn metrics_view(&self) -> MetricsView<'_> {
        let mut pending = BTreeMap::new();
        let mut incoming = BTreeMap::new();
        for (_, partition) in self.loaded_partitions() {
            for (kind, count) in partition.queue.pending() {
                *pending.entry(kind.as_str()).or_default() += count as u64;
            }
            for ((kind, event), count) in partition.queue.incoming() {
                *incoming.entry((kind.as_str(), event.as_str())).or_default() += count;
            }
        }
        MetricsView {
            pending,
            incoming: incoming
                .into_iter()
                .map(|((kind, event), count)| IncomingView(kind, event, count))
                .collect(),
            refusals: &self.counters.refusals,
            counters: self.counters_view(),
            gauges: self.gauges_view(),
        }
    }

    fn counters_view(&self) -> CountersView {
        let counters = &self.counters;
        CountersView {
            acquisitions: counters.acquisitions,
            transfers: counters.transfers,
            early_failovers: counters.early_failovers,
            false_failovers: counters.false_failovers,
            pauses: counters.pauses,
            cancelled_by_message: counters.cancelled_by_message,
            replies_withheld: counters.replies_withheld,
            state_calls: counters.state_calls,
            state_writes: counters.state_writes,
            state_refused: counters.state_refused,
            cloud_calls: counters.cloud_calls,
            cloud_refused: counters.cloud_refused,
        }
    }

    fn gauges_view(&self) -> GaugesView {
        GaugesView {
            open_jobs: self.cache.jobs.len(),
            machines: self.cache.machines.len(),
            partitions_led: self.leaderships.len(),
            replicas_in_sync: self.replicas_in_sync(),
            unreachable_machines: self.unreachable_machine_count(),
            remaining_lease_validity_s: self.remaining_lease_validity().as_secs_f64(),
            without_state: u64::from(!self.has_recent_state_read(MAX_LAUNCH_READ_AGE)),
        }
    }
}
