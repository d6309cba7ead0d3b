//! The mesh: length-delimited MessagePack frames between controller nodes.

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

/// Frames that may wait for a peer: a leader that returns many machines says so of each at once. When
/// the peer cannot be reached the newest are dropped, since everything that is said is said again.
const MAX_QUEUED_FRAMES: usize = 8_192;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Keeps a connection to a peer and returns where to put messages for it.
pub fn connect(me: ControllerName, peer: Peer) -> mpsc::Sender<MeshMessage> {
    let (sender, mut queue) = mpsc::channel::<MeshMessage>(MAX_QUEUED_FRAMES);
    tokio::spawn(async move {
        let patience = Duration::from_millis(1_500);
        loop {
            let stream =
                tokio::time::timeout(patience, TcpStream::connect(peer.mesh_address)).await;
            let Ok(Ok(stream)) = stream else {
                tokio::time::sleep(Duration::from_millis(300)).await;
                while queue.try_recv().is_ok() {}
                continue;
            };
            let _ = stream.set_nodelay(true);
            let mut frames = Framed::new(stream, codec());
            while let Some(message) = queue.recv().await {
                let frame = Frame {
                    version: MESH_VERSION,
                    from: me.to_string(),
                    message,
                };
                let Ok(bytes) = rmp_serde::to_vec(&frame) else {
                    continue;
                };
                let sent = tokio::time::timeout(patience, frames.send(Bytes::from(bytes))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    tracing::debug!(peer = %peer.name, "the connection to a peer has failed");
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

/// Listens for peers.
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
                    tracing::error!(%error, "the mesh cannot accept a connection");
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
    });
    Ok(())
}

/// Reads frames; garbage closes the connection.
async fn read(
    stream: TcpStream,
    from: SocketAddr,
    events: mpsc::Sender<Event>,
    rejected: RejectedMessages,
) {
    let mut frames = Framed::new(stream, codec());
    loop {
        // Peers speak several times a second; a connection that has been silent for long is dead.
        let next = tokio::time::timeout(Duration::from_secs(60), frames.next()).await;
        let bytes = match next {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(Some(Err(error))) if error.kind() != std::io::ErrorKind::InvalidData => {
                tracing::debug!(%from, %error, "a peer's connection has ended");
                return;
            }
            Ok(Some(Err(error))) => {
                tracing::warn!(%from, %error, "garbage on the mesh");
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
                tracing::warn!(%from, %error, "a mesh frame is not read");
                rejected.add(MessageSource::Peer, error.fault());
                return;
            }
        }
    }
}

/// Why a frame is not read.
#[derive(Debug, thiserror::Error)]
enum Unread {
    /// A peer that runs another program: it is as good as silent, and both take over cold.
    #[error("it is of version {0}, ours is {MESH_VERSION}")]
    Version(u16),
    #[error("garbage: {0}")]
    Garbage(#[from] rmp_serde::decode::Error),
}

impl Unread {
    fn fault(&self) -> MessageFault {
        match self {
            Unread::Version(_) => MessageFault::Version,
            Unread::Garbage(_) => MessageFault::Malformed,
        }
    }
}

/// Reads a frame. The version comes first, so it is told apart even where the rest has another shape.
fn decode(bytes: &[u8]) -> Result<Frame, Unread> {
    let (version, ..): (u16, IgnoredAny, IgnoredAny) = rmp_serde::from_slice(bytes)?;
    if version != MESH_VERSION {
        return Err(Unread::Version(version));
    }
    Ok(rmp_serde::from_slice(bytes)?)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde::Serialize;

    /// A frame as an earlier version wrote it: signs of life had fewer fields, and there was a message
    /// that is no more.
    #[derive(Serialize)]
    enum Earlier {
        Alive { boot: u64, revision: u64 },
        Gossip(Vec<u8>),
    }

    #[test]
    fn frames_of_another_version_are_not_misread() {
        let message = MeshMessage::Subscribe {
            partition: 1,
            incarnation: 2,
            term: 3,
            applied: 4,
        };
        let frame = Frame {
            version: MESH_VERSION,
            from: "n1".into(),
            message,
        };
        let bytes = rmp_serde::to_vec(&frame).expect("a frame");
        assert_eq!(decode(&bytes).expect("ours"), frame);
        let alive = Earlier::Alive {
            boot: 1,
            revision: 2,
        };
        for earlier in [alive, Earlier::Gossip(vec![7; 40])] {
            let frame = (MESH_VERSION - 1, "n1", earlier);
            let bytes = rmp_serde::to_vec(&frame).expect("a frame");
            assert!(matches!(decode(&bytes), Err(Unread::Version(v)) if v == MESH_VERSION - 1));
        }
        assert!(matches!(
            decode(&bytes[..bytes.len() - 2]),
            Err(Unread::Garbage(_))
        ));
        assert!(matches!(decode(b"GET / HTTP/1.1"), Err(Unread::Garbage(_))));
    }
}
