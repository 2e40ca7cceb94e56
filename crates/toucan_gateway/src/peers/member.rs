//! Gateways that work together.

use std::net::SocketAddrV4;

use toucan_types::{FastHashMap, VmName};

/// Time after its last datagram, or after its registration, for which a gateway counts as running.
const HEARD_MS: u64 = 5_000;
/// Time after which a gateway that was never heard of again no longer counts, wherever it may be.
/// VMs that were replaced stay registered, and would take shares of what the fleet may do for good.
const FORGOTTEN_MS: u64 = 600_000;

/// What a gateway says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberEntry {
    /// Random number of the start.
    pub start: u64,
    /// Where it receives datagrams.
    pub address: SocketAddrV4,
    /// Key by which its datagrams are authenticated.
    pub key: [u8; 32],
}

/// A gateway with what this VM knows of it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its registration.
    pub(crate) entry: MemberEntry,
    /// When it was last heard of.
    pub last_seen_ms: u64,
}

impl Member {
    fn is_live(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_seen_ms) <= HEARD_MS
    }
}

/// All registered gateways but this one.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_vm: FastHashMap<VmName, Member>,
}

impl Members {
    /// Takes a registration.
    pub fn register(&mut self, vm: VmName, entry: MemberEntry, now_ms: u64) {
        let is_known = self
            .by_vm
            .get(&vm)
            .is_some_and(|member| member.entry.start == entry.start);
        if is_known {
            return;
        }
        let member = Member {
            entry,
            last_seen_ms: now_ms,
        };
        self.by_vm.insert(vm, member);
    }

    /// Removes a gateway that has stopped.
    pub(crate) fn remove(&mut self, vm: &VmName) {
        self.by_vm.remove(vm);
    }

    /// One gateway.
    pub fn get_mut(&mut self, vm: &VmName) -> Option<&mut Member> {
        self.by_vm.get_mut(vm)
    }

    /// All gateways.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.by_vm.iter()
    }

    /// Gateways that share the bounds of the fleet, this one included.
    ///
    /// A gateway that hears most of the others takes the rest for ended, or for a minority that is
    /// cut off. One that does not may be cut off itself, so it counts all of them: those that it
    /// does not hear may be at work.
    #[must_use]
    pub fn process_count(&self, now_ms: u64) -> u32 {
        let registered = 1 + self.heard_within(FORGOTTEN_MS, now_ms);
        let running = 1 + self.heard_within(HEARD_MS, now_ms);
        if running * 2 > registered {
            running
        } else {
            registered
        }
    }

    fn heard_within(&self, time_ms: u64, now_ms: u64) -> u32 {
        let members = self.by_vm.values();
        let heard = members.filter(|member| now_ms.saturating_sub(member.last_seen_ms) <= time_ms);
        u32::try_from(heard.count()).unwrap_or(u32::MAX - 1)
    }

    /// Whether another gateway is running.
    pub(crate) fn is_live(&self, vm: &VmName, now_ms: u64) -> bool {
        self.by_vm
            .get(vm)
            .is_some_and(|member| member.is_live(now_ms))
    }

    /// Gateways that are running, but this one.
    pub(crate) fn live(&self, now_ms: u64) -> impl Iterator<Item = (&VmName, &Member)> {
        self.by_vm
            .iter()
            .filter(move |(_vm, member)| member.is_live(now_ms))
    }
}
