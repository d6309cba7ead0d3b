//! Outgoing messages as the bytes that a process would send.

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

/// Pause in seconds that a worker is told when its heartbeat is not taken.
const REPORT_RETRY_S: u64 = 1;

/// A message that leaves a controller.
pub(crate) struct OutgoingMessage {
    /// To whom it goes; the order of the messages to one recipient counts.
    pub recipient: String,
    /// What is hashed.
    pub bytes: Vec<u8>,
    /// The same for people, where the bytes are not text.
    pub readable: Option<String>,
}

impl OutgoingMessage {
    /// What leaves a controller by an effect. `reporter` is the machine whose heartbeat is answered.
    pub fn from_effect(sender: usize, effect: &Effect, reporter: Option<&str>) -> Self {
        match effect {
            Effect::State { request, .. } => Self::call("state".into(), &request.into()),
            Effect::Cloud { request, .. } => Self::call("cloud".into(), &request.into()),
            Effect::Worker { address, body, .. } => {
                Self::call(format!("worker {}", machine_at(address)), &body.into())
            }
            Effect::Mesh { to, message } => Self::frame(sender, to, message),
            Effect::User { ticket, reply } => user_reply(reply).to(format!("user {ticket:08}")),
            Effect::Heartbeat { reply, .. } => {
                let machine = reporter.unwrap_or("unknown");
                heartbeat_reply(reply).to(format!("worker {machine}"))
            }
            Effect::Admin { ticket, reply } => {
                admin_reply(reply).to(format!("operator {ticket:08}"))
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

/// An answer over HTTP.
struct Answer {
    status: u16,
    retry_after_s: Option<u64>,
    body: Option<String>,
}

impl Answer {
    /// An error: its text is for people and isn't part of the fingerprint.
    fn error(status: u16) -> Self {
        Answer {
            status,
            retry_after_s: None,
            body: None,
        }
    }

    fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_string(body).expect("an answer can be encoded");
        Answer {
            status,
            retry_after_s: None,
            body: Some(body),
        }
    }

    fn busy(retry_after_s: u64) -> Self {
        Answer {
            retry_after_s: Some(retry_after_s),
            ..Answer::error(UNAVAILABLE)
        }
    }

    fn to(self, recipient: String) -> OutgoingMessage {
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

fn user_reply(reply: &UserReply) -> Answer {
    match reply {
        UserReply::Created(status) => Answer::json(CREATED, status),
        UserReply::Status(status) => Answer::json(OK, status),
        UserReply::NotFound => Answer::error(NOT_FOUND),
        UserReply::Invalid(_) => Answer::error(BAD_REQUEST),
        UserReply::Rejected(_) => Answer::error(UNPROCESSABLE),
        UserReply::Busy { retry_after_s } => Answer::busy(*retry_after_s),
    }
}

fn heartbeat_reply(reply: &HeartbeatReply) -> Answer {
    match reply {
        HeartbeatReply::Response(answer) => Answer::json(OK, answer),
        HeartbeatReply::Redirect(controller) => {
            let redirect = Redirect {
                controller: controller.as_ref().map(ControllerName::to_string),
            };
            Answer::json(MISDIRECTED, &redirect)
        }
        HeartbeatReply::Malformed => Answer::error(BAD_REQUEST),
        HeartbeatReply::Unavailable => Answer::busy(REPORT_RETRY_S),
    }
}

fn admin_reply(reply: &AdminReply) -> Answer {
    match reply.status {
        OK => Answer::json(OK, &reply.body),
        status => Answer::error(status),
    }
}
