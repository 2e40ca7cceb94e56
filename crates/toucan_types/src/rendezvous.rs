//! Rendezvous (highest random weight) hashing.

use std::hash::Hash;

/// Returns the member with the highest hash combined with `key`, or [`None`] if there are no
/// members.
///
/// Nodes with the same membership view agree on the result, and when a member leaves, only its
/// keys move to other members. The hash does not depend on the process or the machine.
pub fn rendezvous_choice<'a, K, M>(
    key: &K,
    members: impl IntoIterator<Item = &'a M>,
) -> Option<&'a M>
where
    K: Hash,
    M: Hash + Ord + 'a,
{
    members
        .into_iter()
        .max_by_key(|member| (weight(key, *member), *member))
}

/// Returns up to `count` members in descending order of their hashes combined with `key`.
///
/// The first one is the [`rendezvous_choice`].
pub fn rendezvous_ranking<'a, K, M>(
    key: &K,
    members: impl IntoIterator<Item = &'a M>,
    count: usize,
) -> Vec<&'a M>
where
    K: Hash,
    M: Hash + Ord + 'a,
{
    let mut ranked: Vec<(u64, &M)> = members
        .into_iter()
        .map(|member| (weight(key, member), member))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_weight, member)| member).collect()
}

/// Seed of the hash. All processes must use the same one; a change reassigns keys.
const RENDEZVOUS_SEED: u64 = 0x7465_6172_6d61_726b;

fn weight(key: &impl Hash, member: &impl Hash) -> u64 {
    use std::hash::{BuildHasher, Hasher};

    let mut hasher = foldhash::quality::FixedState::with_seed(RENDEZVOUS_SEED).build_hasher();
    key.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}
