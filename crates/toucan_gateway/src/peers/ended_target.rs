//! The end of a target, as one gateway tells it to others.

use crate::poison::{Fingerprint, SuspectCall, TargetEnd, TargetInstance};

/// Maximum number of fingerprints in one datagram, so that it fits into one packet.
const MAX_FINGERPRINTS_PER_DATAGRAM: usize = 72;

/// The end of a target. Times are ages, because the clocks of two VMs differ.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndedTarget {
    /// Target that ended.
    pub instance: TargetInstance,
    /// Time since the first of its connections broke.
    pub ended_ms_ago: u64,
    /// Calls that may have ended it.
    pub suspects: Vec<PeerSuspect>,
}

/// A call that may have ended a target.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerSuspect {
    /// Fingerprints of its prompt that other calls may have too.
    pub fingerprints: Vec<Fingerprint>,
    /// Time since it was sent to the target.
    pub sent_ms_ago: u64,
}

impl EndedTarget {
    /// Returns the messages that tell the end of a target.
    #[must_use]
    pub fn split(end: &TargetEnd, now_ms: u64) -> Vec<Self> {
        let mut messages: Vec<Self> = Vec::new();
        let mut fingerprints = MAX_FINGERPRINTS_PER_DATAGRAM;
        for call in &end.suspects {
            fingerprints += call.fingerprints.len();
            if fingerprints > MAX_FINGERPRINTS_PER_DATAGRAM {
                fingerprints = call.fingerprints.len();
                messages.push(Self {
                    instance: end.instance.clone(),
                    ended_ms_ago: now_ms.saturating_sub(end.ended_at_ms),
                    suspects: Vec::new(),
                });
            }
            if let Some(message) = messages.last_mut() {
                message.suspects.push(PeerSuspect {
                    fingerprints: call.fingerprints.clone(),
                    sent_ms_ago: now_ms.saturating_sub(call.sent_at_ms),
                });
            }
        }
        messages
    }

    /// Returns the end in the time of the receiver.
    #[must_use]
    pub fn into_end(self, now_ms: u64) -> TargetEnd {
        let suspects = self.suspects.into_iter().map(|suspect| SuspectCall {
            fingerprints: suspect.fingerprints,
            sent_at_ms: now_ms.saturating_sub(suspect.sent_ms_ago),
        });
        TargetEnd {
            instance: self.instance,
            ended_at_ms: now_ms.saturating_sub(self.ended_ms_ago),
            broken_calls: 0,
            suspects: suspects.collect(),
        }
    }
}
