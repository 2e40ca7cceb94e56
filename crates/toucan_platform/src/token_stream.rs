//! The tokens of one request.

use std::sync::Arc;

use tokio::time::{Duration, Instant, sleep_until};
use toucan_types::RequestId;

use crate::engine_client::open_stream;
use crate::http_target::HttpTarget;
use crate::standby::Standby;
use crate::token_reader::{TokenReader, TokenReaderError};
use crate::{EngineEvent, StreamError};

/// The tokens of one request, in order, whichever connection brings them.
///
/// After a while without an event the stream is also asked for over a second connection, and after
/// each further while over a fresh one, until one of them stands: the second may be refused or go
/// silent like the first. Whichever brings the next event is kept and the other closed: a
/// connection that went silent is left, and one to a slow engine is not.
pub struct TokenStream {
    target: Arc<HttpTarget>,
    request: RequestId,
    reader: TokenReader,
    standby: Standby,
    /// An event that was read before the stream was handed out.
    first: Option<EngineEvent>,
    next_token: u64,
    last_event_at: Instant,
    /// When the second connection was last opened, or the last event came.
    tried_at: Instant,
}

/// What happened first.
enum Step {
    Main(Result<EngineEvent, TokenReaderError>),
    Second(Result<EngineEvent, TokenReaderError>),
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
            tried_at: Instant::now(),
        }
    }

    pub(crate) fn starting_with(mut self, first: EngineEvent) -> Self {
        self.first = Some(first);
        self
    }

    /// Index of the token that comes next.
    #[must_use]
    pub const fn next_token(&self) -> u64 {
        self.next_token
    }

    /// Waits for the next event; may be cancelled without losing one.
    ///
    /// After [`EngineEvent::Done`] it must not be called again.
    ///
    /// # Errors
    ///
    /// [`StreamError`] if the stream ends before it is whole; it may run on at the engine.
    pub async fn next(&mut self) -> Result<EngineEvent, StreamError> {
        if let Some(first) = self.first.take()
            && let Some(event) = self.accept(first)?
        {
            return Ok(event);
        }
        loop {
            let deadline = self.deadline();
            let step = tokio::select! {
                biased;
                event = self.reader.read() => Step::Main(event),
                event = self.standby.read() => Step::Second(event),
                () = sleep_until(deadline) => Step::Deadline,
            };
            let event = match step {
                Step::Main(Ok(event)) => event,
                Step::Main(Err(error)) => {
                    self.leave_broken(error)?;
                    continue;
                }
                Step::Second(Ok(event)) => {
                    self.leave_silent();
                    event
                }
                Step::Second(Err(_)) => {
                    self.standby = Standby::Failed;
                    continue;
                }
                Step::Deadline => {
                    self.open_standby()?;
                    continue;
                }
            };
            if let Some(event) = self.accept(event)? {
                return Ok(event);
            }
        }
    }

    /// When the stream is given up, unless an event comes.
    fn given_up_at(&self) -> Instant {
        self.last_event_at + Duration::from_millis(self.target.settings().read_timeout_ms)
    }

    /// When a second connection is opened, or the stream given up, unless an event comes.
    ///
    /// A second connection that stands is kept: the first one may break while another is opened.
    fn deadline(&self) -> Instant {
        if matches!(self.standby, Standby::Open(_)) {
            return self.given_up_at();
        }
        let next_try_at =
            self.tried_at + Duration::from_millis(self.target.settings().standby_after_ms);
        next_try_at.min(self.given_up_at())
    }

    /// Notes progress and checks the order; [`None`] for a token that was already given.
    fn accept(&mut self, event: EngineEvent) -> Result<Option<EngineEvent>, StreamError> {
        self.last_event_at = Instant::now();
        self.tried_at = self.last_event_at;
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

    fn leave_broken(&mut self, error: TokenReaderError) -> Result<(), StreamError> {
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

    fn leave_silent(&mut self) {
        let Some(reader) = self.standby.take() else {
            return;
        };
        metrics::counter!("toucan_engine_links_silent_total").increment(1);
        self.target.abandon_connections();
        self.reader = reader;
    }

    fn open_standby(&mut self) -> Result<(), StreamError> {
        let now = Instant::now();
        if now >= self.given_up_at() {
            let next_token = self.next_token;
            return Err(StreamError::Silent { next_token });
        }
        if matches!(self.standby, Standby::Open(_)) {
            // It came to stand while the deadline of the one before was waited for.
            return Ok(());
        }
        self.tried_at = now;
        let target = Arc::clone(&self.target);
        let request = self.request.clone();
        let from_token = self.next_token;
        // A pooled connection may have gone silent like the one that is in doubt.
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
