//! Standby connection of a stream.

use tokio::task::JoinHandle;

use crate::EngineEvent;
use crate::token_reader::{TokenReader, TokenReaderError};

/// A second connection to a stream that has not delivered an event for some time.
pub(crate) enum Standby {
    /// Not attempted.
    None,
    /// Being opened.
    Opening(Opening),
    /// Open.
    Open(Box<TokenReader>),
    /// Attempted without success.
    Failed,
}

/// A task that opens a connection; aborted on drop.
pub(crate) struct Opening(JoinHandle<Option<TokenReader>>);

impl Drop for Opening {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Standby {
    /// Starts to open a standby connection.
    pub(crate) fn open(
        opening: impl Future<Output = Option<TokenReader>> + Send + 'static,
    ) -> Self {
        Self::Opening(Opening(tokio::spawn(opening)))
    }

    /// Reads the next event of the standby connection; pends forever if there is no connection.
    ///
    /// Cancel safe: no event is lost.
    pub(crate) async fn read(&mut self) -> Result<EngineEvent, TokenReaderError> {
        if let Self::Opening(opening) = self {
            let opened = (&mut opening.0).await.ok().flatten();
            *self = opened.map_or(Self::Failed, |reader| Self::Open(Box::new(reader)));
        }
        match self {
            Self::Open(reader) => reader.read().await,
            Self::None | Self::Opening(_) | Self::Failed => std::future::pending().await,
        }
    }

    /// Takes the connection if it is open.
    pub(crate) fn take(&mut self) -> Option<TokenReader> {
        match std::mem::replace(self, Self::None) {
            Self::Open(reader) => Some(*reader),
            Self::None | Self::Opening(_) | Self::Failed => None,
        }
    }
}
