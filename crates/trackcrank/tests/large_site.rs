//! Bursts of messages and connections at a site of 8,000 machines fit the queues: none is lost or refused.

use controller::Event;
use model::settings::Peer;
use model::{ControllerName, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use trackcrank::inbound::{request_queue, InboundRequest};
use trackcrank::metrics::Metrics;
use trackcrank::{listen, mesh};
use wire::mesh::MeshMessage;
use wire::workers::Heartbeat;

/// Twice the machines of the largest site.
const MACHINES: usize = 8_000;
/// Connections for which a test process has enough file descriptors. The kernel's own limit of the accept
/// queue may be lower.
const CONNECTIONS: usize = 800;
/// Timeout of each connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}

/// The fleet planner has all machines returned to the cloud in one step.
#[tokio::test]
async fn one_message_for_each_machine_sent_at_once_reaches_the_peer() {
    let address = free_address();
    let (events, mut received) = mpsc::channel(64);
    let metrics = Metrics::new().expect("metrics");
    mesh::listen(address, events, metrics.rejected_messages().clone())
        .await
        .expect("bound");
    let name = ControllerName::from("n1");
    let peer = Peer {
        name,
        zone: ZoneName::from("a"),
        mesh_address: address,
    };
    let queue = mesh::connect(ControllerName::from("n0"), peer);
    for number in 0..MACHINES {
        let message = MeshMessage::ReleaseMachine {
            machine: format!("host-{number:06}"),
            to: None,
        };
        assert!(
            queue.try_send(message).is_ok(),
            "message {number} was dropped"
        );
    }
    for number in 0..MACHINES {
        let event = tokio::time::timeout(Duration::from_secs(20), received.recv()).await;
        let Ok(Some(Event::Mesh { message, .. })) = event else {
            panic!("message {number} did not arrive")
        };
        let machine = format!("host-{number:06}");
        assert_eq!(message, MeshMessage::ReleaseMachine { machine, to: None });
    }
}

/// Workers connect while the server accepts no connections for a moment.
#[tokio::test]
async fn connections_queue_until_they_are_accepted() {
    let listener = listen::bind("127.0.0.1:0".parse().expect("an address"))
        .await
        .expect("bound");
    let address = listener.local_addr().expect("bound");
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        assert!(
            matches!(connection, Ok(Ok(_))),
            "connection {number} was not established"
        );
        connections.push(connection);
    }
}

fn heartbeat(number: usize) -> Heartbeat {
    Heartbeat {
        machine: format!("host-{number:06}"),
        address: "10.0.0.1:9000".into(),
        machine_type: "t4".into(),
        zone: "a".into(),
        spot: false,
        worker_epoch: 1,
        sequence_number: 1,
        token: 1,
        reclaimed_in_s: None,
        tasks: Vec::new(),
    }
}

/// All machines send a heartbeat while the event loop is busy.
#[test]
fn request_queue_holds_a_heartbeat_of_each_machine() {
    let (queue, _requests) = request_queue();
    for number in 0..MACHINES {
        let (reply_sender, _) = oneshot::channel();
        let request = InboundRequest::Heartbeat(Box::new(heartbeat(number)), reply_sender);
        assert!(
            queue.try_send(request).is_ok(),
            "heartbeat {number} was rejected"
        );
    }
}
