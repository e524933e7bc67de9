//! The border to how callers, operators and endpoints speak.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use kumquatdrum_registry::Announcement;
use kumquatdrum_routes::Setup;
use kumquatdrum_types::{EndpointId, Finding, Load, WorkspaceName};

/// What somebody asks of the control listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Put the setup in the body in force.
    Apply,
    /// Read back what is in force.
    Read,
    /// An endpoint announces itself.
    Announce(EndpointId),
    /// An endpoint says farewell.
    Leave(EndpointId),
    /// Nothing that is known.
    Unknown,
}

/// What a caller says in a request's head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ask {
    /// The caller's name for this attempt, which endpoints echo.
    pub attempt: Option<String>,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// The most tokens of the answer.
    pub answer_tokens: Option<u64>,
    /// The caller has the events of an earlier answer through this one.
    pub after_event: Option<u64>,
}

/// What the gateway tells an endpoint beside the caller's own words.
#[derive(Debug, Clone)]
pub struct Note<'a> {
    /// Whose caller it is.
    pub workspace: Option<&'a WorkspaceName>,
    /// The only endpoint that may run it.
    pub endpoint: &'a EndpointId,
    /// How long the caller will still wait.
    pub patience: Option<Duration>,
    /// Engines that read parts of the prompt.
    pub helpers: &'a [Helper],
    /// The answer goes on after this event.
    pub after_event: Option<u64>,
}

/// An engine that reads a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Where it listens.
    pub address: SocketAddr,
    /// The memory that was reserved at it.
    pub reservation: Option<String>,
}

/// What an endpoint says in an answer's head.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// The attempt that it answers.
    pub attempt: Option<String>,
    /// It has not run the request.
    pub not_run: bool,
    /// It is not the endpoint that the request was meant for.
    pub wrong_endpoint: bool,
    /// Another endpoint, by its id or its address, that has failed it.
    pub at_fault: Option<String>,
    /// Its load.
    pub load: Option<Load>,
}

/// What an engine has done with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ordered {
    /// It holds.
    Done,
    /// There is no room for it.
    Full,
    /// It does not take it.
    Refused,
}

/// How callers, operators and endpoints speak. Translates, and decides nothing.
pub trait Protocol: Send + Sync {
    /// What a call of the control listener asks.
    fn operation(&self, method: &Method, path: &str) -> Operation;

    /// Whether a call of the health listener asks whether this host takes callers.
    fn is_health(&self, method: &Method, path: &str) -> bool;

    /// Reads an operator's text; every finding where it can't be read.
    fn setup(&self, text: &[u8]) -> Result<Setup, Vec<Finding>>;

    /// Reads an endpoint's announcement.
    fn announcement(&self, id: &EndpointId, body: &[u8]) -> Result<Announcement, Finding>;

    /// The incarnation that says farewell, where it tells.
    fn farewell(&self, body: &[u8]) -> Option<u64>;

    /// Reads a caller's head.
    fn ask(&self, headers: &HeaderMap) -> Ask;

    /// Makes a caller's headers into those for an endpoint.
    fn annotate(&self, headers: &mut HeaderMap, note: &Note<'_>);

    /// Reads the head of an endpoint's answer.
    fn reply(&self, status: StatusCode, headers: &HeaderMap) -> Reply;

    /// An order that sets an engine's memory aside for some time, or renews that.
    fn reserve(
        &self,
        endpoint: &EndpointId,
        reservation: &str,
        tokens: u64,
        hold: Duration,
    ) -> Request<Full<Bytes>>;

    /// An order that gives an engine's memory back.
    fn release(&self, endpoint: &EndpointId, reservation: &str) -> Request<Full<Bytes>>;

    /// Reads the answer to an order.
    fn ordered(&self, status: StatusCode) -> Ordered;
}
