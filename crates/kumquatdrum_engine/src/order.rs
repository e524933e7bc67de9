//! Sends orders over HTTP. The precondition is checked when the body is written, so that a slow
//! connect or a paused process does not send an order after its lease expired.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use kumquatdrum_orders::{Action, Answer, Order, Settings};
use kumquatdrum_types::BootId;
use kumquatdrum_types::exchange::Target;
use serde::{Deserialize, Serialize};

use crate::engine::{OrderFuture, Precondition};
use crate::http::{MAX_ERROR_BODY_BYTES, read_start};

#[derive(Debug, Serialize)]
struct Body<'a> {
    id: String,
    fencing: u64,
    boot: BootId,
    action: &'a Action,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Deserialize)]
struct ErrorDetail {
    code: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    current: u64,
}

#[derive(Debug, thiserror::Error)]
#[error("the lease has expired")]
struct LeaseExpired;

fn delivery_timeout() -> Duration {
    Settings::default().delivery_timeout
}

/// Creates the client for orders. Its requests fail after the delivery timeout, and its connections
/// are closed if sent data stays unacknowledged that long, so that no order arrives later.
pub fn client() -> Result<reqwest::Client, reqwest::Error> {
    crate::http::client_builder()
        .tcp_user_timeout(delivery_timeout())
        .timeout(delivery_timeout())
        .pool_max_idle_per_host(0)
        .build()
}

/// Sends an order if the precondition holds.
pub fn send(
    client: &reqwest::Client,
    target: &Target,
    order: &Order,
    precondition: Precondition,
) -> OrderFuture {
    let body = Body {
        id: order.id.to_string(),
        fencing: order.id.fencing,
        boot: order.boot,
        action: &order.action,
    };
    let body = serde_json::to_vec(&body).map(Bytes::from);
    let url = format!("http://{}/v1/orders", target.address);
    let request = client.post(url).header("content-type", "application/json");
    Box::pin(async move {
        let body = match body {
            Ok(body) => body,
            Err(error) => return refused(error.to_string()),
        };
        let is_withheld = Arc::new(AtomicBool::new(false));
        let request = request.body(conditional_body(body, precondition, is_withheld.clone()));
        match request.send().await {
            Ok(response) => read_answer(response).await,
            Err(_) if is_withheld.load(Ordering::SeqCst) => Answer::NotSent,
            Err(error) => lost(&error),
        }
    })
}

/// Returns a body that fails if the precondition does not hold when it is written. Engines ignore
/// requests with an incomplete body.
fn conditional_body(
    body: Bytes,
    precondition: Precondition,
    is_withheld: Arc<AtomicBool>,
) -> reqwest::Body {
    reqwest::Body::wrap_stream(stream::once(async move {
        if precondition() {
            return Ok(body);
        }
        is_withheld.store(true, Ordering::SeqCst);
        Err(LeaseExpired)
    }))
}

async fn read_answer(response: reqwest::Response) -> Answer {
    let status = response.status();
    let body = match read_start(response, MAX_ERROR_BODY_BYTES).await {
        Ok(_) if status.is_success() => return Answer::Accepted,
        Ok(body) => body,
        Err(error) => return lost(&error),
    };
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(ErrorBody { error }) if error.code == "old_fencing" => Answer::Fenced {
            current: error.current,
        },
        Ok(ErrorBody { error }) => refused(format!("{}: {}", error.code, error.message)),
        Err(_) if status.is_client_error() => refused(status.to_string()),
        Err(_) => Answer::Lost {
            reason: status.to_string(),
        },
    }
}

const fn refused(reason: String) -> Answer {
    Answer::Refused { reason }
}

fn lost(error: &reqwest::Error) -> Answer {
    Answer::Lost {
        reason: error.to_string(),
    }
}
