//! The replicated ledger of allotments per router incarnation and tenant.

use serde::{Deserialize, Serialize};
use stackpost_types::{MachineName, Millis, NodeId, TenantName, Tokens};
use std::collections::BTreeMap;

/// Time since the last leader contact after which a router may begin to draw on its reserve.
pub const RESERVE_UNLOCK_DELAY: Millis = Millis(1_200);

/// A reading of one machine's steady clock, in milliseconds. The clock keeps running across process
/// restarts and starts at an arbitrary value when the machine boots.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SteadyTime(pub u64);

impl SteadyTime {
    /// Time since `earlier`; `None` if `earlier` is greater, as after a reboot of the machine.
    pub fn since(self, earlier: Self) -> Option<Millis> {
        self.0.checked_sub(earlier.0).map(Millis)
    }
}

/// A point in time within one boot of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootTimestamp {
    /// Identifies the boot; steady clocks of different boots can't be compared.
    pub boot: u64,
    /// The clock reading.
    pub at: SteadyTime,
}

impl BootTimestamp {
    /// Time since `earlier`; `None` if `earlier` belongs to another boot or is later.
    pub fn since(self, earlier: Self) -> Option<Millis> {
        if self.boot == earlier.boot { self.at.since(earlier.at) } else { None }
    }
}

/// Limits how fast a reserve may be drawn on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrawRate {
    /// Tokens available immediately when the reserve is unlocked.
    pub burst: Tokens,
    /// Tokens added per second after that.
    pub per_second: Tokens,
}

impl DrawRate {
    /// The most that can be drawn within `elapsed` after the reserve is unlocked.
    pub fn max_drawn_within(&self, elapsed: Millis) -> Tokens {
        self.burst + self.per_second.scaled(elapsed.0, 1_000)
    }

    /// The component-wise maximum of both rates.
    pub fn component_max(self, other: Self) -> Self {
        Self {
            burst: self.burst.max(other.burst),
            per_second: self.per_second.max(other.per_second),
        }
    }
}

/// What one router incarnation has been allotted of one tenant's budget. All totals and the draw
/// rate are monotone.
///
/// While connected to the leader the router spends the primary. What was allotted beyond it is the
/// reserve, for use while disconnected: it is unlocked [`RESERVE_UNLOCK_DELAY`] after the last
/// contact and drawn on at a bounded rate, so that the spending of a dead router is bounded by the
/// time for which it may have been running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Total of primary and reserve.
    pub allotted: Tokens,
    /// Total of the primary.
    pub primary: Tokens,
    /// Total returned from the primary.
    pub returned: Tokens,
    /// Total returned from the reserve.
    pub released: Tokens,
    /// How fast the reserve may be drawn on.
    pub draw_rate: DrawRate,
}

impl Allotment {
    /// What the holder may have spent or still hold.
    pub fn outstanding(&self) -> Tokens {
        self.net_allotted() - self.returned
    }

    /// What the primary may cover. Tokens that the router released from the reserve while the
    /// leader moved them to the primary no longer count.
    pub fn usable_primary(&self) -> Tokens {
        self.primary.min(self.net_allotted())
    }

    /// The part beyond the primary.
    pub fn reserve(&self) -> Tokens {
        self.net_allotted() - self.usable_primary()
    }

    fn net_allotted(&self) -> Tokens {
        self.allotted - self.released
    }

    /// The most that can have been spent when `since_contact` has passed since the last known
    /// contact.
    fn max_spent(&self, since_contact: Millis) -> Tokens {
        let unlocked_for = since_contact.0.checked_sub(RESERVE_UNLOCK_DELAY.0).map(Millis);
        let unlocked = unlocked_for
            .map(|unlocked_for| self.draw_rate.max_drawn_within(unlocked_for))
            .unwrap_or_default();
        (self.usable_primary() + unlocked.min(self.reserve()) - self.returned)
            .min(self.outstanding())
    }

    /// Merges totals that may arrive late or more than once.
    pub fn merge(&mut self, other: &Self) {
        self.allotted = self.allotted.max(other.allotted);
        self.primary = self.primary.max(other.primary);
        self.returned = self.returned.max(other.returned);
        self.released = self.released.max(other.released);
        self.draw_rate = self.draw_rate.component_max(other.draw_rate);
    }
}

/// An addition to what a router holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The router incarnation.
    pub holder: NodeId,
    /// The tenant.
    pub tenant: TenantName,
    /// Additional tokens allotted.
    pub amount: Tokens,
    /// Increase of the primary, taken from `amount` or from the reserve.
    pub to_primary: Tokens,
    /// Draw rate of the reserve.
    pub draw_rate: DrawRate,
}

/// Totals that a router has returned of one tenant's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReturn {
    /// The router incarnation.
    pub holder: NodeId,
    /// The tenant.
    pub tenant: TenantName,
    /// Total returned from the primary.
    pub returned: Tokens,
    /// Total returned from the reserve.
    pub released: Tokens,
}

/// One router incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    /// The last known contact with a leader, by the clock of the router's machine.
    contact: Option<BootTimestamp>,
    allotments: BTreeMap<TenantName, Allotment>,
}

/// What is known about the end of a router incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IncarnationEnd {
    /// It shut down as planned and reported its final usage.
    Reported(BTreeMap<TenantName, Tokens>),
    /// It had ended by this time, by the clock of its machine.
    EndedBefore(BootTimestamp),
    /// It has ended at an unknown time.
    Unknown,
}

/// What an ended router incarnation costs one tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The tenant.
    pub tenant: TenantName,
    /// What the incarnation may have spent or still held.
    pub outstanding: Tokens,
    /// What is charged; the rest can be allotted again.
    pub charge: Tokens,
}

