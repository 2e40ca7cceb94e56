//! Applies records on the status of incarnations: announce, fence, release, succeed, shutdown.

use toucan_types::{
    DataCentreName, FastHashMap, FastHashSet, IncarnationId, Offset, Tokens, VmInstance, VmName,
};

use crate::account::IncarnationIndex;
use crate::ledger::{Retained, Step, index_of};
use crate::{
    ANNOUNCE_SEQUENCE, IncarnationState, IncarnationStatus, Ledger, LedgerEvent, LedgerRecord,
    OpenReservation, ReleaseProof,
};

impl Ledger {
    pub(crate) fn announce(&mut self, record: &LedgerRecord, step: &mut Step<'_>) {
        let LedgerRecord::Announce {
            incarnation,
            process,
            vm,
            instance,
            data_centre,
        } = record
        else {
            return;
        };
        let incarnation = *incarnation;
        let index = self.incarnation_or_placeholder(incarnation);
        let state = &mut self.incarnations[index as usize];
        if state.watermark >= ANNOUNCE_SEQUENCE {
            let sequence = ANNOUNCE_SEQUENCE;
            step.events.push(LedgerEvent::Duplicate {
                incarnation,
                sequence,
            });
            return;
        }
        state.process = *process;
        state.vm = vm.clone();
        state.instance = instance.clone();
        state.data_centre = data_centre.clone();
        state.announced_at = step.offset;
        state.watermark = ANNOUNCE_SEQUENCE;
        step.events.push(LedgerEvent::Announced { incarnation });
    }

    /// Returns the index of an incarnation.
    ///
    /// One that a transfer names before its announce is added as a placeholder without names.
    pub(crate) fn incarnation_or_placeholder(
        &mut self,
        incarnation: IncarnationId,
    ) -> IncarnationIndex {
        if let Some(index) = self.incarnation_index.get(&incarnation) {
            return *index;
        }
        self.add_incarnation(IncarnationState {
            incarnation,
            process: incarnation,
            vm: VmName::default(),
            instance: VmInstance::default(),
            data_centre: DataCentreName::default(),
            announced_at: self.next_offset,
            watermark: toucan_types::Sequence(0),
            status: IncarnationStatus::Live,
            succeeded_by: None,
            fenced_at: None,
            status_since_ms: self.log_time_ms,
        })
    }

    pub(crate) fn add_incarnation(&mut self, state: IncarnationState) -> IncarnationIndex {
        let index = index_of(self.incarnations.len());
        self.incarnation_index.insert(state.incarnation, index);
        self.incarnations.push(state);
        index
    }

    pub(crate) fn fence(&mut self, incarnation: IncarnationId, step: &mut Step<'_>) {
        let Some(index) = self.incarnation_index.get(&incarnation).copied() else {
            return;
        };
        if self.incarnations[index as usize].status == IncarnationStatus::Live {
            self.set_status(index, IncarnationStatus::Fenced);
            step.events.push(LedgerEvent::Fenced { incarnation });
        }
    }

    fn set_status(&mut self, index: IncarnationIndex, status: IncarnationStatus) {
        let offset = Offset(self.next_offset.0.saturating_sub(1));
        let state = &mut self.incarnations[index as usize];
        if matches!(
            status,
            IncarnationStatus::Fenced | IncarnationStatus::Released
        ) {
            state.fenced_at.get_or_insert(offset);
        }
        state.status = status;
        state.status_since_ms = self.log_time_ms;
    }

    /// Returns what a crashed incarnation holds, less what open reservations may have spent.
    ///
    /// A second release of the same incarnation returns what arrived in between. Tokens retained
    /// for open reservations stay retained, unless the proof is [`ReleaseProof::Operator`].
    pub(crate) fn release(
        &mut self,
        incarnation: IncarnationId,
        proof: &ReleaseProof,
        open: &[OpenReservation],
        step: &mut Step<'_>,
    ) {
        let index = self.incarnation_index.get(&incarnation).copied();
        let Some(index) = index.filter(|index| self.is_proof_valid(*index, proof)) else {
            step.events
                .push(LedgerEvent::ReleaseRefused { incarnation });
            return;
        };
        self.set_status(index, IncarnationStatus::Released);
        if *proof == ReleaseProof::Operator {
            self.retained
                .retain(|_, retained| retained.incarnation != index);
        }
        let mut kept = self.retain_open_reservations(index, open);
        let (mut returned, mut retained) = (0, 0);
        for (account_index, account) in self.accounts.iter_mut() {
            let Some(slot) = account.slot(index) else {
                continue;
            };
            let amount = slot.amount_tokens;
            let keep = kept.remove(&account_index).unwrap_or(0);
            let taken = account.take_from_slot(index, amount - keep);
            account.return_tokens(taken);
            returned = u64::saturating_add(returned, taken);
            retained = u64::saturating_add(retained, keep);
            self.touched.push(account_index);
        }
        step.events.push(LedgerEvent::Released {
            incarnation,
            returned_tokens: Tokens(returned),
            retained_tokens: Tokens(retained),
        });
    }

