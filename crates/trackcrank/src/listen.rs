//! Listening on an address that may still be in use for a moment: an ended process may be started again
//! within a fraction of a second, before the one before has let go of its ports. That never ends the
//! process; any other failure does, since waiting does not mend it.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Pause after the first try; it doubles up to the longest.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Connections that may wait to be accepted: the workers of a large site that turn to one node at once.
/// The kernel takes no more than `net.core.somaxconn`.
const ACCEPT_BACKLOG: u32 = 8_192;

/// Binds a listener, trying again for as long as the address is in use.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let mut pause = RETRY_INTERVAL;
    loop {
        match listen(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                tracing::warn!(%address, ?pause, "the address is in use: trying again");
                tokio::time::sleep(pause).await;
                pause = MAX_WAIT.min(pause * 2);
            }
            done => return done,
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of an ended process that have not timed out yet do not hold the port.
    #[cfg(not(windows))]
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A port that is still held by the life before is waited for; an address that is not ours is not.
    #[tokio::test]
    async fn an_address_in_use_is_waited_for_and_a_wrong_one_is_not() {
        let before = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = before.local_addr().expect("bound");
        let waiting = tokio::spawn(bind(address));
        tokio::time::sleep(RETRY_INTERVAL * 4).await;
        assert!(!waiting.is_finished(), "it is in use");
        drop(before);
        let listener = waiting
            .await
            .expect("no panic")
            .expect("bound once it is free");
        assert_eq!(listener.local_addr().expect("bound"), address);
        let elsewhere = "192.0.2.1:0".parse().expect("an address for documentation");
        assert!(bind(elsewhere).await.is_err());
    }
}
