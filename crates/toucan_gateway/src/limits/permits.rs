//! The permits that this gateway holds for calls to one target, and those that it asks for.

use super::PermitGrant;

/// Time after the request for permits until which they may be used. The gateway that grants them counts on
/// it, so that permits saved up cannot all be used at once.
const PERMIT_LIFETIME_MS: u64 = 300;
/// Time after which permits are asked for once more, also of the deputy.
const REPEAT_AFTER_MS: u64 = 40;
/// Time after which no more answer to a request for permits is awaited.
const GIVE_UP_AFTER_MS: u64 = 120;
/// Time until permits are asked for again if nobody has answered.
const SILENCE_PAUSE_MS: u64 = 100;
/// Maximum number of permits in one request.
const MAX_ASKED: u32 = 64;

/// Id of a request for permits, unique for a target within one start of the asking process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct PermitRequestId(pub u64);

/// A request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Id of the request.
    pub id: PermitRequestId,
    /// Number of permits.
    pub permits: u32,
    /// Whether the first request was not answered in time.
    pub is_repeated: bool,
}

/// What a call does that is to be sent to a target with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitStep {
    /// It is sent; a permit was taken.
    Send,
    /// It asks for permits and waits for the answer.
    Ask {
        /// Request to be sent.
        request: PermitRequest,
        /// Longest wait.
        wait_ms: u64,
    },
    /// It waits for the answer to a request.
    Wait {
        /// Longest wait.
        wait_ms: u64,
    },
    /// It is not sent to this target.
    Denied,
}

/// A request that may still be answered.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: PermitRequest,
    asked_at_ms: u64,
}

/// The permits for one target.
#[derive(Clone, Debug)]
pub struct Permits {
    held: u32,
    held_until_ms: u64,
    /// Number of permits to ask for. It follows the number that were of use.
    batch: u32,
    pending: Option<PendingRequest>,
    /// Time until which there are no permits to be had.
    denied_until_ms: u64,
    next_id: u64,
}

impl Default for Permits {
    fn default() -> Self {
        Self {
            held: 0,
            held_until_ms: 0,
            batch: 1,
            pending: None,
            denied_until_ms: 0,
            next_id: 0,
        }
    }
}

impl Permits {
    /// Decides on a call that is to be sent. `left_ms` is the time for which it can wait.
    pub fn next_step(&mut self, left_ms: u64, now_ms: u64) -> PermitStep {
        self.expire(now_ms);
        if self.held > 0 {
            self.held -= 1;
            return PermitStep::Send;
        }
        if now_ms < self.denied_until_ms {
            return PermitStep::Denied;
        }
        let Some(pending) = self.pending.as_mut() else {
            return self.ask(left_ms, now_ms);
        };
        let waited_ms = now_ms.saturating_sub(pending.asked_at_ms);
        if waited_ms >= GIVE_UP_AFTER_MS {
            // The pending request stays, because a late answer is still of use.
            self.denied_until_ms = now_ms + SILENCE_PAUSE_MS;
            return PermitStep::Denied;
        }
        if left_ms == 0 {
            return PermitStep::Denied;
        }
        if waited_ms >= REPEAT_AFTER_MS && !pending.request.is_repeated {
            pending.request.is_repeated = true;
            let wait_ms = left_ms.min(GIVE_UP_AFTER_MS - waited_ms);
            return PermitStep::Ask {
                request: pending.request,
                wait_ms,
            };
        }
        let until_ms = if pending.request.is_repeated {
            GIVE_UP_AFTER_MS
        } else {
            REPEAT_AFTER_MS
        };
        PermitStep::Wait {
            wait_ms: left_ms.min(until_ms - waited_ms),
        }
    }

    fn ask(&mut self, left_ms: u64, now_ms: u64) -> PermitStep {
        self.next_id += 1;
        let request = PermitRequest {
            id: PermitRequestId(self.next_id),
            permits: self.batch,
            is_repeated: false,
        };
        self.pending = Some(PendingRequest {
            request,
            asked_at_ms: now_ms,
        });
        PermitStep::Ask {
            request,
            wait_ms: left_ms.min(REPEAT_AFTER_MS),
        }
    }

    /// Applies the answer to a request: the permits that were granted, and the time until there may be
    /// more.
    ///
    /// Each request counts once. The lifetime of the permits begins when they were asked for, which was
    /// before they were granted.
    pub fn accept(&mut self, id: PermitRequestId, grant: PermitGrant, now_ms: u64) {
        let Some(pending) = self.pending.take_if(|pending| pending.request.id == id) else {
            return;
        };
        let granted = grant.permits.min(pending.request.permits);
        self.expire(now_ms);
        self.held = granted;
        self.held_until_ms = pending.asked_at_ms + PERMIT_LIFETIME_MS;
        self.batch = (granted * 2).clamp(1, MAX_ASKED);
        if granted < pending.request.permits {
            self.denied_until_ms = now_ms + grant.return_ms;
        }
        self.expire(now_ms);
    }

    /// Returns the time until a call may be sent or ask for permits.
    #[must_use]
    pub const fn denied_ms(&self, now_ms: u64) -> u64 {
        if self.held > 0 && now_ms < self.held_until_ms {
            return 0;
        }
        self.denied_until_ms.saturating_sub(now_ms)
    }

    /// Drops permits and requests that are too old.
    fn expire(&mut self, now_ms: u64) {
        if self.held > 0 && now_ms >= self.held_until_ms {
            // More were asked for than were of use.
            self.batch = (self.batch / 2).max(1);
            self.held = 0;
        }
        self.pending
            .take_if(|pending| now_ms >= pending.asked_at_ms + PERMIT_LIFETIME_MS);
    }
}
