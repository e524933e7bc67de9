//! Client of the operators' routes, over several hosts.

use std::fmt;
use std::time::Duration;

use kumquatdrum_setup::control::{Page, Status};
use kumquatdrum_setup::{ApplyId, Digest, Revision, Selector, Standing};
use kumquatdrum_types::Version;
use reqwest::header::HeaderMap;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::report::{ACCEPTED_HEADER, DIGEST_HEADER, Report, STANDING_HEADER, VERSION_HEADER};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Hosts to connect to and the key to authenticate with.
#[derive(Clone)]
pub struct Connection {
    /// URLs of the operators' listeners of one or more hosts, such as `http://10.0.0.1:7402`.
    pub hosts: Vec<String>,
    /// Key of the operator.
    pub key: String,
    /// Maximum time to wait for the response of one host.
    pub timeout: Duration,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("hosts", &self.hosts)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

/// Error of a request to the hosts.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No host processed the request.
    #[error("no host could be reached or could process the request: {}", .0.join("; "))]
    Unreachable(Vec<String>),
    /// A host may have processed the request, but its response was lost. The same request can be
    /// repeated to learn the outcome.
    #[error("the outcome is unknown; repeat the same request to learn it: {}", .0.join("; "))]
    Unknown(Vec<String>),
    /// A host rejected the request.
    #[error("{}", describe(.0))]
    Rejected(Report),
}

fn describe(report: &Report) -> String {
    match report {
        Report::Unauthorized => "the key is not an operator's key".to_owned(),
        Report::NoSuchVersion => "there is no such version".to_owned(),
        Report::BadRequest { message } => message.clone(),
        other => other.outcome().to_owned(),
    }
}

/// A client that tries one host after another until one responds.
#[derive(Debug, Clone)]
pub struct Client {
    connection: Connection,
    http: reqwest::Client,
}

/// A complete response.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: String,
}

/// Result of a request to one host.
enum Attempt {
    /// The host sent a complete response.
    Answer(Answer),
    /// The host did not process the request.
    NotProcessed(String),
    /// The host may have processed the request.
    Unknown(String),
}

impl Client {
    /// Creates a client. Connections are opened on the first request.
    pub fn new(connection: Connection) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT.min(connection.timeout))
            .timeout(connection.timeout)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(Self { connection, http })
    }

    /// Applies a declaration. If a response is lost, the next host is tried. This is safe because
    /// the apply id stays the same.
    pub async fn apply(
        &self,
        base: Version,
        apply_id: Option<&ApplyId>,
        text: &str,
    ) -> Result<Report, Error> {
        let mut query = format!("base={base}");
        if let Some(apply_id) = apply_id {
            query.push_str("&apply_id=");
            query.push_str(&percent_encoded(apply_id.as_str()));
        }
        let response = self.send(|host| {
            let request = self.http.post(format!("{host}/v1/apply?{query}"));
            request.body(text.to_owned())
        });
        response.await?.report()
    }

    /// Returns a declaration: the first one that a majority confirmed, or else the highest version
    /// known to any host.
    pub async fn show(&self, selector: Selector) -> Result<Revision, Error> {
        let query = match selector {
            Selector::Current => String::new(),
            Selector::Version(version) => format!("?version={version}"),
            Selector::At(unix_ms) => format!("?at={unix_ms}"),
        };
        let mut best: Option<Revision> = None;
        let mut failures = Vec::new();
        let mut rejection = None;
        for host in &self.connection.hosts {
            let request = self.http.get(format!("{host}/v1/declaration{query}"));
            match self.fetch_revision(request).await {
                Ok(revision) if revision.standing == Standing::Confirmed => return Ok(revision),
                Ok(revision)
                    if best
                        .as_ref()
                        .is_none_or(|best| best.version < revision.version) =>
                {
                    best = Some(revision);
                }
                Ok(_) => {}
                Err(Error::Rejected(report)) => rejection = Some(report),
                Err(Error::Unreachable(errors) | Error::Unknown(errors)) => failures.extend(errors),
            }
        }
        match (best, rejection) {
            (Some(revision), _) => Ok(revision),
            (None, Some(report)) => Err(Error::Rejected(report)),
            (None, None) => Err(Error::Unreachable(failures)),
        }
    }

    async fn fetch_revision(&self, request: RequestBuilder) -> Result<Revision, Error> {
        match self.attempt(request).await {
            Attempt::Answer(answer) => answer.revision(),
            Attempt::NotProcessed(error) | Attempt::Unknown(error) => {
                Err(Error::Unreachable(vec![error]))
            }
        }
    }

    /// Returns a page of the audit trail.
    pub async fn audit(&self, from: u64, limit: usize) -> Result<Page, Error> {
        self.get_json(&format!("/v1/audit?from={from}&limit={limit}"))
            .await
    }

    /// Returns the status of the whole system as known to the first host that responds.
    pub async fn status(&self) -> Result<Status, Error> {
        self.get_json("/v1/status").await
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let answer = self.send(|host| self.http.get(format!("{host}{path}")));
        answer.await?.json()
    }

    /// Sends a request to one host after another and returns the first complete response.
    async fn send(&self, request: impl Fn(&str) -> RequestBuilder) -> Result<Answer, Error> {
        let mut failures = Vec::new();
        let mut is_unknown = false;
        for host in &self.connection.hosts {
            match self.attempt(request(host)).await {
                Attempt::Answer(answer) => return Ok(answer),
                Attempt::NotProcessed(error) => failures.push(error),
                Attempt::Unknown(error) => {
                    is_unknown = true;
                    failures.push(error);
                }
            }
        }
        Err(if is_unknown {
            Error::Unknown(failures)
        } else {
            Error::Unreachable(failures)
        })
    }

    async fn attempt(&self, request: RequestBuilder) -> Attempt {
        match request.bearer_auth(&self.connection.key).send().await {
            Ok(response) => read_response(response).await,
            Err(error) if error.is_connect() || error.is_builder() => {
                Attempt::NotProcessed(describe_transport_error(&error))
            }
            Err(error) => Attempt::Unknown(describe_transport_error(&error)),
        }
    }
}

