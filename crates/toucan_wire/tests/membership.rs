//! What a membership makes of failures, partitions and late news.

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

fn membership(me: Introduction) -> Membership {
    Membership::new(settings(), me, 0)
}

fn state_of(membership: &Membership, vm: &VmName) -> Option<MemberState> {
    let members = membership.members();
    members
        .iter()
        .find(|member| member.vm == *vm)
        .map(|member| member.state)
}

fn gatherers(fleet: &Fleet, data_centre: &str, shard: u16) -> BTreeSet<VmName> {
    fleet
        .running()
        .filter(|node| node.me.data_centre.as_str() == data_centre)
        .map(|node| node.membership.batcher(ShardIndex(shard)).clone())
        .collect()
}

#[test]
fn all_nodes_of_a_data_centre_agree_on_roles_and_only_those_of_a_dead_vm_move() {
    let mut fleet = Fleet::new(&[8, 5]);
    fleet.run(10_000);
    let before: Vec<_> = (0..64)
        .map(|shard| gatherers(&fleet, "dc-0", shard))
        .collect();
    assert!(before.iter().all(|vms| vms.len() == 1));
    let dead = before[0].first().unwrap().clone();
    fleet.node(&dead).is_running = false;
    fleet.run(settings().suspect_after_ms + 2 * STEP_MS);
    for (shard, before) in (0..64).zip(&before) {
        let after = gatherers(&fleet, "dc-0", shard);
        assert_eq!(after.len(), 1);
        assert!(!after.contains(&dead));
        assert!(before.contains(&dead) || after == *before);
    }
    let live = fleet.running().next().unwrap();
    assert!(!live.membership.is_destroyed(&introduction(0, 0).instance));
}

#[test]
fn a_paused_vm_that_wakes_is_live_again() {
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
fn a_leaving_vm_loses_its_roles_on_all_nodes_and_its_successor_process_gets_them_back() {
    let mut fleet = Fleet::new(&[6]);
    fleet.run(10_000);
    let leaving = gatherers(&fleet, "dc-0", 7).first().unwrap().clone();
    fleet.node(&leaving).membership.set_leaving();
    fleet.run(10_000);
    assert!(!gatherers(&fleet, "dc-0", 7).contains(&leaving));
    let mut again = fleet.node(&leaving).me.clone();
    again.incarnation = IncarnationId(77);
    fleet.start(again);
    fleet.list();
    fleet.run(10_000);
    assert_eq!(gatherers(&fleet, "dc-0", 7), BTreeSet::from([leaving]));
}

#[test]
fn a_cut_off_data_centre_knows_it_and_joins_again() {
    let mut fleet = Fleet::new(&[4, 4, 4]);
    fleet.run(10_000);
    fleet.cut = vec![1];
    for _ in 0..40 {
        fleet.run(1_000);
        let now_ms = fleet.now_ms;
        let in_cut = |me: &Introduction| me.data_centre.as_str() == "dc-1";
        let all: Vec<_> = fleet
            .nodes
            .values()
            .map(|node| listed(&node.me, ListedState::Live))
            .collect();
        for node in fleet.nodes.values_mut().filter(|node| !in_cut(&node.me)) {
            node.membership.apply_list(now_ms, all.clone(), now_ms);
        }
    }
    for node in fleet.running() {
        let reach = node.membership.connectivity(fleet.now_ms);
        let is_cut = node.me.data_centre.as_str() == "dc-1";
        assert_eq!(reach.is_data_centre_cut_off(), is_cut);
        assert_eq!(reach.is_platform_lost, is_cut);
        assert!(!reach.is_alone);
        assert_eq!(reach.lost.len(), if is_cut { 2 } else { 1 });
        assert_eq!(node.membership.live_peers().len(), 3);
    }
    fleet.cut.clear();
    fleet.run(20_000);
    for node in fleet.running() {
        let reach = node.membership.connectivity(fleet.now_ms);
        assert!(
            reach.lost.is_empty(),
            "{:?} lost {:?}",
            node.me.vm,
            reach.lost
        );
    }
}

#[test]
fn a_node_that_hears_nobody_is_alone_and_takes_all_roles() {
    let mut alone = membership(introduction(0, 0));
    let all = (0..3).map(|vm| listed(&introduction(0, vm), ListedState::Live));
    alone.apply_list(1, all, 0);
    assert!(!alone.connectivity(1_000).is_alone);
    let now_ms = settings().suspect_after_ms + 1;
    alone.update_states(now_ms);
    assert!(alone.connectivity(now_ms).is_alone);
    assert!((0..20).all(|shard| alone.is_batcher(ShardIndex(shard))));
}

#[test]
fn a_new_vm_that_no_list_names_joins_through_one_contact() {
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
    for node in fleet.running().filter(|node| node.me.vm != new.vm) {
        assert_eq!(state_of(&node.membership, &new.vm), Some(MemberState::Live));
    }
    assert_eq!(fleet.node(&new.vm).membership.live_peers().len(), 12);
}

#[test]
fn only_the_platform_proves_that_a_vm_is_gone_and_it_never_comes_back() {
    let gone = introduction(0, 1);
    let mut node = membership(introduction(0, 0));
    node.apply_list(10, [listed(&gone, ListedState::Live)], 0);
    node.update_states(10_000_000);
    assert!(!node.is_destroyed(&gone.instance));
    node.apply_list(20, [listed(&gone, ListedState::Gone)], 10_000_000);
    assert!(node.is_destroyed(&gone.instance));
    // Lists may arrive in another order than they were made, and stop naming the VM.
    node.apply_list(15, [listed(&gone, ListedState::Live)], 10_000_001);
    node.apply_list(30, [], 10_000_002);
    node.apply_list(40, [listed(&gone, ListedState::Live)], 10_000_003);
    assert!(node.is_destroyed(&gone.instance));
}

#[test]
fn a_replacement_with_the_same_name_is_another_vm() {
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
fn a_vm_that_cannot_be_reached_gets_no_role_until_it_answers_or_others_vouch_for_it() {
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
    node.update_states(100 + settings().avoid_for_ms);
    assert!(!node.is_batcher(shard));
}

#[test]
fn the_listed_address_goes_before_the_one_a_vm_gives_of_itself() {
    let other = introduction(0, 1);
    let mut seen_from_here = listed(&other, ListedState::Live);
    seen_from_here.address = ([10, 9, 9, 9], 1).into();
    let mut speaking = membership(other.clone());
    speaking.apply_list(1, [listed(&introduction(0, 0), ListedState::Live)], 0);
    let heartbeat = speaking
        .due_heartbeats(0, LoadHint::default(), Offset(4))
        .remove(0)
        .heartbeat;
    let mut node = membership(introduction(0, 0));
    node.apply_heartbeat(&heartbeat, 1);
    assert_eq!(node.target(&other.vm).unwrap().address, other.address);
    node.apply_list(1, [seen_from_here.clone()], 2);
    node.apply_heartbeat(&heartbeat, 3);
    let target = node.target(&other.vm).unwrap();
    assert_eq!(target.address, seen_from_here.address);
    assert_eq!(node.most_recent_after(Offset(3)).unwrap().vm, other.vm);
    assert!(node.most_recent_after(Offset(4)).is_none());
}

#[test]
fn nodes_that_were_cut_off_ask_again_at_different_times() {
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
