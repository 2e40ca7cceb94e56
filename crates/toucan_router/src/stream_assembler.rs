//! Order of the tokens of one answer over several attempts.

use std::collections::BTreeMap;
use std::ops::Range;

use displaydoc::Display;
use toucan_types::RequestId;

/// Why a token is not taken.
#[expect(
    clippy::doc_markdown,
    reason = "the first line is the message of the error"
)]
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StreamFault {
    /// the token belongs to request {other}, not to {own}
    OtherRequest {
        /// Request that this answer belongs to.
        own: RequestId,
        /// Request that the token names.
        other: RequestId,
    },
    /// token {index} is further ahead than the {most_held} that may be held
    TooFarAhead {
        /// Index of the token.
        index: u64,
        /// Most tokens that are held.
        most_held: usize,
    },
    /// token {index} lies behind the end of the answer at {end}
    BehindEnd {
        /// Index of the token.
        index: u64,
        /// Number of tokens of the whole answer.
        end: u64,
    },
    /// the answer ended at {first} and at {second} tokens
    TwoEnds {
        /// The end that was noted.
        first: u64,
        /// The end that contradicts it.
        second: u64,
    },
}

impl std::error::Error for StreamFault {}

/// What became of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It can be taken by [`StreamAssembler::take`], perhaps with tokens held before.
    Ready,
    /// It is held until the tokens before it arrive.
    Buffered,
    /// It was there already.
    Duplicate,
}

/// Yields each token of an answer once and in order, whatever attempts deliver.
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
/// # Ok::<(), toucan_router::StreamFault>(())
/// ```
#[derive(Clone, Debug)]
pub struct StreamAssembler<T> {
    request: RequestId,
    next: u64,
    held: BTreeMap<u64, T>,
    most_held: usize,
    end: Option<u64>,
}

impl<T> StreamAssembler<T> {
    /// An answer without tokens; at most `most_held` tokens are held out of order.
    #[must_use]
    pub const fn new(request: RequestId, most_held: usize) -> Self {
        Self {
            request,
            next: 0,
            held: BTreeMap::new(),
            most_held,
            end: None,
        }
    }

    /// Starts at a token other than the first, for a caller that has those before it.
    #[must_use]
    pub const fn starting_at(mut self, token: u64) -> Self {
        self.next = token;
        self
    }

    /// Takes in a token.
    ///
    /// # Errors
    ///
    /// [`StreamFault`] if the token is of another request, too far ahead or behind the end; nothing
    /// is changed then. After [`StreamFault::TooFarAhead`] the stream is to be resumed from
    /// [`Self::next_token`].
    pub fn offer(
        &mut self,
        request: &RequestId,
        index: u64,
        token: T,
    ) -> Result<OfferOutcome, StreamFault> {
        self.check_request(request)?;
        if let Some(end) = self.end.filter(|end| index >= *end) {
            return Err(StreamFault::BehindEnd { index, end });
        }
        if index < self.next || self.held.contains_key(&index) {
            return Ok(OfferOutcome::Duplicate);
        }
        if index != self.next && self.held.len() >= self.most_held {
            return Err(StreamFault::TooFarAhead {
                index,
                most_held: self.most_held,
            });
        }
        self.held.insert(index, token);
        Ok(if index == self.next {
            OfferOutcome::Ready
        } else {
            OfferOutcome::Buffered
        })
    }

    /// Notes that the whole answer has `tokens` tokens.
    ///
    /// # Errors
    ///
    /// [`StreamFault::TwoEnds`] if another end was noted, [`StreamFault::BehindEnd`] if a token from
    /// behind this end was taken in.
    pub fn end(&mut self, request: &RequestId, tokens: u64) -> Result<(), StreamFault> {
        self.check_request(request)?;
        if let Some(first) = self.end.filter(|first| *first != tokens) {
            return Err(StreamFault::TwoEnds {
                first,
                second: tokens,
            });
        }
        let last = self.held.last_key_value().map(|(index, _)| *index);
        let known = last.map_or(self.next, |index| index + 1).max(self.next);
        if known > tokens {
            return Err(StreamFault::BehindEnd {
                index: known - 1,
                end: tokens,
            });
        }
        self.end = Some(tokens);
        Ok(())
    }

    /// Next token in order, if it is there.
    pub fn take(&mut self) -> Option<(u64, T)> {
        let token = self.held.remove(&self.next)?;
        let index = self.next;
        self.next += 1;
        Some((index, token))
    }

    /// Index of the next token in order: where a resumption starts.
    #[must_use]
    pub const fn next_token(&self) -> u64 {
        self.next
    }

    /// Tokens that are missing before the first one held.
    #[must_use]
    pub fn gap(&self) -> Option<Range<u64>> {
        let (first, _) = self.held.first_key_value()?;
        (*first > self.next).then_some(self.next..*first)
    }

    /// Whether the end is known and all tokens were taken.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.end == Some(self.next)
    }

    fn check_request(&self, request: &RequestId) -> Result<(), StreamFault> {
        if *request == self.request {
            return Ok(());
        }
        Err(StreamFault::OtherRequest {
            own: self.request.clone(),
            other: request.clone(),
        })
    }
}