/// Prepaid amounts and their allotments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepaidLedger {
    limits: BTreeMap<TenantName, Tokens>,
    /// Charges for router incarnations that have ended.
    charged: BTreeMap<TenantName, Tokens>,
    holders: BTreeMap<NodeId, Holder>,
}

impl PrepaidLedger {
    /// Replaces the limits by those of a configuration. A tenant that is no longer listed keeps its
    /// usage.
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

    /// What `holder` has been allotted of `tenant`'s budget.
    pub fn allotment(&self, holder: &NodeId, tenant: &TenantName) -> Allotment {
        let holder_entry = self.holders.get(holder);
        holder_entry.and_then(|holder| holder.allotments.get(tenant)).copied().unwrap_or_default()
    }

    /// Whether a router incarnation has an entry in the ledger.
    pub fn is_holder(&self, router: &NodeId) -> bool {
        self.holders.contains_key(router)
    }

    /// All allotments of a holder.
    pub fn allotments(&self, holder: &NodeId) -> Vec<(TenantName, Allotment)> {
        let holder_entry = self.holders.get(holder).map(|holder| holder.allotments.iter());
        holder_entry
            .into_iter()
            .flatten()
            .map(|(tenant, allotment)| (tenant.clone(), *allotment))
            .collect()
    }

    /// The last known contact of a holder with a leader.
    pub fn contact(&self, holder: &NodeId) -> Option<BootTimestamp> {
        self.holders.get(holder).and_then(|holder| holder.contact)
    }

    /// The most that may have been spent of `tenant`'s budget.
    pub fn issued(&self, tenant: &TenantName) -> Tokens {
        let charged = self.charged.get(tenant).copied().unwrap_or_default();
        let outstanding: Tokens = self
            .holders
            .values()
            .filter_map(|holder| holder.allotments.get(tenant))
            .map(Allotment::outstanding)
            .sum();
        charged + outstanding
    }

    /// What may still be allotted.
    pub fn available(&self, tenant: &TenantName) -> Tokens {
        self.limit(tenant).unwrap_or_default() - self.issued(tenant)
    }

    /// Applies a grant as far as the budget allows.
    pub fn allot(&mut self, grant: &Grant) {
        let amount = grant.amount.min(self.available(&grant.tenant));
        let holder_entry = self.holders.entry(grant.holder.clone()).or_default();
        let allotment = holder_entry.allotments.entry(grant.tenant.clone()).or_default();
        allotment.allotted += amount;
        allotment.primary = (allotment.primary + grant.to_primary).min(allotment.allotted);
        allotment.draw_rate = allotment.draw_rate.component_max(grant.draw_rate);
    }

    /// Records the totals that a holder has returned. Ignored for a holder that is closed, since it
    /// has been charged already.
    pub fn record_return(&mut self, totals: &TokenReturn) {
        let holder_entry = self.holders.get_mut(&totals.holder);
        let allotment = holder_entry.and_then(|holder| holder.allotments.get_mut(&totals.tenant));
        if let Some(allotment) = allotment {
            let released = totals.released.min(allotment.allotted);
            allotment.released = allotment.released.max(released);
            allotment.returned = allotment.returned.max(totals.returned.min(allotment.primary));
        }
    }

    /// Records a leader contact of `holder` at `contact` and what had been consumed of each
    /// allotment, used or returned, some time after it. Consumption beyond the primary was drawn
    /// from the reserve during an earlier disconnection; it moves to the primary, because from now
    /// on the use of the reserve is bounded by the time since this contact.
    pub fn record_contact(
        &mut self,
        holder: &NodeId,
        contact: BootTimestamp,
        consumed: &[(TenantName, Tokens)],
    ) {
        let Some(entry) = self.holders.get_mut(holder) else {
            return;
        };
        if entry.contact.is_some_and(|known| known.boot == contact.boot && known.at >= contact.at) {
            return;
        }
        entry.contact = Some(contact);
        for (tenant, consumed) in consumed {
            if let Some(allotment) = entry.allotments.get_mut(tenant) {
                allotment.primary = allotment.primary.max(*consumed).min(allotment.allotted);
            }
        }
    }

    /// Closes a router incarnation and charges the most that it can have spent. Returns the
    /// charges.
    pub fn close(&mut self, holder: &NodeId, end: &IncarnationEnd) -> Vec<Charge> {
        let mut charges = Vec::new();
        let Some(entry) = self.holders.remove(holder) else {
            return charges;
        };
        let since_contact = match (end, entry.contact) {
            (IncarnationEnd::EndedBefore(end), Some(contact)) => end.since(contact),
            _ => None,
        };
        for (tenant, allotment) in entry.allotments {
            let outstanding = allotment.outstanding();
            let charge = match (end, since_contact) {
                (IncarnationEnd::Reported(spent), _) => {
                    spent.get(&tenant).map_or(outstanding, |spent| outstanding.min(*spent))
                }
                (_, Some(since_contact)) => allotment.max_spent(since_contact),
                (_, None) => outstanding,
            };
            *self.charged.entry(tenant.clone()).or_default() += charge;
            charges.push(Charge { tenant, outstanding, charge });
        }
        charges
    }

    /// Other incarnations on the machine of `current` that are not closed.
    pub fn earlier_incarnations(&self, current: &NodeId) -> Vec<NodeId> {
        let machine: &MachineName = &current.machine;
        self.holders
            .keys()
            .filter(|holder| holder.machine == *machine && *holder != current)
            .cloned()
            .collect()
    }
}
