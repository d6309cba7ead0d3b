//! Keeps the state cache and the controller's lease up to date.

use super::{CallKind, Controller, MAX_WATCH_WAIT};
use crate::controller_lease::LeaseCall;
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::CallPriority;
use crate::state_cache::CacheEvent;
use crate::state_sync::{watch_request, FullRead, FullReadStep, SyncCall, SyncRequest, WatchStep};
use model::Timestamp;
use std::time::Duration;
use wire::state::{Changes, StateReply};

/// Shortest time for which a watch asks the state service to wait for changes.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(100);
/// Delay before a failed read is sent again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Controller {
    /// Sends the read that is due: a page of a full read, or a watch.
    pub(super) fn drive_state_sync(&mut self) {
        let watch_wait = self.watch_wait();
        let due = self.state_sync.begin_read(self.cache.revision, watch_wait);
        if let Some(read) = due {
            self.send_sync_read(read);
        }
    }

    fn send_sync_read(&mut self, read: SyncRequest) {
        self.queue_state_request(
            CallPriority::Coordination,
            read.request,
            CallKind::Sync(read.call),
        );
    }

    fn retry_sync_read(&mut self, read: SyncRequest) {
        self.retry_later(
            READ_RETRY_DELAY,
            CallPriority::Coordination,
            read.request,
            CallKind::Sync(read.call),
        );
    }

    /// How long a watch waits for changes: the shorter the lease validity, the sooner the next read has
    /// to be sent.
    fn watch_wait(&self) -> Duration {
        MAX_WATCH_WAIT.min((self.settings.lease_validity() / 2).max(MIN_WATCH_WAIT))
    }

    /// Registers this incarnation, then creates the lease and keeps renewing it.
    pub(super) fn maintain_lease(&mut self) {
        if !self.state_sync.is_synced() {
            return;
        }
        let was_registered = self.registration.is_registered();
        self.maintain_registration();
        if !was_registered {
            return;
        }
        if let Some(call) = self.lease.begin_call(self.now) {
            self.queue_state_request(
                CallPriority::Coordination,
                call.request(),
                CallKind::Lease(call),
            );
        }
    }

    /// Handles the reply to a page of a full read or to a watch.
    pub(super) fn handle_sync_reply(
        &mut self,
        call: SyncCall,
        reply: StateReply,
        sent_at: Timestamp,
    ) {
        match call {
            SyncCall::FullReadPage => self.handle_full_read_page(reply),
            SyncCall::Watch => self.handle_watch_reply(&reply, sent_at),
        }
    }

    /// Handles the reply to the creation or a renewal of the controller's lease.
    pub(super) fn handle_lease_reply(
        &mut self,
        call: LeaseCall,
        reply: &StateReply,
        sent_at: Timestamp,
    ) {
        match call {
            LeaseCall::Create => self.lease.handle_creation(reply, self.now),
            LeaseCall::Renew(lease) => self.lease.handle_renewal(lease, reply, sent_at, self.now),
        }
    }

    fn handle_full_read_page(&mut self, reply: StateReply) {
        match self.state_sync.handle_full_read_page(reply) {
            FullReadStep::Ignored => {}
            FullReadStep::NextPage(read) => self.send_sync_read(read),
            FullReadStep::Complete(read) => self.replace_cache(&read),
            FullReadStep::Failed(read) => self.retry_sync_read(read),
            FullReadStep::Malformed(read) => {
                self.counters
                    .rejections
                    .add(MessageSource::State, MessageFault::Malformed);
                self.retry_sync_read(read);
            }
        }
    }

    fn replace_cache(&mut self, read: &FullRead) {
        let events = self.cache.replace(&read.items, read.revision());
        self.handle_cache_events(events);
    }

    fn handle_watch_reply(&mut self, reply: &StateReply, sent_at: Timestamp) {
        match self.state_sync.handle_watch_reply(reply) {
            WatchStep::Changed(changes) => self.apply_changes(changes, sent_at),
            WatchStep::Compacted => {}
            WatchStep::Failed => {
                let request = watch_request(self.cache.revision, self.watch_wait());
                self.retry_sync_read(SyncRequest {
                    call: SyncCall::Watch,
                    request,
                });
            }
        }
    }

    /// Applies the reply to a read of changes that was sent at `sent_at`.
    pub(super) fn apply_changes(&mut self, changes: &Changes, sent_at: Timestamp) {
        self.state_sync.record_read(sent_at);
        let events = self.cache.apply(changes);
        self.handle_cache_events(events);
    }

    fn handle_cache_events(&mut self, events: Vec<CacheEvent>) {
        let unreadable = self.cache.take_rejected_count();
        self.counters.rejections.add_many(
            MessageSource::State,
            MessageFault::Malformed,
            unreadable,
        );
        for event in events {
            match event {
                CacheEvent::Job(id) => self.handle_job_record(id),
                CacheEvent::JobTerminated(id) => self.handle_terminal_job(id),
                CacheEvent::JobArchived(id, state) => {
                    self.job_status.record_archived_state(id, state);
                }
                CacheEvent::Demand(id, record) => self.handle_demand_record(id, record),
                CacheEvent::Partition(id) => self.handle_partition_record(id),
                CacheEvent::Machine(name) => self.handle_machine_record(&name),
                CacheEvent::MachineTypes => self.handle_machine_types_record(),
                CacheEvent::Tuning => self.handle_settings_record(),
                CacheEvent::Incarnation(_) => {}
            }
        }
    }
}
