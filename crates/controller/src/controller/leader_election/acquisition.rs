//! Acquisition of vacant partitions, for which the controllers are ranked, and early failover.
//!
//! An early failover acquires a partition whose record still exists, because the leader's incarnation is
//! known to have exited or suspected to have crashed.

use super::resignation::MAX_RESIGNED_VACANCY;
use crate::controller::call_kind::LeadershipCall;
use crate::controller::{CallKind, Controller};
use crate::records::{partition_key, ControllerIncarnation, PartitionRecord, TOKEN_COUNTER_KEY};
use crate::request_budget::CallPriority;
use failover::failure_detector::HEARTBEAT_TIMEOUT;
use model::DurationExt;
use model::{ControllerName, FencingToken, PartitionId, Timestamp};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// How long a vacant partition is left to its preferred leader while that leader seems alive.
const PREFERRED_LEADER_GRACE: Duration = Duration::from_millis(600);
/// How long a vacant partition is left to a preferred leader that has sent no heartbeat yet.
const STARTUP_GRACE: Duration = Duration::from_millis(1_500);
/// How long after its own start a controller expects that others are still starting.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// How long a controller in a crash loop leaves its vacant preferred partition to others.
const CRASH_LOOP_GRACE: Duration = Duration::from_millis(1_500);
/// How long a vacant partition is left to each controller that ranks before this one.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// Minimum time between two attempts at early failovers, across all partitions.
const FAILOVER_ATTEMPT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two attempts to renew the term of a partition that this controller leads.
const TERM_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Pending acquisitions, and the state that decides when the next ones are attempted.
#[derive(Debug, Default)]
pub(super) struct Acquisitions {
    /// Partitions with an acquisition whose reply is awaited.
    pending: HashSet<PartitionId>,
    vacant_since: HashMap<PartitionId, Timestamp>,
    /// The last term of each partition that this controller has given up; it does not lead under that
    /// term again.
    relinquished_terms: HashMap<PartitionId, FencingToken>,
    term_renewals: HashMap<PartitionId, TermRenewal>,
}

/// A partition that this controller has to acquire again under a new term, because its state under the
/// old term was wrong.
#[derive(Debug, Clone, Copy)]
struct TermRenewal {
    old_term: FencingToken,
    attempted_at: Option<Timestamp>,
}

impl TermRenewal {
    fn is_due(&self, now: Timestamp) -> bool {
        self.attempted_at
            .is_none_or(|at| now.duration_since(at) >= TERM_RENEWAL_INTERVAL)
    }
}

impl Acquisitions {
    pub(super) fn is_pending(&self, partition: PartitionId) -> bool {
        self.pending.contains(&partition)
    }

    /// Records that a partition is vacant, and returns since when.
    fn record_vacancy(&mut self, partition: PartitionId, now: Timestamp) -> Timestamp {
        *self.vacant_since.entry(partition).or_insert(now)
    }

    pub(super) fn end_vacancy(&mut self, partition: PartitionId) {
        self.vacant_since.remove(&partition);
    }

    pub(super) fn restart_vacancies(&mut self, now: Timestamp) {
        for since in self.vacant_since.values_mut() {
            *since = now;
        }
    }

    /// Records that this controller no longer leads a partition under this term, whatever the cache
    /// still shows.
    pub(super) fn relinquish(&mut self, partition: PartitionId, term: FencingToken) {
        self.relinquished_terms.insert(partition, term);
    }

    pub(super) fn is_relinquished(&self, partition: PartitionId, term: FencingToken) -> bool {
        self.relinquished_terms.get(&partition) == Some(&term)
    }
}

impl Controller {
    /// Acquires a vacant partition once it is this controller's turn.
    pub(super) fn try_acquire_vacant(&mut self, partition: PartitionId) {
        let now = self.now;
        let vacant_since = self
            .leader_election
            .acquisitions
            .record_vacancy(partition, now);
        let backs_off =
            self.is_backing_off_from(partition) && now < vacant_since + MAX_RESIGNED_VACANCY;
        let is_left_to_others = now < vacant_since + self.acquisition_delay(partition);
        if self.leader_election.acquisitions.is_pending(partition) || is_left_to_others || backs_off
        {
            return;
        }
        self.acquire(partition, 0);
    }

