//! Requests to the state service, a consensus-backed key-value store, and its responses.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key of the state service with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Version of the key: the revision of its last write.
    #[serde(rename = "stamp")]
    pub version: u64,
    /// Lease that the key is bound to: the key is removed when the lease ends.
    #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// One page of a read by prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    /// Items in the order of their keys.
    #[serde(rename = "pairs")]
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    /// Revision of the state service at which the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

impl ListPage {
    /// Whether this page is a valid response to a read of the keys with `prefix` after the key `after`:
    /// the keys ascend and come after `after`, all have the prefix, and the page is not empty if
    /// another one follows.
    pub fn is_valid_for(&self, prefix: &str, after: &str) -> bool {
        let mut previous_key = after;
        for item in &self.items {
            let key = item.key.as_str();
            if key <= previous_key || !key.starts_with(prefix) {
                return false;
            }
            previous_key = key;
        }
        !(self.has_more && self.items.is_empty())
    }
}

/// A condition of a transaction: the key has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Expected version; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets the value of a key.
    Put {
        /// Key.
        #[serde(rename = "put")]
        key: String,
        /// New value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease that the key is bound to.
        #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Key.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Write {
    /// A put of a key that is not bound to a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Write::Put {
            key: key.into(),
            value,
            lease: None,
        }
    }
    /// A put of a key that is bound to a lease.
    pub fn put_leased(key: impl Into<String>, value: Value, lease: u64) -> Self {
        Write::Put {
            key: key.into(),
            value,
            lease: Some(lease),
        }
    }
    /// A deletion of a key.
    pub fn delete(key: impl Into<String>) -> Self {
        Write::Delete { key: key.into() }
    }
    /// The key that is written.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

/// Body of `POST /txn`: writes that are applied together if all conditions hold (compare-and-swap).
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, of which all must hold.
    #[serde(rename = "if", default)]
    pub conditions: Vec<Condition>,
    /// Writes, applied at one revision.
    #[serde(rename = "writes", default)]
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that the key has this version; 0 if it must not exist.
    pub fn if_version(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version,
        });
        self
    }
    /// Adds a write.
    pub fn write(mut self, write: Write) -> Self {
        self.writes.push(write);
        self
    }
}

/// Response to a transaction, with status 200 or 409.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision of the commit, or the one at which the conditions failed.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose conditions did not hold; empty after a commit.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Body of `POST /holds`: a request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live without a renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Response to a lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// One change as a watch reports it: exactly one of `put_key` and `deleted_key` is set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Key that was written.
    #[serde(rename = "put", default, skip_serializing_if = "Option::is_none")]
    pub put_key: Option<String>,
    /// Key that was removed.
    #[serde(rename = "delete", default, skip_serializing_if = "Option::is_none")]
    pub deleted_key: Option<String>,
    /// New value after a put.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// Version of the key after the change.
    #[serde(rename = "stamp")]
    pub version: u64,
    /// Lease that the key is bound to.
    #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// Response to `GET /changes`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes in the order of their revisions.
    #[serde(rename = "log", default)]
    pub events: Vec<Change>,
}

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StateRequest {
    /// Read one key.
    Get {
        /// Key.
        key: String,
    },
    /// Read one page of the keys with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the page starts; empty for the first page.
        after: String,
        /// Maximum number of keys on the page.
        limit: u32,
    },
    /// Commit a transaction.
    Transaction(Transaction),
    /// Request a lease.
    GrantLease {
        /// Time to live without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renew a lease.
    RenewLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Revoke a lease, which removes the keys bound to it.
    RevokeLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Wait for changes of the keys with a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes are reported.
        after: u64,
        /// Time after which the response is sent even without a change, in milliseconds.
        wait_ms: u64,
    },
}

/// Outcome of a request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StateReply {
    /// The key that was read.
    Item(Item),
    /// Status 404: the key that was read does not exist.
    NotFound,
    /// One page of keys.
    List(ListPage),
    /// The transaction was applied.
    Committed {
        /// Revision of the commit.
        revision: u64,
    },
    /// Status 409: the transaction was not applied, because conditions did not hold.
    Conflict {
        /// Keys whose conditions did not hold.
        failed: Vec<String>,
        /// Revision at which the conditions were checked.
        revision: u64,
    },
    /// Id of a new lease.
    Lease(u64),
    /// A renewal or revocation of a lease succeeded.
    Ok,
    /// The lease has expired or was revoked.
    LeaseGone,
    /// Changes that a watch reports.
    Changes(Changes),
    /// Status 410: the requested changes are no longer kept.
    Compacted,
    /// Status 429 or 503: the request was certainly not executed.
    Refused {
        /// Whether the rate limit was exceeded (429).
        throttled: bool,
    },
    /// Status 400: the request is malformed, with the service's explanation.
    Invalid(String),
    /// No usable response: the request may have been executed, or may still be executed later.
    Unknown,
}
