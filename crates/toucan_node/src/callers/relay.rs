//! Relays one answer from a target to its caller and settles it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::sync::oneshot;
use toucan_platform::formats::ChatUsage;
use toucan_platform::{DispatchError, EngineCall, EngineEvent, StreamError, TokenStream};
use toucan_router::{AttemptOutcome, OfferOutcome, StreamAssembler};
use toucan_types::{RequestId, Tokens};

use super::{
    Refusal, RefusalCode,
    chat_sinks::TokenSink,
    settling::{BillWord, finish, node_ended},
};
use crate::{
    admission::{AdmissionMessage, NextAttempt, Placement, RequestOutcome, Ticket},
    node_shared::{NodeShared, OpenRequest},
    shard_sync::OpenState,
};

/// Longest wait until another VM knows of the reservation, in milliseconds.
const WITNESS_PATIENCE_MS: u64 = 250;
/// Time for which an engine goes on after its caller left, for a retry elsewhere, in milliseconds.
const ABANDON_GRACE_MS: u64 = 3_000;
/// Time after which a caller may come back when no target took its request, in milliseconds.
const TARGET_RETRY_MS: u64 = 1_000;
/// Most engines asked for an answer whose target nobody knows.
const MOST_ASKED_ENGINES: usize = 32;
/// Most tokens held out of order.
const HELD_TOKENS: usize = 64;
/// Status by which an engine says that it holds a stream of this id already.
const STATUS_CONFLICT: u16 = 409;
/// Status by which an engine says that it does not hold the stream.
const STATUS_NOT_FOUND: u16 = 404;
/// Status by which an engine says that it takes no request now.
const STATUS_UNAVAILABLE: u16 = 503;
/// Least status by which an engine reports a fault of its own.
const STATUS_SERVER_ERROR: u16 = 500;

/// One answer on its way from a target to its caller.
pub(crate) struct Relay<S> {
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) ticket: Ticket,
    pub(crate) call: EngineCall,
    pub(crate) request: RequestId,
    pub(crate) sink: S,
    /// Gets a word when the first token has come, or the refusal if none will.
    pub(crate) begun: Option<oneshot::Sender<Result<(), Refusal>>>,
    /// Keeps the request counted as open.
    pub(crate) open: OpenRequest,
    /// Bound of the prompt's tokens, for the bill of an answer that is cut off.
    pub(crate) prompt_tokens: u64,
    /// Whether the request was billed before, so that it is resumed but not run anew.
    pub(crate) billed_before: bool,
}

/// How the relaying of the tokens ended.
enum Relayed {
    /// The whole answer came.
    Whole { usage: ChatUsage, data: Bytes },
    /// The answer reached its reserve and was stopped there.
    AtReserve,
    /// The caller left.
    CallerGone,
    /// A retry of the caller in this process goes on with the stream.
    Superseded,
    /// The request cannot be answered.
    Failed(Refusal),
}

/// What is next after a stream ended without its whole answer.
enum Step {
    Open { resume_from: Option<u64> },
    End(Relayed),
}

impl<S: TokenSink> Relay<S> {
    /// Relays the answer, settles it, and only then sends its end.
    pub(crate) async fn run(mut self) {
        let mut answer = StreamAssembler::new(self.request.clone(), HELD_TOKENS);
        let relayed = match self.first_step().await {
            Step::Open { resume_from } => self.relay(&mut answer, resume_from).await,
            Step::End(relayed) => relayed,
        };
        let tokens = answer.next_token();
        self.settle(relayed, tokens).await;
        drop(self.open);
    }

    /// Waits until another VM knows of the reservation, and learns whether the request ran before.
    async fn first_step(&mut self) -> Step {
        if self.ticket.dispatched_before {
            return Step::Open {
                resume_from: Some(0),
            };
        }
        let patience = Duration::from_millis(WITNESS_PATIENCE_MS);
        let opened = tokio::time::timeout(patience, &mut self.ticket.opened).await;
        match opened {
            Ok(Ok(OpenState::Fresh)) => Step::Open { resume_from: None },
            Ok(Ok(OpenState::OpenElsewhere { target, .. })) => {
                self.go_to(&target);
                Step::Open {
                    resume_from: Some(0),
                }
            }
            Ok(Ok(OpenState::Billed {
                target: Some(target),
            })) => {
                self.billed_before = true;
                self.go_to(&target);
                Step::Open {
                    resume_from: Some(0),
                }
            }
            Ok(Ok(OpenState::Billed { target: None })) => self.look_for_answer().await,
            Ok(Err(_)) | Err(_) => {
                metrics::counter!("toucan_unwitnessed_dispatches_total").increment(1);
                Step::Open { resume_from: None }
            }
        }
    }

