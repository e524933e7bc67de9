//! The interface to the wire protocol of callers, operators and endpoints.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use kumquatdrum_placement::Rate;
use kumquatdrum_registry::Announcement;
use kumquatdrum_routes::{Service, Setup};
use kumquatdrum_types::{DataCentre, EndpointId, Finding, Load, WorkspaceName};

/// An operation requested through the control listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Applies the setup in the body.
    Apply,
    /// Reads the active setup.
    Read,
    /// Announces an endpoint.
    Announce(EndpointId),
    /// Deregisters an endpoint.
    Leave(EndpointId),
    /// Starts the evacuation of a data centre.
    StartEvacuation(DataCentre),
    /// Ends the evacuation of a data centre.
    EndEvacuation(DataCentre),
    /// Reads the evacuations and their progress.
    ReadEvacuations,
    /// Any other request.
    Unknown,
}

impl Operation {
    /// Returns the operation's name in logs.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_gateway::protocol::Operation::Read.name(), "read");
    /// ```
    pub fn name(&self) -> &'static str {
        match self {
            Self::Apply => "apply",
            Self::Read => "read",
            Self::Announce(_) => "announce",
            Self::Leave(_) => "leave",
            Self::StartEvacuation(_) | Self::EndEvacuation(_) => "evacuate",
            Self::ReadEvacuations => "evacuations",
            Self::Unknown => "unknown",
        }
    }
}

/// Metadata from the head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metadata {
    /// The caller's id for this attempt, which endpoints echo.
    pub attempt_id: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The number of prompt tokens.
    pub prompt_tokens: Option<u64>,
    /// The maximum number of answer tokens.
    pub max_answer_tokens: Option<u64>,
    /// The id of the last event that the caller received of an earlier response.
    pub last_event_id: Option<u64>,
    /// Whether the caller states what an endpoint must have to run the request, such as a version of the
    /// model's weights.
    pub has_precondition: bool,
}

/// The identity of a part of a prompt, which several prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PartId(pub u128);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// What the head of a caller's request says about the prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model that the prompt is for.
    pub model: Option<String>,
    /// The parts of the prompt, in order. The last one belongs to the request or its session.
    pub parts: Vec<PartId>,
}

impl Prompt {
    /// Returns the parts that other prompts may share.
    pub fn shared_parts(&self) -> &[PartId] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Headers that the gateway adds to a request for an endpoint.
#[derive(Debug, Clone)]
pub struct Annotation<'a> {
    /// The caller's workspace.
    pub workspace: Option<&'a WorkspaceName>,
    /// The only endpoint that may run the request.
    pub endpoint: &'a EndpointId,
    /// The remaining time until the caller's deadline.
    pub timeout: Option<Duration>,
    /// The engines that prefill parts of the prompt.
    pub helpers: &'a [Helper],
    /// The id of the event after which the response resumes.
    pub last_event_id: Option<u64>,
}

/// An engine that prefills a part of a prompt for another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// The engine's address.
    pub address: SocketAddr,
    /// The id of the memory reservation at the engine.
    pub reservation: Option<String>,
}

/// Metadata from the head of an endpoint's response.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// The id of the attempt that the response belongs to.
    pub attempt_id: Option<String>,
    /// Whether the response bears an endpoint's stamp, without which callers take no success.
    pub is_stamped: bool,
    /// Whether the endpoint rejected the request without running it.
    pub has_not_run: bool,
    /// Whether the request was meant for another endpoint, or the endpoint doesn't meet its precondition.
    pub is_misdirected: bool,
    /// The id or address of a helper whose failure made the request fail.
    pub failed_endpoint: Option<String>,
    /// The endpoint's load.
    pub load: Option<Load>,
    /// The limit on the requests that the endpoint takes.
    pub limit: Limit,
    /// The time for which the endpoint asks this host not to send it requests.
    pub backoff: Backoff,
    /// Whether the endpoint is leaving.
    pub is_leaving: bool,
    /// How long the endpoint will be cold, if the response says so.
    pub cold: Option<Duration>,
}

impl Reply {
    /// Returns whether the endpoint asks this host for a back-off.
    pub fn requests_backoff(&self) -> bool {
        matches!(self.backoff, Backoff::For(delay) if !delay.is_zero())
    }
}

/// The limit that an endpoint names in a response on the requests from all hosts together.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Limit {
    /// The response names no limit.
    #[default]
    Absent,
    /// The endpoint takes this many requests.
    Rate(Rate),
    /// The value is not a valid rate.
    Invalid(String),
}

/// The back-off that an endpoint requests of this host when it rejects a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Backoff {
    /// The response requests no back-off.
    #[default]
    Absent,
    /// The endpoint wants no requests from this host for this long.
    For(Duration),
    /// The value is not a valid time.
    Invalid(String),
}

/// An engine's acknowledgement of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acknowledgement {
    /// The order was carried out.
    Done,
    /// The engine has too little free memory.
    Full,
    /// The engine rejected the order.
    Refused,
}

/// Translates between the wire protocol and the gateway's types, without any policy.
pub trait Protocol: Send + Sync {
    /// Parses a request to the control listener.
    fn parse_operation(&self, method: &Method, path: &str) -> Operation;

    /// Returns whether a request to the health listener is a health check.
    fn is_health_check(&self, method: &Method, path: &str) -> bool;

    /// Decodes the text of a setup, or returns every error in it.
    fn decode_setup(&self, text: &[u8]) -> Result<Setup, Vec<Finding>>;

    /// Decodes an endpoint's announcement.
    fn decode_announcement(&self, id: &EndpointId, body: &[u8]) -> Result<Announcement, Finding>;

    /// Decodes a leave request and returns the incarnation that leaves, if given.
    fn decode_leave(&self, body: &[u8]) -> Option<u64>;

    /// Parses the headers of a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> Metadata;

    /// Parses what a caller's headers say about the prompt.
    fn parse_prompt(&self, headers: &HeaderMap) -> Prompt;

    /// Converts a caller's headers into those for an endpoint.
    fn annotate(&self, headers: &mut HeaderMap, annotation: &Annotation<'_>);

    /// Parses the head of an endpoint's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Builds a request that an endpoint of the service answers at once, whatever it says.
    fn build_probe(&self, endpoint: &EndpointId, service: &Service) -> Request<Full<Bytes>>;

    /// Builds an order that reserves an engine's memory for the `hold` time, or renews the
    /// reservation.
    fn build_reserve(
        &self,
        endpoint: &EndpointId,
        reservation: &str,
        tokens: u64,
        hold: Duration,
    ) -> Request<Full<Bytes>>;

    /// Builds an order that releases a reservation.
    fn build_release(&self, endpoint: &EndpointId, reservation: &str) -> Request<Full<Bytes>>;

    /// Parses the response to an order.
    fn parse_acknowledgement(&self, status: StatusCode) -> Acknowledgement;
}
