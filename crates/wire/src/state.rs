//! State service bodies.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
    #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// One page of a prefix read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    #[serde(rename = "pairs")]
    pub items: Vec<Item>,
    #[serde(rename = "has_next", default)]
    pub more: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

impl ListPage {
    /// Whether it may be the page that follows the key `after` in a read of this prefix: keys in order,
    /// none from elsewhere, and something to go on from if there is more.
    pub fn follows(&self, prefix: &str, after: &str) -> bool {
        let mut last = after;
        for item in &self.items {
            let key = item.key.as_str();
            if key <= last || !key.starts_with(prefix) {
                return false;
            }
            last = key;
        }
        !(self.more && self.items.is_empty())
    }
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        put: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        delete: String,
    },
}

impl Write {
    /// A put without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Write::Put {
            put: key.into(),
            value,
            lease: None,
        }
    }
    /// A put bound to a lease.
    pub fn put_leased(key: impl Into<String>, value: Value, lease: u64) -> Self {
        Write::Put {
            put: key.into(),
            value,
            lease: Some(lease),
        }
    }
    /// A delete.
    pub fn delete(key: impl Into<String>) -> Self {
        Write::Delete { delete: key.into() }
    }
    /// The key changed.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { put, .. } => put,
            Write::Delete { delete } => delete,
        }
    }
}

/// `POST /txn`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "if", default)]
    pub conditions: Vec<Condition>,
    #[serde(rename = "writes", default)]
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition.
    pub fn when(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version,
        });
        self
    }
    /// Adds a change.
    pub fn write(mut self, write: Write) -> Self {
        self.writes.push(write);
        self
    }
}

/// Answer to a transaction, 200 or 409.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResponse {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

/// `POST /holds`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Answer to a lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// One change as a watch reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    #[serde(rename = "stamp")]
    pub version: u64,
    #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// `GET /changes`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(rename = "log", default)]
    pub events: Vec<Change>,
}

/// A call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StateRequest {
    Get {
        key: String,
    },
    List {
        prefix: String,
        after: String,
        limit: u32,
    },
    Transaction(Transaction),
    NewLease {
        ttl_ms: u64,
    },
    Renew {
        lease: u64,
    },
    EndLease {
        lease: u64,
    },
    Watch {
        prefix: String,
        after: u64,
        wait_ms: u64,
    },
}

/// What came back from the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StateReply {
    Item(Item),
    /// 404 of a key.
    Missing,
    List(ListPage),
    Committed {
        revision: u64,
    },
    /// 409: the conditions named did not hold at this revision.
    Conflict {
        failed: Vec<String>,
        revision: u64,
    },
    Lease(u64),
    /// A lease call succeeded.
    Ok,
    /// The lease has ended.
    LeaseGone,
    Changes(Changes),
    /// 410: the changes asked for are no longer kept.
    Compacted,
    /// 429 (throttled) or 503: certainly not executed.
    Refused {
        throttled: bool,
    },
    /// 400: malformed.
    Invalid(String),
    /// No usable answer: may have been, or may yet be, executed.
    Unknown,
}
