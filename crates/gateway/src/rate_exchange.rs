//! Exchange of engines' stated rate limits between routers.

use crate::decision_log;
use crate::permits::PermitMessage;
use crate::router::Router;
use stackpost_gateway_core::RateUpdate;
use stackpost_types::{BackEndName, ServiceName};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum number of rate updates in one datagram, so that it fits one packet.
const MAX_RATE_UPDATES: usize = 16;

impl Router {
    /// Known rate limits of a service's engines that another router owns.
    pub(crate) fn rates_owned_by(
        &self,
        owner: SocketAddr,
        service: &ServiceName,
    ) -> Vec<RateUpdate> {
        let directory = self.directory.borrow();
        let is_of_service = |engine: &BackEndName| {
            directory.get(engine).is_some_and(|record| record.notice.service == *service)
        };
        let permits = self.permits.permits.borrow();
        permits.updates_for_owner(self.now(), owner, is_of_service, MAX_RATE_UPDATES)
    }

    /// Applies rate updates of another router.
    pub(crate) fn on_rates_received(&self, rates: &[RateUpdate]) {
        let now = self.now();
        for update in rates {
            // Datagrams are not authenticated, so nothing is stored for an engine that was never
            // announced.
            if self.directory.borrow().get(&update.engine).is_none() {
                continue;
            }
            let change = self.permits.permits.borrow_mut().learn_from_peer(now, update);
            if let Some(change) = change {
                decision_log::rate_changed(self, None, &update.engine, update.age, change);
            }
        }
    }

    /// Rate limits of which this router has a newer statement than `received`.
    pub(crate) fn newer_rates(&self, received: &[RateUpdate]) -> Vec<RateUpdate> {
        let (now, permits) = (self.now(), self.permits.permits.borrow());
        let own = received.iter().filter_map(|update| {
            let own = permits.rates().update_for(now, &update.engine)?;
            (own.rate != update.rate && own.age < update.age).then_some(own)
        });
        own.collect()
    }

    /// Sends changed rate limits: to the owners of the engines, and those of engines that this
    /// router owns to all routers. If every router sent them to all others, the traffic would grow
    /// with the square of the number of routers that observe the change.
    pub(crate) fn publish_rates(&self) {
        let updates = self.permits.permits.borrow_mut().rates_mut().take_updates(self.now());
        let (own, of_others): (Vec<RateUpdate>, Vec<RateUpdate>) = {
            let mut permits = self.permits.permits.borrow_mut();
            updates.into_iter().partition(|update| permits.owns(&update.engine))
        };
        let others = self.permits.permits.borrow().others();
        for other in others.into_iter().filter(|_| !own.is_empty()) {
            self.send_rates(other, &own, false);
        }
        for (owner, rates) in self.by_owner(of_others) {
            self.send_rates(owner, &rates, false);
        }
    }

    /// Sends a changed rate limit to the engine's owner at once.
    pub(crate) fn notify_rate_owner(&self, engine: &BackEndName) {
        let update = self.permits.statement(self.now(), engine);
        for (owner, rates) in self.by_owner(update.into_iter().collect()) {
            self.send_rates(owner, &rates, false);
        }
    }

    fn send_rates(&self, to: SocketAddr, rates: &[RateUpdate], compare: bool) {
        for rates in rates.chunks(MAX_RATE_UPDATES) {
            self.permits.send(to, PermitMessage::Rates { rates: rates.to_vec(), compare });
        }
    }

    /// Compares rate limits that no response has confirmed for long with those known to their
    /// owners.
    pub(crate) fn revalidate_stale_rates(&self) {
        let stale = self.permits.permits.borrow_mut().rates_mut().take_stale(self.now());
        for (owner, rates) in self.by_owner(stale) {
            self.send_rates(owner, &rates, true);
        }
    }

    /// Groups rate limits by the other routers that own their engines.
    fn by_owner(&self, updates: Vec<RateUpdate>) -> HashMap<SocketAddr, Vec<RateUpdate>> {
        let mut permits = self.permits.permits.borrow_mut();
        let own = permits.slots().own_address();
        let mut by_owner: HashMap<SocketAddr, Vec<RateUpdate>> = HashMap::new();
        for update in updates {
            match permits.owner(&update.engine) {
                Some(owner) if owner != own => by_owner.entry(owner).or_default().push(update),
                _ => {}
            }
        }
        by_owner
    }
}
