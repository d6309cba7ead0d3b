//! Keeping the mirror: full read, watch, lease, and where answers of the state service go.

use super::{Node, Purpose, LEASE, RENEW, WATCH_WAIT};
use crate::records::WATCHED;
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::Importance;
use crate::state_cache::Changed;
use model::{CallId, LeaseId, Moment, Span};
use wire::state::{Changes, Item, StateReply, StateRequest};

/// A full read on its way.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    items: Vec<Item>,
    revision: Option<u64>,
}

/// One page of the full read.
fn list_request(after: String) -> StateRequest {
    StateRequest::List { prefix: WATCHED.into(), after, limit: 500 }
}

impl Node {
    pub(super) fn step_sync(&mut self) {
        if !self.synced && self.listing.is_none() {
            self.listing = Some(Listing::default());
            self.list_from(String::new());
        }
        if self.synced && !self.watching {
            self.watching = true;
            let request = self.watch_request(self.watch_wait());
            self.state(Importance::Lease, request, Purpose::Watch);
        }
    }

    /// How long a watch waits: where little time is left for answers without a read, reads come often.
    fn watch_wait(&self) -> Span {
        WATCH_WAIT.min((self.settings.blind_span() / 2).max(Span(100)))
    }

    /// A read of what has changed since the mirror's revision.
    pub(super) fn watch_request(&self, wait: Span) -> StateRequest {
        StateRequest::Watch {
            prefix: WATCHED.into(),
            after: self.mirror.revision.0,
            wait_ms: wait.0,
        }
    }

    fn list_from(&mut self, after: String) {
        self.state(Importance::Lease, list_request(after), Purpose::List);
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
                self.state(Importance::Lease, request, Purpose::Renew(lease));
            }
            None => {
                let request = StateRequest::NewLease { ttl_ms: LEASE.0 };
                self.state(Importance::Lease, request, Purpose::NewLease);
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
                Purpose::List
                | Purpose::Watch
                | Purpose::ReadChanges(_)
                | Purpose::NewLease
                | Purpose::Renew(_)
                | Purpose::LedgerList { .. }
                | Purpose::LedgerProof { .. }
                | Purpose::FinalRead { .. }
                | Purpose::CompareFinals(_) => self.requests.drain(self.now),
                _ => self.writes.drain(self.now),
            }
        }
        match purpose {
            Purpose::List => self.on_list(reply),
            Purpose::Watch => self.on_watch(reply, sent),
            Purpose::ReadChanges(requests) => self.on_changes_read(requests, reply, sent),
            Purpose::NewLease => {
                self.lease_pending = false;
                self.renew_at = self.now + Span(200);
                if let StateReply::Lease(lease) = reply {
                    self.lease = Some(LeaseId(lease));
                    self.renew_at = self.now + RENEW;
                }
            }
            Purpose::Renew(lease) => self.on_renewed(lease, reply, sent),
            Purpose::Boot => {}
            Purpose::Acquire(partition) => self.on_acquired(partition, &reply),
            Purpose::HandOver { partition, to } => self.on_handed_over(partition, to, reply),
            Purpose::Wish => self.wishing = false,
            Purpose::Demand => {}
            Purpose::GiveUp(partition) => self.on_given_up(partition, reply),
            Purpose::RaiseAll { partition, term, token } => {
                self.on_raised(partition, term, token, reply);
            }
            Purpose::LedgerList { partition, term } => self.on_ledger(partition, term, reply),
            Purpose::LedgerWrite { partition, term } => self.on_round(partition, term, reply),
            Purpose::LedgerProof { partition, term, id } => {
                self.on_proof(partition, term, id, reply);
            }
            Purpose::Accept => self.on_accept_written(reply),
            Purpose::Cancel => self.on_cancel_written(reply),
            Purpose::CompareFinals(requests) => self.on_finals_compared(requests, reply),
            Purpose::FinalRead { request } => self.on_final_read(request, reply),
            Purpose::Ends { partition, term } => self.on_ends(partition, term, reply),
            Purpose::Machines => self.on_machines(reply),
            Purpose::TypesWrite => self.leader.types_pending = false,
            Purpose::TuningWrite { ticket } => self.on_tuning_written(ticket, reply),
            // These go to the cloud or to workers.
            Purpose::Types
            | Purpose::Rent { .. }
            | Purpose::Release(_)
            | Purpose::CloudList { .. }
            | Purpose::Probe { .. }
            | Purpose::Ask { .. }
            | Purpose::Direct { .. } => {}
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
        self.listing = Some(Listing::default());
        let request = list_request(String::new());
        self.again(Span(200), Importance::Lease, request, Purpose::List);
    }

    fn on_watch(&mut self, reply: StateReply, sent: Moment) {
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
                self.again(Span(200), Importance::Lease, request, Purpose::Watch);
            }
        }
    }

    pub(super) fn take_changes(&mut self, changes: &Changes, sent: Moment) {
        self.contact_before = self.contact_at;
        self.contact_at = Some(self.contact_at.map_or(sent, |at| at.max(sent)));
        let changed = self.mirror.apply(changes);
        self.on_changed(changed);
    }

    fn on_changed(&mut self, changed: Vec<Changed>) {
        let unreadable = self.mirror.take_rejected();
        self.counters.rejections.add_many(
            MessageSource::State,
            MessageFault::Malformed,
            unreadable,
        );
        for change in changed {
            match change {
                Changed::Job(id) => self.job_changed(id),
                Changed::Ended(id, state) => self.job_ended(id, state),
                Changed::Demand(id, record) => self.demand_written(id, record),
                Changed::Partition(id) => self.partition_changed(id),
                Changed::Machine(name) => self.machine_changed(&name),
                Changed::Types => self.types_changed(),
                Changed::Tuning => self.tuning_changed(),
                Changed::Boot(_) => {}
            }
        }
    }

    fn on_renewed(&mut self, lease: LeaseId, reply: StateReply, sent: Moment) {
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
            _ => self.renew_at = self.now + Span(200),
        }
    }
}
