//! HTTP requests to the state service, the cloud and the workers.

use crate::cloud::{CloudRequest, MachineNames};
use crate::state::{LeaseRequest, StateRequest};
use crate::workers::DirectCommands;
use serde::Serialize;

/// Method of an HTTP request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpMethod {
    /// `GET`: reads.
    Get,
    /// `POST`: creates or changes.
    Post,
    /// `DELETE`: removes.
    Delete,
}

impl HttpMethod {
    /// The method's name in a request line.
    pub fn as_str(self) -> &'static str {
        match self {
            HttpMethod::Get => "GET",
            HttpMethod::Post => "POST",
            HttpMethod::Delete => "DELETE",
        }
    }
}

/// An HTTP request as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpCall {
    /// Method.
    pub method: HttpMethod,
    /// Path with the query.
    pub path: String,
    /// JSON body, if there is one.
    pub body: Option<Vec<u8>>,
}

impl HttpCall {
    fn get(path: impl Into<String>) -> Self {
        HttpCall {
            method: HttpMethod::Get,
            path: path.into(),
            body: None,
        }
    }

    fn post(path: impl Into<String>, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).ok();
        HttpCall {
            method: HttpMethod::Post,
            path: path.into(),
            body,
        }
    }
}

impl From<&StateRequest> for HttpCall {
    fn from(request: &StateRequest) -> Self {
        match request {
            StateRequest::Get { key } => HttpCall::get(format!("/store/{key}")),
            StateRequest::List {
                prefix,
                after,
                limit,
            } => {
                let mut path = format!("/store?prefix={prefix}&limit={limit}");
                if !after.is_empty() {
                    path.push_str("&after=");
                    path.push_str(after);
                }
                HttpCall::get(path)
            }
            StateRequest::Transaction(txn) => HttpCall::post("/txn", txn),
            StateRequest::NewLease { ttl_ms } => {
                HttpCall::post("/holds", &LeaseRequest { ttl_ms: *ttl_ms })
            }
            StateRequest::Renew { lease } => HttpCall {
                method: HttpMethod::Post,
                path: format!("/holds/{lease}/renew"),
                body: None,
            },
            StateRequest::EndLease { lease } => HttpCall {
                method: HttpMethod::Delete,
                path: format!("/holds/{lease}"),
                body: None,
            },
            StateRequest::Watch {
                prefix,
                after,
                wait_ms,
            } => {
                let path = format!("/changes?prefix={prefix}&after={after}&wait_ms={wait_ms}");
                HttpCall::get(path)
            }
        }
    }
}

impl From<&CloudRequest> for HttpCall {
    fn from(request: &CloudRequest) -> Self {
        match request {
            CloudRequest::Types => HttpCall::get("/machine_types"),
            CloudRequest::Rent(rent) => HttpCall::post("/hosts", rent),
            CloudRequest::Release(names) => HttpCall::post(
                "/hosts/release",
                &MachineNames {
                    machines: names.clone(),
                },
            ),
            CloudRequest::List { after, limit } => {
                HttpCall::get(format!("/hosts?after={after}&limit={limit}"))
            }
        }
    }
}

impl From<&DirectCommands> for HttpCall {
    fn from(commands: &DirectCommands) -> Self {
        HttpCall::post("/commands", commands)
    }
}
