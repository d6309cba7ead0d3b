//! Taking a partition on: reading its ledger, the checks before the first decision, building the share.
//! A warm start and a cold one differ only in what [`Controller::take_hints`] has to give.

use super::job_archiver::JobArchiver;
use super::leadership::LoadedPartition;
use super::{CallKind, Controller, LAUNCH_CONTACT};
use crate::placement_log::PlacementLog;
use crate::records::{ledger_prefix, MachineRecord};
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::CallPriority;
use failover::readiness::{failed_checks, LeadershipFacts, ReadinessCheck};
use model::{FencingToken, MachineName, PartitionId, Revision, Timestamp, ZoneName};
use scheduler::{Machine, PartitionState, StatusSource};
use std::time::Duration;
use wire::state::{StateReply, StateRequest};

/// Pause before the ledger is read again that could not be, and before one is that is not sound.
const AGAIN: Duration = Duration::from_millis(150);
const UNSOUND: Duration = Duration::from_secs(2);
/// Time between two tries to take a partition of our own anew.
const RENEW_PACE: Duration = Duration::from_secs(2);

impl Controller {
    pub(super) fn load_ledger(&mut self, partition: PartitionId) {
        self.list_ledger(partition, String::new());
    }

    /// A read of the ledger's pages after a key, and why it is made.
    fn ledger_read(
        &self,
        partition: PartitionId,
        after: String,
    ) -> Option<(StateRequest, CallKind)> {
        let term = self.holdings.get(&partition)?.term().0;
        let request = StateRequest::List { prefix: ledger_prefix(partition), after, limit: 100 };
        Some((request, CallKind::LedgerList { partition, term }))
    }

    fn list_ledger(&mut self, partition: PartitionId, after: String) {
        let Some((request, purpose)) = self.ledger_read(partition, after) else { return };
        self.state(CallPriority::Lease, request, purpose);
    }

    fn list_again(&mut self, partition: PartitionId, after: Duration) {
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        holding.start_reading();
        let Some((request, purpose)) = self.ledger_read(partition, String::new()) else { return };
        self.again(after, CallPriority::Lease, request, purpose);
    }

    pub(super) fn on_ledger(&mut self, partition: PartitionId, term: u64, reply: StateReply) {
        let (bytes, ops) =
            (self.settings.state_limits.value_bytes, self.settings.state_limits.txn_ops);
        let Some(holding) = self.current(partition, term) else { return };
        let StateReply::List(page) = reply else {
            self.list_again(partition, AGAIN);
            return;
        };
        let last = holding.pages.last().map_or("", |item| item.key.as_str());
        if !page.follows(&ledger_prefix(partition), last) {
            tracing::error!(%partition, last, "a page of the ledger's read does not follow the one before");
            self.counters.rejections.add(MessageSource::State, MessageFault::Malformed);
            self.list_again(partition, AGAIN);
            return;
        }
        // Later pages may be newer; what counts is when the first was read.
        let revision = *holding.read_at.get_or_insert(Revision(page.revision));
        let after = page.items.last().map(|item| item.key.clone());
        holding.pages.extend(page.items);
        if let (true, Some(after)) = (page.more, after) {
            self.list_ledger(partition, after);
            return;
        }
        let pages = std::mem::take(&mut holding.pages);
        let ledger = PlacementLog::load(partition, &pages, bytes, ops);
        let unreadable = ledger.unreadable().len() as u64;
        holding.read = Some((revision, ledger));
        self.counters.rejections.add_many(
            MessageSource::State,
            MessageFault::Malformed,
            unreadable,
        );
        self.take_on(partition);
    }

    /// Builds the share once all checks hold. Until then workers are answered, with no orders but
    /// the halts of what is recorded as cancelled.
    pub(super) fn take_on(&mut self, partition: PartitionId) {
        let Some(facts) = self.leadership_facts(partition) else { return };
        let failed = failed_checks(&facts);
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        if failed != holding.failed_checks && !failed.is_empty() {
            let unreadable = holding.read.as_ref().map(|(_, ledger)| ledger.unreadable());
            tracing::warn!(%partition, open = ?failed, ?unreadable, "not ready to decide");
        }
        holding.failed_checks.clone_from(&failed);
        if failed.is_empty() {
            self.rebuild(partition);
        } else if failed.contains(&ReadinessCheck::PagesSound) {
            self.list_again(partition, UNSOUND);
        } else if failed.contains(&ReadinessCheck::LedgerRead) {
            self.list_again(partition, AGAIN);
        }
    }

    /// What the checks are made of, once the ledger has been read.
    fn leadership_facts(&self, partition: PartitionId) -> Option<LeadershipFacts> {
        let holding = self.holdings.get(&partition)?;
        let (ledger, pages) = holding.read.as_ref()?;
        let ours = |p: &&crate::state_cache::Versioned<crate::records::PartitionRecord>| {
            let record = &p.record;
            record.holder == *self.me()
                && record.boot == self.boot
                && record.term == holding.term().0
        };
        Some(LeadershipFacts {
            mirrored_record: self.mirror.partitions.get(&partition).filter(ours).map(|p| p.version),
            own_version: holding.version(),
            term: holding.term(),
            next_token: FencingToken(self.mirror.next_token()),
            mirror_revision: self.mirror.revision,
            ledger_revision: Some(*ledger),
            unreadable_pages: pages.unreadable().len(),
            has_rival: holding.is_yielding() || holding.successor().is_some(),
            state_is_fresh: self.in_contact(LAUNCH_CONTACT),
        })
    }

