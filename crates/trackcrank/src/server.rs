//! The HTTP server for users, workers, operators and monitoring. Its handlers pass requests to the event
//! loop and wait for the replies.

use crate::inbound::{InboundRequest, ServerContext};
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
use wire::limits::{longest_line_bytes, truncate_error, MAX_MESSAGE_BYTES};
use wire::users::{ErrorBody, JobRequest};
use wire::workers::{Heartbeat, Redirect};

/// Time after which a client should retry if the event loop cannot take its request.
const RETRY_AFTER_S: u64 = 1;

/// Binds the listener, and serves until it fails.
pub async fn run(address: SocketAddr, context: ServerContext) -> Result<(), std::io::Error> {
    let acceptor = TcpAcceptor::from_tokio(crate::listen::bind(address).await?)?;
    Server::new_with_acceptor(acceptor)
        .run(routes(context))
        .await
}

/// All routes of the server.
pub fn routes(context: ServerContext) -> impl IntoEndpoint {
    Route::new()
        .at("/healthz", get(health))
        .at("/v1/jobs", post(submit_job))
        .at("/v1/jobs/:id", get(job_status))
        .at("/v1/jobs/:id/cancel", post(cancel_job))
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
        .at("/admin/v1/jobs/:id", get(explain_job))
        .data(context)
}

/// Decodes a body that must be one JSON object. Anything else is counted and rejected with status 400.
async fn read_object<T: DeserializeOwned>(
    body: Body,
    source: MessageSource,
    context: &ServerContext,
) -> Result<T, Response> {
    let reject = |fault, error: String| {
        context.metrics.rejected_messages().add(source, fault);
        error_response(StatusCode::BAD_REQUEST, error)
    };
    let bytes = match body.into_bytes_limit(MAX_MESSAGE_BYTES).await {
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

/// Encodes a response body in lines that are not too long: in a single line if it fits, otherwise with a line for
/// each value.
fn encode_body<T: Serialize>(body: &T) -> Option<Vec<u8>> {
    let is_short = |bytes: &Vec<u8>| {
        bytes.len() <= MAX_MESSAGE_BYTES || longest_line_bytes(bytes) <= MAX_MESSAGE_BYTES
    };
    let compact = serde_json::to_vec(body).ok().filter(is_short);
    compact.or_else(|| serde_json::to_vec_pretty(body).ok().filter(is_short))
}

fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    match encode_body(body) {
        Some(bytes) => Response::builder()
            .status(status)
            .content_type("application/json")
            .body(bytes),
        None => {
            tracing::error!(%status, "response cannot be encoded within the limit of a line");
            Response::builder()
                .status(StatusCode::INTERNAL_SERVER_ERROR)
                .finish()
        }
    }
}

fn error_response(status: StatusCode, error: impl Into<String>) -> Response {
    let error = truncate_error(&error.into()).to_owned();
    json_response(status, &ErrorBody { error })
}

/// Response with status 503, which tells the client to retry after `retry_after_s` seconds.
fn busy_response(retry_after_s: u64) -> Response {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "come back later");
    response
        .headers_mut()
        .insert("retry-after", retry_after_s.into());
    response
}

