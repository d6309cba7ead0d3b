//! Changes of machines' records. Requested changes are collected and written together, many machines
//! in one write.

use super::call_kind::RecordCall;
use super::{CallKind, Controller, FLEET_PLANNER_PARTITION};
use crate::records::{
    machines_key, page_capacity_bytes, partition_key, MachineRecord, MachinesPage, PackedMachine,
    TOKEN_COUNTER_KEY,
};
use crate::request_budget::CallPriority;
use crate::serial_writer::{SerialWriter, WriteOutcome, UNKNOWN_OUTCOME_RETRY_DELAY};
use model::{MachineName, PartitionId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// How long a write waits for the write budget before commits of placement logs yield to it.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(1);
/// Minimum time between two writes, so that several changes are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of machine pages that one transaction writes.
const MAX_PAGES_PER_WRITE: usize = 4;

/// A requested change of a machine's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum MachineChange {
    /// The fleet planner registers a machine that has been rented or discovered.
    Create(MachineRecord),
    /// The partition leader gives the machine up, for the fleet planner to release.
    Release,
    /// The partition leader transfers the machine, idle, to another partition.
    Transfer(PartitionId),
    /// The partition leader needs a higher fencing token for the machine.
    RaiseToken,
    /// The fleet planner deletes a machine whose release the cloud has confirmed.
    Delete,
}

/// Requested changes of machines' records and the write in flight.
#[derive(Debug, Default)]
pub(crate) struct MachineChanges {
    requested: BTreeMap<MachineName, MachineChange>,
    writer: SerialWriter<()>,
    /// Since when only the write budget has prevented a write.
    delayed_since: Option<Timestamp>,
}

impl MachineChanges {
    /// Whether a change of the machine's record is requested, or may be in flight.
    pub fn has_change(&self, name: &MachineName) -> bool {
        self.requested.contains_key(name)
    }

    /// Requests a change. It is ignored if another change of the machine is already requested, unless it
    /// is a deletion, which replaces that change.
    pub fn request(&mut self, name: &MachineName, change: MachineChange) {
        if change == MachineChange::Delete {
            self.requested.insert(name.clone(), change);
        } else {
            self.requested.entry(name.clone()).or_insert(change);
        }
    }

    /// Whether a write has waited for the write budget for too long. Commits of placement logs, which
    /// are tried first and as soon as the budget allows a write, then yield to it: otherwise a leader of
    /// two busy partitions could not give up its failed machines, and their tasks would wait.
    pub fn is_delayed(&self, now: Timestamp) -> bool {
        self.delayed_since
            .is_some_and(|since| now.duration_since(since) >= MAX_WRITE_DELAY)
    }

    /// Whether the machine is about to leave its partition.
    pub fn removes_from_partition(&self, name: &MachineName) -> bool {
        matches!(
            self.requested.get(name),
            Some(MachineChange::Release | MachineChange::Transfer(_))
        )
    }
}

/// A transaction of machine changes, while it is assembled.
struct MachineBatch<'a> {
    /// Maximum number of pages that the transaction writes.
    max_pages: usize,
    /// Bytes for entries on a page.
    page_capacity_bytes: usize,
    /// The next unused fencing token.
    next_token: u64,
    /// Whether a record of the batch uses that token.
    uses_token: bool,
    /// Bytes that entries take on each page; empty unless the batch creates machines.
    page_bytes: BTreeMap<u32, usize>,
    /// All records of each page to be written.
    pages: BTreeMap<u32, BTreeMap<&'a MachineName, MachineRecord>>,
    /// Partitions whose leadership the transaction is conditional on.
    required_leaderships: BTreeSet<PartitionId>,
}

