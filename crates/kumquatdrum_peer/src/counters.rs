//! Traffic counters by channel.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::Channel;

/// Snapshot of the counters of one channel.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent, including requests and responses.
    pub messages_sent: u64,
    /// Bytes of frames sent, without the overhead of HTTP/2 and TCP.
    pub bytes_sent: u64,
    /// Messages received, including requests and responses.
    pub messages_received: u64,
    /// Bytes of frames received, without the overhead of HTTP/2 and TCP.
    pub bytes_received: u64,
    /// Messages dropped before they were sent or lost in a failed call.
    pub messages_dropped: u64,
}

/// Counters of all channels, shared by the client and the server of a daemon.
#[derive(Debug, Default)]
pub struct Counters {
    channels: [Cell; Channel::ALL.len()],
}

#[derive(Debug, Default)]
struct Cell {
    messages_sent: AtomicU64,
    bytes_sent: AtomicU64,
    messages_received: AtomicU64,
    bytes_received: AtomicU64,
    messages_dropped: AtomicU64,
}

impl Counters {
    /// Returns a snapshot of the counters of one channel.
    ///
    /// ```
    /// use kumquatdrum_peer::{Channel, Counters, Traffic};
    /// assert_eq!(Counters::default().read(Channel::Limits), Traffic::default());
    /// ```
    pub fn read(&self, channel: Channel) -> Traffic {
        let cell = &self.channels[channel.index()];
        Traffic {
            messages_sent: cell.messages_sent.load(Ordering::Relaxed),
            bytes_sent: cell.bytes_sent.load(Ordering::Relaxed),
            messages_received: cell.messages_received.load(Ordering::Relaxed),
            bytes_received: cell.bytes_received.load(Ordering::Relaxed),
            messages_dropped: cell.messages_dropped.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn record_sent(&self, channel: Channel, messages: usize, bytes: usize) {
        let cell = &self.channels[channel.index()];
        cell.messages_sent
            .fetch_add(messages as u64, Ordering::Relaxed);
        cell.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_received(&self, channel: Channel, messages: usize, bytes: usize) {
        let cell = &self.channels[channel.index()];
        cell.messages_received
            .fetch_add(messages as u64, Ordering::Relaxed);
        cell.bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_dropped(&self, channel: Channel, messages: usize) {
        self.channels[channel.index()]
            .messages_dropped
            .fetch_add(messages as u64, Ordering::Relaxed);
    }
}
