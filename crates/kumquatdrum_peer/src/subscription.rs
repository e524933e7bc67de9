//! Messages for a peer that has subscribed to them, over the connection that the peer has opened.

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::{Channel, Parts};

/// Maximum number of messages of a channel that wait for transmission to a subscriber.
const QUEUE_LIMIT_MESSAGES: usize = 256;

/// Subscriptions of one peer, at most one for each channel.
#[derive(Debug, Default)]
pub(crate) struct Subscriptions {
    senders: [Mutex<Option<mpsc::Sender<Bytes>>>; Channel::ALL.len()],
}

impl Subscriptions {
    /// Opens the subscription to a channel and returns its messages. An earlier one ends.
    pub(crate) fn open(&self, channel: Channel) -> Parts {
        let (sender, received) = mpsc::channel(QUEUE_LIMIT_MESSAGES);
        *self.senders[channel.index()].lock() = Some(sender);
        let next = |mut received: mpsc::Receiver<Bytes>| async move {
            let body = received.recv().await?;
            Some((body, received))
        };
        stream::unfold(received, next).boxed()
    }

    /// Passes messages to the subscriber. Returns those that it can't take: all if there is none.
    pub(crate) fn send(&self, channel: Channel, bodies: Vec<Bytes>) -> Vec<Bytes> {
        let mut sender = self.senders[channel.index()].lock();
        let Some(open) = sender.as_ref() else {
            return bodies;
        };
        let mut bodies = bodies.into_iter();
        while let Some(body) = bodies.next() {
            match open.try_send(body) {
                Ok(()) => {}
                Err(mpsc::error::TrySendError::Full(body)) => {
                    return std::iter::once(body).chain(bodies).collect();
                }
                Err(mpsc::error::TrySendError::Closed(body)) => {
                    *sender = None;
                    return std::iter::once(body).chain(bodies).collect();
                }
            }
        }
        Vec::new()
    }
}
