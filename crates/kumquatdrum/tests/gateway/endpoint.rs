//! A stand-in endpoint that answers correctly or with a given fault.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

mod early;
mod endless;
mod events;
mod record;
mod request;
mod verbatim;

pub use early::{Early, Stop};
pub use endless::Part;
pub use record::Record;

/// The body of a request that crashes the endpoint: it closes its listener and all connections.
pub const CRASHING_BODY: &str = "crash";
/// The body of a request that crashes the endpoint, whose listener is closed last.
pub const SLOWLY_CRASHING_BODY: &str = "crash slowly";
/// The part of a prompt that crashes the endpoint, unless it is the last one.
pub const CRASHING_PART: &str = "bad0";
/// The time from the arrival of a request with that part to the crash.
const PART_CRASH: Duration = Duration::from_millis(120);
/// The time until the listener is closed.
const SLOW_CRASH: Duration = Duration::from_millis(20);
/// The time in which a peer receives what was sent before a reset.
const RESET_DELAY: Duration = Duration::from_millis(20);
/// How long an endpoint that falls silent keeps its connections.
const DARKNESS: Duration = Duration::from_secs(60);

/// How the endpoint answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// With a complete body of known length.
    CompleteBody,
    /// With [`SIX_EVENTS`] on stream routes, else as [`Self::CompleteBody`].
    StreamOrCompleteBody,
    /// With the answer to a different attempt.
    AnswerOtherAttempt,
    /// Not at all: closes the connection after reading the request.
    CloseWithoutAnswer,
    /// With the answer, followed by an unsolicited second one.
    AnswerTwice,
    /// With a complete stream of events, resumed after the last event id of the request.
    CompleteStream { events: u64, pause: Duration },
    /// As [`Self::CompleteStream`], with a longer pause before the last event.
    SilentStream {
        events: u64,
        pause: Duration,
        silence: Duration,
    },
    /// With six events, and silence for `silence` after the one with the number `after`. To resume such a
    /// stream takes `resumption` before the head.
    PausedStream {
        after: u64,
        silence: Duration,
        resumption: Duration,
    },
    /// With events up to `after`, and half of the next one.
    TruncatedStream { after: u64 },
    /// With six events without framing, cut within the event after `cut_after`.
    UnframedStream { cut_after: Option<u64> },
    /// With some events of a stream, or not even the head, then with silence: the listener is closed, the
    /// connection not.
    GoDark { after: Option<u64> },
    /// With [`SIX_EVENTS`], in turn with chunks or without framing, complete or broken off.
    AnyEnding,
    /// With half a body of unknown length, and then a reset of the connection.
    ResetInBody,
    /// With these bytes, in which `ATTEMPT` stands for the headers that every answer has, and `UNSTAMPED`
    /// for all of them but the stamp.
    Verbatim { answer: &'static str, end: End },
    /// As [`Self::Verbatim`], but with as many bytes of `answer` only as the path ends with.
    Cut { answer: &'static str },
    /// As [`Self::Verbatim`], with the answer whose number the path ends with.
    Numbered {
        answers: &'static [String],
        end: End,
    },
    /// With the answer whose number the path ends with, while the request still arrives.
    Early(&'static [Early]),
    /// As the path's last part says, `FIRST-EVENTS-PAUSE-SILENCE`: the head after FIRST ms, then that
    /// many events, PAUSE ms before each and SILENCE ms more before the last; [`Self::CompleteBody`] if
    /// there are none.
    ByPath,
    /// With bytes without end.
    Endless(Part),
    /// As [`Self::Endless`] with the part that the path's last part names; [`Self::CompleteBody`] if it
    /// names none.
    EndlessByPath,
}

/// How the endpoint ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Close,
    Reset,
}

/// A stream that lasts long enough for faults to occur during it.
pub const SIX_EVENTS: Behaviour = Behaviour::CompleteStream {
    events: 6,
    pause: Duration::from_millis(40),
};

pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
    pub record: Arc<Record>,
    task: JoinHandle<()>,
}

