//! Endings in the words of the callers' interface.

use kumquatdrum_caller::Reply;
use kumquatdrum_caller::admission::Problem;
use kumquatdrum_daemon::flight::{Cause, Ending};
use kumquatdrum_types::{FailureClass, RequestId};

const BAD_GATEWAY: u16 = 502;
const GATEWAY_TIMEOUT: u16 = 504;

/// The name of an ending in metrics and logs.
pub const fn ending_name(ending: &Ending) -> &'static str {
    match ending {
        Ending::Finished => "finished",
        Ending::NotRun { .. } => "not_run",
        Ending::Failed(_) => "failed",
        Ending::Unknown(_) => "unknown",
        Ending::CallerGone => "caller_gone",
    }
}

/// The last reply of a request that ended so; a caller that has left gets none.
pub fn last_reply(ending: Ending, request: &RequestId) -> Option<Reply> {
    match ending {
        Ending::Finished => Some(Reply::Finished),
        Ending::CallerGone => None,
        Ending::NotRun {
            refusal,
            retry_after,
        } => {
            let problem = Problem::refused(refusal, retry_after, Some(request.clone()));
            Some(Reply::Problem(problem))
        }
        Ending::Failed(cause) => Some(Reply::Problem(dispatched(
            FailureClass::Failed,
            cause,
            request,
        ))),
        Ending::Unknown(cause) => Some(Reply::Problem(dispatched(
            FailureClass::Unknown,
            cause,
            request,
        ))),
    }
}

fn dispatched(class: FailureClass, cause: Cause, request: &RequestId) -> Problem {
    let (code, status, message, relayed) = match cause {
        Cause::Deadline => (
            "deadline",
            GATEWAY_TIMEOUT,
            "the deadline came before the answer was whole",
            None,
        ),
        Cause::EndpointLost => (
            "endpoint_lost",
            BAD_GATEWAY,
            "the endpoint was lost before the answer was whole",
            None,
        ),
        Cause::Rejected { status, body } => (
            "endpoint_error",
            status,
            "the endpoint answered with an error",
            Some(body),
        ),
    };
    Problem {
        code: code.to_owned(),
        class,
        message: message.to_owned(),
        retry_after_ms: None,
        request: Some(request.clone()),
        status,
        relayed,
    }
}
