//! The control port of a stand-in: `POST /faults` and `GET /counters`.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, get, post, routes};
use serde::Deserialize;

use crate::counters::Counts;
use crate::fault::Fault;
use crate::server::{Error, Server};

/// A stand-in that the control port can inject faults into and read counts from.
pub trait Control: Send + Sync {
    /// Activates a fault.
    fn inject(&self, fault: &Fault);
    /// Returns the current counts.
    fn counts(&self) -> Counts;
}

/// Body of `POST /faults`: one fault, or several that are injected in order.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Body {
    One(Fault),
    Many(Vec<Fault>),
}

/// Starts the control port, which stays up when the stand-in is dead so that counts can be read.
pub async fn start(address: SocketAddr, target: Arc<dyn Control>) -> Result<Server, Error> {
    Server::start(address, |rocket| {
        rocket.manage(target).mount("/", routes![faults, counters])
    })
    .await
}

#[post("/faults", data = "<body>")]
fn faults(body: Json<Body>, target: &State<Arc<dyn Control>>) -> Status {
    match body.into_inner() {
        Body::One(fault) => target.inject(&fault),
        Body::Many(faults) => faults.iter().for_each(|fault| target.inject(fault)),
    }
    Status::NoContent
}

#[get("/counters")]
fn counters(target: &State<Arc<dyn Control>>) -> Json<Counts> {
    Json(target.counts())
}
