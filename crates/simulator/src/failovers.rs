//! Timelines of failovers: from the stop of a leader to each step of its successor.

use std::collections::BTreeSet;

/// One failover of a partition, in ms of simulated time.
#[derive(Debug, Clone)]
pub struct Failover {
    pub partition: u32,
    /// The leader before.
    pub previous_leader: String,
    /// When the previous leader crashed or was paused; for a leadership transfer, when its record was
    /// written.
    pub leader_stopped_at: u64,
    /// Whether a healthy leader transferred its leadership.
    pub transferred: bool,
    /// When the record of the new leader was written, and its term.
    pub acquired_at: Option<u64>,
    pub term: u64,
    /// When the first and the last of the machines that were up had received a heartbeat reply or a direct
    /// call of the new leader.
    pub first_contact_at: Option<u64>,
    pub last_contact_at: Option<u64>,
    /// When the new leader launched its first task.
    pub first_launch_at: Option<u64>,
    /// Machines that were up when the new leader acquired the partition.
    pub machine_count: usize,
    waiting: BTreeSet<String>,
}

/// All failovers of a run, in the order in which they began.
#[derive(Debug, Default)]
pub struct FailoverTimeline {
    pub list: Vec<Failover>,
}

impl FailoverTimeline {
    /// The leader of a partition crashes or is paused.
    pub fn record_leader_stop(&mut self, partition: u32, leader: &str, now: u64) {
        self.open(partition, leader, now, false);
    }

    fn open(&mut self, partition: u32, before: &str, leader_stopped_at: u64, transferred: bool) {
        self.list.push(Failover {
            partition,
            previous_leader: before.into(),
            leader_stopped_at,
            transferred,
            acquired_at: None,
            term: 0,
            first_contact_at: None,
            last_contact_at: None,
            first_launch_at: None,
            machine_count: 0,
            waiting: BTreeSet::new(),
        });
    }

    /// A partition record has been written. `living` are the partition's machines that are up.
    pub fn record_acquisition(
        &mut self,
        partition: u32,
        before: Option<&str>,
        term: u64,
        living: BTreeSet<String>,
        now: u64,
    ) {
        // Machines that had not heard from the predecessor will hear from its successor.
        for old in self.list.iter_mut().filter(|t| t.partition == partition) {
            old.waiting.clear();
        }
        let opened = |t: &Failover| t.partition == partition && t.acquired_at.is_none();
        if !self.list.iter().any(opened) {
            let Some(before) = before else { return };
            self.open(partition, before, now, true);
        }
        for failover in self.list.iter_mut().filter(|t| opened(t)) {
            failover.acquired_at = Some(now);
            failover.term = term;
            failover.machine_count = living.len();
            failover.waiting = living.clone();
        }
    }

    /// A machine has received a message with this fencing token; `launches` if it contained a start command.
    pub fn record_contact(&mut self, machine: &str, token: u64, launches: bool, now: u64) {
        for failover in &mut self.list {
            if failover.acquired_at.is_none() || token < failover.term {
                continue;
            }
            if failover.waiting.remove(machine) {
                failover.first_contact_at.get_or_insert(now);
                if failover.waiting.is_empty() {
                    failover.last_contact_at = Some(now);
                }
                if launches {
                    failover.first_launch_at.get_or_insert(now);
                }
            } else if launches && failover.machine_count > 0 && failover.term == token {
                failover.first_launch_at.get_or_insert(now);
            }
        }
    }

    /// A machine is gone: its first contact is no longer expected.
    pub fn record_machine_loss(&mut self, machine: &str, now: u64) {
        for failover in &mut self.list {
            if failover.waiting.remove(machine) && failover.waiting.is_empty() {
                failover.last_contact_at.get_or_insert(now);
            }
        }
    }
}
