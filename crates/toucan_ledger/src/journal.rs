//! Whose journals a release needs.

use serde::{Deserialize, Serialize};
use toucan_types::{BillId, FastHashMap, IncarnationId, Offset, Sequence};

use crate::{IncarnationState, IncarnationStatus, Ledger, OpenReservation};

/// What one node can say of a dead incarnation's journal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalAnswer {
    /// Incarnation that answers.
    pub holder: IncarnationId,
    /// Last offset that the dead incarnation knew when it confirmed this holder.
    pub confirmed: Option<Offset>,
    /// Last of the dead incarnation's numbers that this holder had.
    pub collected: Sequence,
    /// Its open reservations that this holder knows.
    pub open_reservations: Vec<OpenReservation>,
}

/// Incarnations whose journal of a dead one may matter and is not among the answers.
///
/// The ledger must have been read to the end of the log after the death was proven. A peer does not
/// matter if it said farewell, if it was fenced before the dead incarnation was announced, or if a
/// holder that answers was confirmed by the dead incarnation after the peer's fence: a node hands
/// nothing to a peer whose fence it has read.
#[must_use]
pub fn missing_journals(
    ledger: &Ledger,
    dead: IncarnationId,
    answers: &[JournalAnswer],
) -> Vec<IncarnationId> {
    let Some(state) = ledger.incarnation(dead) else {
        return Vec::new();
    };
    let confirmed = answers.iter().filter_map(|answer| answer.confirmed).max();
    let missing = ledger.incarnations().filter(|peer| {
        let answered = answers
            .iter()
            .any(|answer| answer.holder == peer.incarnation);
        !answered && may_hold(peer, state, confirmed)
    });
    missing.map(|peer| peer.incarnation).collect()
}

fn may_hold(peer: &IncarnationState, dead: &IncarnationState, confirmed: Option<Offset>) -> bool {
    let other = peer.incarnation == dead.incarnation || peer.data_centre != dead.data_centre;
    if other || peer.status == IncarnationStatus::Ended {
        return false;
    }
    let Some(fenced_at) = peer.fenced_at else {
        return true;
    };
    let fenced_before = fenced_at < dead.announced_at;
    !fenced_before && confirmed.is_none_or(|confirmed| confirmed < fenced_at)
}

/// The open reservations of all answers, each bill once.
#[must_use]
pub fn open_reservations(answers: &[JournalAnswer]) -> Vec<OpenReservation> {
    let mut by_bill = FastHashMap::<BillId, &OpenReservation>::default();
    for reservation in answers.iter().flat_map(|answer| &answer.open_reservations) {
        by_bill.entry(reservation.bill).or_insert(reservation);
    }
    by_bill.into_values().cloned().collect()
}
