//! Accepted connections whose other end has not said yet who it is.
//!
//! Any host that reaches a port can open connections and send nothing. So only few wait for their
//! first message at a time; a further one takes the place of the one that has waited longest.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// Connections that wait at the same time.
const MAX_PENDING: usize = 256;

/// The waiting connections of one port.
#[derive(Debug, Default)]
pub struct PendingConnections {
    waiting: RefCell<VecDeque<(u64, Rc<Notify>)>>,
    last: Cell<u64>,
}

impl PendingConnections {
    /// Adds a connection until the result is dropped.
    pub fn open(self: &Rc<Self>) -> PendingConnection {
        let number = self.last.get() + 1;
        self.last.set(number);
        let closing = Rc::<Notify>::default();
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_PENDING
            && let Some((_, oldest)) = waiting.pop_front()
        {
            oldest.notify_one();
        }
        waiting.push_back((number, closing.clone()));
        PendingConnection { connections: self.clone(), number, closing }
    }
}

/// A waiting connection.
#[derive(Debug)]
pub struct PendingConnection {
    connections: Rc<PendingConnections>,
    number: u64,
    closing: Rc<Notify>,
}

impl PendingConnection {
    /// The first message of the other end, unless the connection has to be closed before it.
    pub async fn first_message<T>(self, read: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.closing.notified() => None,
            message = read => Some(message),
        }
    }
}

impl Drop for PendingConnection {
    fn drop(&mut self) {
        self.connections.waiting.borrow_mut().retain(|(number, _)| *number != self.number);
    }
}
