//! Keeping the mirror: full read, watch, lease, and where answers of the state service go.

use super::{CallKind, Controller, LEASE_DURATION, LEASE_RENEWAL_INTERVAL, MAX_WATCH_WAIT};
use crate::records::WATCHED_PREFIX;
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::CallPriority;
use crate::state_cache::CacheEvent;
use model::DurationExt;
use model::{CallId, LeaseId, Timestamp};
use std::time::Duration;
use wire::state::{Changes, Item, StateReply, StateRequest};

/// A full read on its way.
#[derive(Debug, Default)]
pub(crate) struct FullRead {
    items: Vec<Item>,
    revision: Option<u64>,
}

/// One page of the full read.
fn list_request(after: String) -> StateRequest {
    StateRequest::List {
        prefix: WATCHED_PREFIX.into(),
        after,
        limit: 500,
    }
}

impl Controller {
    pub(super) fn drive_state_sync(&mut self) {
        if !self.synced && self.listing.is_none() {
            self.listing = Some(FullRead::default());
            self.request_full_read_page(String::new());
        }
        if self.synced && !self.watching {
            self.watching = true;
            let request = self.watch_request(self.watch_wait());
            self.state(CallPriority::Lease, request, CallKind::Watch);
        }
    }

    /// How long a watch waits: where little time is left for answers without a read, reads come often.
    fn watch_wait(&self) -> Duration {
        MAX_WATCH_WAIT.min((self.settings.lease_validity() / 2).max(Duration::from_millis(100)))
    }

    /// A read of what has changed since the mirror's revision.
    pub(super) fn watch_request(&self, wait: Duration) -> StateRequest {
        StateRequest::Watch {
            prefix: WATCHED_PREFIX.into(),
            after: self.cache.revision.0,
            wait_ms: wait.whole_millis(),
        }
    }

    fn request_full_read_page(&mut self, after: String) {
        self.state(CallPriority::Lease, list_request(after), CallKind::List);
    }

    pub(super) fn maintain_lease(&mut self) {
        if !self.synced {
            return;
        }
        if !self.booted {
            self.booted = self.announce();
            return;
        }
        self.announce();
        if self.lease_pending || self.now < self.renew_at {
            return;
        }
        self.lease_pending = true;
        match self.lease {
            Some(lease) => {
                let request = StateRequest::Renew { lease: lease.0 };
                self.state(CallPriority::Lease, request, CallKind::Renew(lease));
            }
            None => {
                let request = StateRequest::NewLease {
                    ttl_ms: LEASE_DURATION.whole_millis(),
                };
                self.state(CallPriority::Lease, request, CallKind::NewLease);
            }
        }
    }

    /// An answer of the state service.
    pub(super) fn handle_state_reply(&mut self, call: CallId, reply: StateReply) {
        let sent = self.sent_at.remove(&call).unwrap_or(self.now);
        let Some(purpose) = self.calls.remove(&call) else {
            self.counters
                .rejections
                .add(MessageSource::State, MessageFault::Stale);
            return;
        };
        if let StateReply::Refused { throttled } = reply {
            self.counters.state_refused += 1;
            // What changes something may have met either limit; the rest only that of requests.
            match purpose {
                _ if !throttled => {}
                CallKind::List
                | CallKind::Watch
                | CallKind::ReadChanges(_)
                | CallKind::NewLease
                | CallKind::Renew(_)
                | CallKind::LedgerList { .. }
                | CallKind::LedgerProof { .. }
                | CallKind::FinalRead { .. }
                | CallKind::CompareFinals(_) => self.requests.drain(self.now),
                _ => self.writes.drain(self.now),
            }
        }
        match purpose {
            CallKind::List => self.handle_full_read_page(reply),
            CallKind::Watch => self.handle_watch_reply(reply, sent),
            CallKind::ReadChanges(requests) => self.handle_changes_read(requests, reply, sent),
            CallKind::NewLease => {
                self.lease_pending = false;
                self.renew_at = self.now + Duration::from_millis(200);
                if let StateReply::Lease(lease) = reply {
                    self.lease = Some(LeaseId(lease));
                    self.renew_at = self.now + LEASE_RENEWAL_INTERVAL;
                }
            }
            CallKind::Renew(lease) => self.handle_lease_renewal(lease, reply, sent),
            CallKind::Boot => {}
            CallKind::Acquire(partition) => self.handle_acquisition_reply(partition, &reply),
            CallKind::HandOver { partition, to } => {
                self.handle_transfer_reply(partition, to, reply)
            }
            CallKind::Wish => self.reclaim_pending = false,
            CallKind::Demand => {}
            CallKind::GiveUp(partition) => self.handle_resignation_reply(partition, reply),
            CallKind::RaiseAll {
                partition,
                term,
                token,
            } => {
                self.handle_token_raised(partition, term, token, reply);
            }
            CallKind::LedgerList { partition, term } => {
                self.handle_log_page(partition, term, reply)
            }
            CallKind::LedgerWrite { partition, term } => {
                self.handle_commit_reply(partition, term, reply)
            }
            CallKind::LedgerProof {
                partition,
                term,
                id,
            } => {
                self.handle_commit_proof(partition, term, id, reply);
            }
            CallKind::Accept => self.handle_acceptance_written(reply),
            CallKind::Cancel => self.handle_cancellation_written(reply),
            CallKind::CompareFinals(requests) => self.handle_final_states_compared(requests, reply),
            CallKind::FinalRead { request } => self.handle_final_state_read(request, reply),
            CallKind::Ends { partition, term } => {
                self.handle_terminal_jobs_written(partition, term, reply)
            }
            CallKind::Machines => self.handle_machine_records_written(reply),
            CallKind::TypesWrite => self.fleet_planner.handle_machine_types_written(),
            CallKind::TuningWrite { ticket } => self.handle_settings_written(ticket, reply),
            // These go to the cloud or to workers.
            CallKind::Types
            | CallKind::Rent { .. }
            | CallKind::Release(_)
            | CallKind::CloudList { .. }
            | CallKind::Probe { .. }
            | CallKind::Ask { .. }
            | CallKind::Direct { .. } => {}
        }
    }

