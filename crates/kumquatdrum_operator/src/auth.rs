//! Authentication of operators by bearer keys, whose digests are in the host's settings.

use std::sync::Arc;

use indexmap::IndexMap;
use kumquatdrum_types::{Finding, digest};
use rocket::Request;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use serde::{Deserialize, Serialize};
use slog::warn;

use crate::reply::Reply;
use crate::routes::Context;

const SCHEME: &str = "Bearer ";

/// An operator in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name recorded in the audit trail.
    pub name: String,
    /// SHA-256 digest of the operator's key, in 64 lower-case hexadecimal digits.
    pub sha256: String,
}

/// The operators of a host by the digest of their key.
#[derive(Debug, Clone, Default)]
pub struct Operators(IndexMap<String, Arc<str>>);

impl Operators {
    /// Builds the lookup from the settings. Returns findings, with places below `place`, for empty
    /// or duplicate names and invalid or duplicate digests.
    ///
    /// ```
    /// use kumquatdrum_operator::{Operator, Operators};
    ///
    /// let sha256 = kumquatdrum_types::digest::hex(b"secret");
    /// let operators = [Operator { name: "kadri".into(), sha256 }];
    /// let operators = Operators::new("/operators", &operators).unwrap();
    /// assert_eq!(operators.name("secret"), Some("kadri"));
    /// assert_eq!(operators.name("guess"), None);
    /// ```
    pub fn new(place: &str, operators: &[Operator]) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut by_digest: IndexMap<String, Arc<str>> = IndexMap::new();
        for (position, operator) in operators.iter().enumerate() {
            let place = format!("{place}/{position}");
            let name_place = format!("{place}/name");
            let key_place = format!("{place}/sha256");
            if operator.name.is_empty() {
                findings.push(Finding::new(&name_place, "must not be empty"));
            }
            if by_digest.values().any(|name| **name == *operator.name) {
                findings.push(Finding::new(name_place, "stands more than once"));
            }
            if !digest::is_hex(&operator.sha256) {
                let message = "must be a SHA-256 digest in 64 lower-case hexadecimal digits";
                findings.push(Finding::new(&key_place, message));
            }
            let name = Arc::from(operator.name.as_str());
            if by_digest.insert(operator.sha256.clone(), name).is_some() {
                findings.push(Finding::new(key_place, "stands more than once"));
            }
        }
        if findings.is_empty() {
            Ok(Self(by_digest))
        } else {
            Err(findings)
        }
    }

    /// Returns the name of the operator with this key.
    pub fn name(&self, key: &str) -> Option<&str> {
        let name = self.0.get(&digest::hex(key.as_bytes()));
        name.map(AsRef::as_ref)
    }
}

/// Name of the operator that sent a request.
#[derive(Debug)]
pub(crate) struct Identity(pub String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Identity {
    type Error = Reply;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Reply> {
        let Some(context) = request.rocket().state::<Context>() else {
            return Outcome::Error((Status::InternalServerError, Reply::missing_context()));
        };
        let header = request.headers().get_one("Authorization");
        let key = header.and_then(|header| header.strip_prefix(SCHEME));
        if let Some(name) = key.and_then(|key| context.operators.name(key)) {
            return Outcome::Success(Self(name.to_owned()));
        }
        warn!(context.logger, ""; "event" => "operator_refused", "path" => %request.uri().path());
        Outcome::Error((Status::Unauthorized, Reply::unauthorized()))
    }
}
