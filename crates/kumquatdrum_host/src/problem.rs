//! Conversion of request endings to replies for callers.

use kumquatdrum_caller::Reply;
use kumquatdrum_caller::admission::Problem;
use kumquatdrum_daemon::lifecycle::{Cause, Ending};
use kumquatdrum_types::{FailureClass, RequestId};

const BAD_GATEWAY: u16 = 502;
const GATEWAY_TIMEOUT: u16 = 504;

/// Returns the name of an ending in metrics and logs.
pub const fn ending_name(ending: &Ending) -> &'static str {
    match ending {
        Ending::Finished => "finished",
        Ending::NotRun { .. } => "not_run",
        Ending::Failed(_) => "failed",
        Ending::Unknown(_) => "unknown",
        Ending::CallerGone => "caller_gone",
    }
}

/// Returns the last reply of a request, or `None` if the caller has disconnected.
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
        Ending::Failed(cause) => Some(Reply::Problem(build_failure_problem(
            FailureClass::Failed,
            cause,
            request,
        ))),
        Ending::Unknown(cause) => Some(Reply::Problem(build_failure_problem(
            FailureClass::Unknown,
            cause,
            request,
        ))),
    }
}

fn build_failure_problem(class: FailureClass, cause: Cause, request: &RequestId) -> Problem {
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
