//! Limits that the simulated state service enforces.

use wire::state::{Transaction, Write};

/// Maximum size of a transaction in bytes.
const MAX_TXN_BYTES: usize = 64 * 1024;
const BYTES_PER_KB: f64 = 1024.0;
/// Conditions that a transaction may have for each of its permitted puts and deletes.
const CONDITIONS_PER_OPERATION: usize = 4;

/// Limits of the state service, as its clients' settings state them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateServiceLimits {
    pub requests_per_s: f64,
    /// Puts and deletes per second.
    pub writes_per_s: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
}

impl Default for StateServiceLimits {
    /// The limits of a small site.
    fn default() -> Self {
        StateServiceLimits {
            requests_per_s: 400.0,
            writes_per_s: 40.0,
            value_kb: 1.0,
            txn_ops: 6,
        }
    }
}

impl StateServiceLimits {
    /// Why a transaction exceeds the limits whatever the load, if it does.
    pub(super) fn exceeded_by(&self, txn: &Transaction) -> Option<String> {
        let (writes, conditions) = (txn.writes.len(), txn.conditions.len());
        if writes > self.txn_ops || conditions > self.txn_ops * CONDITIONS_PER_OPERATION {
            return Some(format!("{writes} changes and {conditions} conditions"));
        }
        let value_bytes = |write: &Write| match write {
            Write::Put { value, .. } => value.to_string().len(),
            Write::Delete { .. } => 0,
        };
        let sizes: Vec<usize> = txn.writes.iter().map(value_bytes).collect();
        let (largest, total) = (sizes.iter().max().copied()?, sizes.iter().sum::<usize>());
        let max_value_bytes = (self.value_kb * BYTES_PER_KB) as usize;
        (largest > max_value_bytes || total > MAX_TXN_BYTES)
            .then(|| format!("a value of {largest} bytes, {total} bytes in all"))
    }
}

/// A token bucket that holds one second's worth. Times are in ms.
#[derive(Debug, Clone, Default)]
pub(super) struct RateLimit {
    pub(super) per_s: f64,
    pub(super) available: f64,
    refilled_at: u64,
}

impl RateLimit {
    /// A bucket with this rate and level.
    pub(super) fn new(per_s: f64, available: f64) -> Self {
        RateLimit {
            per_s,
            available,
            refilled_at: 0,
        }
    }

    /// Takes an amount, if there is as much.
    pub(super) fn take(&mut self, now: u64, amount: usize) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now.max(self.refilled_at);
        self.available = (self.available + elapsed_s * self.per_s).min(self.per_s);
        let is_enough = self.available >= amount as f64;
        if is_enough {
            self.available -= amount as f64;
        }
        is_enough
    }
}
