use super::*;
use serde::Serialize;

/// Messages of an earlier protocol version: its heartbeat has fewer fields, and `Gossip` no longer exists.
#[derive(Serialize)]
enum EarlierMessage {
    Alive { incarnation: u64, revision: u64 },
    Gossip(Vec<u8>),
}

#[test]
fn only_complete_frames_of_the_current_version_are_decoded() {
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
    let bytes = rmp_serde::to_vec(&frame).expect("an encoded frame");
    assert_eq!(decode(&bytes).expect("a valid frame"), frame);
    let heartbeat = EarlierMessage::Alive {
        incarnation: 1,
        revision: 2,
    };
    for earlier_message in [heartbeat, EarlierMessage::Gossip(vec![7; 40])] {
        let frame = (MESH_VERSION - 1, "n1", earlier_message);
        let bytes = rmp_serde::to_vec(&frame).expect("an encoded frame");
        assert!(
            matches!(decode(&bytes), Err(FrameError::Version(version)) if version == MESH_VERSION - 1)
        );
    }
    assert!(matches!(
        decode(&bytes[..bytes.len() - 2]),
        Err(FrameError::Malformed(_))
    ));
    assert!(matches!(
        decode(b"GET / HTTP/1.1"),
        Err(FrameError::Malformed(_))
    ));
}