    /// Asks the engines for the answer of a request that was billed, if nobody knows its target.
    async fn look_for_answer(&mut self) -> Step {
        for (target, address) in self.shared.engine_addresses(MOST_ASKED_ENGINES) {
            let held = self
                .shared
                .engines
                .resume(address, &self.call.request, 0)
                .await;
            if held.is_ok() {
                self.billed_before = true;
                self.ticket.placement = Placement { target, address };
                return Step::Open {
                    resume_from: Some(0),
                };
            }
        }
        Step::End(Relayed::Failed(already_answered()))
    }

    /// Goes to the target that ran the request before, if it is known here.
    fn go_to(&mut self, target: &toucan_types::TargetName) {
        if let Some(address) = self.shared.target_address(target) {
            self.ticket.placement = Placement {
                target: target.clone(),
                address,
            };
        }
    }

    async fn relay(
        &mut self,
        answer: &mut StreamAssembler<Bytes>,
        resume_from: Option<u64>,
    ) -> Relayed {
        let mut resume_from = resume_from;
        loop {
            let failed = match self.open_stream(resume_from).await {
                Ok(stream) => match self.forward(stream, answer).await {
                    Ok(relayed) => return relayed,
                    Err(outcome) => outcome,
                },
                Err(outcome) => outcome,
            };
            match self.after_failure(failed, answer.next_token()).await {
                Step::Open { resume_from: next } => resume_from = next,
                Step::End(relayed) => return relayed,
            }
        }
    }

    async fn open_stream(&self, resume_from: Option<u64>) -> Result<TokenStream, AttemptOutcome> {
        let address = self.ticket.placement.address;
        let id = &self.call.request;
        let opened = match resume_from {
            None => self.shared.engines.start(address, self.call.clone()).await,
            Some(from) => self.shared.engines.resume(address, id, from).await,
        };
        match (opened, resume_from) {
            (Ok(stream), _) => Ok(stream),
            // The engine holds the stream already, so an earlier try of this request began it.
            (
                Err(DispatchError::Refused {
                    status: STATUS_CONFLICT,
                    ..
                }),
                None,
            ) => Err(AttemptOutcome::Broken { tokens_received: 0 }),
            (
                Err(DispatchError::Refused {
                    status: STATUS_NOT_FOUND,
                    ..
                }),
                Some(from),
            ) => Err(AttemptOutcome::StreamGone {
                tokens_received: from,
            }),
            (Err(error), _) => Err(attempt_outcome(&error)),
        }
    }

    /// Hands on tokens until the stream ends; an error says how the attempt failed.
    async fn forward(
        &mut self,
        mut stream: TokenStream,
        answer: &mut StreamAssembler<Bytes>,
    ) -> Result<Relayed, AttemptOutcome> {
        let mut usage: Option<(ChatUsage, Bytes)> = None;
        loop {
            let event = tokio::select! {
                biased;
                Ok(()) = &mut self.ticket.superseded => return Ok(Relayed::Superseded),
                () = self.sink.gone() => return Ok(Relayed::CallerGone),
                event = stream.next() => event,
            };
            match event {
                Ok(EngineEvent::Token { index, data }) => {
                    if is_cancelled(&data) {
                        return Err(AttemptOutcome::StreamGone {
                            tokens_received: index,
                        });
                    }
                    if let Some(relayed) = self.take_token(answer, index, data).await {
                        return Ok(relayed);
                    }
                }
                Ok(EngineEvent::Usage { usage: used, data }) => usage = Some((used, data)),
                Ok(EngineEvent::Done) => {
                    let Some((usage, data)) = usage else {
                        return Err(AttemptOutcome::Broken {
                            tokens_received: answer.next_token(),
                        });
                    };
                    return Ok(Relayed::Whole { usage, data });
                }
                Err(StreamError::Silent { .. }) => {
                    return Err(AttemptOutcome::Silent {
                        tokens_received: answer.next_token(),
                    });
                }
                Err(_) => {
                    return Err(AttemptOutcome::Broken {
                        tokens_received: answer.next_token(),
                    });
                }
            }
        }
    }

