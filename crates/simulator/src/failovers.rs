//! What a takeover takes: from the end of a holder to each step of its successor.

use std::collections::BTreeSet;

/// One takeover of a partition, in ms of simulated time.
#[derive(Debug, Clone)]
pub struct Failover {
    pub partition: u32,
    /// The node that had it.
    pub before: String,
    /// When that node ended or stood still; for a partition handed over, when that was written.
    pub leader_stopped_at: u64,
    /// The holder was well and handed it over.
    pub transferred: bool,
    /// When the record of the new holder was written, and its term.
    pub acquired_at: Option<u64>,
    pub term: u64,
    /// When the first and the last of the machines that lived then had heard from the new holder: an
    /// answer to a report, or a direct call.
    pub first_contact_at: Option<u64>,
    pub last_contact_at: Option<u64>,
    /// When the first task was launched by it.
    pub first_launch_at: Option<u64>,
    /// Machines that lived when it was taken.
    pub machines: usize,
    waiting: BTreeSet<String>,
}

/// All takeovers of a run.
#[derive(Debug, Default)]
pub struct FailoverTimeline {
    pub list: Vec<Failover>,
}

impl FailoverTimeline {
    /// The holder of a partition ends or stands still.
    pub fn record_leader_stop(&mut self, partition: u32, holder: &str, now: u64) {
        self.open(partition, holder, now, false);
    }

    fn open(&mut self, partition: u32, before: &str, leader_stopped_at: u64, transferred: bool) {
        self.list.push(Failover {
            partition,
            before: before.into(),
            leader_stopped_at,
            transferred,
            acquired_at: None,
            term: 0,
            first_contact_at: None,
            last_contact_at: None,
            first_launch_at: None,
            machines: 0,
            waiting: BTreeSet::new(),
        });
    }

    /// A record has been written. `living` are the machines of the partition that live.
    pub fn record_acquisition(
        &mut self,
        partition: u32,
        before: Option<&str>,
        term: u64,
        living: BTreeSet<String>,
        now: u64,
    ) {
        // What the predecessor's machines had not heard by now they hear from another.
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
            failover.machines = living.len();
            failover.waiting = living.clone();
        }
    }

    /// A machine has heard from whoever has this token; `launches` if it was told to start something.
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
            } else if launches && failover.machines > 0 && failover.term == token {
                failover.first_launch_at.get_or_insert(now);
            }
        }
    }

    /// A machine is gone: nobody waits for it.
    pub fn record_machine_loss(&mut self, machine: &str, now: u64) {
        for failover in &mut self.list {
            if failover.waiting.remove(machine) && failover.waiting.is_empty() {
                failover.last_contact_at.get_or_insert(now);
            }
        }
    }
}
