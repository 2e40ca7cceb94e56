//! Connections that were established with a target, idle and in use.

use crate::connection_life::ConnectionLife;

/// Connections that were established with a target under its id, also those that calls hold.
#[derive(Debug, Default)]
pub(crate) struct EstablishedConnections {
    connections: Vec<EstablishedConnection>,
}

#[derive(Debug)]
struct EstablishedConnection {
    life: ConnectionLife,
    /// Start of the target, as it was registered then.
    started_at_unix_ms: u64,
    established_ms: u64,
}

impl EstablishedConnections {
    /// Adds a connection to the start of a target that began at `started_at_unix_ms`.
    pub(crate) fn add(&mut self, life: ConnectionLife, started_at_unix_ms: u64, now_ms: u64) {
        self.connections
            .retain(|connection| connection.life.is_open());
        self.connections.push(EstablishedConnection {
            life,
            started_at_unix_ms,
            established_ms: now_ms,
        });
    }

    /// Returns whether a connection to a start is open that was established before `before_ms`. Only the process that has
    /// accepted it keeps it open.
    pub(crate) fn has_older(&self, started_at_unix_ms: u64, before_ms: u64) -> bool {
        self.connections.iter().any(|connection| {
            connection.life.is_open()
                && connection.started_at_unix_ms == started_at_unix_ms
                && connection.established_ms < before_ms
        })
    }
}
