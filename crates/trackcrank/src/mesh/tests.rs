use super::*;
use serde::Serialize;

/// Messages of an earlier version: heartbeats had fewer fields, and one message has been removed.
#[derive(Serialize)]
enum EarlierMessage {
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
    assert_eq!(decode(&bytes).expect("valid"), frame);
    let alive = EarlierMessage::Alive {
        boot: 1,
        revision: 2,
    };
    for earlier in [alive, EarlierMessage::Gossip(vec![7; 40])] {
        let frame = (MESH_VERSION - 1, "n1", earlier);
        let bytes = rmp_serde::to_vec(&frame).expect("a frame");
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
