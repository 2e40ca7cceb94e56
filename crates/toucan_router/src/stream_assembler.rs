//! Reassembly of the token stream of one answer from several attempts.

use std::collections::BTreeMap;
use std::ops::Range;

use displaydoc::Display;
use toucan_types::RequestId;

/// Reason to reject a token or an end of the answer.
#[expect(
    clippy::doc_markdown,
    reason = "the first line is the message of the error"
)]
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AssemblyError {
    /// the token belongs to request {other}, not to {own}
    OtherRequest {
        /// Request of this answer.
        own: RequestId,
        /// Request that the token names.
        other: RequestId,
    },
    /// token {index} is too far ahead, at most {max_buffered} tokens are buffered
    TooFarAhead {
        /// Index of the token.
        index: u64,
        /// Maximum number of buffered tokens.
        max_buffered: usize,
    },
    /// token {index} is past the end of the answer at {end}
    PastEnd {
        /// Index of the token.
        index: u64,
        /// Total number of tokens of the answer.
        end: u64,
    },
    /// the answer ended at {first} and at {second} tokens
    ConflictingEnds {
        /// End that was set first.
        first: u64,
        /// End that contradicts it.
        second: u64,
    },
}

impl std::error::Error for AssemblyError {}

/// Outcome of offering a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The token is the next one in order. [`StreamAssembler::take`] returns it, then any buffered
    /// tokens that follow it.
    Ready,
    /// The token is buffered until the tokens before it arrive.
    Buffered,
    /// The token was offered before.
    Duplicate,
}

/// Reorder buffer that yields each token of an answer once and in order.
///
/// Attempts may deliver tokens repeatedly and in any order.
///
/// ```
/// use toucan_router::StreamAssembler;
///
/// let id = "r-1".into();
/// let mut answer = StreamAssembler::new("r-1".into(), 16);
/// answer.offer(&id, 0, "a")?;
/// answer.offer(&id, 2, "c")?;
/// answer.offer(&id, 1, "b")?;
/// answer.offer(&id, 1, "b")?;
/// let tokens: Vec<_> = std::iter::from_fn(|| answer.take()).collect();
/// assert_eq!(tokens, [(0, "a"), (1, "b"), (2, "c")]);
/// # Ok::<(), toucan_router::AssemblyError>(())
/// ```
#[derive(Clone, Debug)]
pub struct StreamAssembler<T> {
    request: RequestId,
    next: u64,
    buffered: BTreeMap<u64, T>,
    max_buffered: usize,
    end: Option<u64>,
}

impl<T> StreamAssembler<T> {
    /// Creates an empty answer that buffers at most `max_buffered` tokens out of order.
    #[must_use]
    pub const fn new(request: RequestId, max_buffered: usize) -> Self {
        Self {
            request,
            next: 0,
            buffered: BTreeMap::new(),
            max_buffered,
            end: None,
        }
    }

    /// Sets the index of the first token, for a caller that already has the tokens before it.
    #[must_use]
    pub const fn starting_at(mut self, token: u64) -> Self {
        self.next = token;
        self
    }

    /// Adds a token.
    ///
    /// # Errors
    ///
    /// [`AssemblyError`] if the token belongs to another request, is too far ahead or is past the
    /// end. The token is then not added. After [`AssemblyError::TooFarAhead`], resume the stream
    /// from [`Self::next_token`].
    pub fn offer(
        &mut self,
        request: &RequestId,
        index: u64,
        token: T,
    ) -> Result<OfferOutcome, AssemblyError> {
        self.check_request(request)?;
        if let Some(end) = self.end.filter(|end| index >= *end) {
            return Err(AssemblyError::PastEnd { index, end });
        }
        if index < self.next || self.buffered.contains_key(&index) {
            return Ok(OfferOutcome::Duplicate);
        }
        if index != self.next && self.buffered.len() >= self.max_buffered {
            return Err(AssemblyError::TooFarAhead {
                index,
                max_buffered: self.max_buffered,
            });
        }
        self.buffered.insert(index, token);
        Ok(if index == self.next {
            OfferOutcome::Ready
        } else {
            OfferOutcome::Buffered
        })
    }

    /// Sets the total number of tokens of the answer.
    ///
    /// # Errors
    ///
    /// [`AssemblyError::OtherRequest`] if `request` is another one,
    /// [`AssemblyError::ConflictingEnds`] if another end was set before, [`AssemblyError::PastEnd`]
    /// if a token past this end was added before.
    pub fn set_end(&mut self, request: &RequestId, tokens: u64) -> Result<(), AssemblyError> {
        self.check_request(request)?;
        if let Some(first) = self.end.filter(|first| *first != tokens) {
            return Err(AssemblyError::ConflictingEnds {
                first,
                second: tokens,
            });
        }
        let last = self.buffered.last_key_value().map(|(index, _)| *index);
        let known = last.map_or(self.next, |index| index + 1).max(self.next);
        if known > tokens {
            return Err(AssemblyError::PastEnd {
                index: known - 1,
                end: tokens,
            });
        }
        self.end = Some(tokens);
        Ok(())
    }

    /// Removes and returns the next token in order, with its index.
    pub fn take(&mut self) -> Option<(u64, T)> {
        let token = self.buffered.remove(&self.next)?;
        let index = self.next;
        self.next += 1;
        Some((index, token))
    }

    /// Returns the index of the next token in order, from which the stream is resumed.
    #[must_use]
    pub const fn next_token(&self) -> u64 {
        self.next
    }

    /// Returns the range of tokens that are missing before the first buffered one.
    #[must_use]
    pub fn gap(&self) -> Option<Range<u64>> {
        let (first, _) = self.buffered.first_key_value()?;
        (*first > self.next).then_some(self.next..*first)
    }

    /// Returns whether the end is known and all tokens were taken.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.end == Some(self.next)
    }

    fn check_request(&self, request: &RequestId) -> Result<(), AssemblyError> {
        if *request == self.request {
            return Ok(());
        }
        Err(AssemblyError::OtherRequest {
            own: self.request.clone(),
            other: request.clone(),
        })
    }
}
