//! What hosts say to each other.

use bytes::Bytes;
use kumquatdrum_consensus::Member as ReplicaMember;
use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{JobId, Plan, Waiter};
use kumquatdrum_registry::Update;
use kumquatdrum_routes::Record;
use kumquatdrum_types::{DataCentre, HostId, ServiceName};
use serde::{Deserialize, Serialize};
use slog::error;

/// A host, as it tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name, which is its address.
    pub id: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// When it started, in Unix milliseconds.
    pub boot: u64,
    /// It takes callers.
    pub callers: bool,
    /// It takes operators and endpoints.
    pub control: bool,
    /// Its replica.
    pub replica: Option<ReplicaMember>,
    /// It is about to stop.
    pub stopping: bool,
}

/// A host that another host knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The host.
    pub host: Host,
    /// How long ago it was heard.
    pub age_ms: u64,
}

/// Which hosts a greeting host wants to be told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted {
    /// None.
    Nothing,
    /// All.
    All,
    /// Those that have changed since an earlier listing.
    Since(Edition),
}

/// Names a listing of the host that tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edition {
    /// When that host started, in Unix milliseconds.
    pub boot: u64,
    /// Counts the changes that it has seen.
    pub changes: u64,
}

/// Hosts, as a control host tells of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Its name.
    pub edition: Edition,
    /// Whether it holds all hosts, and not only what has changed.
    pub is_whole: bool,
    /// The hosts.
    pub hosts: Vec<Sighting>,
}

/// A question that is answered at once.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Question {
    /// Here I am, and this is the revision that I go by.
    Hello {
        /// Who asks.
        host: Host,
        /// What it goes by.
        revision: u64,
        /// It knows no endpoints yet.
        is_new: bool,
        /// It wants to be told of hosts.
        hosts: Wanted,
    },
    /// Send me the record that you go by, where it is newer than mine.
    Fetch {
        /// The revision that the asking host goes by; 0 where it knows none.
        above: u64,
    },
    /// A committed record.
    Record(Record),
    /// Take what I know of endpoints, and say so.
    Endpoints(Vec<Update>),
    /// Take it, have these hosts take it, and name those that have not.
    RelayEndpoints {
        /// What is known.
        updates: Vec<Update>,
        /// Hosts near the one that is asked.
        hosts: Vec<HostId>,
    },
    /// Commit this record. Only the leader does.
    Apply(Record),
    /// What is in force? Only the leader tells.
    Read,
}

/// The answer to a question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Answer {
    /// To `Hello`.
    Welcome {
        /// Who answers.
        host: Host,
        /// Hosts, where they were wanted.
        hosts: Option<Listing>,
        /// What it goes by.
        revision: u64,
        /// What it knows of endpoints, for a host that knows none.
        endpoints: Vec<Update>,
    },
    /// Taken; to `Fetch`, that the record will come as a question of its own.
    Taken,
    /// Taken, but these have not confirmed that they have.
    Unconfirmed(Vec<HostId>),
    /// Committed, or overtaken already.
    Applied,
    /// What is in force, confirmed by a majority.
    Current(Option<Record>),
    /// This replica does not lead; perhaps that one does.
    NotLeader(Option<HostId>),
    /// Can't be told now.
    Unavailable,
}

/// What is told without an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Notice {
    /// What is known of endpoints.
    Endpoints(Vec<Update>),
    /// The same, to be passed on to hosts near the one that receives it.
    RelayEndpoints {
        /// What is known.
        updates: Vec<Update>,
        /// The hosts.
        hosts: Vec<HostId>,
    },
}

impl Notice {
    /// Its bytes; nothing, with a log line, where it can't be encoded.
    pub fn encode(&self, logger: &slog::Logger) -> Option<Bytes> {
        match postcard::to_stdvec(self) {
            Ok(bytes) => Some(bytes.into()),
            Err(reason) => {
                error!(logger, "notice_not_encoded"; "event" => "notice_not_encoded",
                    "reason" => %reason);
                None
            }
        }
    }
}

/// Whom a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// Who receives it.
    Host,
    /// All hosts in the data centre of who receives it, which relays it.
    DataCentre(Urgency),
}

/// A datagram between hosts that take callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Datagram {
    /// Whom it is for.
    pub reach: Reach,
    /// What has happened.
    pub events: Vec<Event>,
}

/// What has happened to a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Event {
    /// It was sent.
    Sent(ServiceName, Plan),
    /// Its first token has come.
    Began(ServiceName, JobId),
    /// It has ended.
    Ended(ServiceName, JobId),
    /// It waits for its turn.
    Queued(ServiceName, Waiter),
    /// It waits no longer, and was not sent.
    Cancelled(ServiceName, JobId),
    /// These are under way, each with whether it is still read.
    Running(ServiceName, Vec<(Plan, bool)>),
}

impl Event {
    /// Whether a job that waits may be sent after it.
    pub const fn may_free(&self) -> bool {
        match self {
            Self::Sent(..) | Self::Began(..) | Self::Ended(..) | Self::Cancelled(..) => true,
            Self::Queued(..) | Self::Running(..) => false,
        }
    }
}
