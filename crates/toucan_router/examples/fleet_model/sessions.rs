//! Model of conversations: an organisation's fixed prefix, then turns that repeat the whole
//! history.

use std::sync::Arc;

use rand::Rng;
use rand::rngs::SmallRng;

use super::engine::Job;

/// Settings of the workload; ranges are minimum and maximum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SessionSettings {
    pub(crate) organisations: u64,
    /// Tokens of an organisation's fixed prefix.
    pub(crate) prefix_tokens: (u64, u64),
    /// Tokens that each turn adds to the prompt.
    pub(crate) turn_tokens: (u64, u64),
    pub(crate) output_tokens: (u64, u64),
    pub(crate) turns: (u64, u64),
    pub(crate) pause_us: (u64, u64),
    pub(crate) block_tokens: u64,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            organisations: 10,
            prefix_tokens: (400, 2_400),
            turn_tokens: (80, 800),
            output_tokens: (100, 500),
            turns: (2, 9),
            pause_us: (4_000_000, 16_000_000),
            block_tokens: 16,
        }
    }
}

/// One conversation.
#[derive(Debug)]
pub(crate) struct Session {
    blocks: Vec<u64>,
    tokens: u64,
    turns_left: u64,
    seed: u64,
}

impl Session {
    /// Creates a conversation of a random organisation; low numbers are more likely.
    pub(crate) fn new(settings: &SessionSettings, seed: u64, rng: &mut SmallRng) -> Self {
        let uniform: f64 = rng.random();
        // With 10 organisations, number 0 has about a third of the conversations, the last one
        // about 5%.
        let organisation = (uniform * uniform * settings.organisations as f64) as u64;
        let (min, max) = settings.prefix_tokens;
        let prefix_tokens = min + mix(organisation) % (max - min + 1);
        let mut session = Self {
            blocks: Vec::new(),
            tokens: 0,
            turns_left: rng.random_range(settings.turns.0..=settings.turns.1),
            seed: organisation + 1,
        };
        session.grow(prefix_tokens, settings.block_tokens);
        session.seed = mix(seed) | 1;
        session
    }

    /// Returns the next turn, or [`None`] if the conversation is over.
    pub(crate) fn turn(
        &mut self,
        settings: &SessionSettings,
        id: usize,
        rng: &mut SmallRng,
    ) -> Option<Job> {
        self.turns_left = self.turns_left.checked_sub(1)?;
        let turn_tokens = rng.random_range(settings.turn_tokens.0..=settings.turn_tokens.1);
        let output_tokens = rng.random_range(settings.output_tokens.0..=settings.output_tokens.1);
        self.grow(turn_tokens, settings.block_tokens);
        let blocks: Arc<[u64]> = self.blocks.as_slice().into();
        let prompt_tokens = self.tokens;
        self.grow(output_tokens, settings.block_tokens);
        Some(Job {
            id,
            answer_blocks: self.blocks[blocks.len()..].into(),
            blocks,
            prompt_tokens,
            output_tokens,
            priority: 0,
        })
    }

    pub(crate) const fn turns_left(&self) -> u64 {
        self.turns_left
    }

    fn grow(&mut self, tokens: u64, block_tokens: u64) {
        self.tokens += tokens;
        while (self.blocks.len() as u64 + 1) * block_tokens <= self.tokens {
            let last = self.blocks.last().copied().unwrap_or(0);
            self.blocks.push(mix(last ^ mix(self.seed)));
        }
    }
}

fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
