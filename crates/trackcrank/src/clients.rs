//! HTTP client for the state service, the cloud, the workers and, on the command line, the admin API.

use crate::metrics::RejectedMessages;
use bytes::Bytes;
use controller::controller::DirectReply;
use controller::rejections::{MessageFault, MessageSource};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use wire::cloud::{CloudReply, CloudRequest, MachineNames};
use wire::http::{HttpMethod, HttpRequest};
use wire::json::from_object;
use wire::limits::MAX_MESSAGE_BYTES;
use wire::state::{LeaseResponse, StateReply, StateRequest, TransactionResponse};
use wire::workers::{DirectCommands, Heartbeat};

/// Largest response body that is read; a larger one counts as no response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Timeout of a request to the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after which an idle connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a request to the admin API, which the command line sends.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP client with pooled connections, which its clones share.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    /// Counter of the responses that cannot be decoded.
    rejected_messages: Option<RejectedMessages>,
}

impl HttpClient {
    /// Creates a client that counts the responses that it cannot decode, if a counter is given.
    pub fn new(rejected_messages: Option<RejectedMessages>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build(connector);
        HttpClient {
            client,
            rejected_messages,
        }
    }

    /// Logs and counts a response that cannot be decoded.
    fn record_rejection(&self, source: MessageSource) {
        tracing::warn!(source = source.as_str(), "response rejected");
        if let Some(rejected_messages) = &self.rejected_messages {
            rejected_messages.add(source, MessageFault::Malformed);
        }
    }

    /// Sends a request; returns `None` if no complete response comes in time.
    async fn send(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .ok()?;
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .ok()?;
            Some((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, exchange).await.ok().flatten()
    }

    /// Sends a request that a protocol of the `wire` crate defines. One whose body is too long is not sent: its
    /// receiver would reject it.
    async fn send_call(
        &self,
        address: &str,
        call: HttpRequest,
        timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let body_bytes = call.body.as_ref().map_or(0, Vec::len);
        if body_bytes > MAX_MESSAGE_BYTES {
            tracing::error!(path = call.path, body_bytes, "oversized request not sent");
            let error = Bytes::from_static(b"the body is too large");
            return Some((StatusCode::BAD_REQUEST, error));
        }
        let method = match call.method {
            HttpMethod::Get => Method::GET,
            HttpMethod::Post => Method::POST,
            HttpMethod::Delete => Method::DELETE,
        };
        self.send(method, address, &call.path, call.body, timeout)
            .await
    }

    /// Sends a request to the state service. Without a usable response the outcome is unknown.
    pub async fn call_state_service(
        &self,
        address: SocketAddr,
        request: &StateRequest,
        timeout: Duration,
    ) -> StateReply {
        match self
            .send_call(&address.to_string(), request.into(), timeout)
            .await
        {
            Some((status, body)) => {
                decode_state_reply(request, status, &body).unwrap_or_else(|| {
                    self.record_rejection(MessageSource::State);
                    StateReply::Unknown
                })
            }
            None => StateReply::Unknown,
        }
    }

    /// Sends a request to the cloud. Without a usable response the outcome is unknown.
    pub async fn call_cloud(&self, address: SocketAddr, request: &CloudRequest) -> CloudReply {
        let Some((status, body)) = self
            .send_call(&address.to_string(), request.into(), CLOUD_TIMEOUT)
            .await
        else {
            return CloudReply::Unknown;
        };
        if status != StatusCode::OK {
            let is_out_of_capacity = matches!(request, CloudRequest::Rent(_))
                && String::from_utf8_lossy(&body).contains("no capacity");
            return match (status.as_u16(), is_out_of_capacity) {
                (503, true) => CloudReply::NoCapacity,
                (429 | 503 | 400, _) => CloudReply::Refused,
                _ => CloudReply::Unknown,
            };
        }
        let reply = match request {
            CloudRequest::MachineTypes => decode(&body).map(CloudReply::MachineTypes),
            CloudRequest::Rent(_) => {
                decode::<MachineNames>(&body).map(|names| CloudReply::Rented(names.machines))
            }
            CloudRequest::Release(_) => Some(CloudReply::Released),
            CloudRequest::ListMachines { .. } => decode(&body).map(CloudReply::MachineList),
        };
        reply.unwrap_or_else(|| {
            self.record_rejection(MessageSource::Cloud);
            CloudReply::Unknown
        })
    }

    /// Sends commands directly to a worker, which responds with a heartbeat.
    pub async fn send_commands(
        &self,
        address: &str,
        commands: &DirectCommands,
        timeout: Duration,
    ) -> DirectReply {
        let response = self.send_call(address, commands.into(), timeout).await;
        match response {
            Some((status, body)) if status == StatusCode::OK || status == StatusCode::CONFLICT => {
                match decode::<Heartbeat>(&body) {
                    Some(heartbeat) => DirectReply::Answered(Box::new(heartbeat)),
                    None => {
                        self.record_rejection(MessageSource::Worker);
                        DirectReply::Unknown
                    }
                }
            }
            _ => DirectReply::Unknown,
        }
    }

    /// Sends a request to the admin API; returns the status and the body of the response.
    pub async fn call_admin_api(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Option<(u16, String)> {
        let (status, body) = self
            .send(method, address, path, body, ADMIN_TIMEOUT)
            .await?;
        Some((status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    from_object(body).ok()
}

/// Decodes the response of the state service to `request`; `None` if its body is not a valid response to it.
pub fn decode_state_reply(
    request: &StateRequest,
    status: StatusCode,
    body: &[u8],
) -> Option<StateReply> {
    let body_text = || String::from_utf8_lossy(body).into_owned();
    let is_lease_request = matches!(
        request,
        StateRequest::RenewLease { .. } | StateRequest::RevokeLease { .. }
    );
    match status.as_u16() {
        429 => return Some(StateReply::Refused { throttled: true }),
        503 => return Some(StateReply::Refused { throttled: false }),
        404 if is_lease_request => return Some(StateReply::LeaseGone),
        404 if matches!(request, StateRequest::Get { .. }) => return Some(StateReply::NotFound),
        409 => {
            let TransactionResponse { failed, revision } = decode(body)?;
            return Some(StateReply::Conflict { failed, revision });
        }
        410 => return Some(StateReply::Compacted),
        400 if body_text().contains("no such lease") => return Some(StateReply::LeaseGone),
        400 => return Some(StateReply::Invalid(body_text())),
        200..=299 => {}
        _ => return Some(StateReply::Unknown),
    }
    match request {
        StateRequest::Get { .. } => decode(body).map(StateReply::Item),
        StateRequest::List { .. } => decode(body).map(StateReply::List),
        StateRequest::Transaction(_) => {
            decode::<TransactionResponse>(body).map(|response| StateReply::Committed {
                revision: response.revision,
            })
        }
        StateRequest::GrantLease { .. } => {
            decode::<LeaseResponse>(body).map(|response| StateReply::Lease(response.lease))
        }
        StateRequest::RenewLease { .. } | StateRequest::RevokeLease { .. } => Some(StateReply::Ok),
        StateRequest::Watch { .. } => decode(body).map(StateReply::Changes),
    }
}
