//! Membership under failures, partitions and delayed news.

mod fleet;

use std::collections::BTreeSet;

use fleet::{Fleet, STEP_MS, introduction, listed};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use toucan_types::{IncarnationId, Offset, ShardIndex, VmName};
use toucan_wire::{
    Introduction, ListedState, LoadHint, MemberState, Membership, MembershipSettings, PeerIdentity,
    PeerTarget,
};

fn settings() -> MembershipSettings {
    MembershipSettings::default()
}

fn membership(local: Introduction) -> Membership {
    Membership::new(settings(), local, 0)
}

fn state_of(membership: &Membership, vm: &VmName) -> Option<MemberState> {
    let members = membership.members();
    members
        .iter()
        .find(|member| member.vm == *vm)
        .map(|member| member.state)
}

fn batchers(fleet: &Fleet, data_centre: &str, shard: u16) -> BTreeSet<VmName> {
    fleet
        .running()
        .filter(|node| node.local.data_centre.as_str() == data_centre)
        .map(|node| node.membership.batcher(ShardIndex(shard)).clone())
        .collect()
}

#[test]
fn nodes_of_a_data_centre_agree_on_roles_and_only_those_of_a_crashed_vm_move() {
    let mut fleet = Fleet::new(&[8, 5]);
    fleet.run(10_000);
    let before: Vec<_> = (0..64)
        .map(|shard| batchers(&fleet, "dc-0", shard))
        .collect();
    assert!(before.iter().all(|vms| vms.len() == 1));
    let crashed = before[0].first().unwrap().clone();
    fleet.node(&crashed).is_running = false;
    fleet.run(settings().suspect_after_ms + 2 * STEP_MS);
    for (shard, before) in (0..64).zip(&before) {
        let after = batchers(&fleet, "dc-0", shard);
        assert_eq!(after.len(), 1);
        assert!(!after.contains(&crashed));
        assert!(before.contains(&crashed) || after == *before);
    }
    let live = fleet.running().next().unwrap();
    assert!(!live.membership.is_destroyed(&introduction(0, 0).instance));
}

#[test]
fn a_paused_vm_is_live_again_after_it_resumes() {
    let mut fleet = Fleet::new(&[6]);
    fleet.run(10_000);
    let paused = introduction(0, 2).vm;
    fleet.node(&paused).is_running = false;
    fleet.run(60_000);
    for node in fleet.running() {
        assert_eq!(
            state_of(&node.membership, &paused),
            Some(MemberState::Suspect)
        );
    }
    fleet.node(&paused).is_running = true;
    fleet.run(30_000);
    for node in fleet.running() {
        let states = node.membership.members();
        assert!(
            states
                .iter()
                .all(|member| member.state == MemberState::Live)
        );
    }
}

#[test]
fn a_leaving_vm_loses_its_roles_until_a_new_process_starts_on_it() {
    let mut fleet = Fleet::new(&[6]);
    fleet.run(10_000);
    let leaving = batchers(&fleet, "dc-0", 7).first().unwrap().clone();
    fleet.node(&leaving).membership.set_leaving();
    fleet.run(10_000);
    assert!(!batchers(&fleet, "dc-0", 7).contains(&leaving));
    let mut restarted = fleet.node(&leaving).local.clone();
    restarted.incarnation = IncarnationId(77);
    fleet.start(restarted);
    fleet.apply_lists();
    fleet.run(10_000);
    assert_eq!(batchers(&fleet, "dc-0", 7), BTreeSet::from([leaving]));
}

#[test]
fn a_cut_off_data_centre_detects_it_and_rejoins() {
    let mut fleet = Fleet::new(&[4, 4, 4]);
    fleet.run(10_000);
    fleet.cut_off = vec![1];
    for _ in 0..40 {
        fleet.run(1_000);
        let now_ms = fleet.now_ms;
        let is_cut_off = |node: &Introduction| node.data_centre.as_str() == "dc-1";
        let all: Vec<_> = fleet
            .nodes
            .values()
            .map(|node| listed(&node.local, ListedState::Live))
            .collect();
        for node in fleet
            .nodes
            .values_mut()
            .filter(|node| !is_cut_off(&node.local))
        {
            node.membership.apply_list(now_ms, all.clone(), now_ms);
        }
    }
    for node in fleet.running() {
        let connectivity = node.membership.connectivity(fleet.now_ms);
        let is_cut_off = node.local.data_centre.as_str() == "dc-1";
        assert_eq!(connectivity.is_data_centre_cut_off(), is_cut_off);
        assert_eq!(connectivity.is_platform_lost, is_cut_off);
        assert!(!connectivity.is_isolated);
        assert_eq!(connectivity.lost.len(), if is_cut_off { 2 } else { 1 });
        assert_eq!(node.membership.live_peers().len(), 3);
    }
    fleet.cut_off.clear();
    fleet.run(20_000);
    for node in fleet.running() {
        let connectivity = node.membership.connectivity(fleet.now_ms);
        assert!(
            connectivity.lost.is_empty(),
            "{:?} lost {:?}",
            node.local.vm,
            connectivity.lost
        );
    }
}

