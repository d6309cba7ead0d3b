//! What a takeover takes: from the end of a holder to each step of its successor.

use std::collections::BTreeSet;

/// One takeover of a partition, in ms of simulated time.
#[derive(Debug, Clone)]
pub struct Takeover {
    pub partition: u32,
    /// The node that had it.
    pub before: String,
    /// When that node ended or stood still; for a partition handed over, when that was written.
    pub ended_at: u64,
    /// The holder was well and handed it over.
    pub handed: bool,
    /// When the record of the new holder was written, and its term.
    pub taken_at: Option<u64>,
    pub term: u64,
    /// When the first and the last of the machines that lived then had heard from the new holder: an
    /// answer to a report, or a direct call.
    pub first_told: Option<u64>,
    pub last_told: Option<u64>,
    /// When the first task was launched by it.
    pub first_launch: Option<u64>,
    /// Machines that lived when it was taken.
    pub machines: usize,
    waiting: BTreeSet<String>,
}

/// All takeovers of a run.
#[derive(Debug, Default)]
pub struct Takeovers {
    pub list: Vec<Takeover>,
}

impl Takeovers {
    /// The holder of a partition ends or stands still.
    pub fn ended(&mut self, partition: u32, holder: &str, now: u64) {
        self.open(partition, holder, now, false);
    }

    fn open(&mut self, partition: u32, before: &str, ended_at: u64, handed: bool) {
        self.list.push(Takeover {
            partition,
            before: before.into(),
            ended_at,
            handed,
            taken_at: None,
            term: 0,
            first_told: None,
            last_told: None,
            first_launch: None,
            machines: 0,
            waiting: BTreeSet::new(),
        });
    }

    /// A record has been written. `living` are the machines of the partition that live.
    pub fn taken(
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
        let opened = |t: &Takeover| t.partition == partition && t.taken_at.is_none();
        if !self.list.iter().any(opened) {
            let Some(before) = before else { return };
            self.open(partition, before, now, true);
        }
        for takeover in self.list.iter_mut().filter(|t| opened(t)) {
            takeover.taken_at = Some(now);
            takeover.term = term;
            takeover.machines = living.len();
            takeover.waiting = living.clone();
        }
    }

    /// A machine has heard from whoever has this token; `launches` if it was told to start something.
    pub fn told(&mut self, machine: &str, token: u64, launches: bool, now: u64) {
        for takeover in &mut self.list {
            if takeover.taken_at.is_none() || token < takeover.term {
                continue;
            }
            if takeover.waiting.remove(machine) {
                takeover.first_told.get_or_insert(now);
                if takeover.waiting.is_empty() {
                    takeover.last_told = Some(now);
                }
                if launches {
                    takeover.first_launch.get_or_insert(now);
                }
            } else if launches && takeover.machines > 0 && takeover.term == token {
                takeover.first_launch.get_or_insert(now);
            }
        }
    }

    /// A machine is gone: nobody waits for it.
    pub fn gone(&mut self, machine: &str, now: u64) {
        for takeover in &mut self.list {
            if takeover.waiting.remove(machine) && takeover.waiting.is_empty() {
                takeover.last_told.get_or_insert(now);
            }
        }
    }
}
