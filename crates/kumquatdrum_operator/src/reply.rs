//! Sends a [`Report`] as a rocket response.

use rocket::Request;
use rocket::http::{ContentType, Header, Status};
use rocket::response::{Responder, Response, Result};

use kumquatdrum_setup::Failure;

use crate::report::{RETRY_AFTER, Report};

/// A report with its HTTP status.
#[derive(Debug)]
pub(crate) struct Reply {
    status: Status,
    report: Report,
}

impl Reply {
    pub(crate) fn unauthorized() -> Self {
        Report::Unauthorized.into()
    }

    pub(crate) fn bad_request(message: impl Into<String>) -> Self {
        let message = message.into();
        Report::BadRequest { message }.into()
    }

    pub(crate) fn too_large(limit: usize) -> Self {
        let message = format!("the file is longer than {limit} bytes");
        Self {
            status: Status::PayloadTooLarge,
            report: Report::BadRequest { message },
        }
    }

    pub(crate) fn missing_context() -> Self {
        let message = "the routes were mounted without a context".to_owned();
        Self {
            status: Status::InternalServerError,
            report: Report::BadRequest { message },
        }
    }
}

impl From<Report> for Reply {
    fn from(report: Report) -> Self {
        Self {
            status: Status::new(report.status_code()),
            report,
        }
    }
}

impl From<Failure> for Reply {
    fn from(failure: Failure) -> Self {
        Report::from(failure).into()
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let body = serde_json::to_string(&self.report).map_err(|_| Status::InternalServerError)?;
        let mut response = Response::build();
        response.status(self.status).header(ContentType::JSON);
        match self.report {
            Report::Unavailable { .. } => {
                let seconds = RETRY_AFTER.as_secs().to_string();
                response.header(Header::new("Retry-After", seconds));
            }
            Report::Unauthorized => {
                response.header(Header::new("WWW-Authenticate", "Bearer"));
            }
            _ => {}
        }
        response
            .sized_body(body.len(), std::io::Cursor::new(body))
            .ok()
    }
}
