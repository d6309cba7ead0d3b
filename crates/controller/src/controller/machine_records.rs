//! Changes of machines' records: what is wanted is gathered and written together, many
//! machines to a put.

use super::{CallKind, Controller, FLEET_PLANNER_PARTITION};
use crate::records::{
    machines_key, page_capacity, partition_key, MachineRecord, MachinesPage, PackedMachine,
    TOKEN_COUNTER_KEY,
};
use crate::request_budget::CallPriority;
use crate::serial_writer::{Outcome, SerialWriter};
use model::{MachineName, PartitionId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// How long a write waits behind rounds.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(1);
/// Least time between two writes, so that several changes go together.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// A change that is wanted of a machine's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum MachineChange {
    /// The leader: a machine that has been rented or found.
    Create(MachineRecord),
    /// Its holder gives it up.
    Leave,
    /// Its holder hands it, idle, to another partition.
    Shift(PartitionId),
    /// Its holder needs a higher token.
    Raise,
    /// The leader: the cloud has confirmed that it is gone.
    Delete,
}

/// Changes of machines' records on their way.
#[derive(Debug, Default)]
pub(crate) struct MachineChanges {
    wanted: BTreeMap<MachineName, MachineChange>,
    pipe: SerialWriter<()>,
    /// Since when a write could go out but for the budget.
    held_up_since: Option<Timestamp>,
}

impl MachineChanges {
    /// Whether the machine's record is about to change, or may be.
    pub fn concern(&self, name: &MachineName) -> bool {
        self.wanted.contains_key(name)
    }

    /// Wants a change. One that is under way for the machine goes first, unless the machine is
    /// gone.
    pub fn want(&mut self, name: &MachineName, change: MachineChange) {
        if change == MachineChange::Delete {
            self.wanted.insert(name.clone(), change);
        } else {
            self.wanted.entry(name.clone()).or_insert(change);
        }
    }

    /// Whether a write has waited for its part of the budget for long. Rounds, which ask first and come
    /// whenever a put is free, then let it pass: a node that had taken over a second partition did not
    /// get to give up its dead machines for 10 s, and their tasks waited for that.
    pub fn held_up(&self, now: Timestamp) -> bool {
        self.held_up_since
            .is_some_and(|at| now.duration_since(at) >= MAX_WRITE_DELAY)
    }

    /// Whether the machine is about to leave its share.
    pub fn take_away(&self, name: &MachineName) -> bool {
        matches!(
            self.wanted.get(name),
            Some(MachineChange::Leave | MachineChange::Shift(_))
        )
    }
}

impl Controller {
    /// Whether the change still makes sense as the mirror and our shares stand. What does not is
    /// dropped; whoever wanted it looks again.
    fn still_wanted(&self, name: &MachineName, change: &MachineChange) -> bool {
        let known = self.cache.machines.get(name).map(|m| &m.record);
        let partition_state = known
            .and_then(|record| self.leaderships.get(&record.partition))
            .filter(|leadership| !leadership.is_transferring())
            .and_then(|leadership| leadership.partition_state());
        let machine =
            partition_state.and_then(|partition_state| partition_state.machines.get(name));
        match change {
            MachineChange::Create(_) => {
                known.is_none() && self.leaderships.contains_key(&FLEET_PLANNER_PARTITION)
            }
            MachineChange::Delete => known.is_some(),
            MachineChange::Leave => machine.is_some() && known.is_some_and(|r| !r.leaving),
            // Only what is idle and takes nothing new may change hands.
            MachineChange::Shift(to) => {
                machine.is_some_and(|m| m.tasks.is_empty() && m.leaving)
                    && known.is_some_and(|r| r.partition != *to && !r.leaving)
            }
            MachineChange::Raise => machine.is_some_and(|m| m.needs_higher_token()),
        }
    }

    pub(super) fn write_machine_changes(&mut self) {
        let (now, revision) = (self.now, self.cache.revision);
        if self.machine_changes.wanted.is_empty()
            || !self.synced
            || !self.machine_changes.pipe.ready(now, revision)
        {
            self.machine_changes.held_up_since = None;
            return;
        }
        if !self.may_write(CallPriority::Placement, 1.0) {
            self.machine_changes.held_up_since.get_or_insert(now);
            return;
        }
        self.machine_changes.held_up_since = None;
        let wanted = std::mem::take(&mut self.machine_changes.wanted);
        let wanted: BTreeMap<MachineName, MachineChange> = wanted
            .into_iter()
            .filter(|(name, change)| self.still_wanted(name, change))
            .collect();
        let txn = self.machines_txn(&wanted);
        // They stay wanted, and so known to be under way, until the mirror shows them done.
        self.machine_changes.wanted = wanted;
        if txn.writes.is_empty() {
            return;
        }
        self.machine_changes
            .pipe
            .send((), txn.clone(), now, WRITE_INTERVAL);
        self.state(
            CallPriority::Placement,
            StateRequest::Transaction(txn),
            CallKind::Machines,
        );
    }

