//! What comes at once at a site of 8,000 machines is neither lost nor refused.

use controller::Event;
use model::settings::Peer;
use model::{ControllerName, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use trackcrank::inbound::{request_queue, Inbound};
use trackcrank::metrics::Metrics;
use trackcrank::{listen, mesh};
use wire::mesh::MeshMessage;
use wire::workers::Heartbeat;

/// Twice the machines of the largest site.
const MACHINES: usize = 8_000;
/// Connections that fit the descriptors of a test process; the kernel's own bound may be lower.
const CONNECTIONS: usize = 800;
const PATIENCE: Duration = Duration::from_millis(900);

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}

/// A leader says of each machine that it is to be returned, in one step.
#[tokio::test]
async fn a_message_for_each_machine_reaches_a_peer() {
    let address = free_address();
    let (events, mut received) = mpsc::channel(64);
    let metrics = Metrics::new().expect("metrics");
    mesh::listen(address, events, metrics.rejected().clone())
        .await
        .expect("bound");
    let name = ControllerName::from("n1");
    let peer = Peer {
        name,
        zone: ZoneName::from("a"),
        mesh_address: address,
    };
    let sender = mesh::connect(ControllerName::from("n0"), peer);
    for number in 0..MACHINES {
        let message = MeshMessage::ReleaseMachine {
            machine: format!("host-{number:06}"),
            to: None,
        };
        assert!(
            sender.try_send(message).is_ok(),
            "message {number} is dropped"
        );
    }
    for number in 0..MACHINES {
        let event = tokio::time::timeout(Duration::from_secs(20), received.recv()).await;
        let Ok(Some(Event::Mesh { message, .. })) = event else {
            panic!("message {number}")
        };
        let machine = format!("host-{number:06}");
        assert_eq!(message, MeshMessage::ReleaseMachine { machine, to: None });
    }
}

/// Workers connect while the process has not run for a moment.
#[tokio::test]
async fn connections_wait_to_be_accepted() {
    let listener = listen::bind("127.0.0.1:0".parse().expect("an address"))
        .await
        .expect("bound");
    let address = listener.local_addr().expect("bound");
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        let connection = tokio::time::timeout(PATIENCE, TcpStream::connect(address)).await;
        assert!(
            matches!(connection, Ok(Ok(_))),
            "connection {number} is not taken"
        );
        connections.push(connection);
    }
}

fn report(number: usize) -> Heartbeat {
    Heartbeat {
        machine: format!("host-{number:06}"),
        address: "10.0.0.1:9000".into(),
        machine_type: "t4".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        seq: 1,
        token: 1,
        notice_s: None,
        tasks: Vec::new(),
    }
}

/// All machines report while the loop is busy.
#[test]
fn reports_of_all_machines_wait_for_the_loop() {
    let (queue, _requests) = request_queue();
    for number in 0..MACHINES {
        let (answer, _) = oneshot::channel();
        let waits = queue.try_send(Inbound::Heartbeat(Box::new(report(number)), answer));
        assert!(waits.is_ok(), "report {number} is refused");
    }
}
