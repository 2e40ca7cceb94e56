//! Relay of a streamed response from an engine to the caller, and its settlement.

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
    request_lifecycle::{BillConfirmation, finish_request, node_stopped},
};
use crate::{
    admission::{AdmissionMessage, NextAttempt, Placement, RequestOutcome, Ticket},
    node_shared::{NodeShared, OpenRequest},
    shard_sync::OpenState,
};

/// Timeout for the replication of the reservation to another VM, in milliseconds.
const REPLICA_TIMEOUT_MS: u64 = 250;
/// Time for which an engine continues after its caller disconnected, so that a retry at another
/// router can resume the stream, in milliseconds.
const ABANDON_GRACE_MS: u64 = 3_000;
/// Retry delay given to a caller if no target accepted its request, in milliseconds.
const TARGET_RETRY_AFTER_MS: u64 = 1_000;
/// Maximum number of engines that are queried for a billed response whose target is unknown.
const MAX_QUERIED_ENGINES: usize = 32;
/// Maximum number of tokens that are buffered out of order.
const MAX_OUT_OF_ORDER_TOKENS: usize = 64;
/// HTTP status of an engine that already has a stream with this id.
const STATUS_CONFLICT: u16 = 409;
/// HTTP status of an engine that does not have the stream.
const STATUS_NOT_FOUND: u16 = 404;
/// HTTP status of an engine that accepts no request now.
const STATUS_UNAVAILABLE: u16 = 503;
/// Lowest HTTP status of a server error.
const STATUS_SERVER_ERROR: u16 = 500;

/// Relay of one streamed response from an engine to the caller.
pub(crate) struct Relay<S> {
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) ticket: Ticket,
    pub(crate) call: EngineCall,
    pub(crate) request: RequestId,
    pub(crate) sink: S,
    /// Receives `Ok` when the first token has arrived, or the refusal if none will arrive.
    pub(crate) started: Option<oneshot::Sender<Result<(), Refusal>>>,
    /// Guard that counts the request as open.
    pub(crate) open: OpenRequest,
    /// Estimate of the prompt's tokens, for the bill of a response that is cut off.
    pub(crate) prompt_tokens: u64,
    /// Whether the request was billed before. It should then only be resumed and not run again, but
    /// nothing reads this field yet.
    pub(crate) billed_before: bool,
}

/// How the relay of a response ended.
enum RelayOutcome {
    /// The complete response arrived.
    Complete { usage: ChatUsage, data: Bytes },
    /// The response used up its reserved tokens and was stopped.
    ReserveReached,
    /// The caller disconnected.
    CallerDisconnected,
    /// A retry by the caller at this node continues the stream.
    Superseded,
    /// The request failed.
    Failed(Refusal),
}

/// Next step of a relay before a stream is opened or after an attempt failed.
enum NextStep {
    OpenStream { resume_from: Option<u64> },
    Finish(RelayOutcome),
}

impl<S: TokenSink> Relay<S> {
    /// Relays the response, settles it, and only then sends its final events.
    pub(crate) async fn run(mut self) {
        let mut assembler = StreamAssembler::new(self.request.clone(), MAX_OUT_OF_ORDER_TOKENS);
        let outcome = match self.wait_for_reservation().await {
            NextStep::OpenStream { resume_from } => self.relay(&mut assembler, resume_from).await,
            NextStep::Finish(outcome) => outcome,
        };
        let tokens = assembler.next_token();
        self.settle(outcome, tokens).await;
        drop(self.open);
    }

    /// Waits until the reservation is replicated to another VM, and decides from its state whether
    /// to start a stream or to resume one of an earlier attempt.
    async fn wait_for_reservation(&mut self) -> NextStep {
        if self.ticket.dispatched_before {
            return NextStep::OpenStream {
                resume_from: Some(0),
            };
        }
        let timeout = Duration::from_millis(REPLICA_TIMEOUT_MS);
        let opened = tokio::time::timeout(timeout, &mut self.ticket.opened).await;
        match opened {
            Ok(Ok(OpenState::Fresh)) => NextStep::OpenStream { resume_from: None },
            Ok(Ok(OpenState::OpenElsewhere { target, .. })) => {
                self.set_placement(&target);
                NextStep::OpenStream {
                    resume_from: Some(0),
                }
            }
            Ok(Ok(OpenState::Billed {
                target: Some(target),
            })) => {
                self.billed_before = true;
                self.set_placement(&target);
                NextStep::OpenStream {
                    resume_from: Some(0),
                }
            }
            Ok(Ok(OpenState::Billed { target: None })) => self.find_billed_stream().await,
            Ok(Err(_)) | Err(_) => {
                metrics::counter!("toucan_unwitnessed_dispatches_total").increment(1);
                NextStep::OpenStream { resume_from: None }
            }
        }
    }

