//! Timelines of failovers: when, after the stop of a leader, its successor reached each step.

use std::collections::BTreeSet;

/// One failover of a partition. Times are in ms of simulated time.
#[derive(Debug, Clone)]
pub struct Failover {
    pub partition: u32,
    pub previous_leader: String,
    /// When the previous leader crashed or was paused; for a leadership transfer, when the new leader's record
    /// was written.
    pub leader_stopped_at: u64,
    /// Whether the previous leader was healthy and transferred its leadership.
    pub transferred: bool,
    /// When the record of the new leader was written.
    pub acquired_at: Option<u64>,
    /// Term of the new leader, 0 before the acquisition.
    pub term: u64,
    /// When the first of the machines that were up at the acquisition received a heartbeat reply or a direct call
    /// of the new leader.
    pub first_contact_at: Option<u64>,
    /// When the last of them did, or was lost before it did.
    pub last_contact_at: Option<u64>,
    /// When the new leader launched its first task.
    pub first_launch_at: Option<u64>,
    /// Number of machines that were up when the new leader acquired the partition.
    pub machine_count: usize,
    /// Those of them that have not received a message of the new leader.
    uncontacted: BTreeSet<String>,
}

/// All failovers of a run, in the order in which they began.
#[derive(Debug, Default)]
pub struct FailoverTimeline {
    pub list: Vec<Failover>,
}

impl FailoverTimeline {
    /// Records that the leader of a partition crashes or is paused: a failover begins.
    pub fn record_leader_stop(&mut self, partition: u32, leader: &str, now: u64) {
        self.begin(partition, leader, now, false);
    }

    fn begin(
        &mut self,
        partition: u32,
        previous_leader: &str,
        leader_stopped_at: u64,
        transferred: bool,
    ) {
        self.list.push(Failover {
            partition,
            previous_leader: previous_leader.into(),
            leader_stopped_at,
            transferred,
            acquired_at: None,
            term: 0,
            first_contact_at: None,
            last_contact_at: None,
            first_launch_at: None,
            machine_count: 0,
            uncontacted: BTreeSet::new(),
        });
    }

    /// Records that a new leader's partition record has been written. `live_machines` are the partition's machines
    /// that are up.
    pub fn record_acquisition(
        &mut self,
        partition: u32,
        previous_leader: Option<&str>,
        term: u64,
        live_machines: BTreeSet<String>,
        now: u64,
    ) {
        // Machines that had no contact with an earlier leader now wait for this one.
        let earlier = |f: &&mut Failover| f.partition == partition;
        for failover in self.list.iter_mut().filter(earlier) {
            failover.uncontacted.clear();
        }
        let in_progress = |f: &Failover| f.partition == partition && f.acquired_at.is_none();
        if !self.list.iter().any(in_progress) {
            let Some(previous_leader) = previous_leader else {
                return;
            };
            self.begin(partition, previous_leader, now, true);
        }
        for failover in self.list.iter_mut().filter(|f| in_progress(f)) {
            failover.acquired_at = Some(now);
            failover.term = term;
            failover.machine_count = live_machines.len();
            failover.uncontacted = live_machines.clone();
        }
    }

    /// Records that a machine has received a message with this fencing token; `launches` tells whether it contained
    /// a launch command.
    pub fn record_contact(&mut self, machine: &str, token: u64, launches: bool, now: u64) {
        for failover in &mut self.list {
            if failover.acquired_at.is_none() || token < failover.term {
                continue;
            }
            if failover.uncontacted.remove(machine) {
                failover.first_contact_at.get_or_insert(now);
                if failover.uncontacted.is_empty() {
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

    /// Records that a machine is gone: no contact with it is expected any more.
    pub fn record_machine_loss(&mut self, machine: &str, now: u64) {
        for failover in &mut self.list {
            if failover.uncontacted.remove(machine) && failover.uncontacted.is_empty() {
                failover.last_contact_at.get_or_insert(now);
            }
        }
    }
}
