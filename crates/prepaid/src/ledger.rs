//! The replicated side: what has been handed to whom.

use serde::{Deserialize, Serialize};
use stackpost_types::{MachineName, Millis, NodeId, TenantName, Tokens};
use std::collections::BTreeMap;

/// Time out of touch after which a router may begin to draw on its reserve.
pub const RESERVE_UNLOCK_DELAY: Millis = Millis(1_200);

/// A reading of the steady clock of one machine, in milliseconds. It goes on over the restarts of
/// processes and begins anew, somewhere, when the machine does.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SteadyTime(pub u64);

impl SteadyTime {
    /// Time since `earlier`; `None` if that reading is from another life of the machine.
    pub fn since(self, earlier: Self) -> Option<Millis> {
        self.0.checked_sub(earlier.0).map(Millis)
    }
}

/// A moment in the life of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootTimestamp {
    /// Names the machine's life; steady clocks of two lives can't be compared.
    pub boot: u64,
    /// The moment.
    pub at: SteadyTime,
}

impl BootTimestamp {
    /// Time since `earlier`; `None` if that is a moment of another life, or later.
    pub fn since(self, earlier: Self) -> Option<Millis> {
        if self.boot == earlier.boot { self.at.since(earlier.at) } else { None }
    }
}

/// How fast a reserve may be drawn on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrawRate {
    /// At once.
    pub burst: Tokens,
    /// Each second after that.
    pub per_second: Tokens,
}

impl DrawRate {
    /// The most that is drawn in `elapsed` after the lock has opened.
    pub fn max_drawn_within(&self, elapsed: Millis) -> Tokens {
        self.burst + self.per_second.scaled(elapsed.0, 1_000)
    }

    /// The faster of both, part by part.
    pub fn component_max(self, other: Self) -> Self {
        Self {
            burst: self.burst.max(other.burst),
            per_second: self.per_second.max(other.per_second),
        }
    }
}

/// What one router life has been handed of one tenant's budget. All totals only grow, and so does
/// the pace.
///
/// In touch the router spends the hand. What was allotted beyond it is its reserve, for the time
/// out of touch: it opens [`RESERVE_UNLOCK_DELAY`] after the last contact and is drawn on at a bounded
/// pace, so that what a dead router can have spent is bounded by how long it may have lived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Hand and reserve.
    pub allotted: Tokens,
    /// The hand.
    pub primary: Tokens,
    /// Given back of the hand in all.
    pub returned: Tokens,
    /// Given back of the reserve in all.
    pub released: Tokens,
    /// How fast the reserve may be drawn on.
    pub draw_rate: DrawRate,
}

impl Allotment {
    /// What the holder may have spent or still hold.
    pub fn outstanding(&self) -> Tokens {
        self.kept() - self.returned
    }

    /// What the hand may cover: a reserve that was released while the hand grew out of it is gone.
    pub fn usable_primary(&self) -> Tokens {
        self.primary.min(self.kept())
    }

    /// The reserve.
    pub fn reserve(&self) -> Tokens {
        self.kept() - self.usable_primary()
    }

    fn kept(&self) -> Tokens {
        self.allotted - self.released
    }

    /// What can have been spent `since_contact` after the last contact that is known of.
    fn spent_at_most(&self, since_contact: Millis) -> Tokens {
        let open_for = since_contact.0.checked_sub(RESERVE_UNLOCK_DELAY.0).map(Millis);
        let drawn =
            open_for.map(|open_for| self.draw_rate.max_drawn_within(open_for)).unwrap_or_default();
        (self.usable_primary() + drawn.min(self.reserve()) - self.returned).min(self.outstanding())
    }

    /// Takes over totals that may come late or twice.
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
    /// The router life.
    pub holder: NodeId,
    /// The tenant.
    pub tenant: TenantName,
    /// How much more is allotted.
    pub amount: Tokens,
    /// How much the hand grows, out of `amount` or out of the reserve.
    pub to_primary: Tokens,
    /// The pace for the reserve.
    pub draw_rate: DrawRate,
}

/// What a router has given back of one tenant's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReturn {
    /// The router life.
    pub holder: NodeId,
    /// The tenant.
    pub tenant: TenantName,
    /// Of the hand in all.
    pub returned: Tokens,
    /// Of the reserve in all.
    pub released: Tokens,
}

/// One router life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    /// The last contact with a leader that is known of, by the clock of the router's machine.
    contact: Option<BootTimestamp>,
    allotments: BTreeMap<TenantName, Allotment>,
}

/// What is known of the end of a router life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IncarnationEnd {
    /// It stopped as planned and said what it had spent.
    Reported(BTreeMap<TenantName, Tokens>),
    /// It had ended by then, by the clock of its machine.
    EndedBefore(BootTimestamp),
    /// It has ended, nobody knows when.
    Unknown,
}

/// What a router life that has ended costs one tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The tenant.
    pub tenant: TenantName,
    /// What the life may have spent or still held.
    pub outstanding: Tokens,
    /// What it is charged; the rest can be handed out again.
    pub charge: Tokens,
}

