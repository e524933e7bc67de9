//! Construction and verification of frames.

use bytes::Bytes;
use kumquatdrum_types::{BootId, HostId};

use crate::authentication::{self, Code, Mac};
use crate::generated::Frame;
use crate::{Channel, Identity, LocalDaemon};

/// Maximum total size of the bodies of a frame, in bytes.
pub(crate) const BODY_LIMIT_BYTES: usize = 8 << 20;
/// Maximum size of an encoded frame in bytes, including names and lengths.
pub(crate) const FRAME_LIMIT_BYTES: usize = BODY_LIMIT_BYTES + (1 << 20);

/// Reason that a frame was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Violation {
    #[error("another cluster")]
    OtherCluster,
    #[error("meant for another host")]
    OtherHost,
    #[error("wrong secret")]
    WrongSecret,
    #[error("unknown channel")]
    UnknownChannel,
    #[error("expected exactly one body")]
    BodyCount,
}

/// Content of a verified frame.
pub(crate) struct Accepted {
    pub(crate) from: Identity,
    pub(crate) channel: Channel,
    pub(crate) bodies: Vec<Bytes>,
}

/// Role of a frame in a call, covered by its code so that a frame can't be reused in another role.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Purpose<'a> {
    Send,
    Request,
    /// Request whose response arrives in parts.
    Exchange,
    /// Response to the request with this code.
    Response(&'a [u8]),
    /// Part of a response, after the request or the part with this code.
    Part(&'a [u8]),
}

/// Builds an authenticated frame for a host.
pub(crate) fn build(
    local: &LocalDaemon,
    to: &HostId,
    channel: Channel,
    bodies: Vec<Bytes>,
    purpose: Purpose<'_>,
) -> Frame {
    let mut frame = Frame {
        channel: channel.to_wire() as i32,
        cluster: local.cluster.clone(),
        from: local.identity.host.as_str().to_owned(),
        boot: local.identity.boot.0,
        to: to.as_str().to_owned(),
        bodies,
        code: Bytes::new(),
    };
    frame.code = Bytes::copy_from_slice(&code(local, &frame, purpose));
    frame
}

/// Verifies a frame and returns its content.
pub(crate) fn accept(
    local: &LocalDaemon,
    frame: Frame,
    purpose: Purpose<'_>,
) -> Result<Accepted, Violation> {
    let requires_single_body = !matches!(purpose, Purpose::Send);
    match Channel::from_wire(frame.channel) {
        _ if frame.cluster != local.cluster => Err(Violation::OtherCluster),
        _ if !authentication::verify(&code(local, &frame, purpose), &frame.code) => {
            Err(Violation::WrongSecret)
        }
        _ if frame.to != local.identity.host.as_str() => Err(Violation::OtherHost),
        _ if requires_single_body && frame.bodies.len() != 1 => Err(Violation::BodyCount),
        None => Err(Violation::UnknownChannel),
        Some(channel) => Ok(Accepted {
            from: Identity {
                host: HostId::new(&frame.from),
                boot: BootId(frame.boot),
            },
            channel,
            bodies: frame.bodies,
        }),
    }
}

fn code(local: &LocalDaemon, frame: &Frame, purpose: Purpose<'_>) -> Code {
    let (role, earlier_code): (&[u8], &[u8]) = match purpose {
        Purpose::Send => (b"send", b""),
        Purpose::Request => (b"ask", b""),
        Purpose::Exchange => (b"exchange", b""),
        Purpose::Response(request_code) => (b"answer", request_code),
        Purpose::Part(previous_code) => (b"part", previous_code),
    };
    let mac = Mac::new(local.secret.as_bytes())
        .update_field(role)
        .update_field(earlier_code)
        .update_field(&frame.channel.to_be_bytes())
        .update_field(frame.cluster.as_bytes())
        .update_field(frame.from.as_bytes())
        .update_field(&frame.boot.to_be_bytes())
        .update_field(frame.to.as_bytes());
    frame
        .bodies
        .iter()
        .fold(mac, |mac, body| mac.update_field(body))
        .finish()
}
