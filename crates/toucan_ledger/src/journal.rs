//! Journals that a release requires.

use serde::{Deserialize, Serialize};
use toucan_types::{BillId, FastHashMap, IncarnationId, Offset, Sequence};

use crate::{IncarnationState, IncarnationStatus, Ledger, OpenReservation};

/// Contents of one node's journal of a crashed incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalAnswer {
    /// Incarnation that holds the journal.
    pub holder: IncarnationId,
    /// Offset up to which the crashed incarnation knew the log when it confirmed this holder.
    pub confirmed: Option<Offset>,
    /// Last sequence number of the crashed incarnation that this holder had received.
    pub collected: Sequence,
    /// Open reservations of the crashed incarnation that this holder knows.
    pub open_reservations: Vec<OpenReservation>,
}

/// Returns the incarnations that may hold a journal of a crashed incarnation and have not answered.
///
/// The ledger must have been read to the end of the log after the termination was proven. A peer
/// cannot matter if it shut down, if it was fenced before the crashed incarnation was announced, or
/// if the crashed incarnation confirmed an answering holder after the peer's fence: a node sends
/// nothing to a peer whose fence it has read.
#[must_use]
pub fn missing_journals(
    ledger: &Ledger,
    crashed: IncarnationId,
    answers: &[JournalAnswer],
) -> Vec<IncarnationId> {
    let Some(state) = ledger.incarnation(crashed) else {
        return Vec::new();
    };
    let confirmed = answers.iter().filter_map(|answer| answer.confirmed).max();
    let missing = ledger.incarnations().filter(|peer| {
        let answered = answers
            .iter()
            .any(|answer| answer.holder == peer.incarnation);
        !answered && may_hold_journal(peer, state, confirmed)
    });
    missing.map(|peer| peer.incarnation).collect()
}

fn may_hold_journal(
    peer: &IncarnationState,
    crashed: &IncarnationState,
    confirmed: Option<Offset>,
) -> bool {
    let excluded =
        peer.incarnation == crashed.incarnation || peer.data_centre != crashed.data_centre;
    if excluded || peer.status == IncarnationStatus::Ended {
        return false;
    }
    let Some(fenced_at) = peer.fenced_at else {
        return true;
    };
    let fenced_before = fenced_at < crashed.announced_at;
    !fenced_before && confirmed.is_none_or(|confirmed| confirmed < fenced_at)
}

/// Returns the open reservations of all answers, each bill once.
#[must_use]
pub fn open_reservations(answers: &[JournalAnswer]) -> Vec<OpenReservation> {
    let mut by_bill = FastHashMap::<BillId, &OpenReservation>::default();
    for reservation in answers.iter().flat_map(|answer| &answer.open_reservations) {
        by_bill.entry(reservation.bill).or_insert(reservation);
    }
    by_bill.into_values().cloned().collect()
}
