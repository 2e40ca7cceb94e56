//! Token stream of one request.

use std::sync::Arc;

use tokio::time::{Duration, Instant, sleep_until};
use toucan_types::RequestId;

use crate::engine_client::open_stream;
use crate::http_target::HttpTarget;
use crate::standby::Standby;
use crate::token_reader::{TokenReader, TokenReaderError};
use crate::{EngineEvent, StreamError};

/// Token stream of one request, in order, independent of the connection that delivers the events.
///
/// If no event arrives within the standby delay, the stream is also requested over a standby
/// connection. The attempt is repeated with a new connection after each further delay until one is
/// open, because a standby may be refused or become unresponsive like the first connection. The
/// connection that delivers the next event is kept and the other one closed, so an unresponsive
/// connection is replaced while a connection to a slow engine is kept.
pub struct TokenStream {
    target: Arc<HttpTarget>,
    request: RequestId,
    reader: TokenReader,
    standby: Standby,
    /// Event that was read before the stream was returned to the caller.
    first: Option<EngineEvent>,
    next_token: u64,
    last_event_at: Instant,
    /// Time of the last attempt to open a standby connection, or of the last event if later.
    last_attempt_at: Instant,
}

/// What occurred first.
enum NextEvent {
    Primary(Result<EngineEvent, TokenReaderError>),
    Standby(Result<EngineEvent, TokenReaderError>),
    Deadline,
}

impl TokenStream {
    pub(crate) fn new(
        target: Arc<HttpTarget>,
        request: RequestId,
        reader: TokenReader,
        next_token: u64,
    ) -> Self {
        Self {
            target,
            request,
            reader,
            standby: Standby::None,
            first: None,
            next_token,
            last_event_at: Instant::now(),
            last_attempt_at: Instant::now(),
        }
    }

    pub(crate) fn with_first_event(mut self, first: EngineEvent) -> Self {
        self.first = Some(first);
        self
    }

    /// Returns the index of the next token.
    #[must_use]
    pub const fn next_token(&self) -> u64 {
        self.next_token
    }

    /// Waits for the next event. Cancel safe: no event is lost.
    ///
    /// Must not be called again after [`EngineEvent::Done`].
    ///
    /// # Errors
    ///
    /// [`StreamError`] if the stream ends early; it may still be running at the engine.
    pub async fn next(&mut self) -> Result<EngineEvent, StreamError> {
        if let Some(first) = self.first.take()
            && let Some(event) = self.accept(first)?
        {
            return Ok(event);
        }
        loop {
            let deadline = self.next_deadline();
            let next = tokio::select! {
                biased;
                event = self.reader.read() => NextEvent::Primary(event),
                event = self.standby.read() => NextEvent::Standby(event),
                () = sleep_until(deadline) => NextEvent::Deadline,
            };
            let event = match next {
                NextEvent::Primary(Ok(event)) => event,
                NextEvent::Primary(Err(error)) => {
                    self.fail_over_broken(error)?;
                    continue;
                }
                NextEvent::Standby(Ok(event)) => {
                    self.fail_over_silent();
                    event
                }
                NextEvent::Standby(Err(_)) => {
                    self.standby = Standby::Failed;
                    continue;
                }
                NextEvent::Deadline => {
                    self.open_standby()?;
                    continue;
                }
            };
            if let Some(event) = self.accept(event)? {
                return Ok(event);
            }
        }
    }

    /// Returns the time at which the stream fails unless an event arrives.
    fn read_deadline(&self) -> Instant {
        self.last_event_at + Duration::from_millis(self.target.settings().read_timeout_ms)
    }

    /// Returns the time at which a standby connection is opened or the stream fails unless an event
    /// arrives.
    ///
    /// An open standby is kept, because the first connection may break while a new one is opened.
    fn next_deadline(&self) -> Instant {
        if matches!(self.standby, Standby::Open(_)) {
            return self.read_deadline();
        }
        let next_attempt_at =
            self.last_attempt_at + Duration::from_millis(self.target.settings().standby_after_ms);
        next_attempt_at.min(self.read_deadline())
    }

    /// Records progress and checks the order; returns [`None`] for a token already delivered.
    fn accept(&mut self, event: EngineEvent) -> Result<Option<EngineEvent>, StreamError> {
        self.last_event_at = Instant::now();
        self.last_attempt_at = self.last_event_at;
        if !matches!(self.standby, Standby::None) {
            self.standby = Standby::None;
        }
        let EngineEvent::Token { index, .. } = event else {
            return Ok(Some(event));
        };
        if index < self.next_token {
            return Ok(None);
        }
        if index > self.next_token {
            metrics::counter!("toucan_engine_stream_gaps_total").increment(1);
            return Err(self.malformed());
        }
        self.next_token += 1;
        Ok(Some(event))
    }

    fn fail_over_broken(&mut self, error: TokenReaderError) -> Result<(), StreamError> {
        if error == TokenReaderError::Malformed {
            return Err(self.malformed());
        }
        let Some(reader) = self.standby.take() else {
            let next_token = self.next_token;
            return Err(StreamError::Broken { next_token });
        };
        self.reader = reader;
        Ok(())
    }

    fn fail_over_silent(&mut self) {
        let Some(reader) = self.standby.take() else {
            return;
        };
        metrics::counter!("toucan_engine_links_silent_total").increment(1);
        self.target.abandon_connections();
        self.reader = reader;
    }

    fn open_standby(&mut self) -> Result<(), StreamError> {
        let now = Instant::now();
        if now >= self.read_deadline() {
            let next_token = self.next_token;
            return Err(StreamError::Silent { next_token });
        }
        if matches!(self.standby, Standby::Open(_)) {
            // The standby was opened while the previous deadline was awaited.
            return Ok(());
        }
        self.last_attempt_at = now;
        let target = Arc::clone(&self.target);
        let request = self.request.clone();
        let from_token = self.next_token;
        // Pooled connections may be as unresponsive as the first one.
        target.abandon_connections();
        self.standby =
            Standby::open(async move { open_stream(&target, &request, from_token).await.ok() });
        Ok(())
    }

    fn malformed(&self) -> StreamError {
        let next_token = self.next_token;
        StreamError::Malformed { next_token }
    }
}