/// Prepaid amounts and their allotments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepaidLedger {
    limits: BTreeMap<TenantName, Tokens>,
    /// Charged by router lives that have ended.
    closed: BTreeMap<TenantName, Tokens>,
    holders: BTreeMap<NodeId, Holder>,
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

    /// What `holder` has been handed of `tenant`'s budget.
    pub fn allotment(&self, holder: &NodeId, tenant: &TenantName) -> Allotment {
        let of_holder = self.holders.get(holder);
        of_holder.and_then(|held| held.allotments.get(tenant)).copied().unwrap_or_default()
    }

    /// Whether a router life has been handed anything.
    pub fn is_holder(&self, router: &NodeId) -> bool {
        self.holders.contains_key(router)
    }

    /// All allotments of a holder.
    pub fn allotments(&self, holder: &NodeId) -> Vec<(TenantName, Allotment)> {
        let of_holder = self.holders.get(holder).map(|held| held.allotments.iter());
        of_holder
            .into_iter()
            .flatten()
            .map(|(tenant, allotment)| (tenant.clone(), *allotment))
            .collect()
    }

    /// The last contact of a holder that is known of.
    pub fn contact(&self, holder: &NodeId) -> Option<BootTimestamp> {
        self.holders.get(holder).and_then(|held| held.contact)
    }

    /// The most that may have been spent of `tenant`'s budget.
    pub fn issued(&self, tenant: &TenantName) -> Tokens {
        let closed = self.closed.get(tenant).copied().unwrap_or_default();
        let open: Tokens = self
            .holders
            .values()
            .filter_map(|held| held.allotments.get(tenant))
            .map(Allotment::outstanding)
            .sum();
        closed + open
    }

    /// What may still be handed out.
    pub fn available(&self, tenant: &TenantName) -> Tokens {
        self.limit(tenant).unwrap_or_default() - self.issued(tenant)
    }

    /// Carries out a grant as far as the budget allows.
    pub fn allot(&mut self, grant: &Grant) {
        let amount = grant.amount.min(self.available(&grant.tenant));
        let of_holder = self.holders.entry(grant.holder.clone()).or_default();
        let allotment = of_holder.allotments.entry(grant.tenant.clone()).or_default();
        allotment.allotted += amount;
        allotment.primary = (allotment.primary + grant.to_primary).min(allotment.allotted);
        allotment.draw_rate = allotment.draw_rate.component_max(grant.draw_rate);
    }

    /// Takes in what a holder has given back in all. One that is closed can give nothing back: it
    /// has been charged already.
    pub fn record_return(&mut self, given: &TokenReturn) {
        let of_holder = self.holders.get_mut(&given.holder);
        let allotment = of_holder.and_then(|held| held.allotments.get_mut(&given.tenant));
        if let Some(allotment) = allotment {
            let released = given.released.min(allotment.allotted);
            allotment.released = allotment.released.max(released);
            allotment.returned = allotment.returned.max(given.returned.min(allotment.primary));
        }
    }

    /// Takes in that `holder` was in touch at `contact`, and what was gone of each allotment, used
    /// or given back, some time after. What is gone beyond the hand was drawn from the reserve in
    /// an earlier time out of touch; it moves to the hand, because from now on the reserve is
    /// bounded by the time since this contact.
    pub fn record_contact(
        &mut self,
        holder: &NodeId,
        contact: BootTimestamp,
        gone: &[(TenantName, Tokens)],
    ) {
        let Some(held) = self.holders.get_mut(holder) else {
            return;
        };
        if held.contact.is_some_and(|known| known.boot == contact.boot && known.at >= contact.at) {
            return;
        }
        held.contact = Some(contact);
        for (tenant, gone) in gone {
            if let Some(allotment) = held.allotments.get_mut(tenant) {
                allotment.primary = allotment.primary.max(*gone).min(allotment.allotted);
            }
        }
    }

    /// Ends a router life and charges the most that it can have spent. Returns the charges.
    pub fn close(&mut self, holder: &NodeId, end: &IncarnationEnd) -> Vec<Charge> {
        let mut charges = Vec::new();
        let Some(held) = self.holders.remove(holder) else {
            return charges;
        };
        let since_contact = match (end, held.contact) {
            (IncarnationEnd::EndedBefore(end), Some(contact)) => end.since(contact),
            _ => None,
        };
        for (tenant, allotment) in held.allotments {
            let outstanding = allotment.outstanding();
            let charge = match (end, since_contact) {
                (IncarnationEnd::Reported(spent), _) => {
                    spent.get(&tenant).map_or(outstanding, |spent| outstanding.min(*spent))
                }
                (_, Some(since_contact)) => allotment.spent_at_most(since_contact),
                (_, None) => outstanding,
            };
            *self.closed.entry(tenant.clone()).or_default() += charge;
            charges.push(Charge { tenant, outstanding, charge });
        }
        charges
    }

    /// Open lives of the machine of `current` other than that one.
    pub fn earlier_incarnations(&self, current: &NodeId) -> Vec<NodeId> {
        let machine: &MachineName = &current.machine;
        self.holders
            .keys()
            .filter(|holder| holder.machine == *machine && *holder != current)
            .cloned()
            .collect()
    }
}
