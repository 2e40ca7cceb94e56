//! Roles of VMs, and connectivity of this node.

use rand::Rng;
use toucan_types::{DataCentreName, Offset, ShardIndex, VmInstance, VmName};

use super::overlay::ranked;
use super::{Connectivity, DataCentreView, Member, Membership};
use crate::{MemberState, PeerTarget};

/// Maximum delay before a node that was cut off sends requests to others again, in milliseconds.
const MAX_REJOIN_DELAY_MS: u64 = 10_000;

impl Membership {
    /// Returns the names of the live VMs in a data centre, including this one unless it is leaving.
    pub(super) fn live_vms_in(&self, data_centre: &DataCentreName) -> Vec<&VmName> {
        let includes_local = *data_centre == self.local.data_centre && !self.is_leaving;
        self.members
            .values()
            .filter(|member| member.state == MemberState::Live)
            .filter(|member| member.data_centre == *data_centre)
            .map(|member| &member.vm)
            .chain(includes_local.then_some(&self.local.vm))
            .collect()
    }

    pub(super) fn live_member(&self, data_centre: &DataCentreName, vm: &VmName) -> Option<&Member> {
        self.members
            .values()
            .filter(|member| member.state == MemberState::Live)
            .find(|member| member.vm == *vm && member.data_centre == *data_centre)
    }

    /// Returns the live VM of this data centre that batches the records of a shard; this VM if no
    /// VM is live.
    #[must_use]
    pub fn batcher(&self, shard: ShardIndex) -> &VmName {
        let live = self.live_vms_in(&self.local.data_centre);
        let first = ranked(&shard, &live, 1).first().copied();
        first.unwrap_or(&self.local.vm)
    }

    /// Returns whether this node batches the records of a shard.
    #[must_use]
    pub fn is_batcher(&self, shard: ShardIndex) -> bool {
        *self.batcher(shard) == self.local.vm
    }

    /// Returns the first `count` live VMs of this data centre for a shard, the batcher first.
    #[must_use]
    pub fn ranked(&self, shard: ShardIndex, count: usize) -> Vec<&VmName> {
        ranked(&shard, &self.live_vms_in(&self.local.data_centre), count)
    }

    /// Returns the first other live VM of this data centre for a shard, which can be the outbox
    /// replica.
    #[must_use]
    pub fn replica(&self, shard: ShardIndex) -> Option<PeerTarget> {
        let first = self.ranked(shard, 2);
        let vm = first.into_iter().find(|vm| **vm != self.local.vm)?;
        self.target(vm)
    }

    /// Returns the identity and address of a live or leaving VM of this data centre.
    #[must_use]
    pub fn target(&self, vm: &VmName) -> Option<PeerTarget> {
        self.members
            .values()
            .filter(|member| member.data_centre == self.local.data_centre)
            .filter(|member| matches!(member.state, MemberState::Live | MemberState::Leaving))
            .find(|member| member.vm == *vm)
            .map(Member::target)
    }

    /// Returns the other live VMs of this data centre, ordered by instance.
    #[must_use]
    pub fn live_peers(&self) -> Vec<&Member> {
        let mut peers: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.state == MemberState::Live)
            .filter(|member| member.data_centre == self.local.data_centre)
            .collect();
        peers.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        peers
    }

    /// Returns the live or leaving VM with the highest document offset, if that is above `offset`.
    #[must_use]
    pub fn most_recent_after(&self, offset: Offset) -> Option<&Member> {
        self.members
            .values()
            .filter(|member| matches!(member.state, MemberState::Live | MemberState::Leaving))
            .filter(|member| member.document_offset > offset)
            .max_by(|a, b| (a.document_offset, &a.instance).cmp(&(b.document_offset, &b.instance)))
    }

    /// Returns all members, including those of other data centres, ordered by instance.
    #[must_use]
    pub fn members(&self) -> Vec<&Member> {
        let mut members: Vec<&Member> = self.members.values().collect();
        members.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        members
    }

    /// Returns whether the platform reports a VM as destroyed; nothing else in this view is proof
    /// that a VM is gone.
    #[must_use]
    pub fn is_destroyed(&self, instance: &VmInstance) -> bool {
        self.members.get(instance).is_some_and(Member::is_destroyed)
    }

    /// Returns the reachability of other data centres, ordered by name.
    #[must_use]
    pub fn data_centres(&self, now_ms: u64) -> Vec<DataCentreView> {
        let lost_after_ms = self.settings.data_centre_lost_after_ms;
        self.data_centres.views(lost_after_ms, now_ms)
    }

    /// Returns what this node can reach.
    #[must_use]
    pub fn connectivity(&self, now_ms: u64) -> Connectivity {
        let settings = &self.settings;
        let mut others = self
            .members
            .values()
            .filter(|member| member.data_centre == self.local.data_centre)
            .filter(|member| member.state != MemberState::Gone)
            .peekable();
        let has_others = others.peek().is_some();
        let is_seen =
            |member: &Member| member.last_seen_age_ms(now_ms) <= settings.suspect_after_ms;
        let is_isolated = has_others && !others.any(is_seen);
        let list_age_ms = now_ms.saturating_sub(self.list_read_at_ms);
        let (reachable, lost): (Vec<_>, Vec<_>) = self
            .data_centres(now_ms)
            .into_iter()
            .partition(|view| view.is_reachable);
        Connectivity {
            is_isolated,
            reachable: reachable.into_iter().map(|view| view.name).collect(),
            lost: lost.into_iter().map(|view| view.name).collect(),
            is_platform_lost: list_age_ms > settings.platform_lost_after_ms,
        }
    }

    /// Returns a random delay before a node that was cut off sends requests to others again, in
    /// milliseconds; it spreads the requests of several such nodes over time.
    pub fn rejoin_delay_ms(&self, rng: &mut impl Rng) -> u64 {
        let live = self.live_vms_in(&self.local.data_centre).len();
        let members = u64::try_from(live).unwrap_or(u64::MAX);
        let bound_ms = members
            .saturating_mul(self.settings.rejoin_per_member_ms)
            .min(MAX_REJOIN_DELAY_MS);
        rng.random_range(0..=bound_ms)
    }
}
