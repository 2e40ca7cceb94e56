//! Request to another gateway to connect to a target, and its answer.

use displaydoc::Display;
use toucan_types::TargetName;

/// Asks a gateway for a connection to a target. The gateway finds the address in what it has read itself, so it
/// connects to nothing but targets.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TunnelRequest {
    /// Start of the process that is asked.
    pub receiver_start: u64,
    /// Target.
    pub target: TargetName,
    /// Unix time of the target's start.
    pub started_at_unix_ms: u64,
}

/// Answer to a [`TunnelRequest`], one byte. After [`Self::Connected`] all bytes are those of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum TunnelStatus {
    /// The gateway is connected to the target.
    Connected = 1,
    /// The gateway cannot connect to the target.
    TargetUnreachable = 2,
    /// The gateway does not know the target in this start.
    TargetUnknown = 3,
    /// The gateway has no room, is about to stop, or is cut off itself.
    Unavailable = 4,
    /// The gateway is about to stop, but can connect to the target. To gateways that do not know this status it says as
    /// little as [`Self::Unavailable`].
    TargetReachable = 5,
}

/// {0} stands for no status of a tunnel
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct UnknownTunnelStatus(pub u8);

impl std::error::Error for UnknownTunnelStatus {}

impl From<TunnelStatus> for u8 {
    fn from(status: TunnelStatus) -> Self {
        status as Self
    }
}

impl TryFrom<u8> for TunnelStatus {
    type Error = UnknownTunnelStatus;

    fn try_from(byte: u8) -> Result<Self, UnknownTunnelStatus> {
        match byte {
            1 => Ok(Self::Connected),
            2 => Ok(Self::TargetUnreachable),
            3 => Ok(Self::TargetUnknown),
            4 => Ok(Self::Unavailable),
            5 => Ok(Self::TargetReachable),
            _ => Err(UnknownTunnelStatus(byte)),
        }
    }
}