#[handler]
fn health(context: Data<&ServerContext>) -> Response {
    if context.healthy.load(Ordering::Relaxed) {
        Response::builder().status(StatusCode::OK).body("ok")
    } else {
        error_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

/// Passes a user's request to the event loop and waits for the reply.
async fn user_response(context: &ServerContext, request: UserRequest) -> Response {
    let (sender, reply) = oneshot::channel();
    if context
        .requests
        .try_send(InboundRequest::User(request, sender))
        .is_err()
    {
        return busy_response(RETRY_AFTER_S);
    }
    match reply.await {
        Ok(UserReply::Created(status)) => json_response(StatusCode::CREATED, &status),
        Ok(UserReply::Status(status)) => json_response(StatusCode::OK, &status),
        Ok(UserReply::NotFound) => error_response(StatusCode::NOT_FOUND, "no such job"),
        Ok(UserReply::Invalid(error)) => {
            context
                .metrics
                .rejected_messages()
                .add(MessageSource::User, MessageFault::Malformed);
            error_response(StatusCode::BAD_REQUEST, error)
        }
        Ok(UserReply::Rejected(reason)) => {
            error_response(StatusCode::UNPROCESSABLE_ENTITY, reason.to_string())
        }
        Ok(UserReply::Busy { retry_after_s }) => busy_response(retry_after_s),
        Err(_) => busy_response(RETRY_AFTER_S),
    }
}

/// Response with status 404 to a malformed job id, which is counted.
fn malformed_id_response(context: &ServerContext) -> Response {
    context
        .metrics
        .rejected_messages()
        .add(MessageSource::User, MessageFault::Malformed);
    error_response(StatusCode::NOT_FOUND, "no such job")
}

#[handler]
async fn submit_job(body: Body, context: Data<&ServerContext>) -> Response {
    match read_object::<JobRequest>(body, MessageSource::User, &context).await {
        Ok(job) => user_response(&context, UserRequest::Submit(Box::new(job))).await,
        Err(rejection) => rejection,
    }
}

#[handler]
async fn job_status(Path(id): Path<String>, context: Data<&ServerContext>) -> Response {
    match JobId::parse(&id) {
        Some(id) => user_response(&context, UserRequest::Get(id)).await,
        None => malformed_id_response(&context),
    }
}

#[handler]
async fn cancel_job(Path(id): Path<String>, context: Data<&ServerContext>) -> Response {
    match JobId::parse(&id) {
        Some(id) => user_response(&context, UserRequest::Cancel(id)).await,
        None => malformed_id_response(&context),
    }
}

#[handler]
async fn heartbeat(body: Body, context: Data<&ServerContext>) -> Response {
    let heartbeat = match read_object::<Heartbeat>(body, MessageSource::Worker, &context).await {
        Ok(heartbeat) => heartbeat,
        Err(rejection) => return rejection,
    };
    let (sender, reply) = oneshot::channel();
    if context
        .requests
        .try_send(InboundRequest::Heartbeat(Box::new(heartbeat), sender))
        .is_err()
    {
        return busy_response(RETRY_AFTER_S);
    }
    match reply.await {
        Ok(HeartbeatReply::Response(response)) => json_response(StatusCode::OK, &response),
        Ok(HeartbeatReply::Redirect(controller)) => json_response(
            StatusCode::MISDIRECTED_REQUEST,
            &Redirect {
                controller: controller.map(|name| name.to_string()),
            },
        ),
        Ok(HeartbeatReply::Malformed) => {
            error_response(StatusCode::BAD_REQUEST, "the report is malformed")
        }
        Ok(HeartbeatReply::Unavailable) | Err(_) => busy_response(RETRY_AFTER_S),
    }
}

/// Body of a request that changes the operators' settings.
#[derive(serde::Deserialize)]
struct ChangeSettings {
    version: u64,
    settings: serde_json::Value,
}

/// Passes an operator's request to the event loop and waits for the reply.
async fn admin_reply(context: &ServerContext, request: AdminRequest) -> AdminReply {
    let (sender, reply) = oneshot::channel();
    let unavailable = || AdminReply {
        status: 503,
        body: serde_json::json!({ "error": "come back later" }),
    };
    if context
        .requests
        .try_send(InboundRequest::Admin(request, sender))
        .is_err()
    {
        return unavailable();
    }
    reply.await.unwrap_or_else(|_| unavailable())
}

async fn admin_response(context: &ServerContext, request: AdminRequest) -> Response {
    let reply = admin_reply(context, request).await;
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if status == StatusCode::BAD_REQUEST {
        context
            .metrics
            .rejected_messages()
            .add(MessageSource::Operator, MessageFault::Malformed);
    }
    json_response(status, &reply.body)
}

#[handler]
async fn show_settings(context: Data<&ServerContext>) -> Response {
    admin_response(&context, AdminRequest::Settings).await
}

#[handler]
async fn change_settings(body: Body, context: Data<&ServerContext>) -> Response {
    match read_object(body, MessageSource::Operator, &context).await {
        Ok(ChangeSettings { version, settings }) => {
            admin_response(&context, AdminRequest::ChangeSettings { version, settings }).await
        }
        Err(rejection) => rejection,
    }
}

#[handler]
async fn partitions(context: Data<&ServerContext>) -> Response {
    admin_response(&context, AdminRequest::Partitions).await
}

#[handler]
async fn standby(context: Data<&ServerContext>) -> Response {
    admin_response(&context, AdminRequest::Standby).await
}

#[handler]
async fn machines(context: Data<&ServerContext>) -> Response {
    admin_response(&context, AdminRequest::Machines).await
}

#[handler]
async fn queues(context: Data<&ServerContext>) -> Response {
    admin_response(&context, AdminRequest::Queues).await
}

#[handler]
async fn explain_job(Path(id): Path<String>, context: Data<&ServerContext>) -> Response {
    admin_response(&context, AdminRequest::Job(id)).await
}

#[handler]
async fn metrics(context: Data<&ServerContext>) -> Response {
    let reply = admin_reply(&context, AdminRequest::Metrics).await;
    match context.metrics.render(&reply.body) {
        Ok(page) => Response::builder()
            .content_type("text/plain; version=0.0.4")
            .body(page),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
