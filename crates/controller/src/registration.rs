//! Registration of this process's incarnation in the state service, and detection of crash loops.
//!
//! An incarnation is one run of a controller's process. A process that crashes may restart within a
//! fraction of a second and crash again. Each of its incarnations would acquire its preferred partition
//! and exit before it has received heartbeats from the machines, whose leases would then expire. So each
//! incarnation's record counts the short-lived incarnations in a row, including itself. After a few of
//! them the preferred partition is left to the other controllers, until an incarnation has run for a
//! while and resets the count to zero. This needs no clock that the incarnations share. The count decides
//! only which controller acquires which partition when; no safety rule depends on it.

use crate::records::IncarnationRecord;
use model::Timestamp;
use std::time::Duration;

/// An incarnation that has run for this long does not count as short-lived.
const STABLE_AFTER: Duration = Duration::from_secs(10);
/// This many short-lived incarnations in a row, including the present one, are a crash loop.
const CRASH_LOOP_THRESHOLD: u32 = 3;

/// The registration of this process. It must be durable before the process acquires a partition, so that
/// other controllers can tell that the previous incarnation has exited.
#[derive(Debug)]
pub struct Registration {
    incarnation: u64,
    registered: bool,
    write_pending: bool,
}

impl Registration {
    /// Creates the registration of an incarnation that has no record yet.
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

    /// Whether the state cache has shown that the incarnation's record is durable.
    pub fn is_registered(&self) -> bool {
        self.registered
    }

    /// Compares this controller's durable record, if there is one, with this incarnation. Returns the
    /// record that has to be written, if any; its write is pending until
    /// [`Registration::handle_write_reply`] is called. `now` is the time since the start of the process.
    pub fn begin_write(
        &mut self,
        recorded: Option<&IncarnationRecord>,
        now: Timestamp,
    ) -> Option<IncarnationRecord> {
        let recorded_short_runs = recorded.map_or(0, |record| record.short_runs);
        let is_recorded = recorded.is_some_and(|record| record.incarnation == self.incarnation);
        self.registered |= is_recorded;
        let is_stable = now >= Timestamp::default() + STABLE_AFTER;
        let short_runs = if !is_recorded {
            recorded_short_runs.saturating_add(1)
        } else if is_stable && recorded_short_runs > 0 {
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

    /// Records that the write was answered. Its result does not matter here, because the state cache shows
    /// whether the record is durable.
    pub fn handle_write_reply(&mut self) {
        self.write_pending = false;
    }
}

/// Whether a controller with this record has had several short-lived incarnations in a row.
pub fn is_crash_loop(record: &IncarnationRecord) -> bool {
    record.short_runs >= CRASH_LOOP_THRESHOLD
}
