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

/// What the control port commands.
pub trait Control: Send + Sync {
    /// Puts a fault in force.
    fn inject(&self, fault: &Fault);
    /// The counts now.
    fn counts(&self) -> Counts;
}

/// One fault, or several in their order.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Orders {
    One(Fault),
    Many(Vec<Fault>),
}

/// Starts the control port; it outlives the stand-in's death, so that counts stay readable.
pub async fn start(address: SocketAddr, controlled: Arc<dyn Control>) -> Result<Server, Error> {
    Server::start(address, |rocket| {
        rocket
            .manage(controlled)
            .mount("/", routes![faults, counters])
    })
    .await
}

#[post("/faults", data = "<orders>")]
fn faults(orders: Json<Orders>, controlled: &State<Arc<dyn Control>>) -> Status {
    match orders.into_inner() {
        Orders::One(fault) => controlled.inject(&fault),
        Orders::Many(faults) => faults.iter().for_each(|fault| controlled.inject(fault)),
    }
    Status::NoContent
}

#[get("/counters")]
fn counters(controlled: &State<Arc<dyn Control>>) -> Json<Counts> {
    Json(controlled.counts())
}
