//! Calls that are not answered yet, each with its purpose, which decides how its reply is handled.

use model::CallId;
use std::collections::HashMap;

/// Unanswered calls by id. Ids count up from 1 and are never reused by this process.
#[derive(Debug)]
pub struct PendingCalls<K> {
    kinds: HashMap<CallId, K>,
    last_id: u64,
}

impl<K> Default for PendingCalls<K> {
    fn default() -> Self {
        PendingCalls {
            kinds: HashMap::new(),
            last_id: 0,
        }
    }
}

impl<K> PendingCalls<K> {
    /// Registers a call and returns its id.
    pub fn register(&mut self, kind: K) -> CallId {
        self.last_id += 1;
        let call = CallId(self.last_id);
        self.kinds.insert(call, kind);
        call
    }

    /// Removes an answered call and returns its purpose; `None` if the call is unknown or was answered
    /// before.
    pub fn complete(&mut self, call: CallId) -> Option<K> {
        self.kinds.remove(&call)
    }
}
