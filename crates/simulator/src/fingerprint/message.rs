//! Converts the effects of controllers to the bytes that a process would send.

use controller::{AdminReply, Effect, HeartbeatReply, UserReply};
use model::ControllerName;
use serde::Serialize;
use wire::http::HttpRequest;
use wire::mesh::{Frame, MeshMessage, MESH_VERSION};
use wire::workers::Redirect;

const OK: u16 = 200;
const CREATED: u16 = 201;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const MISDIRECTED: u16 = 421;
const UNPROCESSABLE: u16 = 422;
const UNAVAILABLE: u16 = 503;

/// Time after which a worker is told to retry a heartbeat that no leader accepts now.
const HEARTBEAT_RETRY_S: u64 = 1;

/// A message that leaves a controller.
pub(crate) struct OutgoingMessage {
    /// Name of the recipient; the order of the messages to one recipient is part of the fingerprint.
    pub recipient: String,
    /// What is sent and hashed.
    pub bytes: Vec<u8>,
    /// The message as text, if the bytes are not text.
    pub readable: Option<String>,
}

impl OutgoingMessage {
    /// The message that an effect of the controller `sender` stands for. `machine` is the one whose heartbeat is
    /// answered.
    pub fn from_effect(sender: usize, effect: &Effect, machine: Option<&str>) -> Self {
        match effect {
            Effect::State { request, .. } => Self::call("state".into(), &request.into()),
            Effect::Cloud { request, .. } => Self::call("cloud".into(), &request.into()),
            Effect::Worker { address, body, .. } => {
                Self::call(format!("worker {}", machine_at(address)), &body.into())
            }
            Effect::Mesh { to, message } => Self::frame(sender, to, message),
            Effect::User { ticket, reply } => {
                user_response(reply).addressed_to(format!("user {ticket:08}"))
            }
            Effect::Heartbeat { reply, .. } => {
                let machine = machine.unwrap_or("unknown");
                heartbeat_response(reply).addressed_to(format!("worker {machine}"))
            }
            Effect::Admin { ticket, reply } => {
                admin_response(reply).addressed_to(format!("operator {ticket:08}"))
            }
        }
    }

    fn call(recipient: String, call: &HttpRequest) -> Self {
        let mut bytes = format!("{} {}\n", call.method.as_str(), call.path).into_bytes();
        bytes.extend(call.body.iter().flatten());
        OutgoingMessage {
            recipient,
            bytes,
            readable: None,
        }
    }

    fn frame(sender: usize, to: &ControllerName, message: &MeshMessage) -> Self {
        let frame = Frame {
            version: MESH_VERSION,
            from: format!("n{sender}"),
            message: message.clone(),
        };
        OutgoingMessage {
            recipient: format!("peer {to}"),
            bytes: rmp_serde::to_vec(&frame).expect("a frame can be encoded"),
            readable: serde_json::to_string(message).ok(),
        }
    }
}

/// The machine that listens at an address.
fn machine_at(address: &str) -> &str {
    address.split(':').next().unwrap_or(address)
}

/// An HTTP response.
struct HttpResponse {
    status: u16,
    retry_after_s: Option<u64>,
    body: Option<String>,
}

impl HttpResponse {
    /// An error response. Its body is left out: it is a text for people and not part of the fingerprint.
    fn error(status: u16) -> Self {
        HttpResponse {
            status,
            retry_after_s: None,
            body: None,
        }
    }

    fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_string(body).expect("a response can be encoded");
        HttpResponse {
            status,
            retry_after_s: None,
            body: Some(body),
        }
    }

    fn unavailable(retry_after_s: u64) -> Self {
        HttpResponse {
            retry_after_s: Some(retry_after_s),
            ..HttpResponse::error(UNAVAILABLE)
        }
    }

    fn addressed_to(self, recipient: String) -> OutgoingMessage {
        let mut text = self.status.to_string();
        if let Some(seconds) = self.retry_after_s {
            text.push_str(&format!(" retry-after: {seconds}"));
        }
        text.push('\n');
        text.push_str(self.body.as_deref().unwrap_or_default());
        OutgoingMessage {
            recipient,
            bytes: text.into_bytes(),
            readable: None,
        }
    }
}

fn user_response(reply: &UserReply) -> HttpResponse {
    match reply {
        UserReply::Created(status) => HttpResponse::json(CREATED, status),
        UserReply::Status(status) => HttpResponse::json(OK, status),
        UserReply::NotFound => HttpResponse::error(NOT_FOUND),
        UserReply::Invalid(_) => HttpResponse::error(BAD_REQUEST),
        UserReply::Rejected(_) => HttpResponse::error(UNPROCESSABLE),
        UserReply::Busy { retry_after_s } => HttpResponse::unavailable(*retry_after_s),
    }
}

fn heartbeat_response(reply: &HeartbeatReply) -> HttpResponse {
    match reply {
        HeartbeatReply::Response(response) => HttpResponse::json(OK, response),
        HeartbeatReply::Redirect(controller) => {
            let redirect = Redirect {
                controller: controller.as_ref().map(ControllerName::to_string),
            };
            HttpResponse::json(MISDIRECTED, &redirect)
        }
        HeartbeatReply::Malformed => HttpResponse::error(BAD_REQUEST),
        HeartbeatReply::Unavailable => HttpResponse::unavailable(HEARTBEAT_RETRY_S),
    }
}

fn admin_response(reply: &AdminReply) -> HttpResponse {
    match reply.status {
        OK => HttpResponse::json(OK, &reply.body),
        status => HttpResponse::error(status),
    }
}