    /// Writes as many of the changes as a transaction takes.
    fn machines_txn(&self, wanted: &BTreeMap<MachineName, MachineChange>) -> Transaction {
        let most_pages = (self.settings.state_limits.txn_ops - 1).clamp(1, 4);
        let room = page_capacity(self.settings.state_limits.value_bytes);
        let token = self.cache.next_token();
        let mut pages: BTreeMap<u32, BTreeMap<&MachineName, MachineRecord>> = BTreeMap::new();
        let mut rights: BTreeSet<PartitionId> = BTreeSet::new();
        let grows = wanted
            .values()
            .any(|change| matches!(change, MachineChange::Create(_)));
        let mut filled = if grows {
            self.filled_pages()
        } else {
            BTreeMap::new()
        };
        let mut new_token = false;
        for (name, change) in wanted {
            let known = self.cache.machines.get(name);
            let (page, mut record) = match (known, change) {
                (Some(known), _) => (known.page, known.record.clone()),
                (None, MachineChange::Create(record)) => {
                    let size = PackedMachine::max_packed_size(name, record);
                    let fits = |filled: &usize| filled + size <= room;
                    let found = filled
                        .iter()
                        .find(|(_, filled)| fits(filled))
                        .map(|(p, _)| *p);
                    let fresh = || filled.keys().next_back().map_or(0, |last| last + 1);
                    let page = found.unwrap_or_else(fresh);
                    if pages.contains_key(&page) || pages.len() < most_pages {
                        *filled.entry(page).or_default() += size;
                    }
                    (page, record.clone())
                }
                (None, _) => continue,
            };
            if !pages.contains_key(&page) && pages.len() >= most_pages {
                continue;
            }
            let records = pages.entry(page).or_insert_with(|| self.page_records(page));
            match change {
                MachineChange::Create(_) => {
                    rights.insert(FLEET_PLANNER_PARTITION);
                }
                // The cloud's word needs no right.
                MachineChange::Delete => {
                    records.remove(name);
                    continue;
                }
                MachineChange::Leave => {
                    rights.insert(record.partition);
                    record.leaving = true;
                }
                MachineChange::Shift(to) => {
                    rights.insert(record.partition);
                    (record.partition, record.token, new_token) = (*to, token, true);
                }
                MachineChange::Raise => {
                    rights.insert(record.partition);
                    (record.token, new_token) = (token, true);
                }
            }
            records.insert(name, record);
        }
        let mut txn = Transaction::default();
        for partition in rights {
            let version = self
                .leaderships
                .get(&partition)
                .map_or(0, |h| h.version().0);
            txn = txn.when(partition_key(partition), version);
        }
        for (page, records) in pages {
            let machines = records
                .iter()
                .map(|(name, record)| PackedMachine::new(name, record))
                .collect();
            let version = self
                .cache
                .machine_pages
                .get(&page)
                .map_or(0, |p| p.version.0);
            let value = serde_json::to_value(MachinesPage { machines }).unwrap_or_default();
            let key = machines_key(page);
            txn = txn.when(&key, version).write(Write::put(&key, value));
        }
        if new_token {
            let mut counter = self
                .cache
                .counter
                .as_ref()
                .map(|c| c.record.clone())
                .unwrap_or_default();
            counter.next = token + 1;
            let value = serde_json::to_value(counter).unwrap_or_default();
            txn = txn
                .when(TOKEN_COUNTER_KEY, self.cache.counter_version())
                .write(Write::put(TOKEN_COUNTER_KEY, value));
        }
        txn
    }

    fn page_records(&self, page: u32) -> BTreeMap<&MachineName, MachineRecord> {
        let names = self
            .cache
            .machine_pages
            .get(&page)
            .into_iter()
            .flat_map(|p| &p.record.names);
        names
            .filter_map(|name| Some((name, self.cache.machines.get(name)?.record.clone())))
            .collect()
    }

    /// How full each page is.
    fn filled_pages(&self) -> BTreeMap<u32, usize> {
        self.cache
            .machine_pages
            .iter()
            .map(|(page, of)| (*page, of.record.filled))
            .collect()
    }

    pub(super) fn handle_machine_records_written(&mut self, reply: StateReply) {
        // What is still wanted is made up anew when the mirror has caught up.
        if let Outcome::Again(txn) = self.machine_changes.pipe.answered(reply, self.now) {
            let request = StateRequest::Transaction(txn);
            self.retry_later(
                Duration::from_millis(200),
                CallPriority::Placement,
                request,
                CallKind::Machines,
            );
        }
    }
}
