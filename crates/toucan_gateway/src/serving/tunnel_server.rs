//! Connects to targets for gateways that are cut off from them.

use std::{
    io::{self, ErrorKind},
    rc::Rc,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    Gateway, Platform,
    config::TargetEntry,
    paths::{Path, TunnelRequest, TunnelStatus},
    peers::{Datagram, PeerMessage},
    socket_options::{reset_when_closed, set_liveness_options},
    tasks::peer_exchange::sender_key,
};

use super::{answer_end::SETTLE_TIME, tunnel_relay::relay};

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Timeout for reading a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for connecting to the target.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Maximum size of a request.
const MAX_REQUEST_BYTES: u16 = 1_024;
/// Maximum number of connections for other gateways, if the settings state no limit on open files.
const DEFAULT_MAX_TUNNELS: u32 = 256;
/// Part of the open files that connections for other gateways may take. Each takes two.
const OPEN_FILES_PER_TUNNEL: u32 = 8;

/// Serves the gateways that ask for connections to targets, until the process ends.
pub(crate) async fn serve_tunnels<P: Platform>(gateway: Rc<Gateway<P>>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                spawn_local(serve(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                log::warn!(target: "listener", name = "tunnels", error:% = error; "a connection was not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<P: Platform>(gateway: Rc<Gateway<P>>, mut caller: TcpStream) {
    let has_room = gateway.open_tunnels.get() < max_tunnels(&gateway);
    let _counted = gateway.open_tunnels.count();
    if let Err(error) = set_liveness_options(&caller) {
        log::debug!(target: "listener", name = "tunnels", error:% = error; "socket options cannot be set, the connection is closed");
        return;
    }
    let read = timeout(REQUEST_TIMEOUT, read_request(&gateway, &mut caller)).await;
    let Ok(Ok(request)) = read else {
        metrics::counter!("toucan_refused_tunnels_total", "reason" => "unreadable").increment(1);
        return;
    };
    let connected = if has_room {
        connect(&gateway, &request).await
    } else {
        Err(TunnelStatus::Unavailable)
    };
    match connected {
        Ok(target) => {
            metrics::counter!("toucan_tunnels_total").increment(1);
            if let Err(error) = open(&mut caller).await {
                log::debug!(target: "listener", name = "tunnels", error:% = error; "the asking gateway cannot be told of its tunnel");
                return;
            }
            relay(&caller, &target).await;
        }
        Err(status) => {
            metrics::counter!("toucan_refused_tunnels_total", "reason" => "no_connection")
                .increment(1);
            // The asking gateway takes a closed connection as a refusal too.
            let _sent = caller.write_u8(status.into()).await;
        }
    }
}

/// Tells the asking gateway that it is connected to the target. From here on its connection is reset whenever it is
/// closed, also by the end of this process.
async fn open(caller: &mut TcpStream) -> io::Result<()> {
    reset_when_closed(caller)?;
    caller.write_u8(TunnelStatus::Connected.into()).await
}

fn max_tunnels<P: Platform>(gateway: &Gateway<P>) -> u32 {
    let max_open_files = gateway.settings.resources.max_open_files;
    max_open_files.map_or(DEFAULT_MAX_TUNNELS, |files| files / OPEN_FILES_PER_TUNNEL)
}

/// Reads the request of a registered gateway to this process.
async fn read_request<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    caller: &mut TcpStream,
) -> io::Result<TunnelRequest> {
    let length = caller.read_u16().await?;
    if length > MAX_REQUEST_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; usize::from(length)];
    caller.read_exact(&mut bytes).await?;
    let decoded = Datagram::decode(&bytes, |vm, start| sender_key(gateway, vm, start));
    match decoded.map_err(io::Error::other)?.message {
        PeerMessage::OpenTunnel(request) if request.receiver_start == gateway.start_id() => {
            Ok(request)
        }
        _ => Err(ErrorKind::InvalidData.into()),
    }
}

async fn connect<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &TunnelRequest,
) -> Result<TcpStream, TunnelStatus> {
    let target = known_target(gateway, request).ok_or(TunnelStatus::TargetUnknown)?;
    // A gateway that is cut off itself does not ask a third one, so no request goes round in circles.
    if gateway.pool.path_to(&target) == Path::Tunnel {
        return Err(TunnelStatus::Unavailable);
    }
    let connected = gateway
        .pool
        .connect_tcp_directly(&target, CONNECT_TIMEOUT_MS);
    let stream = connected
        .await
        .map_err(|_failure| TunnelStatus::TargetUnreachable)?;
    if !gateway.refuses_new_calls() {
        return Ok(stream);
    }
    // The asking gateway may want to know whether the target has outlived an answer.
    sleep(SETTLE_TIME).await;
    Err(if is_open(&stream) {
        TunnelStatus::TargetReachable
    } else {
        TunnelStatus::TargetUnreachable
    })
}

/// Returns whether the peer has not closed a connection on which it has sent nothing.
fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

fn known_target<P: Platform>(
    gateway: &Gateway<P>,
    request: &TunnelRequest,
) -> Option<Rc<TargetEntry>> {
    let state = gateway.state.borrow();
    let target = state.targets.get(&request.target)?;
    let is_same_start = target.entry.started_at_unix_ms == request.started_at_unix_ms;
    is_same_start.then(|| Rc::clone(&target.entry))
}
