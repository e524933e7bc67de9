//! The route on which endpoints announce themselves.

use std::sync::Arc;

use kumquatdrum_types::{Announcement, digest};
use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::Json;
use rocket::{Route, State, post, routes};
use serde::Serialize;
use slog::warn;

use crate::context::Context;
use crate::members::Members;

/// The maximum length of an announcement.
const MAX_BYTES: u64 = 1024 * 1024;

/// A request guard that requires the endpoints' key.
struct Authorized;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Authorized {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(context) = request.rocket().state::<Arc<Context>>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let header = request
            .headers()
            .get_one("authorization")
            .unwrap_or_default();
        let key = header.strip_prefix("Bearer ").unwrap_or_default();
        if digest::hex(key.as_bytes()) == context.settings.endpoint_key_sha256 {
            return Outcome::Success(Self);
        }
        warn!(context.logger, ""; "event" => "endpoint_refused", "has_key" => !key.is_empty());
        Outcome::Error((Status::Unauthorized, ()))
    }
}

/// The response to an announcement.
#[derive(Debug, Serialize)]
struct Response {
    /// Whether the announcement was accepted and, if it is a leaving notice, replicated.
    taken: bool,
    /// The reason for a refusal.
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
}

fn refused(status: Status, message: impl Into<String>) -> (Status, Json<Response>) {
    let response = Response {
        taken: false,
        message: Some(message.into()),
    };
    (status, Json(response))
}

#[post("/v1/endpoints", data = "<data>")]
async fn announce(
    _authorized: Authorized,
    context: &State<Arc<Context>>,
    members: &State<Arc<Members>>,
    data: Data<'_>,
) -> (Status, Json<Response>) {
    let body = match data.open(MAX_BYTES.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        Ok(_) => return refused(Status::PayloadTooLarge, "the announcement is too long"),
        Err(error) => return refused(Status::BadRequest, error.to_string()),
    };
    let mut reader = serde_json::Deserializer::from_slice(&body);
    let announcement: Announcement = match serde_path_to_error::deserialize(&mut reader) {
        Ok(announcement) => announcement,
        Err(error) => return refused(Status::BadRequest, error.to_string()),
    };
    if announcement.data_centre != context.settings.data_centre {
        let message = format!(
            "this host stands in {}, the endpoint in {}",
            context.settings.data_centre, announcement.data_centre
        );
        return refused(Status::BadRequest, message);
    }
    if members.announce(announcement).await {
        let response = Response {
            taken: true,
            message: None,
        };
        return (Status::Ok, Json(response));
    }
    refused(Status::ServiceUnavailable, "not spread yet; announce again")
}

/// Returns the routes of the endpoints' listener.
pub fn routes() -> Vec<Route> {
    routes![announce]
}
