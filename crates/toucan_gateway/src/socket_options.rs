//! Socket options that detect unresponsive peers.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};

/// Time for which sent bytes may stay unacknowledged before the connection counts as broken.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;

/// Disables Nagle's algorithm on a socket and enables the detection of unresponsive peers.
///
/// # Errors
///
/// Error of the operating system if an option cannot be set.
pub(crate) fn set_liveness_options(socket: &impl std::os::fd::AsFd) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive)
}
