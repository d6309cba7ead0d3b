//! The HTTP server for users, workers and health checks.

use crate::inbound::{Inbound, Shared};
use controller::rejections::{MessageFault, MessageSource};
use controller::{AdminReply, AdminRequest, HeartbeatReply, UserReply, UserRequest};
use model::JobId;
use poem::error::ReadBodyError;
use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Path};
use poem::{get, handler, post, Body, EndpointExt, IntoEndpoint, Response, Route, Server};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;
use wire::json::from_object;
use wire::users::{ErrorBody, JobRequest};
use wire::workers::{Heartbeat, Redirect};

/// Largest request body in bytes.
const MAX_BODY: usize = 64 * 1024;
/// Seconds after which a client should retry while the event loop cannot take its request.
const RETRY_AFTER_S: u64 = 1;

/// Serves until the listener fails.
pub async fn run(address: SocketAddr, shared: Shared) -> Result<(), std::io::Error> {
    let acceptor = TcpAcceptor::from_tokio(crate::listen::bind(address).await?)?;
    Server::new_with_acceptor(acceptor)
        .run(routes(shared))
        .await
}

/// All routes.
pub fn routes(shared: Shared) -> impl IntoEndpoint {
    Route::new()
        .at("/healthz", get(health))
        .at("/v1/jobs", post(submit))
        .at("/v1/jobs/:id", get(poll_job))
        .at("/v1/jobs/:id/cancel", post(cancel))
        .at("/hello", post(heartbeat))
        .at("/metrics", get(metrics))
        .at(
            "/admin/v1/settings",
            get(show_settings).put(change_settings),
        )
        .at("/admin/v1/partitions", get(partitions))
        .at("/admin/v1/standby", get(standby))
        .at("/admin/v1/machines", get(machines))
        .at("/admin/v1/queues", get(queues))
        .at("/admin/v1/jobs/:id", get(explain))
        .data(shared)
}

/// Decodes a body that must be one JSON object; anything else is counted and rejected with status 400.
async fn read_object<T: DeserializeOwned>(
    body: Body,
    source: MessageSource,
    shared: &Shared,
) -> Result<T, Response> {
    let reject = |fault, error: String| {
        shared.metrics.rejected().add(source, fault);
        problem(StatusCode::BAD_REQUEST, error)
    };
    let bytes = match body.into_bytes_limit(MAX_BODY).await {
        Ok(bytes) => bytes,
        Err(ReadBodyError::PayloadTooLarge) => {
            return Err(reject(
                MessageFault::TooLarge,
                "the body is too large".into(),
            ))
        }
        Err(error) => return Err(reject(MessageFault::Malformed, error.to_string())),
    };
    from_object(&bytes).map_err(|error| reject(MessageFault::Malformed, error.to_string()))
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::builder()
            .status(status)
            .content_type("application/json")
            .body(bytes),
        Err(_) => Response::builder()
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .finish(),
    }
}

fn problem(status: StatusCode, error: impl Into<String>) -> Response {
    json(
        status,
        &ErrorBody {
            error: error.into(),
        },
    )
}

/// Status 503: the client should retry after so many seconds.
fn busy(retry_after_s: u64) -> Response {
    let mut response = problem(StatusCode::SERVICE_UNAVAILABLE, "come back later");
    response
        .headers_mut()
        .insert("retry-after", retry_after_s.into());
    response
}