    /// Puts a token in its place and sends what is in order; gives the end if this ends the answer.
    async fn take_token(
        &mut self,
        answer: &mut StreamAssembler<Bytes>,
        index: u64,
        data: Bytes,
    ) -> Option<Relayed> {
        let request = self.request.clone();
        match answer.offer(&request, index, data) {
            Ok(OfferOutcome::Ready) => {}
            Ok(OfferOutcome::Buffered | OfferOutcome::Duplicate) | Err(_) => return None,
        }
        while let Some((index, data)) = answer.take() {
            if index == 0 {
                self.begin();
            }
            if self.sink.token(data).await.is_err() {
                return Some(Relayed::CallerGone);
            }
        }
        let used_tokens = self.prompt_tokens.saturating_add(answer.next_token());
        let is_over = used_tokens > self.ticket.reserve_tokens.0;
        is_over.then_some(Relayed::AtReserve)
    }

    fn note(&self, step: &str, detail: impl Into<String>) {
        let now_ms = self.shared.clock.now_ms();
        self.shared
            .traces
            .note(self.ticket.bill, step, detail, now_ms);
    }

    fn begin(&mut self) {
        self.note(
            "first_token",
            format!("from {}", self.ticket.placement.target),
        );
        let _full = self
            .shared
            .send_to_admission(AdmissionMessage::FirstToken(self.ticket.id));
        if let Some(begun) = self.begun.take() {
            let _unread = begun.send(Ok(()));
        }
    }

    async fn after_failure(&mut self, outcome: AttemptOutcome, tokens: u64) -> Step {
        metrics::counter!("toucan_failed_attempts_total").increment(1);
        self.note(
            "attempt_failed",
            format!("{}: {outcome:?}", self.ticket.placement.target),
        );
        let ticket = self.ticket.id;
        let next = self
            .shared
            .ask_admission(|reply| AdmissionMessage::AttemptFailed {
                ticket,
                outcome,
                reply,
            })
            .await;
        match next {
            Ok(NextAttempt::Resume {
                placement,
                from_token,
                after_ms,
            }) => {
                pause(after_ms).await;
                self.ticket.placement = placement;
                Step::Open {
                    resume_from: Some(from_token),
                }
            }
            Ok(NextAttempt::Elsewhere {
                placement,
                after_ms,
            }) => {
                pause(after_ms).await;
                self.ticket.placement = placement;
                Step::Open { resume_from: None }
            }
            Ok(NextAttempt::GiveUp { may_have_run }) => {
                Step::End(Relayed::Failed(target_failed(may_have_run || tokens > 0)))
            }
            Err(refusal) => Step::End(Relayed::Failed(refusal.may_have_run())),
        }
    }

    async fn settle(&mut self, relayed: Relayed, tokens: u64) {
        match relayed {
            Relayed::Whole { usage, data } => {
                let used_tokens = Tokens(usage.total_tokens).min(self.ticket.reserve_tokens);
                let cached_tokens = Some(usage.cached_tokens);
                let end = RequestOutcome::Answered {
                    used_tokens,
                    cached_tokens,
                };
                if self.finish(end).await == BillWord::NodeEnded {
                    return self.refuse(node_ended()).await;
                }
                self.begin_if_empty();
                let _gone = self.sink.finish(usage, data).await;
            }
            Relayed::AtReserve => {
                self.cancel().await;
                let used_tokens = self.ticket.reserve_tokens;
                self.finish(RequestOutcome::CutOff {
                    used_tokens,
                    target_failed: false,
                })
                .await;
                let refusal = Refusal::new(RefusalCode::BudgetSpent, "stopped at its reserve");
                self.sink
                    .fail(refusal.may_have_run().to_json(&self.request))
                    .await;
            }
            Relayed::CallerGone => self.abandon(tokens).await,
            Relayed::Superseded => {}
            Relayed::Failed(refusal) => self.fail(refusal).await,
        }
    }

