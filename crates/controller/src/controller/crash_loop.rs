//! Whether a node lives for long enough to hold a partition. An ended process may be back within a
//! fraction of a second, and end again: each of its lives would take its home, be gone before it has heard
//! its machines, and leave their leases to run out. So lives count themselves, and after some short
//! ones in a row a home is left to others until its node has lived for a while. No clock is shared for that:
//! the count is a part of what a life announces itself with, and goes to zero once it has been long. It
//! decides only who takes what when, so no right hangs on it.

use super::{CallKind, Controller};
use crate::records::{incarnation_key, IncarnationRecord};
use crate::request_budget::CallPriority;
use model::{ControllerName, Timestamp};
use std::time::Duration;
use wire::state::{StateRequest, Transaction, Write};

/// A life that lasted for so long was no short one.
const STABLE_AFTER: Duration = Duration::from_secs(10);
/// So many short lives in a row, the present one among them, make a node restless.
const CRASH_LOOP_THRESHOLD: u32 = 3;

impl Controller {
    /// Announces this life before it holds anything, so that others can tell that the one before is
    /// over. True once it is announced.
    pub(super) fn announce(&mut self) -> bool {
        let before = self
            .cache
            .incarnations
            .get(self.own_name())
            .map(|b| b.record.clone());
        let known = before
            .as_ref()
            .is_some_and(|record| record.incarnation == self.incarnation);
        if !known {
            let before = before.map_or(0, |record| record.short_runs);
            self.write_boot(before.saturating_add(1));
        } else if self.now >= Timestamp::default() + STABLE_AFTER
            && before.is_some_and(|b| b.short_runs > 0)
        {
            self.write_boot(0);
        }
        known
    }

    fn write_boot(&mut self, short_runs: u32) {
        if self.calls.values().any(|p| matches!(p, CallKind::Boot)) {
            return;
        }
        let key = incarnation_key(self.own_name());
        let version = self
            .cache
            .incarnations
            .get(self.own_name())
            .map_or(0, |b| b.version.0);
        let record = IncarnationRecord {
            incarnation: self.incarnation,
            short_runs,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        let txn = Transaction::default()
            .when(&key, version)
            .write(Write::put(&key, value));
        self.state(
            CallPriority::Lease,
            StateRequest::Transaction(txn),
            CallKind::Boot,
        );
    }

    /// Whether a node has had several short lives in a row.
    pub(super) fn is_crash_looping(&self, node: &ControllerName) -> bool {
        self.cache
            .incarnations
            .get(node)
            .is_some_and(|b| b.record.short_runs >= CRASH_LOOP_THRESHOLD)
    }

    /// Whether we leave even our home to others for now. Where all are restless everybody takes what is
    /// his, as ever.
    pub(super) fn defers_to_peers(&self) -> bool {
        self.is_crash_looping(self.own_name())
            && self.peers.iter().any(|(name, peer)| {
                peer.ready && self.peer_is_alive(name) && !self.is_crash_looping(name)
            })
    }
}
