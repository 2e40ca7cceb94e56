//! Connections to targets by way of other gateways.

use std::{io, net::SocketAddrV4, time::Duration};

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
    async fn connect(&self, target: &TargetEntry) -> Result<Tunnel, TunnelFailure>;

    /// Asks the gateway that holds a tunnel to the target for another one, and returns what it answers.
    async fn ask_again(&self, holder: &TunnelHolder, target: &TargetEntry) -> TunnelAnswer;
}

/// A connection to a target by way of another gateway.
#[derive(Debug)]
pub(crate) struct Tunnel {
    /// Connection to the other gateway, which passes all bytes on.
    pub(crate) stream: TcpStream,
    /// The other gateway.
    pub(crate) holder: TunnelHolder,
}

/// The process through which a tunnel goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TunnelHolder {
    /// Its VM.
    pub(crate) vm: VmName,
    /// Random identifier of its start.
    pub(crate) start: u64,
}

/// What a gateway answers that was asked for a tunnel to a target.
#[derive(Debug)]
pub(crate) enum TunnelAnswer {
    /// It is connected to the target.
    Connected(Tunnel),
    /// It can connect to the target, but opens no tunnel.
    TargetReachable,
    /// It cannot connect to the target.
    TargetUnreachable,
    /// It has not tried.
    NotTried,
    /// It did not answer in time, or has ended.
    NoAnswer,
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

    async fn connect(&self, target: &TargetEntry) -> Result<Tunnel, TunnelFailure> {
        let mut failure = TunnelFailure::NoTunnel;
        for vm in self.peers_to_ask() {
            let Some(holder) = self.holder(vm) else {
                continue;
            };
            let answer = self.ask(&holder, target).await;
            if let TunnelAnswer::Connected(tunnel) = answer {
                return Ok(tunnel);
            }
            log::debug!(target: "pool", vm = holder.vm.as_str(), name = target.name.as_str(), answer:? = answer; "another gateway does not connect to the target");
            let now_ms = self.now_ms();
            let mut peers = self.tunnel_peers.borrow_mut();
            peers.record_failure(&holder.vm, now_ms);
            if matches!(answer, TunnelAnswer::TargetUnreachable) {
                failure = TunnelFailure::TargetUnreachable;
            }
        }
        Err(failure)
    }

    async fn ask_again(&self, holder: &TunnelHolder, target: &TargetEntry) -> TunnelAnswer {
        self.ask(holder, target).await
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

    /// Returns the process that runs on a VM; [`None`] if none is registered.
    fn holder(&self, vm: VmName) -> Option<TunnelHolder> {
        let start = self.state.borrow().members.start_of(&vm)?;
        Some(TunnelHolder { vm, start })
    }

    /// Asks a process for a tunnel to a target.
    async fn ask(&self, holder: &TunnelHolder, target: &TargetEntry) -> TunnelAnswer {
        let Some((address, message)) = self.tunnel_request(holder, target) else {
            return TunnelAnswer::NoAnswer;
        };
        let Ok(mut stream) = connect_tcp(address, CONNECT_TIMEOUT, None).await else {
            return TunnelAnswer::NoAnswer;
        };
        discard_when_closed(&stream);
        match timeout(ANSWER_TIMEOUT, exchange(&mut stream, &message)).await {
            Ok(Ok(TunnelStatus::Connected)) => TunnelAnswer::Connected(Tunnel {
                stream,
                holder: holder.clone(),
            }),
            Ok(Ok(TunnelStatus::TargetReachable)) => TunnelAnswer::TargetReachable,
            Ok(Ok(TunnelStatus::TargetUnreachable)) => TunnelAnswer::TargetUnreachable,
            Ok(Ok(TunnelStatus::TargetUnknown | TunnelStatus::Unavailable)) => {
                TunnelAnswer::NotTried
            }
            Ok(Err(_)) | Err(_) => TunnelAnswer::NoAnswer,
        }
    }

    /// Returns the address of a process and the request to it; [`None`] if it is no longer registered.
    fn tunnel_request(
        &self,
        holder: &TunnelHolder,
        target: &TargetEntry,
    ) -> Option<(SocketAddrV4, Vec<u8>)> {
        let address = {
            let mut state = self.state.borrow_mut();
            let member = state.members.get_mut(&holder.vm)?;
            (member.entry.start == holder.start).then_some(member.entry.address)?
        };
        let request = TunnelRequest {
            receiver_start: holder.start,
            target: target.name.clone(),
            started_at_unix_ms: target.started_at_unix_ms,
        };
        let message = self.encode_datagram(PeerMessage::OpenTunnel(request))?;
        Some((address, message))
    }
}

/// Sends a request with its length and reads the answer.
async fn exchange(stream: &mut TcpStream, message: &[u8]) -> io::Result<TunnelStatus> {
    let length = u16::try_from(message.len()).map_err(io::Error::other)?;
    let bytes = [&length.to_be_bytes(), message].concat();
    stream.write_all(&bytes).await?;
    let status = stream.read_u8().await?;
    TunnelStatus::try_from(status).map_err(io::Error::other)
}