#[handler]
fn health(shared: Data<&Shared>) -> Response {
    if shared.healthy.load(Ordering::Relaxed) {
        Response::builder().status(StatusCode::OK).body("ok")
    } else {
        problem(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

async fn user_response(shared: &Shared, request: UserRequest) -> Response {
    let (sender, reply) = oneshot::channel();
    if shared
        .inbound
        .try_send(Inbound::User(request, sender))
        .is_err()
    {
        return busy(RETRY_AFTER_S);
    }
    match reply.await {
        Ok(UserReply::Created(status)) => json(StatusCode::CREATED, &status),
        Ok(UserReply::Status(status)) => json(StatusCode::OK, &status),
        Ok(UserReply::NotFound) => problem(StatusCode::NOT_FOUND, "no such job"),
        Ok(UserReply::Invalid(error)) => {
            shared
                .metrics
                .rejected()
                .add(MessageSource::User, MessageFault::Malformed);
            problem(StatusCode::BAD_REQUEST, error)
        }
        Ok(UserReply::Rejected(reason)) => {
            problem(StatusCode::UNPROCESSABLE_ENTITY, reason.to_string())
        }
        Ok(UserReply::Busy { retry_after_s }) => busy(retry_after_s),
        Err(_) => busy(RETRY_AFTER_S),
    }
}

/// Response to an id that no job can have.
fn unknown_id(shared: &Shared) -> Response {
    shared
        .metrics
        .rejected()
        .add(MessageSource::User, MessageFault::Malformed);
    problem(StatusCode::NOT_FOUND, "no such job")
}

#[handler]
async fn submit(body: Body, shared: Data<&Shared>) -> Response {
    match read_object::<JobRequest>(body, MessageSource::User, &shared).await {
        Ok(job) => user_response(&shared, UserRequest::Submit(Box::new(job))).await,
        Err(rejection) => rejection,
    }
}

#[handler]
async fn poll_job(Path(id): Path<String>, shared: Data<&Shared>) -> Response {
    match JobId::parse(&id) {
        Some(id) => user_response(&shared, UserRequest::Get(id)).await,
        None => unknown_id(&shared),
    }
}

#[handler]
async fn cancel(Path(id): Path<String>, shared: Data<&Shared>) -> Response {
    match JobId::parse(&id) {
        Some(id) => user_response(&shared, UserRequest::Cancel(id)).await,
        None => unknown_id(&shared),
    }
}

#[handler]
async fn heartbeat(body: Body, shared: Data<&Shared>) -> Response {
    let heartbeat = match read_object::<Heartbeat>(body, MessageSource::Worker, &shared).await {
        Ok(heartbeat) => heartbeat,
        Err(rejection) => return rejection,
    };
    let (sender, reply) = oneshot::channel();
    if shared
        .inbound
        .try_send(Inbound::Heartbeat(Box::new(heartbeat), sender))
        .is_err()
    {
        return busy(RETRY_AFTER_S);
    }
    match reply.await {
        Ok(HeartbeatReply::Response(response)) => json(StatusCode::OK, &response),
        Ok(HeartbeatReply::Redirect(controller)) => json(
            StatusCode::MISDIRECTED_REQUEST,
            &Redirect {
                report_to: controller.map(|name| name.to_string()),
            },
        ),
        Ok(HeartbeatReply::Malformed) => {
            problem(StatusCode::BAD_REQUEST, "the report is malformed")
        }
        Ok(HeartbeatReply::Unavailable) | Err(_) => busy(RETRY_AFTER_S),
    }
}

/// Body of a change of the operational settings.
#[derive(serde::Deserialize)]
struct ChangeSettings {
    version: u64,
    settings: serde_json::Value,
}

async fn admin_reply(shared: &Shared, request: AdminRequest) -> AdminReply {
    let (sender, reply) = oneshot::channel();
    let unavailable = || AdminReply {
        status: 503,
        body: serde_json::json!({ "error": "come back later" }),
    };
    if shared
        .inbound
        .try_send(Inbound::Admin(request, sender))
        .is_err()
    {
        return unavailable();
    }
    reply.await.unwrap_or_else(|_| unavailable())
}

async fn admin_response(shared: &Shared, request: AdminRequest) -> Response {
    let reply = admin_reply(shared, request).await;
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if status == StatusCode::BAD_REQUEST {
        shared
            .metrics
            .rejected()
            .add(MessageSource::Operator, MessageFault::Malformed);
    }
    json(status, &reply.body)
}

#[handler]
async fn show_settings(shared: Data<&Shared>) -> Response {
    admin_response(&shared, AdminRequest::Settings).await
}

#[handler]
async fn change_settings(body: Body, shared: Data<&Shared>) -> Response {
    match read_object(body, MessageSource::Operator, &shared).await {
        Ok(ChangeSettings { version, settings }) => {
            admin_response(&shared, AdminRequest::ChangeSettings { version, settings }).await
        }
        Err(rejection) => rejection,
    }
}

#[handler]
async fn partitions(shared: Data<&Shared>) -> Response {
    admin_response(&shared, AdminRequest::Partitions).await
}

#[handler]
async fn standby(shared: Data<&Shared>) -> Response {
    admin_response(&shared, AdminRequest::Standby).await
}

#[handler]
async fn machines(shared: Data<&Shared>) -> Response {
    admin_response(&shared, AdminRequest::Machines).await
}

#[handler]
async fn queues(shared: Data<&Shared>) -> Response {
    admin_response(&shared, AdminRequest::Queues).await
}

#[handler]
async fn explain(Path(id): Path<String>, shared: Data<&Shared>) -> Response {
    admin_response(&shared, AdminRequest::Job(id)).await
}

#[handler]
async fn metrics(shared: Data<&Shared>) -> Response {
    let reply = admin_reply(&shared, AdminRequest::Metrics).await;
    match shared.metrics.page(&reply.body) {
        Ok(page) => Response::builder()
            .content_type("text/plain; version=0.0.4")
            .body(page),
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
