//! The heartbeats that a node sends.

use toucan_types::{DataCentreName, FastHashSet, Offset, VmInstance};

use super::data_centres::age_100_ms;
use super::overlay::{partners, ranked};
use super::{Member, Membership};
use crate::{Heartbeat, Introduction, LoadHint, MemberRow, MemberState, PeerTarget};

/// A heartbeat to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingHeartbeat {
    /// Receiver.
    pub to: PeerTarget,
    /// Content.
    pub heartbeat: Heartbeat,
}

impl Membership {
    /// The heartbeats that are to be sent now; call it several times a second.
    pub fn due_heartbeats(
        &mut self,
        now_ms: u64,
        load: LoadHint,
        document_offset: Offset,
    ) -> Vec<OutgoingHeartbeat> {
        self.update_states(now_ms);
        let mut receivers = Vec::new();
        if now_ms >= self.next_heartbeat_ms {
            self.next_heartbeat_ms = now_ms + self.settings.heartbeat_every_ms;
            self.turn += 1;
            receivers.extend(self.next_partner());
        }
        if now_ms >= self.next_suspect_ms {
            self.next_suspect_ms = now_ms + self.settings.retry_suspect_every_ms;
            receivers.extend(self.next_suspect());
            receivers.extend(self.unheard_contacts());
        }
        if now_ms >= self.next_cross_ms {
            self.next_cross_ms = now_ms + self.settings.cross_every_ms;
            receivers.extend(self.cross_receivers());
        }
        if receivers.is_empty() {
            return Vec::new();
        }
        let own = self.heartbeat(now_ms, load, document_offset);
        receivers
            .into_iter()
            .map(|to| OutgoingHeartbeat {
                heartbeat: self.for_data_centre(&to.identity.data_centre, &own),
                to,
            })
            .collect()
    }

    /// Takes in a heartbeat and gives the one that answers it, so that news goes both ways.
    pub fn answer_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now_ms: u64,
        load: LoadHint,
        document_offset: Offset,
    ) -> Heartbeat {
        let own = self.heartbeat(now_ms, load, document_offset);
        self.apply_heartbeat(heartbeat, now_ms);
        let mut answer = self.for_data_centre(&heartbeat.sender.data_centre, &own);
        if heartbeat.sender.data_centre == self.me.data_centre {
            answer.introductions = self.introduce(heartbeat, now_ms);
        }
        answer
    }

    /// What another data centre is told; it knows nothing of the members of this one.
    fn for_data_centre(&self, data_centre: &DataCentreName, own: &Heartbeat) -> Heartbeat {
        if *data_centre == self.me.data_centre {
            return own.clone();
        }
        Heartbeat {
            members: Vec::new(),
            ..own.clone()
        }
    }

    fn heartbeat(&self, now_ms: u64, load: LoadHint, document_offset: Offset) -> Heartbeat {
        let own = || {
            self.members
                .values()
                .filter(|member| member.data_centre == self.me.data_centre)
        };
        let mut members: Vec<MemberRow> = own()
            .filter(|member| member.incarnation.is_some() && !member.is_destroyed())
            .filter_map(|member| {
                Some(MemberRow {
                    member: member.row,
                    age_100_ms: age_100_ms(member.heard_at_ms?, now_ms)?,
                    state: member.declared,
                })
            })
            .collect();
        members.sort_unstable_by_key(|row| row.member);
        Heartbeat {
            sender: self.me.clone(),
            state: self.own_state(),
            load,
            document_offset,
            members,
            data_centres: self.data_centres.rows(now_ms),
            introductions: Vec::new(),
        }
    }

    /// Introduces members of which there is news and of which the asking node says nothing.
    fn introduce(&self, asking: &Heartbeat, now_ms: u64) -> Vec<Introduction> {
        let known: FastHashSet<u32> = asking.members.iter().map(|row| row.member).collect();
        self.members
            .values()
            .filter(|member| member.data_centre == self.me.data_centre)
            .filter(|member| member.instance != asking.sender.instance)
            .filter(|member| !known.contains(&member.row) && !member.is_destroyed())
            .filter(|member| member.last_seen_age_ms(now_ms) < self.settings.suspect_after_ms)
            .filter_map(Member::introduction)
            .take(self.settings.introductions)
            .collect()
    }

    const fn own_state(&self) -> MemberState {
        if self.is_leaving {
            MemberState::Leaving
        } else {
            MemberState::Live
        }
    }

    fn next_partner(&mut self) -> Option<PeerTarget> {
        if self.are_partners_outdated {
            self.are_partners_outdated = false;
            self.partners = self.find_partners();
        }
        let partner = self.partners.get(self.turn % self.partners.len().max(1))?;
        Some(self.members.get(partner)?.target())
    }

    fn find_partners(&self) -> Vec<VmInstance> {
        let reachable: Vec<&VmInstance> = self
            .members
            .values()
            .filter(|member| member.data_centre == self.me.data_centre)
            .filter(|member| matches!(member.state, MemberState::Live | MemberState::Leaving))
            .map(|member| &member.instance)
            .collect();
        let partners = partners(&self.me.instance, &reachable, self.settings.rings);
        partners.into_iter().cloned().collect()
    }

    fn next_suspect(&self) -> Option<PeerTarget> {
        let mut suspects: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.data_centre == self.me.data_centre)
            .filter(|member| member.state == MemberState::Suspect)
            .collect();
        suspects.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        let suspect = suspects.get(self.turn % suspects.len().max(1))?;
        Some(suspect.target())
    }

    fn unheard_contacts(&self) -> Vec<PeerTarget> {
        let is_heard = |contact: &PeerTarget| {
            self.members.values().any(|member| {
                member.vm == contact.identity.vm && member.heard_directly_at_ms.is_some()
            })
        };
        self.contacts
            .iter()
            .filter(|contact| contact.identity.vm != self.me.vm && !is_heard(contact))
            .cloned()
            .collect()
    }

    fn cross_receivers(&self) -> Vec<PeerTarget> {
        let own = self.live_of(&self.me.data_centre);
        let mut receivers = Vec::new();
        for name in self.data_centres.names() {
            let way = (&self.me.data_centre, &name);
            if !ranked(&way, &own, self.settings.delegates).contains(&&self.me.vm) {
                continue;
            }
            let back = (&name, &self.me.data_centre);
            let theirs = self.live_of(&name);
            let delegates = ranked(&back, &theirs, self.settings.delegates);
            let Some(vm) = delegates.get(self.turn % delegates.len().max(1)) else {
                continue;
            };
            receivers.extend(self.live_member(&name, vm).map(Member::target));
        }
        receivers
    }
}
