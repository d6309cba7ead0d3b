//! Writes the registration of this incarnation, and tells which controllers are in a crash loop.
//!
//! See [`registration`](crate::registration) for the rules.

use super::{CallKind, Controller};
use crate::records::incarnation_key;
use crate::registration::is_crash_loop;
use crate::request_budget::CallPriority;
use model::ControllerName;
use wire::state::{StateRequest, Transaction, Write};

impl Controller {
    /// Writes this incarnation's record if it is not durable yet, or if its count of short-lived
    /// incarnations has to be reset.
    pub(super) fn maintain_registration(&mut self) {
        let recorded = self.cache.incarnations.get(&self.settings.name);
        let version = recorded.map_or(0, |recorded| recorded.version.0);
        let record = recorded.map(|recorded| &recorded.record);
        let Some(record) = self.registration.begin_write(record, self.now) else {
            return;
        };
        let key = incarnation_key(self.own_name());
        let value = serde_json::to_value(record).unwrap_or_default();
        let transaction = Transaction::default()
            .if_version(&key, version)
            .write(Write::put(&key, value));
        self.queue_state_request(
            CallPriority::Coordination,
            StateRequest::Transaction(transaction),
            CallKind::Registration,
        );
    }

    /// Whether a controller has had several short-lived incarnations in a row.
    pub(super) fn is_crash_looping(&self, controller: &ControllerName) -> bool {
        self.cache
            .incarnations
            .get(controller)
            .is_some_and(|recorded| is_crash_loop(&recorded.record))
    }

    /// Whether this controller is in a crash loop and leaves even its preferred partition to its peers.
    /// If no peer is stable either, every controller acquires its preferred partition as usual.
    pub(super) fn defers_to_peers(&self) -> bool {
        self.is_crash_looping(self.own_name())
            && self
                .peers
                .ready_peers(self.now)
                .any(|name| !self.is_crash_looping(name))
    }
}
