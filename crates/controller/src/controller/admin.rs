//! Operators' requests: settings and views.

use super::{CallKind, Controller, Ticket, Tuning};
use crate::records::SETTINGS_KEY;
use crate::request_budget::CallPriority;
use autoscaler::FleetPolicy;
use model::duration_from_secs;
use model::DurationExt;
use scheduler::Policy;
use scheduling_queue::QueueConfig;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// What an operator asks.
#[derive(Debug, Clone)]
pub enum AdminRequest {
    Settings,
    ChangeSettings { version: u64, settings: Value },
    Partitions,
    Standby,
    Machines,
    Queues,
    Job(String),
    Metrics,
}

/// An answer: a status and a body.
#[derive(Debug, Clone, PartialEq)]
pub struct AdminReply {
    pub status: u16,
    pub body: Value,
}

impl AdminReply {
    fn new(status: u16, body: Value) -> Self {
        AdminReply { status, body }
    }
    fn error(status: u16, error: impl Into<String>) -> Self {
        AdminReply {
            status,
            body: json!({ "error": error.into() }),
        }
    }
}

/// Operators' settings as the administration API shows them. Every field is bounded so that
/// none can loosen a rule: they change when work is tried and what is rented, never what is
/// proven.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TuningRecord {
    pub initial_backoff_s: f64,
    pub max_backoff_s: f64,
    pub leftover_s: f64,
    pub silence_s: f64,
    pub window: u32,
    pub faulty_after: u32,
    pub preempt: bool,
    pub set_back: u64,
    pub move_replicas: bool,
    pub absorb_s: f64,
    pub short_set_back: u64,
    pub horizon_s: f64,
    pub keep_idle_s: f64,
    pub paid_s: f64,
    pub shift_idle_s: f64,
    pub shift_count: usize,
    pub silent_s: f64,
    pub boot_trust: f64,
    pub boot_patience: u64,
}

impl Default for TuningRecord {
    fn default() -> Self {
        TuningRecord::from(&Tuning::default())
    }
}

impl From<&Tuning> for TuningRecord {
    fn from(t: &Tuning) -> Self {
        TuningRecord {
            initial_backoff_s: t.queue.initial_backoff.as_secs_f64(),
            max_backoff_s: t.queue.max_backoff.as_secs_f64(),
            leftover_s: t.queue.unschedulable_timeout.as_secs_f64(),
            silence_s: t.policy.heartbeat_grace.as_secs_f64(),
            window: t.policy.window,
            faulty_after: t.policy.quarantine_threshold,
            preempt: t.policy.preempt,
            set_back: t.policy.size_penalty_factor,
            move_replicas: t.policy.move_replicas,
            absorb_s: t.policy.absorb.as_secs_f64(),
            short_set_back: t.policy.overload_penalty_factor,
            horizon_s: t.fleet.horizon.as_secs_f64(),
            keep_idle_s: t.fleet.keep_idle.as_secs_f64(),
            paid_s: t.fleet.minimum_billing.as_secs_f64(),
            shift_idle_s: t.fleet.transfer_idle.as_secs_f64(),
            shift_count: t.fleet.max_idle_transfers,
            silent_s: t.fleet.report_timeout.as_secs_f64(),
            boot_trust: t.fleet.boot_capacity_factor,
            boot_patience: t.fleet.boot_timeout_factor,
        }
    }
}

impl TuningRecord {
    /// Checks every field; the error names the one that is wrong.
    pub fn check(&self) -> Result<Tuning, String> {
        let within = |field: &str, value: f64, from: f64, to: f64| {
            if (from..=to).contains(&value) {
                Ok(())
            } else {
                Err(format!(
                    "field `{field}`: {value} must be from {from} to {to}"
                ))
            }
        };
        within("initial_backoff_s", self.initial_backoff_s, 0.01, 60.0)?;
        within(
            "max_backoff_s",
            self.max_backoff_s,
            self.initial_backoff_s,
            600.0,
        )?;
        within("leftover_s", self.leftover_s, 0.1, 600.0)?;
        within("silence_s", self.silence_s, 0.1, 60.0)?;
        within("window", f64::from(self.window), 1.0, 100_000.0)?;
        within("faulty_after", f64::from(self.faulty_after), 1.0, 1000.0)?;
        within("set_back", self.set_back as f64, 0.0, 1000.0)?;
        within("absorb_s", self.absorb_s, 0.0, 3_600.0)?;
        within("short_set_back", self.short_set_back as f64, 0.0, 1000.0)?;
        within("horizon_s", self.horizon_s, 1.0, 36_000.0)?;
        within("keep_idle_s", self.keep_idle_s, 0.0, 36_000.0)?;
        within("paid_s", self.paid_s, 0.0, 36_000.0)?;
        within("shift_idle_s", self.shift_idle_s, 0.0, 3_600.0)?;
        within("shift_count", self.shift_count as f64, 0.0, 1000.0)?;
        within("silent_s", self.silent_s, 1.0, 36_000.0)?;
        within("boot_trust", self.boot_trust, 0.1, 100.0)?;
        within("boot_patience", self.boot_patience as f64, 1.0, 1000.0)?;
        Ok(Tuning {
            queue: QueueConfig {
                initial_backoff: duration_from_secs(self.initial_backoff_s),
                max_backoff: duration_from_secs(self.max_backoff_s),
                unschedulable_timeout: duration_from_secs(self.leftover_s),
            },
            policy: Policy {
                heartbeat_grace: duration_from_secs(self.silence_s),
                window: self.window,
                quarantine_threshold: self.faulty_after,
                preempt: self.preempt,
                size_penalty_factor: self.set_back,
                move_replicas: self.move_replicas,
                absorb: duration_from_secs(self.absorb_s),
                overload_penalty_factor: self.short_set_back,
            },
            fleet: FleetPolicy {
                horizon: duration_from_secs(self.horizon_s),
                keep_idle: duration_from_secs(self.keep_idle_s),
                minimum_billing: duration_from_secs(self.paid_s),
                transfer_idle: duration_from_secs(self.shift_idle_s),
                max_idle_transfers: self.shift_count,
                report_timeout: duration_from_secs(self.silent_s),
                boot_capacity_factor: self.boot_trust,
                boot_timeout_factor: self.boot_patience,
            },
        })
    }
}

