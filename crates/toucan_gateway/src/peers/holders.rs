//! Which gateways hold an organisation's tokens, and whom the others borrow from.
//!
//! If every gateway of a large fleet held tokens of every organisation, most holdings would be
//! smaller than one call, and hundreds of writers would contend for one budget. In each data centre
//! only a few gateways therefore draw an organisation's tokens from the store. The others borrow
//! what a call needs.
//!
//! Every gateway computes the holders from the members that it sees, without messages. Two gateways
//! that see different members may name different holders. That costs a borrower another request,
//! but no token counts twice.

use std::collections::BTreeMap;

use toucan_types::{DataCentreName, OrganisationName, VmName, rendezvous_ranking};

use super::Members;

/// Number of gateways of each data centre that hold an organisation's tokens. The second one takes
/// over at once if the first one fails.
const HOLDERS_PER_DATA_CENTRE: usize = 2;

/// VM and data centre of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayLocation {
    /// VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
}

impl Members {
    /// Returns the gateways that hold an organisation's tokens in the data centre of `local`, best
    /// first.
    #[must_use]
    pub fn local_holders(
        &self,
        organisation: &OrganisationName,
        local: &GatewayLocation,
        now_ms: u64,
    ) -> Vec<VmName> {
        let neighbours = self
            .live(now_ms)
            .filter(|(_vm, member)| member.entry.data_centre == local.data_centre)
            .map(|(vm, _member)| vm);
        let candidates = neighbours.chain(std::iter::once(&local.vm));
        let ranked = rendezvous_ranking(organisation, candidates, HOLDERS_PER_DATA_CENTRE);
        ranked.into_iter().cloned().collect()
    }

    /// Returns whether the gateway at `local` holds tokens of an organisation.
    #[must_use]
    pub fn is_holder(
        &self,
        organisation: &OrganisationName,
        local: &GatewayLocation,
        now_ms: u64,
    ) -> bool {
        self.local_holders(organisation, local, now_ms)
            .contains(&local.vm)
    }

    /// Returns the number of gateways in the whole fleet that hold the tokens of one organisation.
    #[must_use]
    pub fn holder_count(&self, local: &GatewayLocation, now_ms: u64) -> u32 {
        let mut by_data_centre: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
        by_data_centre.insert(&local.data_centre, 1);
        for (_vm, member) in self.counted(now_ms) {
            *by_data_centre.entry(&member.entry.data_centre).or_default() += 1;
        }
        let holders = by_data_centre
            .into_values()
            .map(|gateways| gateways.min(HOLDERS_PER_DATA_CENTRE))
            .sum::<usize>();
        u32::try_from(holders).unwrap_or(u32::MAX)
    }

    /// Returns the other gateways that may lend an organisation's tokens, in the order in which to
    /// ask them.
    ///
    /// The holders of the data centre of `local` come first. Those of the other data centres follow
    /// in an order that differs between borrowers, so that a shortage in one data centre is spread
    /// over all others.
    #[must_use]
    pub fn lenders(
        &self,
        organisation: &OrganisationName,
        local: &GatewayLocation,
        now_ms: u64,
    ) -> Vec<VmName> {
        let mut lenders = self.local_holders(organisation, local, now_ms);
        lenders.retain(|vm| *vm != local.vm);
        let mut elsewhere: BTreeMap<&DataCentreName, Vec<&VmName>> = BTreeMap::new();
        for (vm, member) in self.live(now_ms) {
            if member.entry.data_centre != local.data_centre {
                elsewhere
                    .entry(&member.entry.data_centre)
                    .or_default()
                    .push(vm);
            }
        }
        let holders: Vec<&VmName> = elsewhere
            .into_values()
            .flat_map(|vms| rendezvous_ranking(organisation, vms, HOLDERS_PER_DATA_CENTRE))
            .collect();
        let order = rendezvous_ranking(&local.vm, holders, usize::MAX);
        lenders.extend(order.into_iter().cloned());
        lenders
    }
}
