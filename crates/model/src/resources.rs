//! Amounts of resources: what tasks need, and what machines and quotas have.

use std::ops::{Add, AddAssign, Sub, SubAssign};

/// CPUs, GPUs and memory, in integers so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Resources {
    /// CPUs in thousandths.
    pub milli_cpus: u64,
    /// GPUs in thousandths.
    pub milli_gpus: u64,
    /// Memory in MB (thousandths of a GB).
    pub memory_mb: u64,
}

/// Converts an amount to thousandths, rounded up so that a need is never understated.
fn round_up_to_milli(amount: f64) -> u64 {
    (amount * 1000.0 - 1e-6).ceil().clamp(0.0, 1e15) as u64
}

/// Converts an amount to thousandths, rounded down so that a capacity is never overstated.
fn round_down_to_milli(amount: f64) -> u64 {
    (amount * 1000.0 + 1e-6).floor().clamp(0.0, 1e15) as u64
}

impl Resources {
    /// Resources that a task needs, rounded up.
    pub fn needed(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            milli_cpus: round_up_to_milli(cpus),
            milli_gpus: round_up_to_milli(gpus),
            memory_mb: round_up_to_milli(memory_gb),
        }
    }

    /// Resources that a machine or a quota has, rounded down.
    pub fn offered(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            milli_cpus: round_down_to_milli(cpus),
            milli_gpus: round_down_to_milli(gpus),
            memory_mb: round_down_to_milli(memory_gb),
        }
    }

    /// Limit of a team. An amount of 0 means no limit: otherwise every job of a guest team, which has no
    /// limit, would be rejected.
    pub fn team_limit(cpus: f64, gpus: f64) -> Self {
        let limit = |amount: f64| {
            if amount == 0.0 {
                u64::MAX
            } else {
                round_down_to_milli(amount)
            }
        };
        Resources {
            milli_cpus: limit(cpus),
            milli_gpus: limit(gpus),
            memory_mb: 0,
        }
    }

    /// Whether these resources fit into `capacity`: each amount is at most that of `capacity`.
    pub fn fits(&self, capacity: &Resources) -> bool {
        self.milli_cpus <= capacity.milli_cpus
            && self.milli_gpus <= capacity.milli_gpus
            && self.memory_mb <= capacity.memory_mb
    }

    /// Like [`Resources::fits`], but for a quota, which does not limit memory.
    pub fn fits_quota(&self, quota: &Resources) -> bool {
        self.milli_cpus <= quota.milli_cpus && self.milli_gpus <= quota.milli_gpus
    }

    /// These resources multiplied by `count`, saturating.
    pub fn times(&self, count: u64) -> Self {
        Resources {
            milli_cpus: self.milli_cpus.saturating_mul(count),
            milli_gpus: self.milli_gpus.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
        }
    }

    /// The difference, with each amount at least zero.
    pub fn saturating_sub(&self, other: &Resources) -> Self {
        Resources {
            milli_cpus: self.milli_cpus.saturating_sub(other.milli_cpus),
            milli_gpus: self.milli_gpus.saturating_sub(other.milli_gpus),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// How many times `needs` fits into these resources; [`u64::MAX`] if `needs` is zero.
    pub fn how_many_fit(&self, needs: &Resources) -> u64 {
        let quotient = |capacity: u64, need: u64| capacity.checked_div(need).unwrap_or(u64::MAX);
        quotient(self.milli_cpus, needs.milli_cpus)
            .min(quotient(self.milli_gpus, needs.milli_gpus))
            .min(quotient(self.memory_mb, needs.memory_mb))
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            milli_cpus: self.milli_cpus.saturating_add(other.milli_cpus),
            milli_gpus: self.milli_gpus.saturating_add(other.milli_gpus),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        self.saturating_sub(&other)
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = self.saturating_sub(&other);
    }
}
