//! Options by which a connection that went silent is noticed.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};

/// Time without an acknowledgement of sent bytes after which a connection counts as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which a probe is sent.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as broken.
const PROBES: u32 = 2;

/// Makes a socket send small writes at once and notice a peer that no longer answers.
///
/// # Errors
///
/// The system's error if an option cannot be set.
pub(crate) fn set_liveness_options(socket: &impl std::os::fd::AsFd) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keep_alive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keep_alive)
}
