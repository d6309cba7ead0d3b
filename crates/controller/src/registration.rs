//! Registration of this process's incarnation in the state service, and detection of crash loops.
//!
//! A process that ends may be back within a fraction of a second, and end again. Each of its
//! incarnations would acquire its preferred partition, be gone before it has heard from the
//! machines, and leave their leases to run out. So each incarnation's record counts how many short-lived
//! ones there were in a row, this one included. After a few, the preferred partition is left to the other
//! controllers until an incarnation has run for a while; then the count goes back to zero. No clock is
//! shared for that. The count decides only which controller acquires what when; no safety rule depends
//! on it.

use crate::records::IncarnationRecord;
use model::Timestamp;
use std::time::Duration;

/// An incarnation that ran for so long does not count as short-lived.
const STABLE_AFTER: Duration = Duration::from_secs(10);
/// So many short-lived incarnations in a row, the present one among them, are a crash loop.
const CRASH_LOOP_THRESHOLD: u32 = 3;

/// The registration of this process. It must be durable before the process acquires anything, so that
/// others can tell that the incarnation before has ended.
#[derive(Debug)]
pub struct Registration {
    incarnation: u64,
    registered: bool,
    write_pending: bool,
}

impl Registration {
    /// The registration of an incarnation that no record names yet.
    pub fn new(incarnation: u64) -> Self {
        Registration {
            incarnation,
            registered: false,
            write_pending: false,
        }
    }

    /// This process's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the incarnation's record was seen to be durable.
    pub fn is_registered(&self) -> bool {
        self.registered
    }

    /// Compares the durable record of this controller, if there is one, with this incarnation.
    /// Returns the record that has to be written; it counts as sent until
    /// [`Registration::handle_write_reply`]. `now` is a time since the start of the process.
    pub fn begin_write(
        &mut self,
        recorded: Option<&IncarnationRecord>,
        now: Timestamp,
    ) -> Option<IncarnationRecord> {
        let short_runs_before = recorded.map_or(0, |record| record.short_runs);
        let recorded_now = recorded.is_some_and(|record| record.incarnation == self.incarnation);
        self.registered |= recorded_now;
        let is_stable = now >= Timestamp::default() + STABLE_AFTER;
        let short_runs = if !recorded_now {
            short_runs_before.saturating_add(1)
        } else if is_stable && short_runs_before > 0 {
            0
        } else {
            return None;
        };
        if self.write_pending {
            return None;
        }
        self.write_pending = true;
        Some(IncarnationRecord {
            incarnation: self.incarnation,
            short_runs,
        })
    }

    /// Records that the write of the record was answered, with whatever result: the cache shows it.
    pub fn handle_write_reply(&mut self) {
        self.write_pending = false;
    }
}

/// Whether a controller with this record has had several short-lived incarnations in a row.
pub fn is_crash_loop(record: &IncarnationRecord) -> bool {
    record.short_runs >= CRASH_LOOP_THRESHOLD
}
