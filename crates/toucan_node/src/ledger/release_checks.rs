//! Fencing and release of the incarnations of this data centre.

use toucan_ledger::{
    IncarnationStatus, JournalAnswer, LedgerRecord, ListedState, ReleaseDecision, ReleaseFacts,
    ReleasePolicy, missing_journals, open_reservations,
};
use toucan_types::{IncarnationId, Sequence, VmInstance};

use super::{MemberFacts, shard_state::ShardState};
use crate::{
    kernel::Identity,
    shard_sync::{JournalQuery, JournalReply},
};

/// Time after which a decision without effect is carried out again, in milliseconds.
const DECISION_RETRY_MS: u64 = 3_000;
/// Maximum age of the last catch-up with the stream for a decision, in milliseconds.
const MAX_CAUGHT_UP_AGE_MS: u64 = 2_000;

impl ShardState {
    /// Decides on the incarnations of this data centre; returns the journals to query.
    pub(super) fn check_releases(
        &mut self,
        identity: &Identity,
        members: &MemberFacts,
        now_ms: u64,
    ) -> Vec<JournalQuery> {
        let is_caught_up = self
            .caught_up_ms
            .is_some_and(|at_ms| now_ms < at_ms.saturating_add(MAX_CAUGHT_UP_AGE_MS));
        let Some(ledger) = self.ledger().filter(|_| is_caught_up) else {
            return Vec::new();
        };
        let others: Vec<(IncarnationId, VmInstance)> = ledger
            .incarnations()
            .filter(|state| state.data_centre == identity.data_centre)
            .filter(|state| !self.own.contains(&state.incarnation))
            .filter(|state| state.status != IncarnationStatus::Ended)
            .map(|state| (state.incarnation, state.instance.clone()))
            .collect();
        let queries = others.into_iter().filter_map(|(incarnation, instance)| {
            self.check_release(incarnation, &instance, members, now_ms)
        });
        queries.collect()
    }

    fn check_release(
        &mut self,
        incarnation: IncarnationId,
        instance: &VmInstance,
        members: &MemberFacts,
        now_ms: u64,
    ) -> Option<JournalQuery> {
        let facts = self.facts(incarnation, instance, members, now_ms);
        let decision = ReleasePolicy::default().decide(self.ledger()?, incarnation, &facts);
        let next_decision_ms = self
            .next_decision_ms
            .get(&incarnation)
            .copied()
            .unwrap_or_default();
        if matches!(
            decision,
            ReleaseDecision::NoAction | ReleaseDecision::WaitForProof
        ) || now_ms < next_decision_ms
        {
            return None;
        }
        self.next_decision_ms
            .insert(incarnation, now_ms.saturating_add(DECISION_RETRY_MS));
        match decision {
            ReleaseDecision::NoAction | ReleaseDecision::WaitForProof => None,
            ReleaseDecision::Fence(evidence) => {
                log::warn!("shard {}: incarnation {incarnation} is fenced", self.shard);
                let _full = self.batcher.submit(LedgerRecord::Fence {
                    incarnation,
                    evidence,
                });
                None
            }
            ReleaseDecision::WaitForJournals => Some(JournalQuery {
                shard: self.shard,
                incarnation,
            }),
            ReleaseDecision::WaitForRecords => {
                self.collect_journals(incarnation);
                None
            }
            ReleaseDecision::Release(proof) => {
                log::warn!(
                    "shard {}: incarnation {incarnation} is released",
                    self.shard
                );
                let open_reservations = open_reservations(&self.answers(incarnation));
                let _full = self.batcher.submit(LedgerRecord::Release {
                    incarnation,
                    proof,
                    open_reservations,
                });
                None
            }
        }
    }