    /// Acquires a partition whose record still exists, if its leader's incarnation is known to have
    /// exited or suspected to have crashed.
    pub(super) fn try_early_failover(&mut self, partition: PartitionId) {
        let Some(recorded) = self.cache.partitions.get(&partition) else {
            return;
        };
        let leader = recorded.record.leader.clone();
        let incarnation = recorded.record.incarnation;
        let leader_incarnation = recorded.record.leader_incarnation();
        let version = recorded.version.0;
        let attempted_recently = self
            .standby
            .has_attempted_failover(FAILOVER_ATTEMPT_INTERVAL, self.now);
        if self.leader_election.acquisitions.is_pending(partition)
            || self.is_backing_off_from(partition)
            || attempted_recently
        {
            return;
        }
        if self.incarnation_has_exited(&leader_incarnation) {
            if self.may_replace_exited_leader(partition) {
                self.standby.record_failover_attempt(self.now);
                self.acquire(partition, version);
            }
            return;
        }
        // The most frequent blocker is checked first, because this function runs at each event.
        if self
            .peers
            .heartbeat_age(&leader, self.now)
            .is_some_and(|age| age < HEARTBEAT_TIMEOUT)
        {
            return;
        }
        if self.is_standby_of(partition) && self.failover_blockers(partition).is_empty() {
            tracing::info!(%partition, %leader, "leader suspected to have crashed, acquiring partition");
            self.standby.record_failover_attempt(self.now);
            self.record_early_failover(partition, leader, incarnation);
            self.acquire(partition, version);
        }
    }

    /// Whether this controller may acquire a partition of whose leader a later incarnation has started.
    /// The partition goes to its preferred leader, which may be that later incarnation, or to its standby
    /// while the preferred leader is not stable.
    fn may_replace_exited_leader(&self, partition: PartitionId) -> bool {
        let is_preferred = self.preferred_leader(partition) == Some(self.own_name());
        is_preferred && !self.defers_to_peers()
            || self.is_standby_of(partition) && !self.preferred_leader_is_stable(partition)
    }

    fn is_standby_of(&self, partition: PartitionId) -> bool {
        self.standbys().get(&partition) == Some(self.own_name())
    }

    /// How long this controller leaves a vacant partition to others: the preferred leader comes first,
    /// then the last standby, then the controllers that lead the fewest partitions.
    fn acquisition_delay(&self, partition: PartitionId) -> Duration {
        let Some(preferred) = self.preferred_leader(partition) else {
            return Duration::ZERO;
        };
        if preferred == self.own_name() {
            return if self.defers_to_peers() {
                CRASH_LOOP_GRACE
            } else {
                Duration::ZERO
            };
        }
        let own_rank = self.acquisition_rank(partition, self.own_name());
        let ranked_before = self
            .controllers
            .iter()
            .filter(|(name, _)| {
                name != self.own_name()
                    && name != preferred
                    && self.peer_is_alive(name)
                    && self.acquisition_rank(partition, name) < own_rank
            })
            .count() as u64;
        self.preferred_leader_delay(partition, preferred)
            + RANK_DELAY.saturating_times(ranked_before)
    }

    /// How long a vacant partition is left to its preferred leader.
    fn preferred_leader_delay(
        &self,
        partition: PartitionId,
        preferred: &ControllerName,
    ) -> Duration {
        let has_just_started = self.now < Timestamp::default() + STARTUP_PERIOD;
        if !self.peers.is_known(preferred) && has_just_started {
            STARTUP_GRACE
        } else if self.preferred_leader_is_stable(partition)
            && !self.was_recently_resigned(partition)
        {
            PREFERRED_LEADER_GRACE
        } else {
            Duration::ZERO
        }
    }