impl MachineBatch<'_> {
    /// Whether the transaction may write this page.
    fn accepts_page(&self, page: u32) -> bool {
        self.pages.contains_key(&page) || self.pages.len() < self.max_pages
    }

    /// The page for a new machine that takes up to `bytes`: the first with room, or a new one.
    fn allocate_page(&mut self, bytes: usize) -> u32 {
        let with_room = self
            .page_bytes
            .iter()
            .find(|(_, used)| **used + bytes <= self.page_capacity_bytes)
            .map(|(page, _)| *page);
        let page = with_room.unwrap_or_else(|| {
            let last = self.page_bytes.keys().next_back();
            last.map_or(0, |last| last + 1)
        });
        if self.accepts_page(page) {
            *self.page_bytes.entry(page).or_default() += bytes;
        }
        page
    }

    /// Applies a change to the record; returns the record to store, or `None` for a deleted machine.
    fn apply(
        &mut self,
        change: &MachineChange,
        mut record: MachineRecord,
    ) -> Option<MachineRecord> {
        match change {
            MachineChange::Create(_) => {
                self.required_leaderships.insert(FLEET_PLANNER_PARTITION);
            }
            // The cloud has confirmed the release, which holds whoever leads the partition.
            MachineChange::Delete => return None,
            MachineChange::Release => {
                self.required_leaderships.insert(record.partition);
                record.leaving = true;
            }
            MachineChange::Transfer(to) => {
                self.required_leaderships.insert(record.partition);
                record.partition = *to;
                record.token = self.next_token;
                self.uses_token = true;
            }
            MachineChange::RaiseToken => {
                self.required_leaderships.insert(record.partition);
                record.token = self.next_token;
                self.uses_token = true;
            }
        }
        Some(record)
    }
}