    fn facts(
        &mut self,
        incarnation: IncarnationId,
        instance: &VmInstance,
        members: &MemberFacts,
        now_ms: u64,
    ) -> ReleaseFacts {
        let first_seen_ms = *self.first_seen_ms.entry(incarnation).or_insert(now_ms);
        let since_seen_ms = now_ms.saturating_sub(first_seen_ms);
        let known = members.instances.get(instance).copied();
        let (silent_ms, listed) = known.unwrap_or((since_seen_ms, ListedState::Unlisted));
        let answers = self.answers(incarnation);
        let missing_journals = self.ledger().map_or_else(Vec::new, |ledger| {
            missing_journals(ledger, incarnation, &answers)
        });
        ReleaseFacts {
            silent_ms: silent_ms.min(since_seen_ms),
            listed,
            listed_at_ms: members.listed_at_ms,
            missing_journals,
            last_journaled: answers
                .iter()
                .map(|answer| answer.collected)
                .max()
                .unwrap_or_default(),
        }
    }

    /// Returns the journal answers on an incarnation, of this node and of those that replied.
    fn answers(&self, incarnation: IncarnationId) -> Vec<JournalAnswer> {
        let replies = self.journals.get(&incarnation).into_iter().flatten();
        let mut answers: Vec<_> = replies.flat_map(|reply| reply.answers.clone()).collect();
        answers.extend(self.own_answers(incarnation));
        answers
    }

    /// Returns this node's journal answer, once for each of its incarnations in the shard.
    fn own_answers(&self, incarnation: IncarnationId) -> Vec<JournalAnswer> {
        let answer = self.own_answer(incarnation);
        let holders = self.own.iter();
        let named = holders.map(|holder| JournalAnswer {
            holder: *holder,
            ..answer.clone()
        });
        named.collect()
    }

    fn own_answer(&self, incarnation: IncarnationId) -> JournalAnswer {
        let mut answer = self.batcher.journal_of(incarnation);
        answer.confirmed = answer
            .confirmed
            .max(self.replicas.confirmed_by(incarnation));
        answer.collected = answer.collected.max(self.replicas.last_of(incarnation));
        answer
            .open_reservations
            .extend(self.replicas.opens_of(incarnation));
        answer
    }

    /// Returns this node's journal of an incarnation, for another batcher.
    pub(super) fn journal_reply(&self, query: JournalQuery) -> JournalReply {
        let incarnation = query.incarnation;
        let mut records = self.batcher.records_of(incarnation);
        if records.is_empty() {
            records = self.replicas.records_of(incarnation);
        }
        JournalReply {
            shard: self.shard,
            incarnation,
            answers: self.own_answers(incarnation),
            records,
        }
    }

    /// Records another node's journal of an incarnation.
    pub(super) fn record_journal(&mut self, reply: JournalReply) {
        let incarnation = reply.incarnation;
        let journals = self.journals.entry(incarnation).or_default();
        let holder = |known: &JournalReply| known.answers.first().map(|answer| answer.holder);
        journals.retain(|known| holder(known) != holder(&reply));
        journals.push(reply);
        self.collect_journals(incarnation);
        // The journal may change the decision.
        self.next_decision_ms.remove(&incarnation);
    }

    fn collect_journals(&mut self, incarnation: IncarnationId) {
        self.collect_journal_records(incarnation, self.replicas.records_of(incarnation));
        let journals = self.journals.get(&incarnation).cloned().unwrap_or_default();
        for journal in journals {
            self.collect_journal_records(incarnation, journal.records);
        }
    }

    /// Collects an incarnation's records from a journal, which starts after those read back.
    pub(super) fn collect_journal_records(
        &mut self,
        incarnation: IncarnationId,
        records: Vec<LedgerRecord>,
    ) {
        let Some((_, first)) = records.first().and_then(LedgerRecord::number) else {
            return;
        };
        let read_back = Sequence(first.0.saturating_sub(1));
        // Records that do not fit stay in the journal and are submitted again with the next decision.
        let _full = self.batcher.collect(incarnation, read_back, records);
    }
}
