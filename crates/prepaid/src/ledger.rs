//! The replicated side: what has been handed to whom.

use serde::{Deserialize, Serialize};
use stackpost_types::{MachineName, NodeId, TenantName, Tokens};
use std::collections::BTreeMap;

/// What one router life has been handed of one tenant's budget. Both totals only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Handed out in all.
    pub allotted: Tokens,
    /// Given back in all.
    pub returned: Tokens,
}

impl Allotment {
    /// What the holder may have spent or still hold.
    pub fn outstanding(&self) -> Tokens {
        self.allotted - self.returned
    }
}

/// Prepaid amounts and their allotments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepaidLedger {
    limits: BTreeMap<TenantName, Tokens>,
    /// Charged by router lives that have ended.
    closed: BTreeMap<TenantName, Tokens>,
    holders: BTreeMap<NodeId, BTreeMap<TenantName, Allotment>>,
}

impl PrepaidLedger {
    /// Takes over the limits of a configuration. A tenant that is not named keeps what it has used.
    pub fn set_limits(&mut self, limits: &[(TenantName, Tokens)]) {
        self.limits = limits.iter().cloned().collect();
    }

    /// The limit of a tenant; `None` if it has no budget.
    pub fn limit(&self, tenant: &TenantName) -> Option<Tokens> {
        self.limits.get(tenant).copied()
    }

    /// Tenants with a budget.
    pub fn tenants(&self) -> impl Iterator<Item = (&TenantName, Tokens)> {
        self.limits.iter().map(|(tenant, limit)| (tenant, *limit))
    }

    /// Router lives that hold or have held an allotment and are not closed.
    pub fn holders(&self) -> impl Iterator<Item = &NodeId> {
        self.holders.keys()
    }

    /// What `holder` has been handed of `tenant`'s budget.
    pub fn allotment(&self, holder: &NodeId, tenant: &TenantName) -> Allotment {
        let of_holder = self.holders.get(holder);
        of_holder.and_then(|held| held.get(tenant)).copied().unwrap_or_default()
    }

    /// All allotments of a holder.
    pub fn allotments(&self, holder: &NodeId) -> impl Iterator<Item = (&TenantName, &Allotment)> {
        self.holders.get(holder).into_iter().flatten()
    }

    /// The most that may have been spent of `tenant`'s budget.
    pub fn issued(&self, tenant: &TenantName) -> Tokens {
        let closed = self.closed.get(tenant).copied().unwrap_or_default();
        let open: Tokens = self
            .holders
            .values()
            .filter_map(|held| held.get(tenant))
            .map(Allotment::outstanding)
            .sum();
        closed + open
    }

    /// What may still be handed out.
    pub fn available(&self, tenant: &TenantName) -> Tokens {
        self.limit(tenant).unwrap_or_default() - self.issued(tenant)
    }

    /// Hands out up to `amount`, never more than is available. Returns the holder's new total.
    pub fn allot(&mut self, holder: &NodeId, tenant: &TenantName, amount: Tokens) -> Tokens {
        let granted = amount.min(self.available(tenant));
        let of_holder = self.holders.entry(holder.clone()).or_default();
        let allotment = of_holder.entry(tenant.clone()).or_default();
        allotment.allotted += granted;
        allotment.allotted
    }

    /// Takes in that `holder` has given back `total` in all. A holder that is closed can give
    /// nothing back: it has been charged already.
    pub fn give_back(&mut self, holder: &NodeId, tenant: &TenantName, total: Tokens) {
        let Some(allotment) =
            self.holders.get_mut(holder).and_then(|held| held.get_mut(tenant))
        else {
            return;
        };
        allotment.returned = allotment.returned.max(total.min(allotment.allotted));
    }

    /// Ends a router life. It is charged what `spent` says of a tenant, or all that it held where
    /// nothing is said.
    pub fn close(&mut self, holder: &NodeId, spent: &BTreeMap<TenantName, Tokens>) {
        for (tenant, allotment) in self.holders.remove(holder).into_iter().flatten() {
            let outstanding = allotment.outstanding();
            let charge = spent.get(&tenant).map_or(outstanding, |spent| outstanding.min(*spent));
            *self.closed.entry(tenant).or_default() += charge;
        }
    }

    /// Open lives of `machine` other than `current`.
    pub fn earlier_lives(&self, current: &NodeId) -> Vec<NodeId> {
        let machine: &MachineName = &current.machine;
        self.holders
            .keys()
            .filter(|holder| holder.machine == *machine && *holder != current)
            .cloned()
            .collect()
    }
}
