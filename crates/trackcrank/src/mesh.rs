//! The mesh: connections between controllers, which carry length-delimited MessagePack frames.

use crate::metrics::RejectedMessages;
use bytes::Bytes;
use controller::rejections::{MessageFault, MessageSource};
use controller::Event;
use futures_util::{SinkExt, StreamExt};
use model::settings::Peer;
use model::ControllerName;
use serde::de::IgnoredAny;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use wire::mesh::{Frame, MeshMessage, MAX_FRAME_BYTES, MESH_VERSION};

/// Capacity of the queue of messages for a peer: the fleet planner sends a message for each machine that
/// is to be released, all at once. When the queue is full, because the peer cannot be reached, new
/// messages are dropped: every message is repeated while it matters.
const MAX_QUEUED_MESSAGES: usize = 8_192;

/// Timeout of connecting and of sending a frame.
const IO_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// A connection that delivers no frame for this long is dead, since peers send several frames a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Spawns a task that keeps a connection to a peer; returns the queue of messages to send.
pub fn connect(own_name: ControllerName, peer: Peer) -> mpsc::Sender<MeshMessage> {
    let (sender, mut queue) = mpsc::channel::<MeshMessage>(MAX_QUEUED_MESSAGES);
    // A detached task, since a peer that cannot be reached must not delay the event loop.
    tokio::spawn(async move {
        loop {
            let stream =
                tokio::time::timeout(IO_TIMEOUT, TcpStream::connect(peer.mesh_address)).await;
            let Ok(Ok(stream)) = stream else {
                tokio::time::sleep(RECONNECT_INTERVAL).await;
                // Messages for an unreachable peer are dropped, see `MAX_QUEUED_MESSAGES`.
                while queue.try_recv().is_ok() {}
                continue;
            };
            let _ = stream.set_nodelay(true);
            let mut frames = Framed::new(stream, codec());
            while let Some(message) = queue.recv().await {
                let frame = Frame {
                    version: MESH_VERSION,
                    from: own_name.to_string(),
                    message,
                };
                let Some(bytes) = encode(&frame) else {
                    continue;
                };
                let sent = tokio::time::timeout(IO_TIMEOUT, frames.send(Bytes::from(bytes))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    tracing::debug!(peer = %peer.name, "mesh connection failed");
                    break;
                }
            }
            if queue.is_closed() {
                return;
            }
        }
    });
    sender
}

/// Encodes a frame. One that is too long is dropped: the peer would close the connection.
fn encode(frame: &Frame) -> Option<Vec<u8>> {
    let bytes = rmp_serde::to_vec(frame).ok()?;
    if bytes.len() > MAX_FRAME_BYTES {
        tracing::error!(bytes = bytes.len(), "oversized mesh frame dropped");
        return None;
    }
    Some(bytes)
}

/// Binds the mesh listener and spawns a task that accepts connections of peers until the process exits.
/// Each connection is read in a detached task of its own, which ends with the connection.
pub async fn listen(
    address: SocketAddr,
    events: mpsc::Sender<Event>,
    rejected_messages: RejectedMessages,
) -> Result<(), std::io::Error> {
    let listener = crate::listen::bind(address).await?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer_address)) => {
                    tokio::spawn(receive_frames(
                        stream,
                        peer_address,
                        events.clone(),
                        rejected_messages.clone(),
                    ));
                }
                Err(error) => {
                    tracing::error!(%error, "cannot accept mesh connection");
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    });
    Ok(())
}

/// Passes the messages of a connection to the event loop until the connection ends; an invalid frame
/// closes it.
async fn receive_frames(
    stream: TcpStream,
    peer_address: SocketAddr,
    events: mpsc::Sender<Event>,
    rejected_messages: RejectedMessages,
) {
    let mut frames = Framed::new(stream, codec());
    loop {
        let next = tokio::time::timeout(IDLE_TIMEOUT, frames.next()).await;
        let bytes = match next {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(Some(Err(error))) if error.kind() != std::io::ErrorKind::InvalidData => {
                tracing::debug!(%peer_address, %error, "mesh connection closed");
                return;
            }
            // The codec reports a frame above its length limit as invalid data.
            Ok(Some(Err(error))) => {
                tracing::warn!(%peer_address, %error, "oversized mesh frame rejected");
                rejected_messages.add(MessageSource::Peer, MessageFault::TooLarge);
                return;
            }
            _ => return,
        };
        match decode(&bytes) {
            Ok(frame) => {
                let from = ControllerName::from(frame.from.as_str());
                if events
                    .send(Event::Mesh {
                        from,
                        message: frame.message,
                    })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => {
                tracing::warn!(%peer_address, %error, "mesh frame rejected");
                rejected_messages.add(MessageSource::Peer, error.fault());
                return;
            }
        }
    }
}

/// Why a frame cannot be decoded.
#[derive(Debug, thiserror::Error)]
enum FrameError {
    /// The peer uses another version of the protocol. The two controllers count each other as unreachable,
    /// and a failover from one to the other is cold: there is no replica of the leader's soft state.
    #[error("protocol version {0}, expected {MESH_VERSION}")]
    Version(u16),
    /// The bytes are not a frame.
    #[error("malformed: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
}

impl FrameError {
    fn fault(&self) -> MessageFault {
        match self {
            FrameError::Version(_) => MessageFault::Version,
            FrameError::Malformed(_) => MessageFault::Malformed,
        }
    }
}

/// Decodes a frame. The version is its first field, so another version is recognised whatever follows.
fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let (version, ..): (u16, IgnoredAny, IgnoredAny) = rmp_serde::from_slice(bytes)?;
    if version != MESH_VERSION {
        return Err(FrameError::Version(version));
    }
    Ok(rmp_serde::from_slice(bytes)?)
}

#[cfg(test)]
mod tests;
