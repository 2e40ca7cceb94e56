//! Socket options that detect unresponsive peers.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};

/// Time for which a peer may be silent before the connection counts as broken: for which sent bytes may stay
/// unacknowledged, and, as `TCP_USER_TIMEOUT` also decides when keepalive gives up, for which an idle connection may
/// leave probes unanswered, whatever their number.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for targets. A sound one may be silent for a second or two.
const TARGET_USER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection counts as broken, unless the user timeout ends
/// before.
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

/// Makes a connection that is closed discard what has not been sent yet.
///
/// A request that was given up would otherwise reach its target later, for as long as the link is full. Failures are
/// logged, since the connection is of use without the option.
pub(crate) fn discard_when_closed(socket: &impl std::os::fd::AsFd) {
    if let Err(error) = reset_when_closed(socket) {
        log::debug!(target: "pool", error:% = error; "a closed connection still sends what it holds");
    }
}

/// Makes a connection be reset when it is closed, also by the kernel after the process was killed.
///
/// # Errors
///
/// Error of the operating system if the option cannot be set.
pub(crate) fn reset_when_closed(socket: &impl std::os::fd::AsFd) -> io::Result<()> {
    SockRef::from(socket).set_linger(Some(Duration::ZERO))
}

/// Takes back [`reset_when_closed`], so that the peer receives all that was sent and a regular end.
///
/// # Errors
///
/// Error of the operating system if the option cannot be set.
pub(crate) fn close_regularly(socket: &impl std::os::fd::AsFd) -> io::Result<()> {
    SockRef::from(socket).set_linger(None)
}

/// Sets how long a target may be silent, in place of what [`set_liveness_options`] has set.
///
/// # Errors
///
/// Error of the operating system if the option cannot be set.
pub(crate) fn set_target_timeout(socket: &impl std::os::fd::AsFd) -> io::Result<()> {
    SockRef::from(socket).set_tcp_user_timeout(Some(TARGET_USER_TIMEOUT))
}

/// Sizes and time-outs of a connection whose peer may read slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlowPeerOptions {
    /// Size of the buffer of bytes that are not yet acknowledged.
    pub(crate) send_bytes: usize,
    /// Size of the buffer of bytes that are not yet read.
    pub(crate) receive_bytes: usize,
    /// Time for which sent bytes may stay unacknowledged, or a peer may leave no room for further bytes,
    /// before the connection counts as broken.
    pub(crate) user_timeout: Duration,
}

impl SlowPeerOptions {
    /// Connections of callers. A call ends at its deadline, however little its caller reads. A smaller receive
    /// buffer stalls the bodies of prompts where segments are as large as 64 KiB.
    pub(crate) const CALLER: Self = Self {
        send_bytes: 16 * 1024,
        receive_bytes: 32 * 1024,
        user_timeout: Duration::from_secs(60),
    };
    /// Connections to targets. A target that was cut off is noticed within the timeout, for which one that lives may
    /// leave a body unread. A smaller send buffer stalls large bodies where segments are as large as 64 KiB.
    pub(crate) const TARGET: Self = Self {
        send_bytes: 64 * 1024,
        receive_bytes: 32 * 1024,
        user_timeout: Duration::from_secs(5),
    };

    /// Sets the options on a socket, in place of what [`set_liveness_options`] has set.
    ///
    /// # Errors
    ///
    /// Error of the operating system if an option cannot be set.
    pub(crate) fn apply(self, socket: &impl std::os::fd::AsFd) -> io::Result<()> {
        let socket = SockRef::from(socket);
        socket.set_send_buffer_size(self.send_bytes)?;
        socket.set_recv_buffer_size(self.receive_bytes)?;
        socket.set_tcp_user_timeout(Some(self.user_timeout))
    }
}
