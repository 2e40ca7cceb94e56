//! Applies which targets leave, tells the other gateways, and asks them after a time without reads of the store.

use rand::seq::IteratorRandom;
use toucan_types::VmName;

use crate::{
    Gateway, Platform,
    peers::PeerMessage,
    placement::{Departure, DepartureAnswer, DepartureQuery},
};

/// Number of gateways that are asked in one round. Some of them may be unable to read the store too.
const ASKED_GATEWAYS: usize = 3;

impl<P: Platform> Gateway<P> {
    /// Records a departure that this gateway has read from the store, and tells the other gateways, which may not be able to
    /// read it.
    pub(crate) fn record_read_departure(&self, departure: Departure) {
        let now_ms = self.now_ms();
        {
            let state = &mut *self.state.borrow_mut();
            state.departures.record(departure.clone(), now_ms);
            let members = &state.members;
            if !members.is_teller(&departure.target, &self.location, now_ms) {
                return;
            }
            state.told_departures.record(departure.clone(), now_ms);
        }
        self.tell_all(PeerMessage::Departures(vec![departure]));
    }

    /// Applies what another gateway has read of targets that leave.
    pub(crate) fn accept_departures(&self, departures: &[Departure], sender: &VmName) {
        let now_ms = self.now_ms();
        let state = &mut *self.state.borrow_mut();
        let age_ms = state.departure_catch_up.age_ms(now_ms);
        for departure in departures {
            state.departures.record(departure.clone(), now_ms);
            let read = state.registration_read(departure.place, now_ms);
            let planned = &mut state.planned_departures;
            planned.record_told(&departure.instance(), read);
            if state.targets.record_departure(departure, now_ms) {
                metrics::counter!("toucan_told_departures_total").increment(1);
                log::info!(target: "target", name = departure.target.as_str(), vm = sender.as_str(), offset = departure.place.offset.0, read_ms_ago = age_ms; "another gateway has read that the target leaves");
            }
        }
    }

    /// Asks a few other gateways for the departures that this one has not read.
    pub(crate) fn ask_departures(&self) {
        let now_ms = self.now_ms();
        let (asked, query) = {
            let state = &mut *self.state.borrow_mut();
            let Some(after) = state.departures.known_to() else {
                return;
            };
            state.departure_catch_up.record_asked(now_ms);
            let live = state.members.live(now_ms).map(|(vm, _member)| vm.clone());
            let mut asked = live.choose_multiple(&mut rand::rng(), ASKED_GATEWAYS);
            if asked.is_empty() {
                // No datagram came for so long that this VM, and not all the others, may be the cause.
                let all = state.members.iter().map(|(vm, _member)| vm.clone());
                asked = all.choose_multiple(&mut rand::rng(), ASKED_GATEWAYS);
            }
            let query = DepartureQuery {
                asked_at_ms: now_ms,
                after,
            };
            (asked, query)
        };
        metrics::counter!("toucan_departure_queries_total").increment(1);
        self.send_to_peers(asked.iter(), PeerMessage::AskDepartures(query));
    }

    /// Answers a gateway that asks for departures.
    pub(crate) fn answer_departure_query(&self, query: DepartureQuery, sender: &VmName) {
        let now_ms = self.now_ms();
        let answer = {
            let state = self.state.borrow();
            let age_ms = state.departure_catch_up.age_ms(now_ms);
            state.departures.answer(query, age_ms)
        };
        if let Some(answer) = answer {
            let message = PeerMessage::DepartureAnswer(answer);
            self.send_to_peers(std::iter::once(sender), message);
        }
    }

    /// Applies an answer to [`Self::ask_departures`].
    pub(crate) fn accept_departure_answer(&self, answer: &DepartureAnswer, sender: &VmName) {
        self.accept_departures(&answer.departures, sender);
        let now_ms = self.now_ms();
        {
            let state = &mut *self.state.borrow_mut();
            if !state.departures.accept(answer, now_ms) {
                return;
            }
            state.departure_catch_up.record_answer(answer, now_ms);
        }
        self.departures_learnt.notify_waiters();
    }

    /// Returns whether calls wait until this gateway knows which targets have left.
    pub(crate) fn holds_calls_for_departures(&self) -> bool {
        let now_ms = self.now_ms();
        let drain_ms = self.bounds().drain_ms;
        let state = self.state.borrow();
        state.departure_catch_up.holds_calls(drain_ms, now_ms)
    }
}
