//! Connections to targets by way of other gateways.

use std::{io, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use toucan_types::VmName;

use crate::{
    Gateway, Platform,
    config::TargetEntry,
    http_connection::connect_tcp,
    paths::{TunnelPeer, TunnelRequest, TunnelStatus},
    peers::PeerMessage,
    socket_options::discard_when_closed,
};

/// Timeout for connecting to another gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for its answer, in which it connects to the target.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Connects to targets by way of other gateways.
pub(crate) trait TunnelConnector {
    /// Returns whether there is a gateway that may help.
    fn has_tunnel(&self) -> bool;

    /// Returns a connection to another gateway which is joined to one to the target.
    ///
    /// # Errors
    ///
    /// [`TunnelFailure`] if there is none.
    async fn connect(&self, target: &TargetEntry) -> Result<TcpStream, TunnelFailure>;
}

/// Why there is no connection by way of another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelFailure {
    /// Other gateways cannot connect to the target either.
    TargetUnreachable,
    /// No other gateway has tried.
    NoTunnel,
}

impl<P: Platform> TunnelConnector for Gateway<P> {
    fn has_tunnel(&self) -> bool {
        let now_ms = self.now_ms();
        !self
            .state
            .borrow()
            .members
            .tunnel_peers(&self.location, now_ms)
            .is_empty()
    }

    async fn connect(&self, target: &TargetEntry) -> Result<TcpStream, TunnelFailure> {
        let mut failure = TunnelFailure::NoTunnel;
        for vm in self.peers_to_ask() {
            match self.connect_by(&vm, target).await {
                Ok(stream) => return Ok(stream),
                Err(found) => {
                    log::debug!(target: "pool", vm = vm.as_str(), name = target.name.as_str(), failure:? = found; "another gateway does not connect to the target");
                    let now_ms = self.now_ms();
                    self.tunnel_peers.borrow_mut().record_failure(&vm, now_ms);
                    if found == TunnelFailure::TargetUnreachable {
                        failure = found;
                    }
                }
            }
        }
        Err(failure)
    }
}

impl<P: Platform> Gateway<P> {
    /// Returns the gateways to ask for a connection to a target, best first.
    fn peers_to_ask(&self) -> Vec<VmName> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let peers: Vec<TunnelPeer> = state.members.tunnel_peers(&self.location, now_ms);
        self.tunnel_peers
            .borrow()
            .choose(&self.location.vm, &peers, now_ms)
    }

    async fn connect_by(
        &self,
        vm: &VmName,
        target: &TargetEntry,
    ) -> Result<TcpStream, TunnelFailure> {
        let (address, receiver_start) = {
            let mut state = self.state.borrow_mut();
            let member = state.members.get_mut(vm).ok_or(TunnelFailure::NoTunnel)?;
            (member.entry.address, member.entry.start)
        };
        let request = TunnelRequest {
            receiver_start,
            target: target.name.clone(),
            started_at_unix_ms: target.started_at_unix_ms,
        };
        let message = self
            .encode_datagram(PeerMessage::OpenTunnel(request))
            .ok_or(TunnelFailure::NoTunnel)?;
        let stream = connect_tcp(address, CONNECT_TIMEOUT, None).await;
        let mut stream = stream.map_err(|_error| TunnelFailure::NoTunnel)?;
        discard_when_closed(&stream);
        let asked = timeout(ANSWER_TIMEOUT, ask(&mut stream, &message)).await;
        match asked {
            Ok(Ok(TunnelStatus::Connected)) => Ok(stream),
            Ok(Ok(TunnelStatus::TargetUnreachable)) => Err(TunnelFailure::TargetUnreachable),
            _ => Err(TunnelFailure::NoTunnel),
        }
    }
}

/// Sends a request with its length and reads the answer.
async fn ask(stream: &mut TcpStream, message: &[u8]) -> io::Result<TunnelStatus> {
    let length = u16::try_from(message.len()).map_err(io::Error::other)?;
    let bytes = [&length.to_be_bytes(), message].concat();
    stream.write_all(&bytes).await?;
    let status = stream.read_u8().await?;
    TunnelStatus::try_from(status).map_err(io::Error::other)
}
