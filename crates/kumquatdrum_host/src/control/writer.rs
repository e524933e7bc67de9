//! The thread that writes a replica's batches to its disk.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

use kumquatdrum_consensus::Batch;
use kumquatdrum_disk::Store;
use tokio::sync::mpsc::UnboundedSender;

use super::Event;

/// Writes batches in their order and reports each.
pub struct Writer {
    batches: Option<Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread.
    pub fn start(store: Box<dyn Store>, events: UnboundedSender<Event>) -> std::io::Result<Self> {
        let (batches, received) = channel();
        let thread = std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || write(store, &received, &events))?;
        Ok(Self {
            batches: Some(batches),
            thread: Some(thread),
        })
    }

    /// Hands a batch over.
    pub fn write(&self, batch: Batch) {
        if let Some(batches) = &self.batches {
            // The thread ends only after a failure, which it has reported.
            let _ = batches.send(batch);
        }
    }
}

fn write(store: Box<dyn Store>, batches: &Receiver<Batch>, events: &UnboundedSender<Event>) {
    for batch in batches {
        let sequence = batch.sequence;
        let event = match store.write(&[batch]) {
            Ok(()) => Event::Persisted(sequence),
            Err(error) => Event::PersistFailed(error.to_string()),
        };
        let failed = matches!(event, Event::PersistFailed(_));
        if events.send(event).is_err() || failed {
            return;
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.batches = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
