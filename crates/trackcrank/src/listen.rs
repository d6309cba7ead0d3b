//! Binds TCP listeners. An address may still be in use for a moment, since a restarted process may start
//! before the kernel has released the ports of its predecessor: such a failure is retried. Any other one
//! is returned, since a retry would not help.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Pause after the first attempt; it doubles after each further one, up to [`MAX_RETRY_INTERVAL`].
const INITIAL_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Longest pause between two attempts.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of the queue of connections that are not accepted yet: the workers of a large site may all
/// connect to one controller at once. The kernel caps it at `net.core.somaxconn`.
const ACCEPT_BACKLOG: u32 = 8_192;

/// Binds a listener; retries while the address is in use.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let mut retry_interval = INITIAL_RETRY_INTERVAL;
    loop {
        match try_bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                tracing::warn!(%address, ?retry_interval, "address in use, retrying");
                tokio::time::sleep(retry_interval).await;
                retry_interval = MAX_RETRY_INTERVAL.min(retry_interval * 2);
            }
            result => return result,
        }
    }
}

fn try_bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of a former process that have not timed out yet would block the port otherwise.
    #[cfg(not(windows))]
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

#[cfg(test)]
mod tests;
