//! Messages of a request that one host sends to an endpoint for another host.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request as HttpRequest, Uri, Version};
use http_body_util::Full;
use kumquatdrum_types::EndpointId;
use serde::{Deserialize, Serialize};

use crate::holds::Purpose;

/// An endpoint's incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The endpoint's start time.
    pub started: u64,
}

/// A request to be sent to an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Request {
    /// The incarnation of the relay that the request is meant for.
    pub relay_boot: u64,
    /// The number of the request among those from its host to this relay.
    pub number: u64,
    /// The endpoint.
    pub endpoint: Incarnation,
    /// The engines that prefill parts of the prompt.
    pub helpers: Vec<Incarnation>,
    /// What the request is for.
    pub purpose: Purpose,
    /// The caller's attempt id, for logs.
    pub attempt_id: String,
    /// The time until the deadline in milliseconds.
    pub left_ms: u64,
    /// The time in milliseconds after which the answer is late, if that is known.
    pub patience_ms: Option<u64>,
    /// Whether the request may be repeated although it may have been read.
    pub is_repeatable: bool,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Returns the HTTP request, or `None` if it is invalid.
    pub fn to_http(&self) -> Option<HttpRequest<Full<Bytes>>> {
        let mut request = HttpRequest::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::from_bytes(self.method.as_bytes()).ok()?;
        *request.uri_mut() = self.path.parse::<Uri>().ok()?;
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = decode_headers(&self.headers)?;
        Some(request)
    }
}

/// A part of the response to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Part {
    /// The relay is connected to the endpoint and sends the request now.
    Connected,
    /// The head of the endpoint's response.
    Head {
        /// The status code.
        status: u16,
        /// The headers.
        headers: Vec<(String, Bytes)>,
    },
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The request or its response failed.
    Failed(Failure),
}

/// The reason why a relay has no complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Failure {
    /// Nothing was sent: the relay takes no requests now.
    #[error("the relay takes no requests now")]
    Busy,
    /// Nothing was sent: the relay's own path to the service is in doubt.
    #[error("the relay does not reach the service either")]
    CutOff,
    /// Nothing was sent: the endpoint must not get the request from the relay now.
    #[error("the relay must not send to the endpoint now")]
    Held,
    /// Nothing was sent: the relay failed to connect.
    #[error("the relay is not connected: {0}")]
    Unsent(String),
    /// Nothing was sent: no process listens at the endpoint's address.
    #[error("the relay is refused: {0}")]
    Refused(String),
    /// The connection failed after the request may have been read.
    #[error("the relay's connection is lost: {0}")]
    Lost(String),
    /// The relay has lost its path to the service after the request may have been read.
    #[error("the relay has lost its path to the service")]
    PathLost,
    /// The endpoint did not respond in time.
    #[error("no answer in time")]
    TimedOut,
}

/// Converts headers for transmission.
pub fn encode_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let pairs = headers.iter();
    let pairs = pairs.map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    });
    pairs.collect()
}

/// Converts received headers. Returns `None` if one is invalid.
pub fn decode_headers(pairs: &[(String, Bytes)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_maybe_shared(value.clone()).ok()?);
    }
    Some(headers)
}