    /// Queries the engines for the response of a billed request whose target is unknown.
    async fn find_billed_stream(&mut self) -> NextStep {
        for (target, address) in self.shared.engine_addresses(MAX_QUERIED_ENGINES) {
            let held = self
                .shared
                .engines
                .resume(address, &self.call.request, 0)
                .await;
            if held.is_ok() {
                self.billed_before = true;
                self.ticket.placement = Placement { target, address };
                return NextStep::OpenStream {
                    resume_from: Some(0),
                };
            }
        }
        NextStep::Finish(RelayOutcome::Failed(already_answered()))
    }

    /// Switches to the target that ran the request before, if its address is known.
    fn set_placement(&mut self, target: &toucan_types::TargetName) {
        if let Some(address) = self.shared.target_address(target) {
            self.ticket.placement = Placement {
                target: target.clone(),
                address,
            };
        }
    }

    async fn relay(
        &mut self,
        assembler: &mut StreamAssembler<Bytes>,
        resume_from: Option<u64>,
    ) -> RelayOutcome {
        let mut resume_from = resume_from;
        loop {
            let failed = match self.open_stream(resume_from).await {
                Ok(stream) => match self.forward(stream, assembler).await {
                    Ok(outcome) => return outcome,
                    Err(outcome) => outcome,
                },
                Err(outcome) => outcome,
            };
            match self.handle_failure(failed, assembler.next_token()).await {
                NextStep::OpenStream { resume_from: next } => resume_from = next,
                NextStep::Finish(outcome) => return outcome,
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
            // The engine already has the stream, so an earlier attempt of this request started it.
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

    /// Forwards tokens until the stream ends; an error says how the attempt failed.
    async fn forward(
        &mut self,
        mut stream: TokenStream,
        assembler: &mut StreamAssembler<Bytes>,
    ) -> Result<RelayOutcome, AttemptOutcome> {
        let mut usage: Option<(ChatUsage, Bytes)> = None;
        loop {
            let event = tokio::select! {
                biased;
                Ok(()) = &mut self.ticket.superseded => return Ok(RelayOutcome::Superseded),
                () = self.sink.disconnected() => return Ok(RelayOutcome::CallerDisconnected),
                event = stream.next() => event,
            };
            match event {
                Ok(EngineEvent::Token { index, data }) => {
                    if is_cancelled(&data) {
                        return Err(AttemptOutcome::StreamGone {
                            tokens_received: index,
                        });
                    }
                    if let Some(outcome) = self.accept_token(assembler, index, data).await {
                        return Ok(outcome);
                    }
                }
                Ok(EngineEvent::Usage { usage: used, data }) => usage = Some((used, data)),
                Ok(EngineEvent::Done) => {
                    let Some((usage, data)) = usage else {
                        return Err(AttemptOutcome::Broken {
                            tokens_received: assembler.next_token(),
                        });
                    };
                    return Ok(RelayOutcome::Complete { usage, data });
                }
                Err(StreamError::Silent { .. }) => {
                    return Err(AttemptOutcome::Silent {
                        tokens_received: assembler.next_token(),
                    });
                }
                Err(_) => {
                    return Err(AttemptOutcome::Broken {
                        tokens_received: assembler.next_token(),
                    });
                }
            }
        }
    }

    /// Adds a token to the assembler and sends the tokens that are in order.
    ///
    /// Returns the outcome if this ends the response.
    async fn accept_token(
        &mut self,
        assembler: &mut StreamAssembler<Bytes>,
        index: u64,
        data: Bytes,
    ) -> Option<RelayOutcome> {
        let request = self.request.clone();
        match assembler.offer(&request, index, data) {
            Ok(OfferOutcome::Ready) => {}
            Ok(OfferOutcome::Buffered | OfferOutcome::Duplicate) | Err(_) => return None,
        }
        while let Some((index, data)) = assembler.take() {
            if index == 0 {
                self.report_first_token();
            }
            if self.sink.send_token(data).await.is_err() {
                return Some(RelayOutcome::CallerDisconnected);
            }
        }
        let used_tokens = self.prompt_tokens.saturating_add(assembler.next_token());
        let exceeds_reserve = used_tokens > self.ticket.reserve_tokens.0;
        exceeds_reserve.then_some(RelayOutcome::ReserveReached)
    }

    fn record_step(&self, step: &str, detail: impl Into<String>) {
        let now_ms = self.shared.clock.now_ms();
        self.shared
            .traces
            .record_step(self.ticket.bill, step, detail, now_ms);
    }

    fn report_first_token(&mut self) {
        self.record_step(
            "first_token",
            format!("from {}", self.ticket.placement.target),
        );
        let _full = self
            .shared
            .send_to_admission(AdmissionMessage::FirstToken(self.ticket.id));
        if let Some(started) = self.started.take() {
            let _unread = started.send(Ok(()));
        }
    }

    async fn handle_failure(&mut self, outcome: AttemptOutcome, tokens: u64) -> NextStep {
        metrics::counter!("toucan_failed_attempts_total").increment(1);
        self.record_step(
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
                delay(after_ms).await;
                self.ticket.placement = placement;
                NextStep::OpenStream {
                    resume_from: Some(from_token),
                }
            }
            Ok(NextAttempt::Elsewhere {
                placement,
                after_ms,
            }) => {
                delay(after_ms).await;
                self.ticket.placement = placement;
                NextStep::OpenStream { resume_from: None }
            }
            Ok(NextAttempt::GiveUp { may_have_run }) => NextStep::Finish(RelayOutcome::Failed(
                target_failed(may_have_run || tokens > 0),
            )),
            Err(refusal) => NextStep::Finish(RelayOutcome::Failed(refusal.may_have_run())),
        }
    }

    async fn settle(&mut self, outcome: RelayOutcome, tokens: u64) {
        match outcome {
            RelayOutcome::Complete { usage, data } => {
                let used_tokens = Tokens(usage.total_tokens).min(self.ticket.reserve_tokens);
                let cached_tokens = Some(usage.cached_tokens);
                let request_outcome = RequestOutcome::Answered {
                    used_tokens,
                    cached_tokens,
                };
                if self.finish(request_outcome).await == BillConfirmation::NodeStopped {
                    return self.refuse(node_stopped()).await;
                }
                self.report_started_if_empty();
                let _disconnected = self.sink.finish(usage, data).await;
            }
            RelayOutcome::ReserveReached => {
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
            RelayOutcome::CallerDisconnected => self.handle_disconnect(tokens).await,
            RelayOutcome::Superseded => {}
            RelayOutcome::Failed(refusal) => self.fail(refusal).await,
        }
    }

    /// Lets the engine continue for a grace period, for a retry by the caller, then cancels the
    /// stream and bills its tokens.
    async fn handle_disconnect(&mut self, tokens: u64) {
        metrics::counter!("toucan_callers_gone_total").increment(1);
        let grace = Duration::from_millis(ABANDON_GRACE_MS);
        if let Ok(Ok(())) = tokio::time::timeout(grace, &mut self.ticket.superseded).await {
            return;
        }
        self.cancel().await;
        let used_tokens = self.billable_tokens(tokens);
        self.finish(RequestOutcome::CutOff {
            used_tokens,
            target_failed: false,
        })
        .await;
    }

    async fn fail(&mut self, refusal: Refusal) {
        self.record_step("refused", refusal.to_string());
        if refusal.run_status == super::RunStatus::NotRun {
            self.finish(RequestOutcome::NotRun {
                target_failed: true,
            })
            .await;
        } else {
            // The caller got no complete response, so nothing is billed. The stream is not
            // cancelled, so that a retry can resume it if the engine still runs.
            let used_tokens = Tokens::ZERO;
            self.finish(RequestOutcome::CutOff {
                used_tokens,
                target_failed: true,
            })
            .await;
        }
        self.refuse(refusal).await;
    }

    /// Tells the caller that the response will not be completed.
    async fn refuse(&mut self, refusal: Refusal) {
        match self.started.take() {
            Some(started) => {
                let _unread = started.send(Err(refusal));
            }
            None => self.sink.fail(refusal.to_json(&self.request)).await,
        }
    }

    /// Returns the tokens to bill for a response of which the caller got `tokens` tokens.
    fn billable_tokens(&self, tokens: u64) -> Tokens {
        if tokens == 0 {
            return Tokens::ZERO;
        }
        let used_tokens = self.prompt_tokens.saturating_add(tokens);
        Tokens(used_tokens).min(self.ticket.reserve_tokens)
    }

    async fn cancel(&self) {
        let address = self.ticket.placement.address;
        // An engine that cannot be reached ends a stream that has no reader by itself.
        let _failed = self
            .shared
            .engines
            .cancel(address, &self.call.request)
            .await;
    }

    async fn finish(&self, outcome: RequestOutcome) -> BillConfirmation {
        let request = (self.ticket.id, self.ticket.bill);
        finish_request(&self.shared, request, outcome, format!("{outcome:?}")).await
    }

    fn report_started_if_empty(&mut self) {
        if self.started.is_some() {
            self.report_first_token();
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

/// Returns whether a chunk says that the engine cancelled the stream.
fn is_cancelled(data: &Bytes) -> bool {
    const MARK: &[u8] = b"\"finish_reason\":\"cancelled\"";
    data.windows(MARK.len()).any(|window| window == MARK)
}

fn target_failed(may_have_run: bool) -> Refusal {
    if may_have_run {
        return Refusal::new(RefusalCode::TargetFailed, "the target failed").may_have_run();
    }
    Refusal::new(RefusalCode::NoCapacity, "no target took the request")
        .retry_after_ms(TARGET_RETRY_AFTER_MS)
}

async fn delay(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}