    /// Lets the engine go on for a moment, for a retry at another router, then bills and cancels.
    async fn abandon(&mut self, tokens: u64) {
        metrics::counter!("toucan_callers_gone_total").increment(1);
        let grace = Duration::from_millis(ABANDON_GRACE_MS);
        if let Ok(Ok(())) = tokio::time::timeout(grace, &mut self.ticket.superseded).await {
            return;
        }
        self.cancel().await;
        let used_tokens = self.cut_off_tokens(tokens);
        self.finish(RequestOutcome::CutOff {
            used_tokens,
            target_failed: false,
        })
        .await;
    }

    async fn fail(&mut self, refusal: Refusal) {
        self.note("refused", refusal.to_string());
        if refusal.run_status == super::RunStatus::NotRun {
            self.finish(RequestOutcome::NotRun {
                target_failed: true,
            })
            .await;
        } else {
            // The caller got no whole answer, so nothing is billed. The engine goes on, if it still
            // runs, so that a retry can resume the stream.
            let used_tokens = Tokens::ZERO;
            self.finish(RequestOutcome::CutOff {
                used_tokens,
                target_failed: true,
            })
            .await;
        }
        self.refuse(refusal).await;
    }

    /// Tells the caller that no whole answer comes.
    async fn refuse(&mut self, refusal: Refusal) {
        match self.begun.take() {
            Some(begun) => {
                let _unread = begun.send(Err(refusal));
            }
            None => self.sink.fail(refusal.to_json(&self.request)).await,
        }
    }

    /// Tokens to bill for an answer of which the caller got this many tokens.
    fn cut_off_tokens(&self, tokens: u64) -> Tokens {
        if tokens == 0 {
            return Tokens::ZERO;
        }
        let used_tokens = self.prompt_tokens.saturating_add(tokens);
        Tokens(used_tokens).min(self.ticket.reserve_tokens)
    }

    async fn cancel(&self) {
        let address = self.ticket.placement.address;
        // An engine that cannot be reached ends the stream by itself when nobody reads it.
        let _failed = self
            .shared
            .engines
            .cancel(address, &self.call.request)
            .await;
    }

    async fn finish(&self, end: RequestOutcome) -> BillWord {
        let request = (self.ticket.id, self.ticket.bill);
        finish(&self.shared, request, end, format!("{end:?}")).await
    }

    fn begin_if_empty(&mut self) {
        if self.begun.is_some() {
            self.begin();
        }
    }
}

fn attempt_outcome(error: &DispatchError) -> AttemptOutcome {
    match error {
        DispatchError::NotSent { .. } => AttemptOutcome::NotSent,
        DispatchError::Refused {
            status,
            retry_after_ms,
            ..
        } if *status < STATUS_SERVER_ERROR || *status == STATUS_UNAVAILABLE => {
            AttemptOutcome::RefusedNotRun {
                retry_after_ms: *retry_after_ms,
            }
        }
        DispatchError::Refused { .. } | DispatchError::Unknown { .. } => AttemptOutcome::Unknown,
    }
}

fn already_answered() -> Refusal {
    let message = "a request with this id was answered and billed; use another id";
    Refusal::new(RefusalCode::AlreadyAnswered, message).may_have_run()
}

/// Whether a chunk says that the engine cancelled the stream.
fn is_cancelled(data: &Bytes) -> bool {
    const MARK: &[u8] = b"\"finish_reason\":\"cancelled\"";
    data.windows(MARK.len()).any(|window| window == MARK)
}

fn target_failed(may_have_run: bool) -> Refusal {
    if may_have_run {
        return Refusal::new(RefusalCode::TargetFailed, "the target failed").may_have_run();
    }
    Refusal::new(RefusalCode::NoCapacity, "no target took the request")
        .retry_after_ms(TARGET_RETRY_MS)
}

async fn pause(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}