    /// Retains tokens for open reservations that are not billed and returns the sums by account.
    fn retain_open_reservations(
        &mut self,
        index: IncarnationIndex,
        open: &[OpenReservation],
    ) -> FastHashMap<u32, u64> {
        let mut kept = FastHashMap::<u32, u64>::default();
        for retained in self
            .retained
            .values()
            .filter(|kept| kept.incarnation == index)
        {
            let sum = kept.entry(retained.account).or_default();
            *sum = u64::saturating_add(*sum, retained.tokens);
        }
        for reservation in open {
            let Some(account) = self.accounts.find(&reservation.budget) else {
                continue;
            };
            let known = self.retained.contains_key(&reservation.bill);
            if known || self.bills.billed_tokens(reservation.bill).is_some() {
                continue;
            }
            let slot = self.accounts[account].slot(index);
            let amount = slot.map_or(0, |slot| slot.amount_tokens);
            let sum = kept.entry(account).or_default();
            let tokens = reservation
                .reserved_tokens
                .0
                .min(amount.saturating_sub(*sum));
            if tokens > 0 {
                *sum += tokens;
                let retained = Retained {
                    account,
                    incarnation: index,
                    tokens,
                };
                self.retained.insert(reservation.bill, retained);
            }
        }
        kept
    }

    /// Returns whether a proof agrees with the stream's own records of the incarnation.
    fn is_proof_valid(&self, index: IncarnationIndex, proof: &ReleaseProof) -> bool {
        let state = &self.incarnations[index as usize];
        if state.status == IncarnationStatus::Ended {
            return false;
        }
        match proof {
            ReleaseProof::Operator => true,
            ReleaseProof::InstanceGone { instance, .. } => *instance == state.instance,
            ReleaseProof::Successor(successor) => state.succeeded_by == Some(*successor),
        }
    }

    /// Records the writer's statement that the process of an earlier incarnation has terminated.
    pub(crate) fn succeed(
        &mut self,
        index: IncarnationIndex,
        predecessor: IncarnationId,
        step: &mut Step<'_>,
    ) {
        let writer = self.incarnations[index as usize].clone();
        let Some(index) = self.incarnation_index.get(&predecessor).copied() else {
            return;
        };
        let state = &mut self.incarnations[index as usize];
        if writer.succeeds(state) && state.succeeded_by.is_none() {
            state.succeeded_by = Some(writer.incarnation);
            let successor = writer.incarnation;
            step.events.push(LedgerEvent::Succeeded {
                incarnation: predecessor,
                successor,
            });
        }
    }

    pub(crate) fn apply_shutdown_notice(&mut self, index: IncarnationIndex, step: &mut Step<'_>) {
        self.set_status(index, IncarnationStatus::Ended);
        let incarnation = self.incarnations[index as usize].incarnation;
        // Transfers in transit to it were never received: a receipt would precede this record.
        self.transits
            .retain(|_, transit| transit.received || transit.to != incarnation);
        let mut returned = 0;
        for (account_index, account) in self.accounts.iter_mut() {
            let taken = account.take_from_slot(index, u64::MAX);
            if taken > 0 {
                account.return_tokens(taken);
                returned = u64::saturating_add(returned, taken);
                self.touched.push(account_index);
            }
        }
        let returned_tokens = Tokens(returned);
        step.events.push(LedgerEvent::ShutdownNotice {
            incarnation,
            returned_tokens,
        });
    }

    pub(crate) fn forget_ended_incarnations(&mut self) {
        let window_ms = self.settings.ended_incarnation_window_ms;
        let horizon_ms = self.log_time_ms.saturating_sub(window_ms);
        let incarnations = &self.incarnations;
        let forgettable = |index: IncarnationIndex| {
            let state = &incarnations[index as usize];
            let is_ended = matches!(
                state.status,
                IncarnationStatus::Released | IncarnationStatus::Ended
            );
            is_ended && state.status_since_ms < horizon_ms
        };
        if !self
            .incarnation_index
            .values()
            .any(|index| forgettable(*index))
        {
            return;
        }
        let slots = self.accounts.iter().flat_map(|(_, account)| &account.slots);
        let holders: FastHashSet<IncarnationIndex> = slots.map(|slot| slot.incarnation).collect();
        self.incarnation_index
            .retain(|_, index| holders.contains(index) || !forgettable(*index));
    }
}