    /// The rank of a controller for a vacant partition; the controller with the lowest rank acquires it
    /// first.
    fn acquisition_rank<'a>(
        &self,
        partition: PartitionId,
        controller: &'a ControllerName,
    ) -> AcquisitionRank<'a> {
        let led_partition_count = self
            .cache
            .partitions
            .values()
            .filter(|recorded| recorded.record.leader == *controller)
            .count();
        AcquisitionRank {
            is_not_standby: self.standby.last_standby_of(partition) != Some(controller),
            led_partition_count,
            controller,
        }
    }

    /// A transaction that writes a partition's record with its new leader, bound to that leader's lease,
    /// and advances the token counter past the record's term.
    pub(super) fn leader_change_txn(
        &self,
        partition: PartitionId,
        version: u64,
        record: &PartitionRecord,
        lease: u64,
    ) -> Transaction {
        let mut counter = self
            .cache
            .token_counter
            .as_ref()
            .map(|counter| counter.record.clone())
            .unwrap_or_default();
        counter.next = record.term + 1;
        counter
            .last_leaders
            .insert(partition.0, record.leader_incarnation());
        counter
            .unconfirmed_predecessors
            .insert(partition.0, record.unconfirmed_predecessors.clone());
        let key = partition_key(partition);
        let value = serde_json::to_value(record).unwrap_or_default();
        let counter = serde_json::to_value(counter).unwrap_or_default();
        Transaction::default()
            .if_version(&key, version)
            .if_version(TOKEN_COUNTER_KEY, self.cache.token_counter_version())
            .write(Write::put_leased(&key, value, lease))
            .write(Write::put(TOKEN_COUNTER_KEY, counter))
    }

    /// Writes a partition's record with this controller as its leader. The present record must have this
    /// version; 0 means that there must be none.
    fn acquire(&mut self, partition: PartitionId, version: u64) {
        let Some(lease) = self.lease.current() else {
            return;
        };
        let record = PartitionRecord {
            leader: self.own_name().clone(),
            incarnation: self.registration.incarnation(),
            term: self.cache.next_token(),
            // These may still answer workers, so every later leader has to wait for them too.
            unconfirmed_predecessors: self.unconfirmed_predecessors_of(partition),
        };
        let txn = self.leader_change_txn(partition, version, &record, lease.0);
        self.leader_election.acquisitions.pending.insert(partition);
        self.queue_state_request(
            CallPriority::Coordination,
            StateRequest::Transaction(txn),
            CallKind::Leadership(LeadershipCall::Acquire(partition)),
        );
    }

    /// Former leaders of a partition that may not know yet that they have lost it.
    fn unconfirmed_predecessors_of(&self, partition: PartitionId) -> Vec<ControllerIncarnation> {
        let Some(counter) = &self.cache.token_counter else {
            return Vec::new();
        };
        let mut predecessors: Vec<ControllerIncarnation> = counter
            .record
            .unconfirmed_predecessors
            .get(&partition.0)
            .cloned()
            .unwrap_or_default();
        predecessors.extend(counter.record.last_leaders.get(&partition.0).cloned());
        // This controller stopped answering workers when it lost its own leadership.
        predecessors.retain(|predecessor| {
            !self.incarnation_has_exited(predecessor) && predecessor.controller != *self.own_name()
        });
        predecessors.dedup();
        predecessors
    }

    /// Whether an incarnation is known to have exited: a later one has been recorded.
    pub(in crate::controller) fn incarnation_has_exited(
        &self,
        incarnation: &ControllerIncarnation,
    ) -> bool {
        self.cache
            .incarnations
            .get(&incarnation.controller)
            .is_some_and(|recorded| recorded.record.incarnation != incarnation.incarnation)
    }

    /// Handles the reply to an acquisition. Whatever the reply, the leadership begins only when the watch
    /// delivers the partition's record.
    pub(in crate::controller) fn handle_acquisition_reply(
        &mut self,
        partition: PartitionId,
        reply: &StateReply,
    ) {
        let acquisitions = &mut self.leader_election.acquisitions;
        acquisitions.pending.remove(&partition);
        match reply {
            StateReply::Committed { .. } => {
                self.counters.acquisitions += 1;
                acquisitions.vacant_since.remove(&partition);
            }
            _ => {
                acquisitions.vacant_since.insert(partition, self.now);
            }
        }
    }

    /// Gives up a partition whose state has turned out to be wrong, and acquires it again under a new
    /// term. Under the same term, new attempts would get the numbers of attempts that were already
    /// launched, and commands that were already sent would still be executed.
    pub(in crate::controller) fn reload_partition(&mut self, partition: PartitionId) {
        let Some(leadership) = self.leaderships.remove(&partition) else {
            return;
        };
        let term = leadership.term();
        tracing::warn!(%partition, %term, "reloading partition under a new term");
        let acquisitions = &mut self.leader_election.acquisitions;
        acquisitions.relinquish(partition, term);
        let renewal = TermRenewal {
            old_term: term,
            attempted_at: None,
        };
        acquisitions.term_renewals.insert(partition, renewal);
        self.renew_term(partition);
    }

    /// Acquires a partition again under the next term, if its term has to be renewed and the next attempt
    /// is due.
    pub(super) fn renew_term(&mut self, partition: PartitionId) {
        let Some(recorded) = self.cache.partitions.get(&partition) else {
            return;
        };
        let version = recorded.version.0;
        let term = FencingToken(recorded.record.term);
        let acquisitions = &mut self.leader_election.acquisitions;
        let is_pending = acquisitions.is_pending(partition);
        let Some(renewal) = acquisitions.term_renewals.get_mut(&partition) else {
            return;
        };
        if term != renewal.old_term {
            acquisitions.term_renewals.remove(&partition);
            return;
        }
        if renewal.is_due(self.now) && !is_pending {
            renewal.attempted_at = Some(self.now);
            self.acquire(partition, version);
        }
    }
}

/// The rank of a controller for a vacant partition. Ranks are compared field by field, in this order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AcquisitionRank<'a> {
    /// False for the last standby, which ranks first because it knows most of the partition's state.
    is_not_standby: bool,
    led_partition_count: usize,
    controller: &'a ControllerName,
}