impl Controller {
    pub(super) fn handle_admin_request(&mut self, ticket: Ticket, request: AdminRequest) {
        let reply = match request {
            AdminRequest::ChangeSettings { version, settings } => {
                match self.change_settings(ticket, version, settings) {
                    Ok(()) => return,
                    Err(reply) => reply,
                }
            }
            _ if !self.state_sync.is_synced() => {
                AdminReply::error(503, "not in step with the state service yet")
            }
            AdminRequest::Settings => AdminReply::new(200, self.settings_view()),
            AdminRequest::Partitions => AdminReply::new(200, self.partitions_view()),
            AdminRequest::Standby => AdminReply::new(200, self.standby_view()),
            AdminRequest::Machines => AdminReply::new(200, self.machines_view()),
            AdminRequest::Queues => AdminReply::new(200, self.queues_view()),
            AdminRequest::Job(id) => {
                AdminReply::new(200, json!({ "id": id, "stands": self.explain(&id) }))
            }
            AdminRequest::Metrics => AdminReply::new(200, self.metrics_view()),
        };
        self.reply_admin(ticket, reply);
    }

    fn reply_admin(&mut self, ticket: Ticket, reply: AdminReply) {
        self.effects.push(super::Effect::Admin { ticket, reply });
    }

    fn settings_view(&self) -> Value {
        let version = self.cache.tuning.as_ref().map_or(0, |t| t.version.0);
        json!({ "version": version, "settings": TuningRecord::from(&self.tuning) })
    }

    fn change_settings(
        &mut self,
        ticket: Ticket,
        version: u64,
        settings: Value,
    ) -> Result<(), AdminReply> {
        let record = TuningRecord::deserialize(&settings)
            .map_err(|e| AdminReply::error(400, e.to_string()))?;
        record.check().map_err(|e| AdminReply::error(400, e))?;
        let value =
            serde_json::to_value(record).map_err(|e| AdminReply::error(400, e.to_string()))?;
        let txn = Transaction::default()
            .when(SETTINGS_KEY, version)
            .write(Write::put(SETTINGS_KEY, value));
        let purpose = CallKind::TuningWrite { ticket };
        self.state(CallPriority::Rest, StateRequest::Transaction(txn), purpose);
        Ok(())
    }

    pub(super) fn handle_settings_written(&mut self, ticket: Ticket, reply: StateReply) {
        let answer = match reply {
            StateReply::Committed { revision } => {
                AdminReply::new(200, json!({ "version": revision }))
            }
            StateReply::Conflict { .. } => AdminReply::error(409, "the version is stale"),
            _ => AdminReply::error(503, "the state service gave no answer; read the settings"),
        };
        self.reply_admin(ticket, answer);
    }

    /// The record has changed: it takes effect at once on every node.
    pub(super) fn tuning_changed(&mut self) {
        let tuning = match &self.cache.tuning {
            None => Tuning::default(),
            Some(current) => {
                let record = TuningRecord::deserialize(&current.record);
                match record.map_err(|e| e.to_string()).and_then(|r| r.check()) {
                    Ok(tuning) => tuning,
                    Err(error) => {
                        tracing::error!(error, "the operators' settings cannot be used");
                        return;
                    }
                }
            }
        };
        tracing::info!("operators' settings take effect");
        for leadership in self.leaderships.values_mut() {
            if let Some(partition_state) = leadership.partition_state_mut() {
                partition_state.policy = tuning.policy.clone();
                partition_state.queue.configure(tuning.queue);
            }
        }
        self.tuning = tuning;
    }

