//! As of when this router knows the engines that control processes know.

use super::FleetLink;
use stackpost_mesh::LinkId;
use stackpost_types::Timestamp;

impl FleetLink {
    /// Records when a control process made the status that was received. Before it, the process has
    /// sent all changes of engines that it knew by then, if this router subscribes to them.
    pub(super) fn on_statement(&self, link: LinkId, made_at: Timestamp) {
        self.statements.borrow_mut().on_statement(self.router.now(), link, made_at);
        self.router.set_engines_known_as_of(self.engines_known_as_of());
    }

    /// Forgets the statements of a connection that was closed.
    pub(super) fn forget_statements(&self, link: LinkId) {
        self.statements.borrow_mut().on_down(link);
        self.router.set_engines_known_as_of(self.engines_known_as_of());
    }

    /// When the older one of two statements was made: of the leader, and of the process that sends
    /// the list of engines.
    fn engines_known_as_of(&self) -> Option<Timestamp> {
        let statements = self.statements.borrow();
        let has_list = |link: &LinkId| {
            self.versions.borrow().get(link).is_some_and(|versions| versions.engines > 0)
        };
        let subscribed = self.engine_subscription.borrow().subscribed().filter(has_list);
        let listed_at = subscribed.and_then(|link| statements.as_of(link))?;
        let led_at = self.leader.get().and_then(|link| statements.as_of(link))?;
        Some(listed_at.min(led_at))
    }
}
