//! Which VM has a role, and what a node can reach.

use rand::Rng;
use toucan_types::{DataCentreName, Offset, ShardIndex, VmInstance, VmName};

use super::overlay::ranked;
use super::{Connectivity, DataCentreView, Member, Membership};
use crate::{MemberState, PeerTarget};

/// Longest delay before a node that was cut off asks others again, in milliseconds.
const REJOIN_LIMIT_MS: u64 = 10_000;

impl Membership {
    /// Names of the live VMs of a data centre, this one included unless it leaves.
    pub(super) fn live_of(&self, data_centre: &DataCentreName) -> Vec<&VmName> {
        let is_mine = *data_centre == self.me.data_centre && !self.is_leaving;
        self.members
            .values()
            .filter(|member| member.state == MemberState::Live)
            .filter(|member| member.data_centre == *data_centre)
            .map(|member| &member.vm)
            .chain(is_mine.then_some(&self.me.vm))
            .collect()
    }

    pub(super) fn live_member(&self, data_centre: &DataCentreName, vm: &VmName) -> Option<&Member> {
        self.members
            .values()
            .filter(|member| member.state == MemberState::Live)
            .find(|member| member.vm == *vm && member.data_centre == *data_centre)
    }

    /// The live VM of the data centre that gathers the records of a shard; this one if alone.
    #[must_use]
    pub fn batcher(&self, shard: ShardIndex) -> &VmName {
        let live = self.live_of(&self.me.data_centre);
        let first = ranked(&shard, &live, 1).first().copied();
        first.unwrap_or(&self.me.vm)
    }

    /// Whether this node gathers the records of a shard.
    #[must_use]
    pub fn is_batcher(&self, shard: ShardIndex) -> bool {
        *self.batcher(shard) == self.me.vm
    }

    /// The first `count` live VMs of the data centre for a shard, the gatherer first.
    #[must_use]
    pub fn ranked(&self, shard: ShardIndex, count: usize) -> Vec<&VmName> {
        ranked(&shard, &self.live_of(&self.me.data_centre), count)
    }

    /// The first live VM of the data centre for a shard other than this one, which can witness.
    #[must_use]
    pub fn replica(&self, shard: ShardIndex) -> Option<PeerTarget> {
        let first = self.ranked(shard, 2);
        let vm = first.into_iter().find(|vm| **vm != self.me.vm)?;
        self.target(vm)
    }

    /// Where to call a live or leaving VM of the data centre.
    #[must_use]
    pub fn target(&self, vm: &VmName) -> Option<PeerTarget> {
        self.members
            .values()
            .filter(|member| member.data_centre == self.me.data_centre)
            .filter(|member| matches!(member.state, MemberState::Live | MemberState::Leaving))
            .find(|member| member.vm == *vm)
            .map(Member::target)
    }

    /// Live other VMs of the data centre, in the order of their instances.
    #[must_use]
    pub fn live_peers(&self) -> Vec<&Member> {
        let mut neighbours: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.state == MemberState::Live)
            .filter(|member| member.data_centre == self.me.data_centre)
            .collect();
        neighbours.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        neighbours
    }

    /// The VM that is heard of with the most of the document, if it has more than `offset`.
    #[must_use]
    pub fn most_recent_after(&self, offset: Offset) -> Option<&Member> {
        self.members
            .values()
            .filter(|member| matches!(member.state, MemberState::Live | MemberState::Leaving))
            .filter(|member| member.document_offset > offset)
            .max_by(|a, b| (a.document_offset, &a.instance).cmp(&(b.document_offset, &b.instance)))
    }

    /// All members, those of other data centres too, in the order of their instances.
    #[must_use]
    pub fn members(&self) -> Vec<&Member> {
        let mut members: Vec<&Member> = self.members.values().collect();
        members.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        members
    }

    /// Whether the platform says that a VM is destroyed; the one proof that this view gives.
    #[must_use]
    pub fn is_destroyed(&self, instance: &VmInstance) -> bool {
        self.members.get(instance).is_some_and(Member::is_destroyed)
    }

    /// What is known of other data centres, in the order of their names.
    #[must_use]
    pub fn data_centres(&self, now_ms: u64) -> Vec<DataCentreView> {
        let lost_after_ms = self.settings.data_centre_lost_after_ms;
        self.data_centres.views(lost_after_ms, now_ms)
    }

    /// What this node can reach.
    #[must_use]
    pub fn connectivity(&self, now_ms: u64) -> Connectivity {
        let settings = &self.settings;
        let mut others = self
            .members
            .values()
            .filter(|member| member.data_centre == self.me.data_centre)
            .filter(|member| member.state != MemberState::Gone)
            .peekable();
        let has_others = others.peek().is_some();
        let is_heard =
            |member: &Member| member.last_seen_age_ms(now_ms) <= settings.suspect_after_ms;
        let is_alone = has_others && !others.any(is_heard);
        let list_age_ms = now_ms.saturating_sub(self.list_read_at_ms);
        let (reached, lost): (Vec<_>, Vec<_>) = self
            .data_centres(now_ms)
            .into_iter()
            .partition(|view| view.is_reached);
        Connectivity {
            is_alone,
            reached: reached.into_iter().map(|view| view.name).collect(),
            lost: lost.into_iter().map(|view| view.name).collect(),
            is_platform_lost: list_age_ms > settings.platform_lost_after_ms,
        }
    }

    /// Delay before a node that was cut off asks others again, so that they do not all ask at
    /// once, in milliseconds.
    pub fn rejoin_delay_ms(&self, rng: &mut impl Rng) -> u64 {
        let live = self.live_of(&self.me.data_centre).len();
        let members = u64::try_from(live).unwrap_or(u64::MAX);
        let bound_ms = members
            .saturating_mul(self.settings.rejoin_per_member_ms)
            .min(REJOIN_LIMIT_MS);
        rng.random_range(0..=bound_ms)
    }
}
