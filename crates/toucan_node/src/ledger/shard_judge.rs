//! Verdicts on the incarnations of this data centre.

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

/// Time after which a verdict that changed nothing is acted on again, in milliseconds.
const JUDGE_AGAIN_MS: u64 = 3_000;
/// Longest time since the fold reached the end of the stream for a verdict, in milliseconds.
const CAUGHT_UP_MS: u64 = 2_000;

impl ShardState {
    /// Judges the incarnations of this data centre; gives those whose journals are asked for.
    pub(super) fn judge_all(
        &mut self,
        identity: &Identity,
        members: &MemberFacts,
        now_ms: u64,
    ) -> Vec<JournalQuery> {
        let is_caught_up = self
            .caught_up_ms
            .is_some_and(|at_ms| now_ms < at_ms.saturating_add(CAUGHT_UP_MS));
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
        let judged = others.into_iter().filter_map(|(incarnation, instance)| {
            self.judge(incarnation, &instance, members, now_ms)
        });
        judged.collect()
    }

    fn judge(
        &mut self,
        incarnation: IncarnationId,
        instance: &VmInstance,
        members: &MemberFacts,
        now_ms: u64,
    ) -> Option<JournalQuery> {
        let facts = self.facts(incarnation, instance, members, now_ms);
        let verdict = ReleasePolicy::default().decide(self.ledger()?, incarnation, &facts);
        let again_at_ms = self
            .judged_ms
            .get(&incarnation)
            .copied()
            .unwrap_or_default();
        if matches!(
            verdict,
            ReleaseDecision::NoAction | ReleaseDecision::WaitForProof
        ) || now_ms < again_at_ms
        {
            return None;
        }
        self.judged_ms
            .insert(incarnation, now_ms.saturating_add(JUDGE_AGAIN_MS));
        match verdict {
            ReleaseDecision::NoAction | ReleaseDecision::WaitForProof => None,
            ReleaseDecision::Fence(evidence) => {
                log::warn!("shard {}: incarnation {incarnation} is fenced", self.shard);
                let _full = self.gatherer.submit(LedgerRecord::Fence {
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
                self.adopt_journals(incarnation);
                None
            }
            ReleaseDecision::Release(proof) => {
                log::warn!(
                    "shard {}: incarnation {incarnation} is released",
                    self.shard
                );
                let open_reservations = open_reservations(&self.answers(incarnation));
                let _full = self.gatherer.submit(LedgerRecord::Release {
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

    /// What this node and those that answered know of an incarnation's journal.
    fn answers(&self, incarnation: IncarnationId) -> Vec<JournalAnswer> {
        let elsewhere = self.journals.get(&incarnation).into_iter().flatten();
        let mut answers: Vec<_> = elsewhere.flat_map(|reply| reply.answers.clone()).collect();
        answers.extend(self.own_answers(incarnation));
        answers
    }

    /// What this node knows, in the name of each of its incarnations in the shard.
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
        let mut answer = self.gatherer.journal_of(incarnation);
        answer.confirmed = answer.confirmed.max(self.copies.confirmed_by(incarnation));
        answer.collected = answer.collected.max(self.copies.last_of(incarnation));
        answer
            .open_reservations
            .extend(self.copies.opens_of(incarnation));
        answer
    }

    /// What this node holds of an incarnation, for another gatherer.
    pub(super) fn journal(&self, query: JournalQuery) -> JournalReply {
        let incarnation = query.incarnation;
        let mut records = self.gatherer.records_of(incarnation);
        if records.is_empty() {
            records = self.copies.records_of(incarnation);
        }
        JournalReply {
            shard: self.shard,
            incarnation,
            answers: self.own_answers(incarnation),
            records,
        }
    }

    /// Takes another node's journal of an incarnation.
    pub(super) fn journal_held(&mut self, reply: JournalReply) {
        let incarnation = reply.incarnation;
        let journals = self.journals.entry(incarnation).or_default();
        let holders = |known: &JournalReply| known.answers.first().map(|answer| answer.holder);
        journals.retain(|known| holders(known) != holders(&reply));
        journals.push(reply);
        self.adopt_journals(incarnation);
        // The verdict can change now.
        self.judged_ms.remove(&incarnation);
    }

    fn adopt_journals(&mut self, incarnation: IncarnationId) {
        self.adopt(incarnation, self.copies.records_of(incarnation));
        let journals = self.journals.get(&incarnation).cloned().unwrap_or_default();
        for journal in journals {
            self.adopt(incarnation, journal.records);
        }
    }

    /// Takes records of an incarnation from a journal, which starts after what was read back.
    pub(super) fn adopt(&mut self, incarnation: IncarnationId, records: Vec<LedgerRecord>) {
        let Some((_, first)) = records.first().and_then(LedgerRecord::number) else {
            return;
        };
        let read_back = Sequence(first.0.saturating_sub(1));
        // What does not fit now stays in its journal and is offered again with the next verdict.
        let _left = self.gatherer.collect(incarnation, read_back, records);
    }
}
