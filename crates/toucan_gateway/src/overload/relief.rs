//! Moves callers from a gateway that carries much more than the others of its data centre.

use super::{ReliefPhase, UtilisationReport};

/// Utilisation from which a gateway may need relief.
const MIN_UTILISATION_PERMILLE: u32 = 600;
/// Multiple of the mean utilisation of the others from which a gateway needs relief.
const UTILISATION_FACTOR: u32 = 2;
/// Number of other gateways whose utilisation has to be known.
const MIN_PEERS: usize = 3;
/// Part of the gateways of a data centre that get relief at the same time.
const GATEWAYS_PER_RELIEF: usize = 4;
/// Time for which a gateway asks for relief before it closes connections. The gateways that ask at the same
/// time hear of each other by then.
const ASKING_MS: u64 = 2_000;
/// Time for which a gateway gets relief.
const RELIEF_MS: u64 = 4_000;
/// Time from the start until the gateway may ask for relief. Together with [`RELIEF_MS`] it bounds the part of
/// its lifetime in which it is not ready to a tenth.
const FIRST_REST_MS: u64 = 36_000;
/// Time from the end of a relief until the gateway may ask for the next one.
const REST_MS: u64 = 56_000;
/// Age above which a report is ignored.
const MAX_REPORT_AGE_MS: u64 = 3_000;

/// Whether this gateway closes callers' connections and is not ready, because it carries too much.
#[derive(Clone, Copy, Debug)]
pub struct Relief {
    phase: ReliefPhase,
    since_ms: u64,
    rests_until_ms: u64,
}

impl Relief {
    /// Creates the state of a gateway that has just started.
    #[must_use]
    pub const fn new(now_ms: u64) -> Self {
        Self {
            phase: ReliefPhase::None,
            since_ms: now_ms,
            rests_until_ms: now_ms + FIRST_REST_MS,
        }
    }

    /// Returns the phase.
    #[must_use]
    pub const fn phase(&self) -> ReliefPhase {
        self.phase
    }

    /// Returns whether callers are to be moved to other gateways.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.phase == ReliefPhase::Active
    }

    /// Decides anew, by the utilisation of this gateway and by the reports of the other live gateways of its
    /// data centre. `id` orders gateways that ask at the same time.
    pub fn update(
        &mut self,
        id: u64,
        utilisation_permille: u32,
        reports: &[UtilisationReport],
        now_ms: u64,
    ) {
        let is_recent = |report: &&UtilisationReport| {
            now_ms.saturating_sub(report.received_at_ms) <= MAX_REPORT_AGE_MS
        };
        let peers: Vec<&UtilisationReport> = reports.iter().filter(is_recent).collect();
        let elapsed_ms = now_ms.saturating_sub(self.since_ms);
        let is_needed = needs_relief(utilisation_permille, &peers);
        match self.phase {
            ReliefPhase::None if is_needed && now_ms >= self.rests_until_ms => {
                self.enter(ReliefPhase::Asking, now_ms);
            }
            ReliefPhase::Asking if !is_needed => self.enter(ReliefPhase::None, now_ms),
            ReliefPhase::Asking if elapsed_ms >= ASKING_MS => {
                let is_before = |peer: &&&UtilisationReport| match peer.phase {
                    ReliefPhase::None => false,
                    ReliefPhase::Asking => peer.id < id,
                    ReliefPhase::Active => true,
                };
                let before = peers.iter().filter(is_before).count();
                if before < (peers.len() + 1) / GATEWAYS_PER_RELIEF {
                    self.enter(ReliefPhase::Active, now_ms);
                }
            }
            // A gateway that hears from too few others must not be missing as well.
            ReliefPhase::Active if elapsed_ms >= RELIEF_MS || peers.len() < MIN_PEERS => {
                self.rests_until_ms = now_ms + REST_MS;
                self.enter(ReliefPhase::None, now_ms);
            }
            _ => {}
        }
    }

    fn enter(&mut self, phase: ReliefPhase, now_ms: u64) {
        self.phase = phase;
        self.since_ms = now_ms;
    }
}

fn needs_relief(utilisation_permille: u32, peers: &[&UtilisationReport]) -> bool {
    if peers.len() < MIN_PEERS || utilisation_permille < MIN_UTILISATION_PERMILLE {
        return false;
    }
    let total: u64 = peers
        .iter()
        .map(|peer| u64::from(peer.utilisation_permille))
        .sum();
    u64::from(utilisation_permille) * peers.len() as u64 >= total * u64::from(UTILISATION_FACTOR)
}
