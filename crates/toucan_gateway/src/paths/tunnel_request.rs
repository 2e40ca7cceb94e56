//! Request to another gateway to connect to a target, and its answer.

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
}

impl TunnelStatus {
    /// Returns the byte that stands for the status.
    #[must_use]
    pub const fn to_byte(self) -> u8 {
        self as u8
    }

    /// Returns the status that a byte stands for; [`None`] if there is none.
    #[must_use]
    pub const fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            1 => Some(Self::Connected),
            2 => Some(Self::TargetUnreachable),
            3 => Some(Self::TargetUnknown),
            4 => Some(Self::Unavailable),
            _ => None,
        }
    }
}
