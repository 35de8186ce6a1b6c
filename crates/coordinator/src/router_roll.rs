//! The routers that a control process knows, as it tells them to another one that connects: after a
//! start or a separation that one may not have heard all of them itself.

use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, NodeId};

/// One router process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolledRouter {
    /// The process.
    pub router: NodeId,
    /// Time since it was last heard.
    pub silent_for: Millis,
    /// If it has stopped: the engines that may not have read all its requests.
    pub stopped_with_unread: Option<Vec<BackEndName>>,
}

/// Every router process that was in contact with the control processes for some time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterRoll {
    /// Length of the time up to now of which no router is missing.
    pub covered_for: Millis,
    /// The routers.
    pub routers: Vec<RolledRouter>,
}