impl Endpoint {
    pub async fn start(id: &str, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        if let Behaviour::Early(_) = behaviour {
            // A long body does not fit into the buffers of the connection.
            let socket = socket2::SockRef::from(&listener);
            socket.set_recv_buffer_size(16 << 10).expect("a size");
        }
        let address = listener.local_addr().expect("the listener's address");
        let record = Arc::new(Record::default());
        let (name, shared) = (id.to_owned(), record.clone());
        let shared_record = record.clone();
        let task = tokio::spawn(async move {
            let mut serving = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        let (name, shared) = (name.clone(), shared.clone());
                        serving.spawn(async move { serve(stream, &name, behaviour, &shared).await });
                    }
                    Some(ended) = serving.join_next() => match ended {
                        Ok(Served::Crashed(connection)) => {
                            drop(listener);
                            drop(connection);
                            return;
                        }
                        Ok(Served::Dark(connection)) => {
                            *shared_record.darkened.lock() = Some(Instant::now());
                            drop(listener);
                            sleep(DARKNESS).await;
                            drop(connection);
                            return;
                        }
                        Ok(Served::CrashedSlowly) => {
                            sleep(SLOW_CRASH).await;
                            return;
                        }
                        Ok(Served::Answered) | Err(_) => {}
                    },
                }
            }
        });
        Self {
            id: id.to_owned(),
            address,
            record,
            task,
        }
    }

    /// Closes all connections and the listener.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Returns whether a request has crashed the endpoint, or it was stopped.
    pub fn has_ended(&self) -> bool {
        self.task.is_finished()
    }

    pub fn runs(&self) -> usize {
        self.record.runs.load(Ordering::Relaxed)
    }

    /// Returns whether an attempt has run.
    pub fn has_run(&self, attempt: &str) -> bool {
        self.record.attempts.lock().contains_key(attempt)
    }

    pub fn refusals(&self) -> usize {
        self.record.refusals.load(Ordering::Relaxed)
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What happened on a connection to the endpoint.
enum Served {
    Answered,
    /// The endpoint crashes, and closes this connection after its listener.
    Crashed(TcpStream),
    /// The endpoint falls silent, and keeps this connection open.
    Dark(TcpStream),
    /// The endpoint crashes, and closes its listener later.
    CrashedSlowly,
}

async fn serve(mut stream: TcpStream, name: &str, behaviour: Behaviour, record: &Record) -> Served {
    if let Behaviour::Early(answers) = behaviour {
        // An answer that the host no longer reads is seen by the host's caller.
        let _ = early::serve(stream, answers, record).await;
        return Served::Answered;
    }
    let Some(request) = request::read(&mut stream).await else {
        return Served::Answered;
    };
    let header = |name: &str| request::header(&request, name);
    let attempt = header("Kumquatdrum-Attempt-Id");
    let version = header("Kumquatdrum-Expect-Version");
    if header("Kumquatdrum-Expect-Instance") != name || !["", "1"].contains(&&*version) {
        let answer = head("421 Misdirected Request", &attempt, "Content-Length: 0\r\n");
        let _ = stream.write_all(answer.as_bytes()).await;
        return Served::Answered;
    }
    if request.contains(" /-/order ") {
        let body = request.rsplit("\r\n").next().unwrap_or_default().to_owned();
        record.orders.lock().push((Instant::now(), body));
        let upkeep_part = *record.upkeep_part.lock();
        if let Some(part) = upkeep_part {
            let _ = endless::send(&mut stream, &attempt, part).await;
            return Served::Answered;
        }
        let headers = record.leaving_header(&attempt).to_owned() + "Content-Length: 2\r\n";
        let answer = head("200 OK", &attempt, &headers) + "{}";
        let _ = stream.write_all(answer.as_bytes()).await;
        return Served::Answered;
    }
    if attempt.is_empty() {
        record.probes.fetch_add(1, Ordering::Relaxed);
        let upkeep_part = *record.upkeep_part.lock();
        if let Some(part) = upkeep_part {
            let _ = endless::send(&mut stream, &attempt, part).await;
            return Served::Answered;
        }
        let answer = head("200 OK", &attempt, "Content-Length: 0\r\n");
        let _ = stream.write_all(answer.as_bytes()).await;
        return Served::Answered;
    }
    let leaving = record.leaving_header(&attempt);
    if let Some(headers) = record.reject(&attempt) {
        record
            .arrivals
            .lock()
            .push((Instant::now(), attempt.clone()));
        let answer = head("503 Service Unavailable", &attempt, &(headers + leaving));
        let _ = stream.write_all(answer.as_bytes()).await;
        return Served::Answered;
    }
    let helpers = header("Kumquatdrum-Helpers");
    let unreachable = record.unreachable.lock().clone();
    let is_named = |address: &&SocketAddr| helpers.contains(&address.to_string());
    if let Some(helper) = unreachable.iter().find(is_named) {
        record.refusals.fetch_add(1, Ordering::Relaxed);
        let headers =
            format!("Kumquatdrum-Not-Run: 1\r\nAt-Server: {helper}\r\nContent-Length: 0\r\n");
        let answer = head("503 Service Unavailable", &attempt, &headers);
        let _ = stream.write_all(answer.as_bytes()).await;
        return Served::Answered;
    }
    record.runs.fetch_add(1, Ordering::Relaxed);
    let arrival = (Instant::now(), attempt.clone());
    record.arrivals.lock().push(arrival);
    let after: u64 = header("Last-Event-Id").parse().unwrap_or(0);
    *record.attempts.lock().entry(attempt.clone()).or_default() += 1;
    let parts = header("Kumquatdrum-Prompt-Prefix");
    let (parts, _) = parts.rsplit_once(',').unwrap_or_default();
    let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
    match request.rsplit("\r\n").next() {
        _ if ids.any(|id| id == CRASHING_PART) && !record.is_immune.load(Ordering::Relaxed) => {
            sleep(PART_CRASH).await;
            return Served::Crashed(stream);
        }
        Some(CRASHING_BODY) => return Served::Crashed(stream),
        Some(SLOWLY_CRASHING_BODY) => return Served::CrashedSlowly,
        _ => {}
    }
    let behaviour = resolve(behaviour, &request, record).await;
    record.requests.lock().push(request.clone());
    let extra = match *record.limit.lock() {
        Some(limit) => format!("Server-Limit: {limit}\r\n{leaving}"),
        None => leaving.to_owned(),
    };
    if send_answer(&mut stream, (&attempt, &extra), behaviour, after)
        .await
        .is_err()
    {
        record.disconnects.fetch_add(1, Ordering::Relaxed);
    }
    match behaviour {
        Behaviour::GoDark { .. } => Served::Dark(stream),
        _ => Served::Answered,
    }
}

/// Returns the behaviour for a request, where that depends on it.
async fn resolve(behaviour: Behaviour, request: &str, record: &Record) -> Behaviour {
    let behaviour = match behaviour {
        Behaviour::StreamOrCompleteBody if request.contains(" /stream/") => SIX_EVENTS,
        Behaviour::StreamOrCompleteBody => Behaviour::CompleteBody,
        behaviour => behaviour,
    };
    match behaviour {
        Behaviour::Cut { answer } => Behaviour::Verbatim {
            answer: &answer[..last_number(request)],
            end: End::Close,
        },
        Behaviour::Numbered { answers, end } => Behaviour::Verbatim {
            answer: &answers[last_number(request)],
            end,
        },
        Behaviour::EndlessByPath => match Part::of(request) {
            Some(part) => Behaviour::Endless(part),
            None => Behaviour::CompleteBody,
        },
        Behaviour::ByPath => match request::numbers(request) {
            [first, 0, ..] => {
                sleep(Duration::from_millis(first)).await;
                Behaviour::CompleteBody
            }
            [first, events, pause, silence] => {
                sleep(Duration::from_millis(first)).await;
                Behaviour::SilentStream {
                    events,
                    pause: Duration::from_millis(pause),
                    silence: Duration::from_millis(silence),
                }
            }
        },
        Behaviour::AnyEnding => ending(record.runs.load(Ordering::Relaxed)),
        behaviour => behaviour,
    }
}

/// Returns the behaviour of an endpoint with any ending for its n-th run.
fn ending(run: usize) -> Behaviour {
    match run % 5 {
        0 => Behaviour::UnframedStream { cut_after: None },
        1 => Behaviour::UnframedStream { cut_after: Some(3) },
        2 => Behaviour::UnframedStream { cut_after: Some(0) },
        3 => Behaviour::TruncatedStream { after: 2 },
        _ => SIX_EVENTS,
    }
}

/// Returns the number with which a request's path ends.
fn last_number(request: &str) -> usize {
    let path = request.split(' ').nth(1).unwrap_or_default();
    let number = path.rsplit('/').next().and_then(|text| text.parse().ok());
    number.expect("a number")
}

/// Sends the answer to an attempt, with extra header lines.
async fn send_answer(
    stream: &mut TcpStream,
    (attempt, extra): (&str, &str),
    behaviour: Behaviour,
    after: u64,
) -> std::io::Result<()> {
    let whole = format!("Content-Length: 5\r\n{extra}");
    let complete = |attempt: &str| head("200 OK", attempt, &whole) + "whole";
    let events = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let events = &format!("{events}{extra}");
    match behaviour {
        Behaviour::CompleteBody | Behaviour::StreamOrCompleteBody => {
            stream.write_all(complete(attempt).as_bytes()).await
        }
        Behaviour::AnswerOtherAttempt => stream.write_all(complete("another").as_bytes()).await,
        Behaviour::AnswerTwice => {
            let twice = complete(attempt) + &complete("another");
            stream.write_all(twice.as_bytes()).await
        }
        Behaviour::CloseWithoutAnswer
        | Behaviour::Cut { .. }
        | Behaviour::Numbered { .. }
        | Behaviour::Early(_)
        | Behaviour::AnyEnding
        | Behaviour::ByPath
        | Behaviour::EndlessByPath
        | Behaviour::GoDark { after: None } => Ok(()),
        Behaviour::UnframedStream { cut_after } => {
            let start = head("200 OK", attempt, extra);
            stream.write_all(start.as_bytes()).await?;
            for event in after + 1..=cut_after.unwrap_or(6) {
                let text = format!("id: {event}\ndata: piece {event}\n\n");
                stream.write_all(text.as_bytes()).await?;
                sleep(Duration::from_millis(20)).await;
            }
            match cut_after {
                Some(last) => {
                    let text = format!("id: {}\nda", last.max(after) + 1);
                    stream.write_all(text.as_bytes()).await
                }
                None => Ok(()),
            }
        }
        Behaviour::ResetInBody => {
            let half = head("200 OK", attempt, "Connection: close\r\n") + "ha";
            let sent = stream.write_all(half.as_bytes()).await;
            sent.map(|()| reset_on_close(stream))
        }
        Behaviour::Verbatim { answer, end } => verbatim::send(stream, attempt, answer, end).await,
        Behaviour::GoDark { after: Some(last) } => {
            let mut text = head("200 OK", attempt, events);
            for event in after + 1..=last {
                text += &chunk(&format!("id: {event}\ndata: piece {event}\n\n"));
            }
            stream.write_all(text.as_bytes()).await
        }
        Behaviour::PausedStream {
            after: last,
            silence,
            resumption,
        } => {
            if after > 0 {
                events::pause(stream, resumption).await?;
            }
            let start = head("200 OK", attempt, events);
            stream.write_all(start.as_bytes()).await?;
            events::send_paused(stream, after + 1..=6, last, silence).await
        }
        Behaviour::TruncatedStream { after: last } => {
            let mut text = head("200 OK", attempt, events);
            for event in after + 1..=last {
                text += &chunk(&format!("id: {event}\ndata: piece {event}\n\n"));
            }
            text += &chunk(&format!("id: {}\nda", last + 1));
            stream.write_all(text.as_bytes()).await
        }
        Behaviour::Endless(part) => endless::send(stream, attempt, part).await,
        Behaviour::CompleteStream {
            events: last,
            pause,
        } => {
            let start = head("200 OK", attempt, events);
            stream.write_all(start.as_bytes()).await?;
            events::send(stream, after + 1..=last, pause, Duration::ZERO).await
        }
        Behaviour::SilentStream {
            events: last,
            pause,
            silence,
        } => {
            let start = head("200 OK", attempt, events);
            stream.write_all(start.as_bytes()).await?;
            events::send(stream, after + 1..=last, pause, silence).await
        }
    }
}

async fn wait_for_close(stream: &TcpStream) -> std::io::Result<()> {
    loop {
        stream.readable().await?;
        match stream.try_read(&mut [0; 64]) {
            Ok(0) => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            // The socket may be reported as readable once more after all has been read.
            Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return Err(error),
            _ => {}
        }
    }
}

fn reset_on_close(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    socket2::SockRef::from(stream)
        .set_linger(linger)
        .expect("linger");
}

fn head(status: &str, attempt: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nKumquatdrum-Attempt-Id: {attempt}\r\n\
         Kumquatdrum-Response-Stamp: stamp-{attempt}\r\n{headers}\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
