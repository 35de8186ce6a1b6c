//! Routers tell one another what engines state of the requests a second that they take.

use crate::decision_log;
use crate::permits::PermitMessage;
use crate::router::Router;
use stackpost_gateway_core::RateUpdate;
use stackpost_types::{BackEndName, ServiceName};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Most statements of rates in one datagram, so that it fits one packet.
const MOST_NEWS: usize = 16;

impl Router {
    /// What this router knows of the rates of a service's engines that another router owns.
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
        permits.updates_for_owner(self.now(), owner, is_of_service, MOST_NEWS)
    }

    /// Takes in what another router has heard of engines' rates.
    pub(crate) fn on_rates_received(&self, rates: &[RateUpdate]) {
        let now = self.now();
        for news in rates {
            // Anyone may send a datagram, so nothing is kept of an engine that nobody has announced.
            if self.directory.borrow().get(&news.engine).is_none() {
                continue;
            }
            let change = self.permits.permits.borrow_mut().learn_from_peer(now, news);
            if let Some(change) = change {
                decision_log::rate_changed(self, None, &news.engine, news.age, change);
            }
        }
    }

    /// Statements that this router knows better than who told it of them.
    pub(crate) fn newer_rates(&self, told: &[RateUpdate]) -> Vec<RateUpdate> {
        let (now, permits) = (self.now(), self.permits.permits.borrow());
        let own = told.iter().filter_map(|news| {
            let own = permits.rates().update_for(now, &news.engine)?;
            (own.rate != news.rate && own.age < news.age).then_some(own)
        });
        own.collect()
    }

    /// Tells what has changed in engines' rates: their owners, and of those that this router owns everyone. If all told
    /// everyone, what is said would grow with the square of the routers that hear one engine's change.
    pub(crate) fn publish_rates(&self) {
        let news = self.permits.permits.borrow_mut().rates_mut().take_updates(self.now());
        let (own, of_others): (Vec<RateUpdate>, Vec<RateUpdate>) = {
            let mut permits = self.permits.permits.borrow_mut();
            news.into_iter().partition(|one| permits.owns(&one.engine))
        };
        let others = self.permits.permits.borrow().others();
        for other in others.into_iter().filter(|_| !own.is_empty()) {
            self.send_rates(other, &own, false);
        }
        for (owner, rates) in self.by_owner(of_others) {
            self.send_rates(owner, &rates, false);
        }
    }

    /// Tells the owner of an engine at once of a change that this router has heard.
    pub(crate) fn notify_rate_owner(&self, engine: &BackEndName) {
        let news = self.permits.statement(self.now(), engine);
        for (owner, rates) in self.by_owner(news.into_iter().collect()) {
            self.send_rates(owner, &rates, false);
        }
    }

    fn send_rates(&self, to: SocketAddr, rates: &[RateUpdate], compare: bool) {
        for rates in rates.chunks(MOST_NEWS) {
            self.permits.send(to, PermitMessage::Rates { rates: rates.to_vec(), compare });
        }
    }

    /// Compares statements that no answer has confirmed for long with what their owners know.
    pub(crate) fn revalidate_old_rates(&self) {
        let old = self.permits.permits.borrow_mut().rates_mut().take_stale(self.now());
        for (owner, rates) in self.by_owner(old) {
            self.send_rates(owner, &rates, true);
        }
    }

    /// Statements by the other routers that own their engines.
    fn by_owner(&self, news: Vec<RateUpdate>) -> HashMap<SocketAddr, Vec<RateUpdate>> {
        let mut permits = self.permits.permits.borrow_mut();
        let own = permits.slots().own_address();
        let mut by_owner: HashMap<SocketAddr, Vec<RateUpdate>> = HashMap::new();
        for one in news {
            match permits.owner(&one.engine) {
                Some(owner) if owner != own => by_owner.entry(owner).or_default().push(one),
                _ => {}
            }
        }
        by_owner
    }
}
