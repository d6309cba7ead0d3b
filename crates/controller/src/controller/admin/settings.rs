//! The operators' settings: their stored form and its limits.

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
    /// They are not a settings object: the message names the unknown field or the wrong type.
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

/// The operators' settings as they are stored and as the admin API shows them.
///
/// Every field is bounded so that none can loosen a safety rule: settings change when work is tried
/// and what is rented, never what must be proven first.
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
    fn from(tuning: &Tuning) -> Self {
        let Tuning {
            queue,
            policy,
            fleet,
        } = tuning;
        TuningRecord {
            initial_backoff_s: queue.initial_backoff.as_secs_f64(),
            max_backoff_s: queue.max_backoff.as_secs_f64(),
            leftover_s: queue.unschedulable_timeout.as_secs_f64(),
            silence_s: policy.heartbeat_grace.as_secs_f64(),
            window: policy.window,
            faulty_after: policy.quarantine_threshold,
            preempt: policy.preempt,
            set_back: policy.size_penalty_factor,
            move_replicas: policy.move_replicas,
            absorb_s: policy.absorb.as_secs_f64(),
            short_set_back: policy.overload_penalty_factor,
            horizon_s: fleet.horizon.as_secs_f64(),
            keep_idle_s: fleet.keep_idle.as_secs_f64(),
            paid_s: fleet.minimum_billing.as_secs_f64(),
            shift_idle_s: fleet.transfer_idle.as_secs_f64(),
            shift_count: fleet.max_idle_transfers,
            silent_s: fleet.report_timeout.as_secs_f64(),
            boot_trust: fleet.boot_capacity_factor,
            boot_patience: fleet.boot_timeout_factor,
        }
    }
}

impl TuningRecord {
    /// Decodes settings; fields that are absent have their defaults.
    pub fn decode(settings: &Value) -> Result<Self, serde_json::Error> {
        TuningRecord::deserialize(settings)
    }

    /// Checks the limits of every field.
    fn check(&self) -> Result<(), FieldOutOfBounds> {
        check_bounds("initial_backoff_s", self.initial_backoff_s, 0.01..=60.0)?;
        check_bounds(
            "max_backoff_s",
            self.max_backoff_s,
            self.initial_backoff_s..=600.0,
        )?;
        check_bounds("leftover_s", self.leftover_s, 0.1..=600.0)?;
        check_bounds("silence_s", self.silence_s, 0.1..=60.0)?;
        check_bounds("window", f64::from(self.window), 1.0..=100_000.0)?;
        check_bounds("faulty_after", f64::from(self.faulty_after), 1.0..=1000.0)?;
        check_bounds("set_back", self.set_back as f64, 0.0..=1000.0)?;
        check_bounds("absorb_s", self.absorb_s, 0.0..=3_600.0)?;
        check_bounds("short_set_back", self.short_set_back as f64, 0.0..=1000.0)?;
        check_bounds("horizon_s", self.horizon_s, 1.0..=36_000.0)?;
        check_bounds("keep_idle_s", self.keep_idle_s, 0.0..=36_000.0)?;
        check_bounds("paid_s", self.paid_s, 0.0..=36_000.0)?;
        check_bounds("shift_idle_s", self.shift_idle_s, 0.0..=3_600.0)?;
        check_bounds("shift_count", self.shift_count as f64, 0.0..=1000.0)?;
        check_bounds("silent_s", self.silent_s, 1.0..=36_000.0)?;
        check_bounds("boot_trust", self.boot_trust, 0.1..=100.0)?;
        check_bounds("boot_patience", self.boot_patience as f64, 1.0..=1000.0)?;
        Ok(())
    }
}

impl TryFrom<&TuningRecord> for Tuning {
    type Error = FieldOutOfBounds;

    /// Checks every field; the error names the first that is outside its limits.
    fn try_from(record: &TuningRecord) -> Result<Self, FieldOutOfBounds> {
        record.check()?;
        Ok(Tuning {
            queue: QueueConfig {
                initial_backoff: duration_from_secs(record.initial_backoff_s),
                max_backoff: duration_from_secs(record.max_backoff_s),
                unschedulable_timeout: duration_from_secs(record.leftover_s),
            },
            policy: Policy {
                heartbeat_grace: duration_from_secs(record.silence_s),
                window: record.window,
                quarantine_threshold: record.faulty_after,
                preempt: record.preempt,
                size_penalty_factor: record.set_back,
                move_replicas: record.move_replicas,
                absorb: duration_from_secs(record.absorb_s),
                overload_penalty_factor: record.short_set_back,
            },
            fleet: FleetPolicy {
                horizon: duration_from_secs(record.horizon_s),
                keep_idle: duration_from_secs(record.keep_idle_s),
                minimum_billing: duration_from_secs(record.paid_s),
                transfer_idle: duration_from_secs(record.shift_idle_s),
                max_idle_transfers: record.shift_count,
                report_timeout: duration_from_secs(record.silent_s),
                boot_capacity_factor: record.boot_trust,
                boot_timeout_factor: record.boot_patience,
            },
        })
    }
}
