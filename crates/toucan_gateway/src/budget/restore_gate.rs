//! Holds back draws after the store came back from an older copy.

/// Longest time for which draws are held back. Gateways that are cut off from the store hold tokens
/// which it may have lost; an outage of this length is bridged by the tokens in hand.
const MAX_WAIT_MS: u64 = 10_000;
/// Time for which a process that has just started holds back draws, if no other gateway tells that
/// all have written their records again. It may not know the other gateways yet.
const START_WAIT_MS: u64 = 3_000;

/// What another gateway has told about the store's last restore.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerRecovery {
    /// Restore after which the gateway has written its records again.
    pub rewritten_restore: u64,
    /// Restore after which the gateway draws again, because all that it knows of have written theirs.
    pub open_restore: u64,
}

/// Whether tokens may be drawn, after the store came back from an older copy and lost the newest
/// grants.
///
/// A restored store shows fewer tokens as granted than processes hold. Each process writes the
/// records that it knows again. Until all have, a draw could grant tokens twice. Restores are
/// numbered by the store; 0 means that there was none.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreGate {
    restore: u64,
    is_observed: bool,
    closed_at_ms: u64,
    min_wait_ms: u64,
    rewritten_restore: u64,
    open_restore: u64,
}

impl RestoreGate {
    /// Records the number of the last restore that the store tells.
    pub fn observe(&mut self, restore: u64, now_ms: u64) {
        if restore > self.restore {
            self.restore = restore;
            self.closed_at_ms = now_ms;
            self.min_wait_ms = if self.is_observed { 0 } else { START_WAIT_MS };
        }
        self.is_observed = true;
    }

    /// Records that this process has written all its records again since a restore.
    pub fn record_rewritten(&mut self, restore: u64) {
        self.rewritten_restore = self.rewritten_restore.max(restore);
    }

    /// Opens the gate if it is time, given what other gateways that were heard lately have told.
    /// Returns whether tokens may be drawn.
    pub fn update<'a>(
        &mut self,
        peers: impl IntoIterator<Item = &'a PeerRecovery>,
        now_ms: u64,
    ) -> bool {
        if self.open_restore >= self.restore {
            return true;
        }
        if self.rewritten_restore < self.restore {
            return false;
        }
        let mut have_all_rewritten = true;
        let mut is_any_open = false;
        for peer in peers {
            have_all_rewritten &= peer.rewritten_restore >= self.restore;
            is_any_open |= peer.open_restore >= self.restore;
        }
        let waited_ms = now_ms.saturating_sub(self.closed_at_ms);
        if is_any_open
            || (have_all_rewritten && waited_ms >= self.min_wait_ms)
            || waited_ms >= MAX_WAIT_MS
        {
            self.open_restore = self.restore;
        }
        self.open_restore >= self.restore
    }

    /// Returns what this process tells other gateways; [`None`] if there was no restore.
    #[must_use]
    pub fn to_tell(&self) -> Option<PeerRecovery> {
        (self.restore > 0).then_some(PeerRecovery {
            rewritten_restore: self.rewritten_restore,
            open_restore: self.open_restore,
        })
    }
}
