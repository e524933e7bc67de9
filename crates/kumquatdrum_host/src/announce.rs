//! The listener on which endpoints announce themselves.

use std::sync::Arc;

use kumquatdrum_types::{Announcement, digest};
use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::Json;
use rocket::{Route, State, post, routes};
use serde::Serialize;
use slog::warn;

use crate::members::Members;
use crate::shell::Shell;

/// An announcement is never longer.
const LONGEST: u64 = 1024 * 1024;

/// An endpoint that proved that it knows the endpoints' key.
struct Announcer;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Announcer {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(shell) = request.rocket().state::<Arc<Shell>>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let header = request
            .headers()
            .get_one("authorization")
            .unwrap_or_default();
        let key = header.strip_prefix("Bearer ").unwrap_or_default();
        if digest::hex(key.as_bytes()) == shell.settings.endpoint_key_sha256 {
            return Outcome::Success(Self);
        }
        warn!(shell.logger, ""; "event" => "endpoint_refused", "has_key" => !key.is_empty());
        Outcome::Error((Status::Unauthorized, ()))
    }
}

/// What an endpoint learns.
#[derive(Debug, Serialize)]
struct Told {
    /// Whether the announcement was taken, and a leaving notice spread.
    taken: bool,
    /// What is wrong, where it wasn't.
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
}

fn refused(status: Status, message: impl Into<String>) -> (Status, Json<Told>) {
    let told = Told {
        taken: false,
        message: Some(message.into()),
    };
    (status, Json(told))
}

#[post("/v1/endpoints", data = "<data>")]
async fn announce(
    _announcer: Announcer,
    shell: &State<Arc<Shell>>,
    members: &State<Arc<Members>>,
    data: Data<'_>,
) -> (Status, Json<Told>) {
    let body = match data.open(LONGEST.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        Ok(_) => return refused(Status::PayloadTooLarge, "the announcement is too long"),
        Err(error) => return refused(Status::BadRequest, error.to_string()),
    };
    let mut reader = serde_json::Deserializer::from_slice(&body);
    let announcement: Announcement = match serde_path_to_error::deserialize(&mut reader) {
        Ok(announcement) => announcement,
        Err(error) => return refused(Status::BadRequest, error.to_string()),
    };
    if announcement.data_centre != shell.settings.data_centre {
        let message = format!(
            "this host stands in {}, the endpoint in {}",
            shell.settings.data_centre, announcement.data_centre
        );
        return refused(Status::BadRequest, message);
    }
    if members.announce(announcement).await {
        let told = Told {
            taken: true,
            message: None,
        };
        return (Status::Ok, Json(told));
    }
    refused(Status::ServiceUnavailable, "not spread yet; announce again")
}

/// The routes of the endpoints' listener.
pub fn all() -> Vec<Route> {
    routes![announce]
}
