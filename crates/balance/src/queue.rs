//! A bounded queue with a fair share per tenant.

use stackpost_types::TenantName;
use std::collections::{BTreeMap, VecDeque};

/// Outcome of adding to a queue.
#[derive(Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// It waits.
    Queued,
    /// The queue is full and the tenant has its share: the new item is not taken.
    Refused(T),
    /// It waits; another tenant's newest item had to go, since that tenant had more than its share.
    Evicted(T),
}

#[derive(Debug)]
struct Lane<T> {
    weight: u32,
    /// Items in order of descending priority, then of arrival.
    items: VecDeque<(i32, T)>,
    /// Work taken so far, divided by weight; the lane with the least is served next.
    virtual_time: u64,
}

/// Items of several tenants. Taken in turn by weight (start-time fair queueing, Goyal et al.,
/// 1996), so that one tenant's burst does not hold up the others.
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: BTreeMap<TenantName, Lane<T>>,
    length: usize,
    virtual_time: u64,
}

/// Virtual time that one item costs a lane of weight one.
const ITEM_COST: u64 = 1_000_000;

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { lanes: BTreeMap::new(), length: 0, virtual_time: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Items waiting.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds an item for `tenant`, keeping the queue within `limit`.
    pub fn push(
        &mut self,
        tenant: &TenantName,
        weight: u32,
        priority: i32,
        item: T,
        limit: usize,
    ) -> PushOutcome<T> {
        let mut evicted = None;
        if self.length >= limit {
            match self.most_over_share(tenant, weight, limit) {
                Some(victim) => evicted = self.remove_newest(&victim),
                None => return PushOutcome::Refused(item),
            }
        }
        let now = self.virtual_time;
        let lane = self.lanes.entry(tenant.clone()).or_insert_with(|| Lane {
            weight: weight.max(1),
            items: VecDeque::new(),
            virtual_time: now,
        });
        if lane.items.is_empty() {
            lane.virtual_time = lane.virtual_time.max(now);
        }
        let position = lane.items.iter().position(|(held, _)| *held < priority);
        lane.items.insert(position.unwrap_or(lane.items.len()), (priority, item));
        self.length += 1;
        match evicted {
            Some(item) => PushOutcome::Evicted(item),
            None => PushOutcome::Queued,
        }
    }

    /// Takes the next item that `ready` accepts; lanes whose first item is not accepted wait.
    pub fn pop_if(&mut self, mut ready: impl FnMut(&T) -> bool) -> Option<T> {
        let mut order: Vec<(u64, TenantName)> = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.items.is_empty())
            .map(|(name, lane)| (lane.virtual_time, name.clone()))
            .collect();
        order.sort();
        let (_, name) = order.into_iter().find(|(_, name)| ready(&self.lanes[name].items[0].1))?;
        let lane = self.lanes.get_mut(&name)?;
        let (_, item) = lane.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(lane.virtual_time);
        lane.virtual_time += ITEM_COST / u64::from(lane.weight);
        self.length -= 1;
        self.forget_empty_lanes();
        Some(item)
    }

    /// Removes every item that `unwanted` accepts.
    pub fn remove_where(&mut self, mut unwanted: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            let (gone, kept) = std::mem::take(&mut lane.items)
                .into_iter()
                .partition::<VecDeque<_>, _>(|(_, item)| unwanted(item));
            lane.items = kept;
            removed.extend(gone.into_iter().map(|(_, item)| item));
        }
        self.length -= removed.len();
        self.forget_empty_lanes();
        removed
    }

    /// The tenant furthest above its share, if one is, and the newcomer is below its own.
    fn most_over_share(
        &self,
        newcomer: &TenantName,
        weight: u32,
        limit: usize,
    ) -> Option<TenantName> {
        let others = self.lanes.iter().filter(|(name, _)| *name != newcomer);
        let total_weight: u64 =
            others.map(|(_, lane)| u64::from(lane.weight)).sum::<u64>() + u64::from(weight.max(1));
        let share = |weight: u32| limit as u64 * u64::from(weight.max(1)) / total_weight;
        let held = self.lanes.get(newcomer).map_or(0, |lane| lane.items.len()) as u64;
        if held >= share(weight) {
            return None;
        }
        self.lanes
            .iter()
            .filter(|(name, _)| *name != newcomer)
            .map(|(name, lane)| (lane.items.len() as u64, share(lane.weight), name))
            .filter(|(length, share, _)| length > share)
            .max_by_key(|(length, share, _)| length - share)
            .map(|(_, _, name)| name.clone())
    }

    fn remove_newest(&mut self, tenant: &TenantName) -> Option<T> {
        let (_, item) = self.lanes.get_mut(tenant)?.items.pop_back()?;
        self.length -= 1;
        Some(item)
    }

    /// A lane that has nothing waiting and is not behind keeps no claim on the future.
    fn forget_empty_lanes(&mut self) {
        let now = self.virtual_time;
        self.lanes.retain(|_, lane| !lane.items.is_empty() || lane.virtual_time > now);
    }
}
