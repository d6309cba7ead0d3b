//! Amounts of resources that tasks need, and that machines and quotas have.

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

/// An amount in thousandths, rounded up so that a need is never understated.
fn round_up(amount: f64) -> u64 {
    (amount * 1000.0 - 1e-6).ceil().clamp(0.0, 1e15) as u64
}

/// An amount in thousandths, rounded down so that a capacity is never overstated.
fn round_down(amount: f64) -> u64 {
    (amount * 1000.0 + 1e-6).floor().clamp(0.0, 1e15) as u64
}

impl Resources {
    /// Resources that a task needs, rounded up.
    pub fn needed(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            milli_cpus: round_up(cpus),
            milli_gpus: round_up(gpus),
            memory_mb: round_up(memory_gb),
        }
    }

    /// Resources that a machine or a quota has, rounded down.
    pub fn offered(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            milli_cpus: round_down(cpus),
            milli_gpus: round_down(gpus),
            memory_mb: round_down(memory_gb),
        }
    }

    /// The limit of a team. An amount of 0 stands for no limit: a guest team without one must not have
    /// every job rejected.
    pub fn team_limit(cpus: f64, gpus: f64) -> Self {
        let limit = |amount: f64| {
            if amount == 0.0 {
                u64::MAX
            } else {
                round_down(amount)
            }
        };
        Resources {
            milli_cpus: limit(cpus),
            milli_gpus: limit(gpus),
            memory_mb: 0,
        }
    }

    /// Whether no amount exceeds that of `capacity`.
    pub fn fits(&self, capacity: &Resources) -> bool {
        self.milli_cpus <= capacity.milli_cpus
            && self.milli_gpus <= capacity.milli_gpus
            && self.memory_mb <= capacity.memory_mb
    }

    /// As [`Resources::fits`], for a quota, which does not limit memory.
    pub fn fits_quota(&self, quota: &Resources) -> bool {
        self.milli_cpus <= quota.milli_cpus && self.milli_gpus <= quota.milli_gpus
    }

    /// The sum of `count` such amounts, saturating.
    pub fn times(&self, count: u64) -> Self {
        Resources {
            milli_cpus: self.milli_cpus.saturating_mul(count),
            milli_gpus: self.milli_gpus.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
        }
    }

    /// The difference, at least zero in each amount.
    pub fn saturating_sub(&self, other: &Resources) -> Self {
        Resources {
            milli_cpus: self.milli_cpus.saturating_sub(other.milli_cpus),
            milli_gpus: self.milli_gpus.saturating_sub(other.milli_gpus),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// How many times `part` fits into these resources; [`u64::MAX`] if it needs nothing.
    pub fn how_many_fit(&self, part: &Resources) -> u64 {
        let quotient = |capacity: u64, need: u64| capacity.checked_div(need).unwrap_or(u64::MAX);
        quotient(self.milli_cpus, part.milli_cpus)
            .min(quotient(self.milli_gpus, part.milli_gpus))
            .min(quotient(self.memory_mb, part.memory_mb))
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
