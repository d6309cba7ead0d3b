//! Listeners on an address that may still be in use for a moment: a restarted process may start before
//! the kernel has released the ports of its predecessor. Such a failure is retried; any other one is
//! returned, since a retry would not help.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Pause after the first attempt; it doubles up to [`MAX_WAIT`].
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Longest pause between two attempts.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Connections that may wait to be accepted: the workers of a large site that all connect to one controller.
/// The kernel takes no more than `net.core.somaxconn`.
const ACCEPT_BACKLOG: u32 = 8_192;

/// Binds a listener; retries for as long as the address is in use.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let mut pause = RETRY_INTERVAL;
    loop {
        match listen(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                tracing::warn!(%address, ?pause, "address in use, retrying");
                tokio::time::sleep(pause).await;
                pause = MAX_WAIT.min(pause * 2);
            }
            outcome => return outcome,
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of a former process that have not timed out yet must not block the port.
    #[cfg(not(windows))]
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

#[cfg(test)]
mod tests;