    fn handle_full_read_page(&mut self, reply: StateReply) {
        match reply {
            StateReply::List(page) => {
                let Some(listing) = self.listing.as_mut() else {
                    return;
                };
                let last = listing.items.last().map_or("", |item| item.key.as_str());
                if !page.follows(WATCHED_PREFIX, last) {
                    tracing::error!(
                        last,
                        "a page of the full read does not follow the one before"
                    );
                    self.counters
                        .rejections
                        .add(MessageSource::State, MessageFault::Malformed);
                    self.restart_full_read();
                    return;
                }
                // Later pages may be newer; the watch repeats what lies between.
                listing.revision.get_or_insert(page.revision);
                let after = page.items.last().map(|item| item.key.clone());
                listing.items.extend(page.items);
                match (page.more, after) {
                    (true, Some(after)) => self.request_full_read_page(after),
                    _ => {
                        let Some(listing) = self.listing.take() else {
                            return;
                        };
                        let revision = listing.revision.unwrap_or(0);
                        let changed = self.cache.replace(&listing.items, revision);
                        self.synced = true;
                        self.watching = false;
                        self.handle_cache_events(changed);
                    }
                }
            }
            _ => self.restart_full_read(),
        }
    }

    /// Begins the full read again, after a pause.
    fn restart_full_read(&mut self) {
        self.listing = Some(FullRead::default());
        let request = list_request(String::new());
        self.retry_later(
            Duration::from_millis(200),
            CallPriority::Lease,
            request,
            CallKind::List,
        );
    }

    fn handle_watch_reply(&mut self, reply: StateReply, sent: Timestamp) {
        match reply {
            StateReply::Changes(changes) => {
                self.watching = false;
                self.take_changes(&changes, sent);
            }
            StateReply::Compacted => {
                self.watching = false;
                self.synced = false;
            }
            _ => {
                let request = self.watch_request(self.watch_wait());
                self.retry_later(
                    Duration::from_millis(200),
                    CallPriority::Lease,
                    request,
                    CallKind::Watch,
                );
            }
        }
    }

    pub(super) fn take_changes(&mut self, changes: &Changes, sent: Timestamp) {
        self.previous_state_read_at = self.last_state_read_at;
        self.last_state_read_at = Some(self.last_state_read_at.map_or(sent, |at| at.max(sent)));
        let changed = self.cache.apply(changes);
        self.handle_cache_events(changed);
    }

    fn handle_cache_events(&mut self, changed: Vec<CacheEvent>) {
        let unreadable = self.cache.take_rejected();
        self.counters.rejections.add_many(
            MessageSource::State,
            MessageFault::Malformed,
            unreadable,
        );
        for change in changed {
            match change {
                CacheEvent::Job(id) => self.job_changed(id),
                CacheEvent::Ended(id, state) => self.job_ended(id, state),
                CacheEvent::Demand(id, record) => self.handle_demand_record(id, record),
                CacheEvent::Partition(id) => self.partition_changed(id),
                CacheEvent::Machine(name) => self.machine_changed(&name),
                CacheEvent::Types => self.handle_machine_types_record(),
                CacheEvent::Tuning => self.tuning_changed(),
                CacheEvent::Boot(_) => {}
            }
        }
    }

    fn handle_lease_renewal(&mut self, lease: LeaseId, reply: StateReply, sent: Timestamp) {
        self.lease_pending = false;
        match reply {
            StateReply::Ok => {
                self.lease = Some(lease);
                self.renew_at = sent + LEASE_RENEWAL_INTERVAL;
            }
            StateReply::LeaseGone => {
                tracing::warn!(%lease, "our lease has ended");
                self.lease = None;
                self.renew_at = self.now;
            }
            _ => self.renew_at = self.now + Duration::from_millis(200),
        }
    }
}
