//! The settings that operators change at run time: their stored form and the limits of each field.

#[cfg(test)]
mod tests;

use crate::controller::Tuning;
use autoscaler::FleetPolicy;
use model::duration_from_secs;
use scheduler::Policy;
use scheduling_queue::QueueConfig;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::ops::RangeInclusive;

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// They cannot be decoded. The message names the unknown field or the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A field is outside its limits.
    #[error(transparent)]
    OutOfBounds(#[from] FieldOutOfBounds),
}

/// A field of the settings that is outside its limits.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("field `{field}`: {value} must be from {lowest} to {highest}")]
pub struct FieldOutOfBounds {
    pub field: &'static str,
    pub value: f64,
    pub lowest: f64,
    pub highest: f64,
}

fn check_bounds(
    field: &'static str,
    value: f64,
    bounds: RangeInclusive<f64>,
) -> Result<(), FieldOutOfBounds> {
    if bounds.contains(&value) {
        return Ok(());
    }
    Err(FieldOutOfBounds {
        field,
        value,
        lowest: *bounds.start(),
        highest: *bounds.end(),
    })
}

/// The run-time settings as they are stored and as the admin API shows them.
///
/// Fields that end in `_s` are in seconds. Every number has limits. No setting weakens a safety rule:
/// settings determine when work is tried and which machines are rented, but never what must be verified
/// before an action.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TuningRecord {
    /// Backoff of a queue entry after its first failure.
    pub initial_backoff_s: f64,
    /// Upper limit of a queue entry's backoff.
    pub max_backoff_s: f64,
    /// How long an entry stays unschedulable before it is released without a move request.
    #[serde(rename = "leftover_s")]
    pub unschedulable_timeout_s: f64,
    /// How late a machine's heartbeat may be before the machine gets no new tasks.
    #[serde(rename = "silence_s")]
    pub heartbeat_grace_s: f64,
    /// Maximum number of tasks of one array or service that are in the scheduling queue at a time.
    #[serde(rename = "window")]
    pub max_queued_tasks_per_job: u32,
    /// Number of failures without a success in between after which a machine is quarantined.
    #[serde(rename = "faulty_after")]
    pub quarantine_threshold: u32,
    /// Whether tasks may be preempted for other work.
    pub preempt: bool,
    /// A job is deferred in the queue by its expected run time multiplied by this factor.
    #[serde(rename = "set_back")]
    pub size_penalty_factor: u64,
    /// Whether replicas of services are moved to fewer machines.
    #[serde(rename = "move_replicas")]
    pub consolidate_replicas: bool,
    /// Waiting array tasks that fit into what running tasks free within this time are no demand for
    /// further machines.
    #[serde(rename = "absorb_s")]
    pub absorb_within_s: f64,
    /// During overload, a job is deferred further by the size penalty of its waiting tasks multiplied by
    /// this factor.
    #[serde(rename = "short_set_back")]
    pub overload_penalty_factor: u64,
    /// Time within which waiting array work should be finished.
    pub horizon_s: f64,
    /// How long a machine may be idle before it is returned.
    pub keep_idle_s: f64,
    /// Minimum time that is billed for a machine: younger machines are not returned for being idle.
    #[serde(rename = "paid_s")]
    pub minimum_billing_s: f64,
    /// How long a machine must have been idle before it may be transferred to another partition.
    #[serde(rename = "shift_idle_s")]
    pub transfer_idle_s: f64,
    /// Maximum number of idle machines transferred by one plan.
    #[serde(rename = "shift_count")]
    pub max_idle_transfers: usize,
    /// A machine without tasks that has sent no heartbeat for this long is returned.
    #[serde(rename = "silent_s")]
    pub heartbeat_timeout_s: f64,
    /// A booting machine counts as capacity for its boot time multiplied by this factor.
    #[serde(rename = "boot_trust")]
    pub boot_capacity_factor: f64,
    /// A machine that has sent no heartbeat after its boot time multiplied by this factor is given up.
    #[serde(rename = "boot_patience")]
    pub boot_timeout_factor: u64,
}

impl Default for TuningRecord {
    fn default() -> Self {
        TuningRecord::from(&Tuning::default())
    }
}