impl Controller {
    /// Whether the change still applies, given the state cache and the partitions led here. A change
    /// that does not is dropped, and its requester decides again.
    fn still_applies(&self, name: &MachineName, change: &MachineChange) -> bool {
        let known = self.cache.machines.get(name).map(|known| &known.record);
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
            MachineChange::Release => {
                machine.is_some() && known.is_some_and(|record| !record.leaving)
            }
            // Only an idle machine on which no tasks are placed any more may be transferred.
            MachineChange::Transfer(to) => {
                machine.is_some_and(|machine| machine.tasks.is_empty() && machine.leaving)
                    && known.is_some_and(|record| record.partition != *to && !record.leaving)
            }
            MachineChange::RaiseToken => {
                machine.is_some_and(|machine| machine.lost_launch_needs_higher_token())
            }
        }
    }

    /// Writes requested changes if the previous write is settled and the write budget allows it.
    pub(super) fn write_machine_changes(&mut self) {
        let (now, revision) = (self.now, self.cache.revision);
        if self.machine_changes.requested.is_empty()
            || !self.state_sync.is_synced()
            || !self.machine_changes.writer.is_ready(now, revision)
        {
            self.machine_changes.delayed_since = None;
            return;
        }
        if !self.may_write(CallPriority::Placement, 1.0) {
            self.machine_changes.delayed_since.get_or_insert(now);
            return;
        }
        self.machine_changes.delayed_since = None;
        let mut requested = std::mem::take(&mut self.machine_changes.requested);
        requested.retain(|name, change| self.still_applies(name, change));
        let txn = self.machine_changes_transaction(&requested);
        // Changes stay requested until the state cache shows them, so that `has_change` covers the
        // write in flight.
        self.machine_changes.requested = requested;
        if txn.writes.is_empty() {
            return;
        }
        self.machine_changes
            .writer
            .send((), txn.clone(), now, WRITE_INTERVAL);
        self.queue_state_request(
            CallPriority::Placement,
            StateRequest::Transaction(txn),
            CallKind::Record(RecordCall::Machines),
        );
    }

    /// A transaction with as many of the changes as fit into one.
    fn machine_changes_transaction(
        &self,
        requested: &BTreeMap<MachineName, MachineChange>,
    ) -> Transaction {
        let limits = &self.settings.state_limits;
        let creates_machines = requested
            .values()
            .any(|change| matches!(change, MachineChange::Create(_)));
        let mut batch = MachineBatch {
            max_pages: (limits.max_txn_writes() - 1).clamp(1, MAX_PAGES_PER_WRITE),
            page_capacity_bytes: page_capacity_bytes(limits.max_value_bytes),
            next_token: self.cache.next_token(),
            uses_token: false,
            page_bytes: if creates_machines {
                self.machine_page_bytes()
            } else {
                BTreeMap::new()
            },
            pages: BTreeMap::new(),
            required_leaderships: BTreeSet::new(),
        };
        for (name, change) in requested {
            let (page, record) = match (self.cache.machines.get(name), change) {
                (Some(known), _) => (known.page, known.record.clone()),
                (None, MachineChange::Create(record)) => {
                    let bytes = PackedMachine::max_packed_bytes(name, record);
                    (batch.allocate_page(bytes), record.clone())
                }
                (None, _) => continue,
            };
            if !batch.accepts_page(page) {
                continue;
            }
            let changed = batch.apply(change, record);
            let records = batch
                .pages
                .entry(page)
                .or_insert_with(|| self.machine_page_records(page));
            match changed {
                Some(record) => records.insert(name, record),
                None => records.remove(name),
            };
        }
        self.machine_batch_transaction(batch)
    }

    /// The transaction that writes an assembled batch.
    fn machine_batch_transaction(&self, batch: MachineBatch<'_>) -> Transaction {
        let mut txn = Transaction::default();
        for partition in batch.required_leaderships {
            let version = self
                .leaderships
                .get(&partition)
                .map_or(0, |leadership| leadership.version().0);
            txn = txn.if_version(partition_key(partition), version);
        }
        for (page, records) in batch.pages {
            let machines = records
                .iter()
                .map(|(name, record)| PackedMachine::new(name, record))
                .collect();
            let version = self
                .cache
                .machine_pages
                .get(&page)
                .map_or(0, |page| page.version.0);
            let value = serde_json::to_value(MachinesPage { machines }).unwrap_or_default();
            let key = machines_key(page);
            txn = txn.if_version(&key, version).write(Write::put(&key, value));
        }
        if batch.uses_token {
            let counter = self.cache.token_counter.as_ref();
            let mut counter = counter
                .map(|counter| counter.record.clone())
                .unwrap_or_default();
            counter.next = batch.next_token + 1;
            let value = serde_json::to_value(counter).unwrap_or_default();
            txn = txn
                .if_version(TOKEN_COUNTER_KEY, self.cache.token_counter_version())
                .write(Write::put(TOKEN_COUNTER_KEY, value));
        }
        txn
    }

    /// The records of a page as the state cache shows them.
    fn machine_page_records(&self, page: u32) -> BTreeMap<&MachineName, MachineRecord> {
        let names = self
            .cache
            .machine_pages
            .get(&page)
            .into_iter()
            .flat_map(|page| &page.record.names);
        names
            .filter_map(|name| Some((name, self.cache.machines.get(name)?.record.clone())))
            .collect()
    }

    /// Bytes that entries take on each page, by page number.
    fn machine_page_bytes(&self) -> BTreeMap<u32, usize> {
        self.cache
            .machine_pages
            .iter()
            .map(|(number, page)| (*number, page.record.max_bytes))
            .collect()
    }

    /// Handles the reply to a write of machine changes.
    pub(super) fn handle_machine_records_written(&mut self, reply: StateReply) {
        // Changes that are still requested are written again once the state cache has caught up.
        if let WriteOutcome::Unknown(txn) =
            self.machine_changes.writer.handle_reply(reply, self.now)
        {
            self.retry_later(
                UNKNOWN_OUTCOME_RETRY_DELAY,
                CallPriority::Placement,
                StateRequest::Transaction(txn),
                CallKind::Record(RecordCall::Machines),
            );
        }
    }
}
