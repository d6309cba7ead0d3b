//! The mesh: length-delimited MessagePack frames between controllers.

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
use wire::mesh::{Frame, MeshMessage, MAX_FRAME, MESH_VERSION};

/// Frames that may be queued for a peer: the fleet planner sends a message for each machine that is to
/// be released, all at once. When the peer cannot be reached the newest are dropped, since every
/// message is repeated while it matters.
const MAX_QUEUED_FRAMES: usize = 8_192;

/// Timeout of connecting and of sending a frame.
const IO_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// A connection without a frame for this long is dead: peers send several a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Starts a task that keeps a connection to a peer; returns the queue of messages for it.
pub fn connect(own_name: ControllerName, peer: Peer) -> mpsc::Sender<MeshMessage> {
    let (sender, mut queue) = mpsc::channel::<MeshMessage>(MAX_QUEUED_FRAMES);
    // Detached: a peer that cannot be reached must not delay the event loop.
    tokio::spawn(async move {
        loop {
            let stream =
                tokio::time::timeout(IO_TIMEOUT, TcpStream::connect(peer.mesh_address)).await;
            let Ok(Ok(stream)) = stream else {
                tokio::time::sleep(RECONNECT_INTERVAL).await;
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
                let Ok(bytes) = rmp_serde::to_vec(&frame) else {
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

/// Binds the mesh listener and starts to accept peers, for as long as the process runs. Each connection
/// is read in a detached task, which ends with the connection.
pub async fn listen(
    address: SocketAddr,
    events: mpsc::Sender<Event>,
    rejected: RejectedMessages,
) -> Result<(), std::io::Error> {
    let listener = crate::listen::bind(address).await?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    tokio::spawn(read(stream, from, events.clone(), rejected.clone()));
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

/// Reads frames until the connection ends; an invalid frame closes it.
async fn read(
    stream: TcpStream,
    from: SocketAddr,
    events: mpsc::Sender<Event>,
    rejected: RejectedMessages,
) {
    let mut frames = Framed::new(stream, codec());
    loop {
        let next = tokio::time::timeout(IDLE_TIMEOUT, frames.next()).await;
        let bytes = match next {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(Some(Err(error))) if error.kind() != std::io::ErrorKind::InvalidData => {
                tracing::debug!(%from, %error, "mesh connection closed");
                return;
            }
            Ok(Some(Err(error))) => {
                tracing::warn!(%from, %error, "invalid frame on the mesh");
                rejected.add(MessageSource::Peer, MessageFault::TooLarge);
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
                tracing::warn!(%from, %error, "mesh frame rejected");
                rejected.add(MessageSource::Peer, error.fault());
                return;
            }
        }
    }
}

/// Why a frame is rejected.
#[derive(Debug, thiserror::Error)]
enum FrameError {
    /// The peer runs another version. It counts as unreachable, and a failover between the two is cold.
    #[error("version {0}, expected {MESH_VERSION}")]
    Version(u16),
    /// The bytes are no frame.
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

/// Decodes a frame. The version comes first, so another one is recognised whatever follows it.
fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let (version, ..): (u16, IgnoredAny, IgnoredAny) = rmp_serde::from_slice(bytes)?;
    if version != MESH_VERSION {
        return Err(FrameError::Version(version));
    }
    Ok(rmp_serde::from_slice(bytes)?)
}

#[cfg(test)]
mod tests;