impl From<&Tuning> for TuningRecord {
    fn from(tuning: &Tuning) -> Self {
        let Tuning {
            queue,
            policy,
            fleet,
        } = tuning;
        TuningRecord {
            initial_backoff_s: queue.initial_backoff.as_secs_f64(),
            max_backoff_s: queue.max_backoff.as_secs_f64(),
            unschedulable_timeout_s: queue.unschedulable_timeout.as_secs_f64(),
            heartbeat_grace_s: policy.heartbeat_grace.as_secs_f64(),
            max_queued_tasks_per_job: policy.max_queued_tasks_per_job,
            quarantine_threshold: policy.quarantine_threshold,
            preempt: policy.preempt,
            size_penalty_factor: policy.size_penalty_factor,
            consolidate_replicas: policy.consolidate_replicas,
            absorb_within_s: policy.absorb_within.as_secs_f64(),
            overload_penalty_factor: policy.overload_penalty_factor,
            horizon_s: fleet.horizon.as_secs_f64(),
            keep_idle_s: fleet.keep_idle.as_secs_f64(),
            minimum_billing_s: fleet.minimum_billing.as_secs_f64(),
            transfer_idle_s: fleet.transfer_idle.as_secs_f64(),
            max_idle_transfers: fleet.max_idle_transfers,
            heartbeat_timeout_s: fleet.heartbeat_timeout.as_secs_f64(),
            boot_capacity_factor: fleet.boot_capacity_factor,
            boot_timeout_factor: fleet.boot_timeout_factor,
        }
    }
}

impl TuningRecord {
    /// Decodes settings. Absent fields get their defaults.
    pub fn decode(settings: &Value) -> Result<Self, serde_json::Error> {
        TuningRecord::deserialize(settings)
    }

    /// Checks that every number is within its limits.
    fn check(&self) -> Result<(), FieldOutOfBounds> {
        check_bounds("initial_backoff_s", self.initial_backoff_s, 0.01..=60.0)?;
        check_bounds(
            "max_backoff_s",
            self.max_backoff_s,
            self.initial_backoff_s..=600.0,
        )?;
        check_bounds("leftover_s", self.unschedulable_timeout_s, 0.1..=600.0)?;
        check_bounds("silence_s", self.heartbeat_grace_s, 0.1..=60.0)?;
        check_bounds(
            "window",
            f64::from(self.max_queued_tasks_per_job),
            1.0..=100_000.0,
        )?;
        check_bounds(
            "faulty_after",
            f64::from(self.quarantine_threshold),
            1.0..=1000.0,
        )?;
        check_bounds("set_back", self.size_penalty_factor as f64, 0.0..=1000.0)?;
        check_bounds("absorb_s", self.absorb_within_s, 0.0..=3_600.0)?;
        check_bounds(
            "short_set_back",
            self.overload_penalty_factor as f64,
            0.0..=1000.0,
        )?;
        check_bounds("horizon_s", self.horizon_s, 1.0..=36_000.0)?;
        check_bounds("keep_idle_s", self.keep_idle_s, 0.0..=36_000.0)?;
        check_bounds("paid_s", self.minimum_billing_s, 0.0..=36_000.0)?;
        check_bounds("shift_idle_s", self.transfer_idle_s, 0.0..=3_600.0)?;
        check_bounds("shift_count", self.max_idle_transfers as f64, 0.0..=1000.0)?;
        check_bounds("silent_s", self.heartbeat_timeout_s, 1.0..=36_000.0)?;
        check_bounds("boot_trust", self.boot_capacity_factor, 0.1..=100.0)?;
        check_bounds(
            "boot_patience",
            self.boot_timeout_factor as f64,
            1.0..=1000.0,
        )?;
        Ok(())
    }
}

impl TryFrom<&TuningRecord> for Tuning {
    type Error = FieldOutOfBounds;

    /// Checks all fields. The error names the first one that is outside its limits.
    fn try_from(record: &TuningRecord) -> Result<Self, FieldOutOfBounds> {
        record.check()?;
        Ok(Tuning {
            queue: QueueConfig {
                initial_backoff: duration_from_secs(record.initial_backoff_s),
                max_backoff: duration_from_secs(record.max_backoff_s),
                unschedulable_timeout: duration_from_secs(record.unschedulable_timeout_s),
            },
            policy: Policy {
                heartbeat_grace: duration_from_secs(record.heartbeat_grace_s),
                max_queued_tasks_per_job: record.max_queued_tasks_per_job,
                quarantine_threshold: record.quarantine_threshold,
                preempt: record.preempt,
                size_penalty_factor: record.size_penalty_factor,
                consolidate_replicas: record.consolidate_replicas,
                absorb_within: duration_from_secs(record.absorb_within_s),
                overload_penalty_factor: record.overload_penalty_factor,
            },
            fleet: FleetPolicy {
                horizon: duration_from_secs(record.horizon_s),
                keep_idle: duration_from_secs(record.keep_idle_s),
                minimum_billing: duration_from_secs(record.minimum_billing_s),
                transfer_idle: duration_from_secs(record.transfer_idle_s),
                max_idle_transfers: record.max_idle_transfers,
                heartbeat_timeout: duration_from_secs(record.heartbeat_timeout_s),
                boot_capacity_factor: record.boot_capacity_factor,
                boot_timeout_factor: record.boot_timeout_factor,
            },
        })
    }
}
