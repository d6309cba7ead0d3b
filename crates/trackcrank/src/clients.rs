//! HTTP clients of the state service, the cloud and the workers.

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
use wire::http::{HttpCall, HttpMethod};
use wire::json::from_object;
use wire::state::{LeaseResponse, StateReply, StateRequest, TransactionResponse};
use wire::workers::{DirectCommands, Heartbeat};

/// Largest answer that is read.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Patience with the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A client with pooled connections.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    rejected: Option<RejectedMessages>,
}

impl HttpClient {
    /// A client that counts the answers that it cannot use.
    pub fn new(rejected: Option<RejectedMessages>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(1_200)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        HttpClient { client, rejected }
    }

    /// Counts an answer that cannot be used.
    fn reject(&self, source: MessageSource) {
        tracing::warn!(source = source.as_str(), "an answer cannot be read");
        if let Some(rejected) = &self.rejected {
            rejected.add(source, MessageFault::Malformed);
        }
    }

    /// One call; none if there was no complete answer in time.
    async fn call(
        &self,
        method: Method,
        to: &str,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .ok()?;
        let exchange = async {
            let answer = self.client.request(request).await.ok()?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER)
                .collect()
                .await
                .ok()?;
            Some((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, exchange).await.ok().flatten()
    }

    /// Sends a call as one of the interfaces has it.
    async fn send(
        &self,
        to: &str,
        call: HttpCall,
        timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let method = match call.method {
            HttpMethod::Get => Method::GET,
            HttpMethod::Post => Method::POST,
            HttpMethod::Delete => Method::DELETE,
        };
        self.call(method, to, &call.path, call.body, timeout).await
    }

    /// A call to the state service.
    pub async fn state(
        &self,
        to: SocketAddr,
        request: &StateRequest,
        timeout: Duration,
    ) -> StateReply {
        match self.send(&to.to_string(), request.into(), timeout).await {
            Some((status, body)) => state_reply(request, status, &body).unwrap_or_else(|| {
                self.reject(MessageSource::State);
                StateReply::Unknown
            }),
            None => StateReply::Unknown,
        }
    }

    /// A call to the cloud.
    pub async fn cloud(&self, to: SocketAddr, request: &CloudRequest) -> CloudReply {
        let Some((status, body)) = self
            .send(&to.to_string(), request.into(), CLOUD_TIMEOUT)
            .await
        else {
            return CloudReply::Unknown;
        };
        if status != StatusCode::OK {
            let short = matches!(request, CloudRequest::Rent(_))
                && String::from_utf8_lossy(&body).contains("no capacity");
            return match (status.as_u16(), short) {
                (503, true) => CloudReply::NoCapacity,
                (429 | 503 | 400, _) => CloudReply::Refused,
                _ => CloudReply::Unknown,
            };
        }
        let reply = match request {
            CloudRequest::Types => decode(&body).map(CloudReply::Types),
            CloudRequest::Rent(_) => {
                decode::<MachineNames>(&body).map(|names| CloudReply::Rented(names.machines))
            }
            CloudRequest::Release(_) => Some(CloudReply::Released),
            CloudRequest::List { .. } => decode(&body).map(CloudReply::List),
        };
        reply.unwrap_or_else(|| {
            self.reject(MessageSource::Cloud);
            CloudReply::Unknown
        })
    }

    /// Commands straight to a worker.
    pub async fn worker(
        &self,
        to: &str,
        commands: &DirectCommands,
        timeout: Duration,
    ) -> DirectReply {
        let answer = self.send(to, commands.into(), timeout).await;
        match answer {
            Some((status, body)) if status == StatusCode::OK || status == StatusCode::CONFLICT => {
                match decode::<Heartbeat>(&body) {
                    Some(report) => DirectReply::Answered(Box::new(report)),
                    None => {
                        self.reject(MessageSource::Worker);
                        DirectReply::Unknown
                    }
                }
            }
            _ => DirectReply::Unknown,
        }
    }

    /// A plain call for the operators' command line.
    pub async fn plain(
        &self,
        method: Method,
        to: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Option<(u16, String)> {
        let (status, body) = self
            .call(method, to, path, body, Duration::from_secs(5))
            .await?;
        Some((status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    from_object(body).ok()
}

/// Reads an answer of the state service; none if its body is not what belongs to the call.
pub fn state_reply(request: &StateRequest, status: StatusCode, body: &[u8]) -> Option<StateReply> {
    let text = || String::from_utf8_lossy(body).into_owned();
    let lease_call = matches!(
        request,
        StateRequest::Renew { .. } | StateRequest::EndLease { .. }
    );
    match status.as_u16() {
        429 => return Some(StateReply::Refused { throttled: true }),
        503 => return Some(StateReply::Refused { throttled: false }),
        404 if lease_call => return Some(StateReply::LeaseGone),
        404 if matches!(request, StateRequest::Get { .. }) => return Some(StateReply::Missing),
        409 => {
            let TransactionResponse { failed, revision } = decode(body)?;
            return Some(StateReply::Conflict { failed, revision });
        }
        410 => return Some(StateReply::Compacted),
        400 if text().contains("no such lease") => return Some(StateReply::LeaseGone),
        400 => return Some(StateReply::Invalid(text())),
        200..=299 => {}
        _ => return Some(StateReply::Unknown),
    }
    match request {
        StateRequest::Get { .. } => decode(body).map(StateReply::Item),
        StateRequest::List { .. } => decode(body).map(StateReply::List),
        StateRequest::Transaction(_) => {
            decode::<TransactionResponse>(body).map(|answer| StateReply::Committed {
                revision: answer.revision,
            })
        }
        StateRequest::NewLease { .. } => {
            decode::<LeaseResponse>(body).map(|answer| StateReply::Lease(answer.lease))
        }
        StateRequest::Renew { .. } | StateRequest::EndLease { .. } => Some(StateReply::Ok),
        StateRequest::Watch { .. } => decode(body).map(StateReply::Changes),
    }
}
