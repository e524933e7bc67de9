//! Orders over HTTP. The last check comes when the connection asks for the body, so that neither
//! a slow connect nor a process that freezes before it makes an order late.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use kumquatdrum_orders::{Action, Answer, Order, Settings};
use kumquatdrum_types::BootId;
use kumquatdrum_types::exchange::Target;
use serde::{Deserialize, Serialize};

use crate::engine::{Check, Ordered};

#[derive(Debug, Serialize)]
struct Body<'a> {
    id: String,
    fencing: u64,
    boot: BootId,
    action: &'a Action,
}

#[derive(Debug, Deserialize)]
struct Refused {
    error: RefusedError,
}

#[derive(Debug, Deserialize)]
struct RefusedError {
    code: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    current: u64,
}

#[derive(Debug, thiserror::Error)]
#[error("the lease has run out")]
struct TooLate;

fn flight() -> Duration {
    Settings::default().delivery_timeout
}

/// A client whose connections, kernel buffers included, give up within an order's flight.
pub fn client() -> Result<reqwest::Client, reqwest::Error> {
    crate::http::pool()
        .tcp_user_timeout(flight())
        .timeout(flight())
        .pool_max_idle_per_host(0)
        .build()
}

/// Sends an order.
pub fn send(client: &reqwest::Client, target: &Target, order: &Order, check: Check) -> Ordered {
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
        let withheld = Arc::new(AtomicBool::new(false));
        let request = request.body(checked(body, check, withheld.clone()));
        match request.send().await {
            Ok(response) => answer(response).await,
            Err(_) if withheld.load(Ordering::SeqCst) => Answer::NotSent,
            Err(error) => lost(&error),
        }
    })
}

/// A body that exists only if the check allows it at the moment it is written. An engine drops
/// a request whose body breaks off.
fn checked(body: Bytes, check: Check, withheld: Arc<AtomicBool>) -> reqwest::Body {
    reqwest::Body::wrap_stream(stream::once(async move {
        if check() {
            return Ok(body);
        }
        withheld.store(true, Ordering::SeqCst);
        Err(TooLate)
    }))
}

async fn answer(response: reqwest::Response) -> Answer {
    let status = response.status();
    let body = match response.bytes().await {
        Ok(_) if status.is_success() => return Answer::Accepted,
        Ok(body) => body,
        Err(error) => return lost(&error),
    };
    match serde_json::from_slice::<Refused>(&body) {
        Ok(Refused { error }) if error.code == "old_fencing" => Answer::Fenced {
            current: error.current,
        },
        Ok(Refused { error }) => refused(format!("{}: {}", error.code, error.message)),
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