    /// Builds the share from the records, the ledger, the reports that came meanwhile and what the
    /// holder before us has told, all checks passed.
    fn rebuild(&mut self, partition: PartitionId) {
        let Some(mut holding) = self.holdings.remove(&partition) else { return };
        let Some((_, mut ledger)) = holding.read.take() else { return };
        let teams: Vec<_> = self
            .settings
            .teams
            .iter()
            .filter(|t| self.partition_of_team(&t.name) == Some(partition))
            .map(|t| (t.name.clone(), t.guarantee, t.limit))
            .collect();
        let workers = &self.settings.workers;
        let mut share = PartitionState::new(
            teams,
            workers.lease,
            self.tuning.policy.clone(),
            self.tuning.queue,
            holding.term(),
        );
        share.report = workers.report;
        share.gang_wait = workers.gang_wait;
        share.goals = self.settings.goals.clone();
        share.entitled_until = holding.entitled_until;
        share.held_since = holding.since;
        share.zones = self.zones_near(partition);
        if let Some(types) = &self.mirror.types {
            share.know_types(&types.record.types);
        }
        for (name, record) in &self.mirror.machines {
            if record.record.partition == partition {
                if let Some(machine) = self.machine_from(name, &record.record, holding.token()) {
                    share.add_machine(machine, self.now);
                }
            }
        }
        for job in ledger.jobs() {
            if !self.mirror.jobs.contains_key(&job) {
                ledger.forget_job(job);
            }
        }
        for (id, open) in &self.mirror.jobs {
            if self.partition_of_team(&open.spec.team) == Some(partition) {
                let chunks = ledger.chunks_of(*id);
                share.add_job(open.spec.clone(), open.order(), &chunks, self.now);
                if self.mirror.is_cancelled(*id) {
                    share.cancel_job(*id, self.now);
                }
            }
        }
        let followed = self.take_hints(partition, &mut share);
        for (name, (report, at)) in std::mem::take(&mut holding.early) {
            if let Some(machine) = share.machines.get_mut(&name) {
                machine.answered_at = at;
            }
            share.observe(&report, StatusSource::Heartbeat, at);
        }
        tracing::info!(
            %partition,
            jobs = share.jobs.len(),
            machines = share.machines.len(),
            followed,
            "partition ready"
        );
        holding.loaded =
            Some(Box::new(LoadedPartition::new(ledger, share, JobArchiver::default())));
        self.holdings.insert(partition, holding);
    }

    /// Zones in which machines can be had, that of the partition's home node first.
    pub(super) fn zones_near(&self, partition: PartitionId) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = Vec::new();
        if let Some(types) = &self.mirror.types {
            let named = types.record.types.iter().flat_map(|t| &t.zones);
            zones.extend(named.map(|zone| ZoneName::from(zone.as_str())));
        }
        let home = self.nodes.get(partition.0 as usize).map(|(_, zone)| zone.clone());
        zones.sort_by_key(|zone| (Some(zone) != home.as_ref(), zone.clone()));
        zones.dedup();
        zones
    }

    pub(super) fn machine_from(
        &self,
        name: &MachineName,
        record: &MachineRecord,
        term: FencingToken,
    ) -> Option<Machine> {
        let kind = self
            .mirror
            .types
            .as_ref()?
            .record
            .types
            .iter()
            .find(|t| t.name == record.machine_type)?;
        let token = term.max(FencingToken(record.token));
        let zone = ZoneName::from(record.zone.as_str());
        let mut machine = Machine::new(name.clone(), kind, zone, record.spot, token);
        machine.leaving = record.leaving || self.machine_changes.take_away(name);
        machine.idle_since = self.now;
        Some(machine)
    }

    /// Our idea of the partition is wrong: it is taken anew. Under the same term attempts would be
    /// numbered like those already launched, and what we have sent would be executed still.
    pub(super) fn reload(&mut self, partition: PartitionId) {
        let Some(holding) = self.holdings.remove(&partition) else { return };
        tracing::warn!(%partition, term = %holding.term(), "taking the partition anew");
        // Not taken up again under this term.
        self.given_away.insert(partition, holding.term());
        self.renewed.insert(partition, (holding.term(), Timestamp::default()));
        self.renew_term(partition);
    }

    /// Takes a partition whose record names us under the next term.
    pub(super) fn renew_term(&mut self, partition: PartitionId) {
        let Some((wrong, tried)) = self.renewed.get(&partition).copied() else { return };
        let Some(held) = self.mirror.partitions.get(&partition) else { return };
        let version = held.version.0;
        if FencingToken(held.record.term) != wrong {
            self.renewed.remove(&partition);
            return;
        }
        let soon = tried > Timestamp::default() && self.now.duration_since(tried) < RENEW_PACE;
        if !soon && !self.acquiring.contains(&partition) {
            self.renewed.insert(partition, (wrong, self.now));
            self.acquire(partition, version);
        }
    }
}
