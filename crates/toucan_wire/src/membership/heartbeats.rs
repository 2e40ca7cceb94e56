//! Heartbeats that a node sends.

use toucan_types::{DataCentreName, FastHashSet, Offset, VmInstance};

use super::data_centres::age_100_ms;
use super::overlay::{partners, ranked};
use super::{Member, Membership};
use crate::{Heartbeat, Introduction, LoadHint, MemberDigest, MemberState, PeerTarget};

/// A heartbeat and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingHeartbeat {
    /// The receiver.
    pub to: PeerTarget,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

impl Membership {
    /// Returns the heartbeats to send now; must be called several times a second.
    pub fn due_heartbeats(
        &mut self,
        now_ms: u64,
        load: LoadHint,
        document_offset: Offset,
    ) -> Vec<OutgoingHeartbeat> {
        self.update_states(now_ms);
        let mut receivers = Vec::new();
        if now_ms >= self.next_heartbeat_ms {
            self.next_heartbeat_ms = now_ms + self.settings.heartbeat_interval_ms;
            self.round += 1;
            receivers.extend(self.next_partner());
        }
        if now_ms >= self.next_suspect_ms {
            self.next_suspect_ms = now_ms + self.settings.suspect_retry_interval_ms;
            receivers.extend(self.next_suspect());
            receivers.extend(self.unseen_contacts());
        }
        if now_ms >= self.next_cross_data_centre_ms {
            self.next_cross_data_centre_ms = now_ms + self.settings.cross_data_centre_interval_ms;
            receivers.extend(self.cross_data_centre_receivers());
        }
        if receivers.is_empty() {
            return Vec::new();
        }
        let own = self.heartbeat(now_ms, load, document_offset);
        receivers
            .into_iter()
            .map(|to| OutgoingHeartbeat {
                heartbeat: self.scoped_to(&to.identity.data_centre, &own),
                to,
            })
            .collect()
    }

    /// Applies a heartbeat and returns the one to reply with, so that both nodes learn from the
    /// exchange.
    pub fn answer_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now_ms: u64,
        load: LoadHint,
        document_offset: Offset,
    ) -> Heartbeat {
        let own = self.heartbeat(now_ms, load, document_offset);
        self.apply_heartbeat(heartbeat, now_ms);
        let mut reply = self.scoped_to(&heartbeat.sender.data_centre, &own);
        if heartbeat.sender.data_centre == self.local.data_centre {
            reply.introductions = self.introductions_for(heartbeat, now_ms);
        }
        reply
    }

    /// Returns the heartbeat for a receiver in a data centre; other data centres do not track the
    /// members of this one.
    fn scoped_to(&self, data_centre: &DataCentreName, own: &Heartbeat) -> Heartbeat {
        if *data_centre == self.local.data_centre {
            return own.clone();
        }
        Heartbeat {
            members: Vec::new(),
            ..own.clone()
        }
    }

    fn heartbeat(&self, now_ms: u64, load: LoadHint, document_offset: Offset) -> Heartbeat {
        let own_members = || {
            self.members
                .values()
                .filter(|member| member.data_centre == self.local.data_centre)
        };
        let mut members: Vec<MemberDigest> = own_members()
            .filter(|member| member.incarnation.is_some() && !member.is_destroyed())
            .filter_map(|member| {
                Some(MemberDigest {
                    member: member.id_hash,
                    age_100_ms: age_100_ms(member.last_seen_at_ms?, now_ms)?,
                    state: member.reported_state,
                })
            })
            .collect();
        members.sort_unstable_by_key(|digest| digest.member);
        Heartbeat {
            sender: self.local.clone(),
            state: self.own_state(),
            load,
            document_offset,
            members,
            data_centres: self.data_centres.digests(now_ms),
            introductions: Vec::new(),
        }
    }

    /// Returns recently seen members that the sender of the request does not list.
    fn introductions_for(&self, request: &Heartbeat, now_ms: u64) -> Vec<Introduction> {
        let known: FastHashSet<u32> = request.members.iter().map(|digest| digest.member).collect();
        self.members
            .values()
            .filter(|member| member.data_centre == self.local.data_centre)
            .filter(|member| member.instance != request.sender.instance)
            .filter(|member| !known.contains(&member.id_hash) && !member.is_destroyed())
            .filter(|member| member.last_seen_age_ms(now_ms) < self.settings.suspect_after_ms)
            .filter_map(Member::introduction)
            .take(self.settings.max_introductions)
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
            self.partners = self.choose_partners();
        }
        let partner = self.partners.get(self.round % self.partners.len().max(1))?;
        Some(self.members.get(partner)?.target())
    }

    fn choose_partners(&self) -> Vec<VmInstance> {
        let reachable: Vec<&VmInstance> = self
            .members
            .values()
            .filter(|member| member.data_centre == self.local.data_centre)
            .filter(|member| matches!(member.state, MemberState::Live | MemberState::Leaving))
            .map(|member| &member.instance)
            .collect();
        let partners = partners(&self.local.instance, &reachable, self.settings.rings);
        partners.into_iter().cloned().collect()
    }

    fn next_suspect(&self) -> Option<PeerTarget> {
        let mut suspects: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.data_centre == self.local.data_centre)
            .filter(|member| member.state == MemberState::Suspect)
            .collect();
        suspects.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        let suspect = suspects.get(self.round % suspects.len().max(1))?;
        Some(suspect.target())
    }

    fn unseen_contacts(&self) -> Vec<PeerTarget> {
        let is_seen = |contact: &PeerTarget| {
            self.members.values().any(|member| {
                member.vm == contact.identity.vm && member.last_contact_at_ms.is_some()
            })
        };
        self.contacts
            .iter()
            .filter(|contact| contact.identity.vm != self.local.vm && !is_seen(contact))
            .cloned()
            .collect()
    }

    fn cross_data_centre_receivers(&self) -> Vec<PeerTarget> {
        let own_vms = self.live_vms_in(&self.local.data_centre);
        let mut receivers = Vec::new();
        for name in self.data_centres.names() {
            let outbound = (&self.local.data_centre, &name);
            if !ranked(&outbound, &own_vms, self.settings.delegates).contains(&&self.local.vm) {
                continue;
            }
            let inbound = (&name, &self.local.data_centre);
            let their_vms = self.live_vms_in(&name);
            let delegates = ranked(&inbound, &their_vms, self.settings.delegates);
            let Some(vm) = delegates.get(self.round % delegates.len().max(1)) else {
                continue;
            };
            receivers.extend(self.live_member(&name, vm).map(Member::target));
        }
        receivers
    }
}
