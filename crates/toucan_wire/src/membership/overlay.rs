//! Choice of the nodes that exchange heartbeats.

use toucan_types::{VmInstance, VmName, rendezvous_choice};

/// Domain separator of the hashes that order the rings.
const RING_DOMAIN: &[u8] = b"toucan ring";

/// Returns the distinct members that follow `local` on each of several rings.
///
/// Every ring contains all members, so one ring alone propagates news from each member to all
/// others. Several rings in different orders shorten the path and tolerate the loss of members.
pub(super) fn partners<'a>(
    local: &VmInstance,
    members: &[&'a VmInstance],
    rings: u32,
) -> Vec<&'a VmInstance> {
    let mut partners = Vec::new();
    for ring in 0..rings {
        let local_position = ring_position(ring, local);
        let next = members
            .iter()
            .copied()
            .filter(|member| *member != local)
            .min_by_key(|member| {
                let position = ring_position(ring, member);
                // The ring wraps around: lower positions come after all higher ones.
                (position < local_position, position)
            });
        if let Some(next) = next
            && !partners.contains(&next)
        {
            partners.push(next);
        }
    }
    partners
}

fn ring_position(ring: u32, member: &VmInstance) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(RING_DOMAIN);
    hasher.update(&ring.to_le_bytes());
    hasher.update(member.as_str().as_bytes());
    let mut position = [0; 16];
    position.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    position
}

/// Returns the first `count` members by rendezvous hashing with `key`.
pub(super) fn ranked<'a>(
    key: &impl std::hash::Hash,
    members: &[&'a VmName],
    count: usize,
) -> Vec<&'a VmName> {
    let mut ranked: Vec<&VmName> = Vec::new();
    while ranked.len() < count {
        let remaining = members
            .iter()
            .copied()
            .filter(|member| !ranked.contains(member));
        let Some(next) = rendezvous_choice(key, remaining) else {
            break;
        };
        ranked.push(next);
    }
    ranked
}
