//! A thread that writes a replica's batches to its store.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

use kumquatdrum_consensus::Batch;

use crate::{Error, Store};

/// Receives the sequence number of each written batch, or the error. Returns false to stop the
/// writer.
pub type WriteCallback = Box<dyn Fn(Result<u64, Error>) -> bool + Send>;

/// Writes batches in order on its own thread, which ends after the first failed write or when the
/// callback returns false.
#[derive(Debug)]
pub struct Writer {
    batches: Option<Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread, which calls `callback` after each batch.
    pub fn start(store: Box<dyn Store>, callback: WriteCallback) -> std::io::Result<Self> {
        let (batches, received) = channel();
        let thread = std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || write(store.as_ref(), &received, &callback))?;
        Ok(Self {
            batches: Some(batches),
            thread: Some(thread),
        })
    }

    /// Queues a batch for writing.
    pub fn write(&self, batch: Batch) {
        if let Some(batches) = &self.batches {
            // Fails only once the thread has ended, after its last call of the callback.
            let _ = batches.send(batch);
        }
    }
}

fn write(store: &dyn Store, batches: &Receiver<Batch>, callback: &WriteCallback) {
    for batch in batches {
        let sequence = batch.sequence;
        let written = store.write(&[batch]).map(|()| sequence);
        let has_failed = written.is_err();
        if !callback(written) || has_failed {
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