    fn partitions_view(&self) -> Value {
        let list: Vec<Value> = (0..self.partition_count())
            .map(|number| {
                let id = model::PartitionId(number);
                let record = self.cache.partitions.get(&id).map(|p| &p.record);
                let own = self.leaderships.get(&id).and_then(|h| h.partition_state());
                json!({
                    "partition": number,
                    "home": self.preferred_leader(id),
                    "holder": record.map(|r| r.leader.to_string()),
                    "term": record.map(|r| r.term),
                    "machines": own.map(|s| s.machines.len()),
                    "jobs": own.map(|s| s.jobs.len()),
                })
            })
            .collect();
        json!({ "partitions": list })
    }

    fn machines_view(&self) -> Value {
        let list: Vec<Value> = self
            .cache
            .machines
            .iter()
            .map(|(name, m)| {
                let own = self
                    .leaderships
                    .get(&m.record.partition)
                    .and_then(|h| h.partition_state())
                    .and_then(|s| s.machines.get(name));
                json!({
                    "machine": name,
                    "record": crate::records::PackedMachine::new(name, &m.record),
                    "silent_ms": own.and_then(|m| m.last_heartbeat_at).map(|at| self.now.duration_since(at).whole_millis()),
                    "tasks": own.map(|m| m.tasks.iter().map(|t| t.to_string()).collect::<Vec<_>>()),
                    "faulty": own.map(|m| m.quarantined),
                    "unreached": own.map(|m| m.is_unreachable()),
                })
            })
            .collect();
        json!({ "machines": list })
    }

    /// Machines of ours that are heard and not reached.
    fn unreachable_machine_count(&self) -> usize {
        let shares = self
            .leaderships
            .values()
            .filter_map(|h| h.partition_state());
        shares
            .flat_map(|s| s.machines.values())
            .filter(|m| m.is_unreachable())
            .count()
    }

    fn queues_view(&self) -> Value {
        let list: Vec<Value> = self
            .leaderships
            .iter()
            .filter_map(|(id, h)| h.partition_state().map(|s| (id, s)))
            .map(|(id, partition_state)| {
                let pending: serde_json::Map<String, Value> = partition_state
                    .queue
                    .pending()
                    .iter()
                    .map(|(which, n)| (format!("{which:?}").to_lowercase(), json!(n)))
                    .collect();
                json!({
                    "partition": id,
                    "pending": pending,
                    "demand": partition_state.demand(self.now).iter().map(|d| d.tasks).sum::<u64>(),
                })
            })
            .collect();
        json!({ "queues": list })
    }

    /// Numbers for the metrics page: `[name, help, [[labels], value]...]`.
    fn metrics_view(&self) -> Value {
        let mut pending = std::collections::BTreeMap::new();
        let mut incoming = std::collections::BTreeMap::new();
        for partition_state in self
            .leaderships
            .values()
            .filter_map(|h| h.partition_state())
        {
            for (which, n) in partition_state.queue.pending() {
                *pending
                    .entry(format!("{which:?}").to_lowercase())
                    .or_insert(0) += n as u64;
            }
            for ((which, cause), n) in partition_state.queue.incoming() {
                let key = (
                    format!("{which:?}").to_lowercase(),
                    format!("{cause:?}").to_lowercase(),
                );
                *incoming.entry(key).or_insert(0u64) += n;
            }
        }
        let incoming: Vec<Value> = incoming
            .into_iter()
            .map(|((q, e), n)| json!([q, e, n]))
            .collect();
        let c = &self.counters;
        json!({
            "pending": pending,
            "incoming": incoming,
            "refusals": c.refusals,
            "counters": {
                "takeovers": c.takeovers,
                "hand_overs": c.hand_overs,
                "early_takeovers": c.early_takeovers,
                "wrong_takeovers": c.wrong_takeovers,
                "stood_still": c.stood_still,
                "cancelled_by_word": c.cancelled_by_word,
                "answers_withheld": c.answers_withheld,
                "state_calls": c.state_calls,
                "state_writes": c.state_writes,
                "state_refused": c.state_refused,
                "cloud_calls": c.cloud_calls,
                "cloud_refused": c.cloud_refused,
            },
            "gauges": {
                "open_jobs": self.cache.jobs.len(),
                "machines": self.cache.machines.len(),
                "partitions_held": self.leaderships.len(),
                "partitions_in_step": self.partitions_in_step(),
                "machines_unreached": self.unreachable_machine_count(),
                "answers_left_s": self.remaining_lease_validity().as_secs_f64(),
                "without_state": u64::from(!self.has_recent_state_read(super::MAX_LAUNCH_READ_AGE)),
            },
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_are_checked_and_name_the_field() {
        assert_eq!(TuningRecord::default().check(), Ok(Tuning::default()));
        let bad = TuningRecord {
            max_backoff_s: 0.0,
            ..TuningRecord::default()
        };
        assert!(bad
            .check()
            .expect_err("too small")
            .contains("max_backoff_s"));
        let unknown = json!({ "lease_s": 3.0 });
        assert!(TuningRecord::deserialize(&unknown)
            .expect_err("none")
            .to_string()
            .contains("lease_s"));
    }
}
