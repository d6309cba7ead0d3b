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

/// Largest request body.
const MAX_BODY: usize = 64 * 1024;

/// Serves until the listener fails.
pub async fn run(address: SocketAddr, shared: Shared) -> Result<(), std::io::Error> {
    let acceptor = TcpAcceptor::from_tokio(crate::listen::bind(address).await?)?;
    Server::new_with_acceptor(acceptor)
        .run(routes(shared))
        .await
}

/// What is served under which path.
pub fn routes(shared: Shared) -> impl IntoEndpoint {
    Route::new()
        .at("/healthz", get(health))
        .at("/v1/jobs", post(submit))
        .at("/v1/jobs/:id", get(poll_job))
        .at("/v1/jobs/:id/cancel", post(cancel))
        .at("/hello", post(report))
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

/// Reads a body that holds one object of this kind; what is not one is counted and answered with 400.
async fn read_object<T: DeserializeOwned>(
    body: Body,
    source: MessageSource,
    shared: &Shared,
) -> Result<T, Response> {
    let refuse = |fault, error: String| {
        shared.metrics.rejected().add(source, fault);
        problem(StatusCode::BAD_REQUEST, error)
    };
    let bytes = match body.into_bytes_limit(MAX_BODY).await {
        Ok(bytes) => bytes,
        Err(ReadBodyError::PayloadTooLarge) => {
            return Err(refuse(
                MessageFault::TooLarge,
                "the body is too large".into(),
            ))
        }
        Err(error) => return Err(refuse(MessageFault::Malformed, error.to_string())),
    };
    from_object(&bytes).map_err(|error| refuse(MessageFault::Malformed, error.to_string()))
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

async fn ask(shared: &Shared, request: UserRequest) -> Response {
    let (sender, answer) = oneshot::channel();
    if shared
        .inbound
        .try_send(Inbound::User(request, sender))
        .is_err()
    {
        return busy(1);
    }
    match answer.await {
        Ok(UserReply::Created(status)) => json(StatusCode::CREATED, &status),
        Ok(UserReply::Status(status)) => json(StatusCode::OK, &status),
        Ok(UserReply::NotFound) => problem(StatusCode::NOT_FOUND, "no such job"),
        Ok(UserReply::Invalid(why)) => {
            shared
                .metrics
                .rejected()
                .add(MessageSource::User, MessageFault::Malformed);
            problem(StatusCode::BAD_REQUEST, why)
        }
        Ok(UserReply::Rejected(why)) => problem(StatusCode::UNPROCESSABLE_ENTITY, why.to_string()),
        Ok(UserReply::Busy { retry_after_s }) => busy(retry_after_s),
        Err(_) => busy(1),
    }
}

/// An id that no job can have.
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
        Ok(job) => ask(&shared, UserRequest::Submit(Box::new(job))).await,
        Err(refused) => refused,
    }
}

#[handler]
async fn poll_job(Path(id): Path<String>, shared: Data<&Shared>) -> Response {
    match JobId::parse(&id) {
        Some(id) => ask(&shared, UserRequest::Get(id)).await,
        None => unknown_id(&shared),
    }
}

#[handler]
async fn cancel(Path(id): Path<String>, shared: Data<&Shared>) -> Response {
    match JobId::parse(&id) {
        Some(id) => ask(&shared, UserRequest::Cancel(id)).await,
        None => unknown_id(&shared),
    }
}

#[handler]
async fn report(body: Body, shared: Data<&Shared>) -> Response {
    let report = match read_object::<Heartbeat>(body, MessageSource::Worker, &shared).await {
        Ok(report) => report,
        Err(refused) => return refused,
    };
    let (sender, answer) = oneshot::channel();
    if shared
        .inbound
        .try_send(Inbound::Heartbeat(Box::new(report), sender))
        .is_err()
    {
        return busy(1);
    }
    match answer.await {
        Ok(HeartbeatReply::Answer(answer)) => json(StatusCode::OK, &answer),
        Ok(HeartbeatReply::Redirect(node)) => json(
            StatusCode::MISDIRECTED_REQUEST,
            &Redirect {
                report_to: node.map(|n| n.to_string()),
            },
        ),
        Ok(HeartbeatReply::Malformed) => {
            problem(StatusCode::BAD_REQUEST, "the report is malformed")
        }
        Ok(HeartbeatReply::Unavailable) | Err(_) => busy(1),
    }
}

/// Body of a change of the operators' settings.
#[derive(serde::Deserialize)]
struct ChangeSettings {
    version: u64,
    settings: serde_json::Value,
}

async fn administer(shared: &Shared, request: AdminRequest) -> AdminReply {
    let (sender, answer) = oneshot::channel();
    let refused = || AdminReply {
        status: 503,
        body: serde_json::json!({ "error": "come back later" }),
    };
    if shared
        .inbound
        .try_send(Inbound::Admin(request, sender))
        .is_err()
    {
        return refused();
    }
    answer.await.unwrap_or_else(|_| refused())
}

async fn admin_response(shared: &Shared, request: AdminRequest) -> Response {
    let reply = administer(shared, request).await;
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
        Err(refused) => refused,
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
    let reply = administer(&shared, AdminRequest::Metrics).await;
    match shared.metrics.page(&reply.body) {
        Ok(page) => Response::builder()
            .content_type("text/plain; version=0.0.4")
            .body(page),
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
