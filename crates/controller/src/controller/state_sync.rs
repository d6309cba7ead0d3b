//! Keeping the mirror: full read, watch, lease, and where answers of the state service go.

use super::{CallKind, Controller, LEASE, RENEW, WATCH_WAIT};
use crate::records::WATCHED;
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
    StateRequest::List { prefix: WATCHED.into(), after, limit: 500 }
}

impl Controller {
    pub(super) fn step_sync(&mut self) {
        if !self.synced && self.listing.is_none() {
            self.listing = Some(FullRead::default());
            self.list_from(String::new());
        }
        if self.synced && !self.watching {
            self.watching = true;
            let request = self.watch_request(self.watch_wait());
            self.state(CallPriority::Lease, request, CallKind::Watch);
        }
    }

    /// How long a watch waits: where little time is left for answers without a read, reads come often.
    fn watch_wait(&self) -> Duration {
        WATCH_WAIT.min((self.settings.blind_span() / 2).max(Duration::from_millis(100)))
    }

    /// A read of what has changed since the mirror's revision.
    pub(super) fn watch_request(&self, wait: Duration) -> StateRequest {
        StateRequest::Watch {
            prefix: WATCHED.into(),
            after: self.mirror.revision.0,
            wait_ms: wait.whole_millis(),
        }
    }

    fn list_from(&mut self, after: String) {
        self.state(CallPriority::Lease, list_request(after), CallKind::List);
    }

    pub(super) fn step_lease(&mut self) {
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
                let request = StateRequest::NewLease { ttl_ms: LEASE.whole_millis() };
                self.state(CallPriority::Lease, request, CallKind::NewLease);
            }
        }
    }

    /// An answer of the state service.
    pub(super) fn on_state(&mut self, call: CallId, reply: StateReply) {
        let sent = self.sent_at.remove(&call).unwrap_or(self.now);
        let Some(purpose) = self.calls.remove(&call) else {
            self.counters.rejections.add(MessageSource::State, MessageFault::Stale);
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
            CallKind::List => self.on_list(reply),
            CallKind::Watch => self.on_watch(reply, sent),
            CallKind::ReadChanges(requests) => self.on_changes_read(requests, reply, sent),
            CallKind::NewLease => {
                self.lease_pending = false;
                self.renew_at = self.now + Duration::from_millis(200);
                if let StateReply::Lease(lease) = reply {
                    self.lease = Some(LeaseId(lease));
                    self.renew_at = self.now + RENEW;
                }
            }
            CallKind::Renew(lease) => self.on_renewed(lease, reply, sent),
            CallKind::Boot => {}
            CallKind::Acquire(partition) => self.on_acquired(partition, &reply),
            CallKind::HandOver { partition, to } => self.on_handed_over(partition, to, reply),
            CallKind::Wish => self.wishing = false,
            CallKind::Demand => {}
            CallKind::GiveUp(partition) => self.on_given_up(partition, reply),
            CallKind::RaiseAll { partition, term, token } => {
                self.on_raised(partition, term, token, reply);
            }
            CallKind::LedgerList { partition, term } => self.on_ledger(partition, term, reply),
            CallKind::LedgerWrite { partition, term } => self.on_round(partition, term, reply),
            CallKind::LedgerProof { partition, term, id } => {
                self.on_proof(partition, term, id, reply);
            }
            CallKind::Accept => self.on_accept_written(reply),
            CallKind::Cancel => self.on_cancel_written(reply),
            CallKind::CompareFinals(requests) => self.on_finals_compared(requests, reply),
            CallKind::FinalRead { request } => self.on_final_read(request, reply),
            CallKind::Ends { partition, term } => self.on_ends(partition, term, reply),
            CallKind::Machines => self.on_machines(reply),
            CallKind::TypesWrite => self.leader.types_pending = false,
            CallKind::TuningWrite { ticket } => self.on_tuning_written(ticket, reply),
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

    fn on_list(&mut self, reply: StateReply) {
        match reply {
            StateReply::List(page) => {
                let Some(listing) = self.listing.as_mut() else { return };
                let last = listing.items.last().map_or("", |item| item.key.as_str());
                if !page.follows(WATCHED, last) {
                    tracing::error!(last, "a page of the full read does not follow the one before");
                    self.counters.rejections.add(MessageSource::State, MessageFault::Malformed);
                    self.list_anew();
                    return;
                }
                // Later pages may be newer; the watch repeats what lies between.
                listing.revision.get_or_insert(page.revision);
                let after = page.items.last().map(|item| item.key.clone());
                listing.items.extend(page.items);
                match (page.more, after) {
                    (true, Some(after)) => self.list_from(after),
                    _ => {
                        let Some(listing) = self.listing.take() else { return };
                        let revision = listing.revision.unwrap_or(0);
                        let changed = self.mirror.replace(&listing.items, revision);
                        self.synced = true;
                        self.watching = false;
                        self.on_changed(changed);
                    }
                }
            }
            _ => self.list_anew(),
        }
    }

    /// Begins the full read again, after a pause.
    fn list_anew(&mut self) {
        self.listing = Some(FullRead::default());
        let request = list_request(String::new());
        self.again(Duration::from_millis(200), CallPriority::Lease, request, CallKind::List);
    }

    fn on_watch(&mut self, reply: StateReply, sent: Timestamp) {
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
                self.again(
                    Duration::from_millis(200),
                    CallPriority::Lease,
                    request,
                    CallKind::Watch,
                );
            }
        }
    }

    pub(super) fn take_changes(&mut self, changes: &Changes, sent: Timestamp) {
        self.contact_before = self.contact_at;
        self.contact_at = Some(self.contact_at.map_or(sent, |at| at.max(sent)));
        let changed = self.mirror.apply(changes);
        self.on_changed(changed);
    }

    fn on_changed(&mut self, changed: Vec<CacheEvent>) {
        let unreadable = self.mirror.take_rejected();
        self.counters.rejections.add_many(
            MessageSource::State,
            MessageFault::Malformed,
            unreadable,
        );
        for change in changed {
            match change {
                CacheEvent::Job(id) => self.job_changed(id),
                CacheEvent::Ended(id, state) => self.job_ended(id, state),
                CacheEvent::Demand(id, record) => self.demand_written(id, record),
                CacheEvent::Partition(id) => self.partition_changed(id),
                CacheEvent::Machine(name) => self.machine_changed(&name),
                CacheEvent::Types => self.types_changed(),
                CacheEvent::Tuning => self.tuning_changed(),
                CacheEvent::Boot(_) => {}
            }
        }
    }

    fn on_renewed(&mut self, lease: LeaseId, reply: StateReply, sent: Timestamp) {
        self.lease_pending = false;
        match reply {
            StateReply::Ok => {
                self.lease = Some(lease);
                self.renew_at = sent + RENEW;
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
