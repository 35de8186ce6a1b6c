//! The sending side.

use crate::{DELIVERY_TIMEOUT, FleetClient, MAX_BATCH_BYTES};
use stackpost_protocol::{Message, MessageBatch, Peer};
use stackpost_types::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tarpc::client::Config;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::mpsc;

/// Messages that may wait for one peer; more are dropped.
const QUEUE_LIMIT: usize = 4_096;
/// Messages in one parcel.
const MESSAGES_PER_BATCH: usize = 256;
/// Pause after a failed connection.
const RECONNECT_PAUSE: Millis = Millis(100);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Millis = Millis(800);
/// A peer to which nothing was sent for so long loses its connection.
const IDLE_LIMIT: Millis = Millis(60_000);

type Queue = mpsc::Sender<(Peer, Message)>;

/// Sends messages to the other processes, over one connection per address.
#[derive(Clone, Debug)]
pub struct Outbox {
    from: Arc<Mutex<Peer>>,
    queues: Arc<Mutex<HashMap<SocketAddr, Queue>>>,
}

impl Outbox {
    /// An outbox of the process `from`. Must be made inside a Tokio runtime.
    pub fn new(from: Peer) -> Self {
        Self { from: Arc::new(Mutex::new(from)), queues: Arc::default() }
    }

    /// Sends under another name from now on.
    pub fn set_sender(&self, from: Peer) {
        *self.from.lock().unwrap_or_else(PoisonError::into_inner) = from;
    }

    /// Queues a message. It is dropped if too many wait for the same peer.
    pub fn send(&self, address: SocketAddr, to: Peer, message: Message) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(address).or_insert_with(|| self.start(address));
        if let Err(mpsc::error::TrySendError::Closed(item)) = queue.try_send((to, message)) {
            let fresh = self.start(address);
            // The queue is new and empty, so this can't fail for lack of room.
            let _ = fresh.try_send(item);
            queues.insert(address, fresh);
        }
    }

    fn start(&self, address: SocketAddr) -> Queue {
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
        tokio::spawn(deliver_to(address, self.from.clone(), receiver));
        sender
    }
}

/// Delivers what is queued for one peer until it has been idle for long.
async fn deliver_to(
    address: SocketAddr,
    from: Arc<Mutex<Peer>>,
    mut queue: mpsc::Receiver<(Peer, Message)>,
) {
    let mut client = None;
    let idle = Duration::from_millis(IDLE_LIMIT.0);
    while let Ok(Some(first)) = tokio::time::timeout(idle, queue.recv()).await {
        let sender = from.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let batches = gather(sender, first, &mut queue);
        if client.is_none() {
            client = connect(address).await;
        }
        let Some(connected) = &client else {
            // Drop what has gathered: by the time the peer is back it would be old news.
            tokio::time::sleep(Duration::from_millis(RECONNECT_PAUSE.0)).await;
            while queue.try_recv().is_ok() {}
            continue;
        };
        for batch in batches {
            let mut call = context::current();
            call.deadline = Instant::now() + Duration::from_millis(DELIVERY_TIMEOUT.0);
            if let Err(error) = connected.deliver(call, batch).await {
                log::debug!("send to {address}: {error}");
                client = None;
                break;
            }
        }
    }
}

/// Takes what waits and groups it by receiver, keeping the order.
fn gather(
    from: Peer,
    first: (Peer, Message),
    queue: &mut mpsc::Receiver<(Peer, Message)>,
) -> Vec<MessageBatch> {
    let mut batches: Vec<MessageBatch> = Vec::new();
    let mut next = Some(first);
    let mut taken = 0;
    while let Some((to, message)) = next {
        match batches.last_mut().filter(|batch| batch.to == to) {
            Some(batch) => batch.messages.push(message),
            None => batches.push(MessageBatch { from: from.clone(), to, messages: vec![message] }),
        }
        taken += 1;
        next = if taken < MESSAGES_PER_BATCH { queue.try_recv().ok() } else { None };
    }
    batches
}

async fn connect(address: SocketAddr) -> Option<FleetClient> {
    let mut connecting = tcp::connect(address, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_BATCH_BYTES);
    let limit = Duration::from_millis(CONNECT_TIMEOUT.0);
    match tokio::time::timeout(limit, connecting).await {
        Ok(Ok(transport)) => Some(FleetClient::new(Config::default(), transport).spawn()),
        Ok(Err(error)) => {
            log::debug!("connect to {address}: {error}");
            None
        }
        Err(_) => None,
    }
}
