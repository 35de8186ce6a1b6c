//! The open connections of callers, and which of them are closed while the link is crowded.

use stackpost_gateway_core::busiest_connections;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// An open connection of a caller.
#[derive(Debug, Default)]
pub(crate) struct CallerConnection {
    /// Bytes in both directions.
    pub bytes: Rc<Cell<u64>>,
    /// The same when the busiest connections were last selected.
    bytes_before: Cell<u64>,
    closes: Cell<bool>,
}

impl CallerConnection {
    /// Whether it is closed after the response that begins now.
    pub fn closes(&self) -> bool {
        self.closes.get()
    }
}

/// All of them, each with a number.
#[derive(Debug, Default)]
pub(crate) struct CallerConnections {
    open: RefCell<HashMap<u64, Rc<CallerConnection>>>,
    last: Cell<u64>,
}

/// Removes a connection when dropped.
pub(crate) struct OpenGuard<'a> {
    connections: &'a CallerConnections,
    number: u64,
    /// The connection.
    pub connection: Rc<CallerConnection>,
}

impl CallerConnections {
    /// Adds a connection until the guard is dropped.
    pub fn open(&self) -> OpenGuard<'_> {
        let number = self.last.get() + 1;
        self.last.set(number);
        let connection = Rc::<CallerConnection>::default();
        self.open.borrow_mut().insert(number, connection.clone());
        OpenGuard { connections: self, number, connection }
    }

    /// Marks the connections with the most bytes since the last call, so that they are closed after
    /// their next response. Returns how many. With `closes` unset none is marked.
    pub fn select_busiest(&self, closes: bool) -> usize {
        let open = self.open.borrow();
        let recent = |(number, connection): (&u64, &Rc<CallerConnection>)| {
            let bytes = connection.bytes.get();
            (*number, bytes - connection.bytes_before.replace(bytes))
        };
        let recent: Vec<(u64, u64)> = open.iter().map(recent).collect();
        if !closes {
            return 0;
        }
        let busiest = busiest_connections(recent);
        busiest.iter().for_each(|number| open[number].closes.set(true));
        busiest.len()
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}