#[test]
fn a_node_that_sees_no_peers_is_isolated_and_takes_all_roles() {
    let mut isolated = membership(introduction(0, 0));
    let all = (0..3).map(|vm| listed(&introduction(0, vm), ListedState::Live));
    isolated.apply_list(1, all, 0);
    assert!(!isolated.connectivity(1_000).is_isolated);
    let now_ms = settings().suspect_after_ms + 1;
    isolated.update_states(now_ms);
    assert!(isolated.connectivity(now_ms).is_isolated);
    assert!((0..20).all(|shard| isolated.is_batcher(ShardIndex(shard))));
}

#[test]
fn an_unlisted_vm_joins_through_one_contact() {
    let mut fleet = Fleet::new(&[12]);
    fleet.run(10_000);
    let new = introduction(0, 50);
    fleet.start(new.clone());
    let contact = PeerTarget {
        identity: PeerIdentity::new("vm-0-3", "dc-0"),
        address: introduction(0, 3).address,
    };
    let joining = membership(new.clone()).with_contacts([contact]);
    fleet.node(&new.vm).membership = joining;
    fleet.run(15_000);
    for node in fleet.running().filter(|node| node.local.vm != new.vm) {
        assert_eq!(state_of(&node.membership, &new.vm), Some(MemberState::Live));
    }
    assert_eq!(fleet.node(&new.vm).membership.live_peers().len(), 12);
}

#[test]
fn only_the_platform_marks_a_vm_as_destroyed_and_this_is_final() {
    let gone = introduction(0, 1);
    let mut node = membership(introduction(0, 0));
    node.apply_list(10, [listed(&gone, ListedState::Live)], 0);
    node.update_states(10_000_000);
    assert!(!node.is_destroyed(&gone.instance));
    node.apply_list(20, [listed(&gone, ListedState::Gone)], 10_000_000);
    assert!(node.is_destroyed(&gone.instance));
    // Lists may arrive out of order, and may no longer contain the VM.
    node.apply_list(15, [listed(&gone, ListedState::Live)], 10_000_001);
    node.apply_list(30, [], 10_000_002);
    node.apply_list(40, [listed(&gone, ListedState::Live)], 10_000_003);
    assert!(node.is_destroyed(&gone.instance));
}

#[test]
fn a_replacement_with_the_same_name_is_a_different_vm() {
    let first = introduction(0, 1);
    let mut second = first.clone();
    second.instance = "i-replacement".into();
    let mut node = membership(introduction(0, 0));
    let list = [
        listed(&first, ListedState::Gone),
        listed(&second, ListedState::Live),
    ];
    node.apply_list(1, list, 0);
    node.update_states(1);
    assert!(node.is_destroyed(&first.instance));
    assert!(!node.is_destroyed(&second.instance));
    assert_eq!(node.live_peers().len(), 1);
    assert!(node.target(&second.vm).is_some());
}

#[test]
fn an_unreachable_vm_has_no_role_until_its_cooldown_has_passed() {
    let other = introduction(0, 1);
    let mut node = membership(introduction(0, 0));
    node.apply_list(1, [listed(&other, ListedState::Live)], 0);
    let shard = (0..100)
        .map(ShardIndex)
        .find(|shard| *node.batcher(*shard) == other.vm)
        .unwrap();
    node.record_unreachable(&other.vm, 100);
    node.update_states(100);
    assert!(node.is_batcher(shard));
    node.update_states(100 + settings().unreachable_cooldown_ms);
    assert!(!node.is_batcher(shard));
}

#[test]
fn the_listed_address_overrides_the_reported_one() {
    let other = introduction(0, 1);
    let mut listed_peer = listed(&other, ListedState::Live);
    listed_peer.address = ([10, 9, 9, 9], 1).into();
    let mut sender = membership(other.clone());
    sender.apply_list(1, [listed(&introduction(0, 0), ListedState::Live)], 0);
    let heartbeat = sender
        .due_heartbeats(0, LoadHint::default(), Offset(4))
        .remove(0)
        .heartbeat;
    let mut node = membership(introduction(0, 0));
    node.apply_heartbeat(&heartbeat, 1);
    assert_eq!(node.target(&other.vm).unwrap().address, other.address);
    node.apply_list(1, [listed_peer.clone()], 2);
    node.apply_heartbeat(&heartbeat, 3);
    let target = node.target(&other.vm).unwrap();
    assert_eq!(target.address, listed_peer.address);
    assert_eq!(node.most_recent_after(Offset(3)).unwrap().vm, other.vm);
    assert!(node.most_recent_after(Offset(4)).is_none());
}

#[test]
fn rejoin_delays_of_nodes_that_were_cut_off_differ() {
    let mut fleet = Fleet::new(&[50]);
    fleet.run(10_000);
    let delays: BTreeSet<u64> = fleet
        .running()
        .zip(0..)
        .map(|(node, seed)| {
            let mut rng = SmallRng::seed_from_u64(seed);
            node.membership.rejoin_delay_ms(&mut rng)
        })
        .collect();
    assert!(delays.len() > 40);
    assert!(delays.last().unwrap() <= &(50 * settings().rejoin_per_member_ms));
}
