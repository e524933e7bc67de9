//! Copies counters of the peer client and the body budget into the metrics.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::{Channel, Counters};
use tokio::sync::watch;

use crate::context::Context;

const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// Copies until `stopped` turns true.
pub async fn run(
    context: Arc<Context>,
    counters: Arc<Counters>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(COPY_INTERVAL) => copy(&context, &counters),
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
    }
}

fn copy(context: &Context, counters: &Counters) {
    let metrics = &context.metrics;
    metrics.body_bytes.set(context.body_budget.used() as i64);
    for channel in Channel::ALL {
        let traffic = counters.read(channel);
        let set = |direction: &str, bytes: u64| {
            let gauge = metrics
                .peer_bytes
                .with_label_values(&[channel.name(), direction]);
            gauge.set(bytes as i64);
        };
        set("sent", traffic.bytes_sent);
        set("received", traffic.bytes_received);
    }
}