/// Reads the whole response. The outcome is unknown if it is truncated.
async fn read_response(response: Response) -> Attempt {
    let status = response.status();
    let host = response.url().authority().to_owned();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Attempt::NotProcessed(format!(
            "{host} is unavailable: no control leader processed the request"
        ));
    }
    if status.is_server_error() {
        return Attempt::Unknown(format!("{host} responded with status {status}"));
    }
    let headers = response.headers().clone();
    match response.text().await {
        Ok(body) => Attempt::Answer(Answer {
            status,
            headers,
            body,
        }),
        Err(error) => Attempt::Unknown(describe_transport_error(&error)),
    }
}

/// Formats an error with its causes.
fn describe_transport_error(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}

impl Answer {
    fn report(&self) -> Result<Report, Error> {
        serde_json::from_str(&self.body).map_err(|_| self.malformed())
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if self.status == StatusCode::OK {
            serde_json::from_str(&self.body).map_err(|_| self.malformed())
        } else {
            Err(Error::Rejected(self.report()?))
        }
    }

    fn revision(&self) -> Result<Revision, Error> {
        if self.status == StatusCode::OK {
            self.parse_revision().ok_or_else(|| self.malformed())
        } else {
            Err(Error::Rejected(self.report()?))
        }
    }

    fn parse_revision(&self) -> Option<Revision> {
        let header = |name: &str| self.headers.get(name)?.to_str().ok();
        Some(Revision {
            version: Version(header(VERSION_HEADER)?.parse().ok()?),
            digest: Digest::parse(header(DIGEST_HEADER)?)?,
            accepted_unix_ms: header(ACCEPTED_HEADER)?.parse().ok()?,
            standing: serde_json::from_str(header(STANDING_HEADER)?).ok()?,
            text: self.body.as_str().into(),
        })
    }

    /// Returns the error for a response that is not from an operators' listener of this version.
    fn malformed(&self) -> Error {
        Error::Unknown(vec![format!(
            "malformed response with status {}",
            self.status
        )])
    }
}

fn percent_encoded(text: &str) -> String {
    let encode = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode).collect()
}
