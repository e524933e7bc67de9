//! The operators' routes as a client sees them, over several hosts.

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

/// Whom to ask, and as whom.
#[derive(Clone)]
pub struct Connection {
    /// The operators' listeners of one or more hosts, such as `http://10.0.0.1:7402`.
    pub hosts: Vec<String>,
    /// The operator's key.
    pub key: String,
    /// How long one host may take for an answer.
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

/// Why no host gave an answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing was done: no host took the request.
    #[error("no host could be reached or could answer: {}", .0.join("; "))]
    Unreachable(Vec<String>),
    /// A host took the request and its answer was lost. The same request sent again tells.
    #[error("the outcome is unknown; send the same again to learn it: {}", .0.join("; "))]
    Unknown(Vec<String>),
    /// A host answered, and the answer is no.
    #[error("{}", describe(.0))]
    Answered(Report),
}

fn describe(report: &Report) -> String {
    match report {
        Report::Unauthorized => "the key is no operator's key".to_owned(),
        Report::NoSuchVersion => "there is no such version".to_owned(),
        Report::BadRequest { message } => message.clone(),
        other => other.word().to_owned(),
    }
}

/// Asks one host after the other until one answers.
#[derive(Debug, Clone)]
pub struct Client {
    connection: Connection,
    http: reqwest::Client,
}

/// A whole answer.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    text: String,
}

/// What came of one host.
enum Attempt {
    /// It gave a whole answer that stands.
    Answer(Answer),
    /// It certainly did nothing.
    NotDone(String),
    /// It may have done something.
    Lost(String),
}

impl Client {
    /// A client; it connects only when it is asked something.
    pub fn new(connection: Connection) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT.min(connection.timeout))
            .timeout(connection.timeout)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(Self { connection, http })
    }

    /// Applies a declaration. A host whose answer is lost is followed by the next one, which is
    /// safe as the apply's id is the same.
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
        let response = self.ask(|host| {
            let request = self.http.post(format!("{host}/v1/apply?{query}"));
            request.body(text.to_owned())
        });
        response.await?.report()
    }

    /// Reads back a declaration. The first host whose answer a majority confirmed is taken, else
    /// the highest version that any host knows.
    pub async fn show(&self, selector: Selector) -> Result<Revision, Error> {
        let query = match selector {
            Selector::Current => String::new(),
            Selector::Version(version) => format!("?version={version}"),
            Selector::At(unix_ms) => format!("?at={unix_ms}"),
        };
        let mut best: Option<Revision> = None;
        let mut failures = Vec::new();
        let mut refusal = None;
        for host in &self.connection.hosts {
            let request = self.http.get(format!("{host}/v1/declaration{query}"));
            match self.read_back(request).await {
                Ok(shown) if shown.standing == Standing::Confirmed => return Ok(shown),
                Ok(shown)
                    if best
                        .as_ref()
                        .is_none_or(|best| best.version < shown.version) =>
                {
                    best = Some(shown);
                }
                Ok(_) => {}
                Err(Error::Answered(report)) => refusal = Some(report),
                Err(Error::Unreachable(why) | Error::Unknown(why)) => failures.extend(why),
            }
        }
        match (best, refusal) {
            (Some(shown), _) => Ok(shown),
            (None, Some(report)) => Err(Error::Answered(report)),
            (None, None) => Err(Error::Unreachable(failures)),
        }
    }

    async fn read_back(&self, request: RequestBuilder) -> Result<Revision, Error> {
        match self.attempt(request).await {
            Attempt::Answer(answer) => answer.shown(),
            Attempt::NotDone(why) | Attempt::Lost(why) => Err(Error::Unreachable(vec![why])),
        }
    }

    /// A page of the audit trail.
    pub async fn audit(&self, from: u64, limit: usize) -> Result<Page, Error> {
        self.json(&format!("/v1/audit?from={from}&limit={limit}"))
            .await
    }

    /// What the first host that answers knows of the whole system.
    pub async fn status(&self) -> Result<Status, Error> {
        self.json("/v1/status").await
    }

    async fn json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let answer = self.ask(|host| self.http.get(format!("{host}{path}")));
        answer.await?.json()
    }

    /// Asks host after host; gives the first answer that stands.
    async fn ask(&self, request: impl Fn(&str) -> RequestBuilder) -> Result<Answer, Error> {
        let mut failures = Vec::new();
        let mut is_lost = false;
        for host in &self.connection.hosts {
            match self.attempt(request(host)).await {
                Attempt::Answer(answer) => return Ok(answer),
                Attempt::NotDone(why) => failures.push(why),
                Attempt::Lost(why) => {
                    is_lost = true;
                    failures.push(why);
                }
            }
        }
        Err(if is_lost {
            Error::Unknown(failures)
        } else {
            Error::Unreachable(failures)
        })
    }

    async fn attempt(&self, request: RequestBuilder) -> Attempt {
        match request.bearer_auth(&self.connection.key).send().await {
            Ok(response) => whole(response).await,
            Err(error) if error.is_connect() || error.is_builder() => {
                Attempt::NotDone(describe_transport(&error))
            }
            Err(error) => Attempt::Lost(describe_transport(&error)),
        }
    }
}

/// Reads an answer to its end; a torn one says nothing.
async fn whole(response: Response) -> Attempt {
    let status = response.status();
    let host = response.url().authority().to_owned();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Attempt::NotDone(format!("{host} reaches no majority"));
    }
    if status.is_server_error() {
        return Attempt::Lost(format!("{host} answered {status}"));
    }
    let headers = response.headers().clone();
    match response.text().await {
        Ok(text) => Attempt::Answer(Answer {
            status,
            headers,
            text,
        }),
        Err(error) => Attempt::Lost(describe_transport(&error)),
    }
}

/// An error with its causes, as the outermost one says little.
fn describe_transport(error: &reqwest::Error) -> String {
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
        serde_json::from_str(&self.text).map_err(|_| self.strange())
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if self.status == StatusCode::OK {
            serde_json::from_str(&self.text).map_err(|_| self.strange())
        } else {
            Err(Error::Answered(self.report()?))
        }
    }

    fn shown(&self) -> Result<Revision, Error> {
        if self.status == StatusCode::OK {
            self.read_back().ok_or_else(|| self.strange())
        } else {
            Err(Error::Answered(self.report()?))
        }
    }

    fn read_back(&self) -> Option<Revision> {
        let header = |name: &str| self.headers.get(name)?.to_str().ok();
        Some(Revision {
            version: Version(header(VERSION_HEADER)?.parse().ok()?),
            digest: Digest::parse(header(DIGEST_HEADER)?)?,
            accepted_unix_ms: header(ACCEPTED_HEADER)?.parse().ok()?,
            standing: serde_json::from_str(header(STANDING_HEADER)?).ok()?,
            text: self.text.as_str().into(),
        })
    }

    /// Something answered that is no operators' listener of this release.
    fn strange(&self) -> Error {
        Error::Unknown(vec![format!("an answer {} can't be read", self.status)])
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
