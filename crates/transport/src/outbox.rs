//! Queues messages by peer address and sends them in batches.

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

/// Messages that may be queued for one peer. Further ones are dropped.
const QUEUE_CAPACITY: usize = 4_096;
/// Largest number of messages that are taken from a queue at once, for one or more batches.
const MESSAGES_PER_BATCH: usize = 256;
/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Millis = Millis(100);
/// Longest wait for a connection to be established.
const CONNECT_TIMEOUT: Millis = Millis(800);
/// Time without a message to a peer after which its connection is closed.
const IDLE_TIMEOUT: Millis = Millis(60_000);

type Queue = mpsc::Sender<(Peer, Message)>;

/// Sends messages to the other processes, over one connection per address.
#[derive(Clone, Debug)]
pub struct Outbox {
    from: Arc<Mutex<Peer>>,
    queues: Arc<Mutex<HashMap<SocketAddr, Queue>>>,
}

impl Outbox {
    /// Creates the outbox of the process `from`. Must be used within a Tokio runtime.
    pub fn new(from: Peer) -> Self {
        Self { from: Arc::new(Mutex::new(from)), queues: Arc::default() }
    }

    /// Changes the sender's name in the batches that follow.
    pub fn set_sender(&self, from: Peer) {
        *self.from.lock().unwrap_or_else(PoisonError::into_inner) = from;
    }

    /// Queues a message. It is dropped if the peer's queue is full.
    pub fn send(&self, address: SocketAddr, to: Peer, message: Message) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(address).or_insert_with(|| self.start_queue(address));
        if let Err(mpsc::error::TrySendError::Closed(item)) = queue.try_send((to, message)) {
            let new_queue = self.start_queue(address);
            // The queue is new and empty, so it has capacity for this message.
            let _ = new_queue.try_send(item);
            queues.insert(address, new_queue);
        }
    }

    fn start_queue(&self, address: SocketAddr) -> Queue {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(deliver_to(address, self.from.clone(), receiver));
        sender
    }
}

/// Delivers the messages queued for one peer until none is queued within the idle timeout.
async fn deliver_to(
    address: SocketAddr,
    from: Arc<Mutex<Peer>>,
    mut queue: mpsc::Receiver<(Peer, Message)>,
) {
    let mut client = None;
    let idle = Duration::from_millis(IDLE_TIMEOUT.0);
    while let Ok(Some(first)) = tokio::time::timeout(idle, queue.recv()).await {
        let sender = from.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let batches = group_by_receiver(sender, first, &mut queue);
        if client.is_none() {
            client = connect(address).await;
        }
        let Some(connected) = &client else {
            // Drop the queued messages: they would be outdated when the peer is reachable again.
            tokio::time::sleep(Duration::from_millis(RECONNECT_DELAY.0)).await;
            while queue.try_recv().is_ok() {}
            continue;
        };
        for batch in batches {
            let mut call = context::current();
            call.deadline = Instant::now() + Duration::from_millis(DELIVERY_TIMEOUT.0);
            if let Err(error) = connected.deliver(call, batch).await {
                log::debug!("cannot send to {address}: {error}");
                client = None;
                break;
            }
        }
    }
}

/// Takes queued messages and groups consecutive ones by receiver. Their order is kept.
fn group_by_receiver(
    from: Peer,
    first: (Peer, Message),
    queue: &mut mpsc::Receiver<(Peer, Message)>,
) -> Vec<MessageBatch> {
    let mut batches: Vec<MessageBatch> = Vec::new();
    let mut next = Some(first);
    let mut message_count = 0;
    while let Some((to, message)) = next {
        match batches.last_mut().filter(|batch| batch.to == to) {
            Some(batch) => batch.messages.push(message),
            None => batches.push(MessageBatch { from: from.clone(), to, messages: vec![message] }),
        }
        message_count += 1;
        next = if message_count < MESSAGES_PER_BATCH { queue.try_recv().ok() } else { None };
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
            log::debug!("cannot connect to {address}: {error}");
            None
        }
        Err(_) => None,
    }
}
