//! Bounded queue with a fair share per tenant.

use stackpost_types::TenantName;
use std::collections::{BTreeMap, VecDeque};

/// Outcome of adding to a queue.
#[derive(Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The item was queued.
    Queued,
    /// The queue is full and the new item was refused: its tenant already has its share, or no
    /// other tenant has more than its share.
    Refused(T),
    /// The item was queued, and the newest item of a tenant with more than its share was evicted.
    Evicted(T),
}

#[derive(Debug)]
struct TenantQueue<T> {
    weight: u32,
    /// Priorities and items, by descending priority, then in order of arrival.
    items: VecDeque<(i32, T)>,
    /// Cost of the items taken so far, divided by the weight; the queue with the least is served
    /// next.
    virtual_time: u64,
}

/// Queue of the items of several tenants, served by weight (start-time fair queueing, Goyal et al.,
/// 1996), so that a burst of one tenant does not delay the others.
#[derive(Debug)]
pub struct FairQueue<T> {
    queues: BTreeMap<TenantName, TenantQueue<T>>,
    length: usize,
    virtual_time: u64,
}

/// Virtual time that one item costs a tenant of weight one.
const ITEM_COST: u64 = 1_000_000;

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { queues: BTreeMap::new(), length: 0, virtual_time: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no item is queued.
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
            match self.tenant_most_over_share(tenant, weight, limit) {
                Some(victim) => evicted = self.remove_newest(&victim),
                None => return PushOutcome::Refused(item),
            }
        }
        let now = self.virtual_time;
        let queue = self.queues.entry(tenant.clone()).or_insert_with(|| TenantQueue {
            weight: weight.max(1),
            items: VecDeque::new(),
            virtual_time: now,
        });
        if queue.items.is_empty() {
            queue.virtual_time = queue.virtual_time.max(now);
        }
        let position = queue.items.iter().position(|(queued, _)| *queued < priority);
        queue.items.insert(position.unwrap_or(queue.items.len()), (priority, item));
        self.length += 1;
        match evicted {
            Some(item) => PushOutcome::Evicted(item),
            None => PushOutcome::Queued,
        }
    }

    /// Removes and returns the next item for which `accepts` is true; a tenant whose first item is
    /// not accepted keeps waiting.
    pub fn pop_if(&mut self, mut accepts: impl FnMut(&T) -> bool) -> Option<T> {
        let mut order: Vec<(u64, TenantName)> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.items.is_empty())
            .map(|(name, queue)| (queue.virtual_time, name.clone()))
            .collect();
        order.sort();
        let (_, name) =
            order.into_iter().find(|(_, name)| accepts(&self.queues[name].items[0].1))?;
        let queue = self.queues.get_mut(&name)?;
        let (_, item) = queue.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += ITEM_COST / u64::from(queue.weight);
        self.length -= 1;
        self.remove_idle_queues();
        Some(item)
    }

    /// Removes and returns every item for which `unwanted` is true.
    pub fn remove_where(&mut self, mut unwanted: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let (dropped, kept) = std::mem::take(&mut queue.items)
                .into_iter()
                .partition::<VecDeque<_>, _>(|(_, item)| unwanted(item));
            queue.items = kept;
            removed.extend(dropped.into_iter().map(|(_, item)| item));
        }
        self.length -= removed.len();
        self.remove_idle_queues();
        removed
    }

    /// The tenant furthest above its share; `None` if no other tenant is above its share or
    /// `newcomer` has reached its own.
    fn tenant_most_over_share(
        &self,
        newcomer: &TenantName,
        weight: u32,
        limit: usize,
    ) -> Option<TenantName> {
        let others = self.queues.iter().filter(|(name, _)| *name != newcomer);
        let total_weight: u64 = others.map(|(_, queue)| u64::from(queue.weight)).sum::<u64>()
            + u64::from(weight.max(1));
        let share = |weight: u32| limit as u64 * u64::from(weight.max(1)) / total_weight;
        let queued = self.queues.get(newcomer).map_or(0, |queue| queue.items.len()) as u64;
        if queued >= share(weight) {
            return None;
        }
        self.queues
            .iter()
            .filter(|(name, _)| *name != newcomer)
            .map(|(name, queue)| (queue.items.len() as u64, share(queue.weight), name))
            .filter(|(length, share, _)| length > share)
            .max_by_key(|(length, share, _)| length - share)
            .map(|(_, _, name)| name.clone())
    }

    fn remove_newest(&mut self, tenant: &TenantName) -> Option<T> {
        let (_, item) = self.queues.get_mut(tenant)?.items.pop_back()?;
        self.length -= 1;
        Some(item)
    }

    /// Removes empty queues whose virtual time is not ahead of the common one: a new queue would
    /// start at the same virtual time.
    fn remove_idle_queues(&mut self) {
        let now = self.virtual_time;
        self.queues.retain(|_, queue| !queue.items.is_empty() || queue.virtual_time > now);
    }
}
