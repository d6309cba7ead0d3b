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
pub struct HttpRequest {
    /// Method of the request.
    pub method: HttpMethod,
    /// Path with the query.
    pub path: String,
    /// JSON body, if the request has one.
    pub body: Option<Vec<u8>>,
}

impl HttpRequest {
    fn get(path: impl Into<String>) -> Self {
        HttpRequest {
            method: HttpMethod::Get,
            path: path.into(),
            body: None,
        }
    }

    fn post(path: impl Into<String>, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).ok();
        HttpRequest {
            method: HttpMethod::Post,
            path: path.into(),
            body,
        }
    }
}

impl From<&StateRequest> for HttpRequest {
    fn from(request: &StateRequest) -> Self {
        match request {
            StateRequest::Get { key } => HttpRequest::get(format!("/store/{key}")),
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
                HttpRequest::get(path)
            }
            StateRequest::Transaction(txn) => HttpRequest::post("/txn", txn),
            StateRequest::GrantLease { ttl_ms } => {
                HttpRequest::post("/holds", &LeaseRequest { ttl_ms: *ttl_ms })
            }
            StateRequest::RenewLease { lease } => HttpRequest {
                method: HttpMethod::Post,
                path: format!("/holds/{lease}/renew"),
                body: None,
            },
            StateRequest::RevokeLease { lease } => HttpRequest {
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
                HttpRequest::get(path)
            }
        }
    }
}

impl From<&CloudRequest> for HttpRequest {
    fn from(request: &CloudRequest) -> Self {
        match request {
            CloudRequest::MachineTypes => HttpRequest::get("/machine_types"),
            CloudRequest::Rent(rental) => HttpRequest::post("/hosts", rental),
            CloudRequest::Release(names) => HttpRequest::post(
                "/hosts/release",
                &MachineNames {
                    machines: names.clone(),
                },
            ),
            CloudRequest::ListMachines { after, limit } => {
                HttpRequest::get(format!("/hosts?after={after}&limit={limit}"))
            }
        }
    }
}

impl From<&DirectCommands> for HttpRequest {
    fn from(commands: &DirectCommands) -> Self {
        HttpRequest::post("/commands", commands)
    }
}
