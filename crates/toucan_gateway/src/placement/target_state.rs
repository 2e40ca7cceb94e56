//! What this VM knows of one target.

use std::rc::Rc;

use toucan_types::FastHashMap;

use crate::config::TargetEntry;

use super::{FailureHistory, PromptCacheEstimate};

/// A target with this VM's view of it.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// What the target says of itself.
    pub entry: Rc<TargetEntry>,
    /// Calls of this VM that it works on.
    pub in_flight: u32,
    /// Prompt tokens of those calls that are neither read yet nor known to be cached.
    pub unread_tokens: u64,
    /// Failures of late.
    pub failures: FailureHistory,
    /// Parts of prompts that it was sent of late.
    pub prompt_cache: PromptCacheEstimate,
    /// When it is no longer used because its registration ended; [`None`] while it is registered.
    pub usable_until_ms: Option<u64>,
    /// Calls that other VMs say it works on, with the time of their word.
    by_peer: FastHashMap<u64, PeerLoad>,
}

/// What another VM has at a target.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    in_flight: u32,
    unread_tokens: u64,
    at_ms: u64,
}

/// Age after which another VM's word on its calls is no longer used.
const PEER_LOAD_MS: u64 = 3_000;
/// Words of other VMs above which old ones are removed.
const MOST_PEERS: usize = 128;

impl TargetState {
    /// A target of which only its registration is known.
    #[must_use]
    pub fn new(entry: Rc<TargetEntry>) -> Self {
        Self {
            entry,
            in_flight: 0,
            unread_tokens: 0,
            failures: FailureHistory::default(),
            prompt_cache: PromptCacheEstimate::default(),
            usable_until_ms: None,
            by_peer: FastHashMap::default(),
        }
    }

    /// Whether its registration ended and the time for which it was still used is over.
    #[must_use]
    pub fn is_gone(&self, now_ms: u64) -> bool {
        self.usable_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms)
    }

    /// Whether new calls may be sent to it.
    #[must_use]
    pub fn takes_calls(&self, now_ms: u64) -> bool {
        !self.entry.draining && !self.is_gone(now_ms)
    }

    /// Notes how many calls another VM has here, and what is still to be read of their prompts.
    pub fn set_peer_load(&mut self, peer: u64, in_flight: u32, unread_tokens: u64, now_ms: u64) {
        let load = PeerLoad {
            in_flight,
            unread_tokens,
            at_ms: now_ms,
        };
        if self.by_peer.len() >= MOST_PEERS {
            // Each start of a VM is another peer; those that ended would stay for good.
            self.by_peer
                .retain(|_peer, load| now_ms.saturating_sub(load.at_ms) <= PEER_LOAD_MS);
        }
        self.by_peer.insert(peer, load);
    }

    /// Forgets what another VM said, before its next word is taken.
    pub fn clear_peer_load(&mut self, peer: u64) {
        self.by_peer.remove(&peer);
    }

    /// Calls that it works on, as far as this VM knows.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> u32 {
        let of_peers: u32 = self.recent(now_ms).map(|load| load.in_flight).sum();
        self.in_flight + of_peers
    }

    /// Prompt tokens that it still has to read, as far as this VM knows.
    #[must_use]
    pub fn unread(&self, now_ms: u64) -> u64 {
        let of_peers: u64 = self.recent(now_ms).map(|load| load.unread_tokens).sum();
        self.unread_tokens + of_peers
    }

    fn recent(&self, now_ms: u64) -> impl Iterator<Item = &PeerLoad> {
        self.by_peer
            .values()
            .filter(move |load| now_ms.saturating_sub(load.at_ms) <= PEER_LOAD_MS)
    }
}
