//! Amounts that tasks take of machines and teams.

use std::ops::{Add, AddAssign, Sub, SubAssign};

/// CPUs, GPUs and memory in thousandths, so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Resources {
    pub milli_cpus: u64,
    pub milli_gpus: u64,
    pub memory_mb: u64,
}

/// Rounds what a task takes up.
fn up(amount: f64) -> u64 {
    (amount * 1000.0 - 1e-6).ceil().clamp(0.0, 1e15) as u64
}

/// Rounds what a machine or a team has down.
fn down(amount: f64) -> u64 {
    (amount * 1000.0 + 1e-6).floor().clamp(0.0, 1e15) as u64
}

impl Resources {
    /// What a task takes.
    pub fn needed(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            milli_cpus: up(cpus),
            milli_gpus: up(gpus),
            memory_mb: up(memory_gb),
        }
    }

    /// What a machine or a team has.
    pub fn offered(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            milli_cpus: down(cpus),
            milli_gpus: down(gpus),
            memory_mb: down(memory_gb),
        }
    }

    /// What a team may use at most. An amount of 0 stands for no limit: a guest team without
    /// one must not be refused everything.
    pub fn limit(cpus: f64, gpus: f64) -> Self {
        let most = |amount: f64| {
            if amount == 0.0 {
                u64::MAX
            } else {
                down(amount)
            }
        };
        Resources {
            milli_cpus: most(cpus),
            milli_gpus: most(gpus),
            memory_mb: 0,
        }
    }

    /// Whether this fits into `room` in every respect.
    pub fn fits(&self, room: &Resources) -> bool {
        self.milli_cpus <= room.milli_cpus
            && self.milli_gpus <= room.milli_gpus
            && self.memory_mb <= room.memory_mb
    }

    /// As `fits`, for a team's amounts, which do not count memory.
    pub fn fits_quota(&self, room: &Resources) -> bool {
        self.milli_cpus <= room.milli_cpus && self.milli_gpus <= room.milli_gpus
    }

    /// This many times.
    pub fn times(&self, count: u64) -> Self {
        Resources {
            milli_cpus: self.milli_cpus.saturating_mul(count),
            milli_gpus: self.milli_gpus.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
        }
    }

    /// What is left of `self` after taking `other`, never below nothing.
    pub fn saturating_sub(&self, other: &Resources) -> Self {
        Resources {
            milli_cpus: self.milli_cpus.saturating_sub(other.milli_cpus),
            milli_gpus: self.milli_gpus.saturating_sub(other.milli_gpus),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// How many times `part` fits in.
    pub fn how_many_fit(&self, part: &Resources) -> u64 {
        let per = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        per(self.milli_cpus, part.milli_cpus)
            .min(per(self.milli_gpus, part.milli_gpus))
            .min(per(self.memory_mb, part.memory_mb))
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
