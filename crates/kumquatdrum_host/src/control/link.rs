//! The way to the leading replica, from any host.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_setup::claim::Holder;
use kumquatdrum_setup::control::{Page, Reply, Status};
use kumquatdrum_setup::{
    ApplyAnswer, ApplyRequest, Claim, ClaimAnswer, Control, Digest, Failure, Revision, Selector,
    SettleAnswer, Settlement, Standing,
};
use kumquatdrum_types::{HostId, IdempotencyKey, Version, WorkspaceName};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use super::question::Outcome;
use super::{Answer, Handle, Question};
use crate::in_force::Store;
use crate::members::Members;

/// How long to wait for answers.
#[derive(Debug, Clone, Copy)]
struct Patience {
    /// For one replica's.
    one: Duration,
    /// For all tries together.
    all: Duration,
}

/// Operators wait longer than an election takes.
const OPERATORS: Patience = Patience {
    one: Duration::from_millis(1_500),
    all: Duration::from_secs(5),
};
/// Callers with a keyed request rather come back.
const CALLERS: Patience = Patience {
    one: Duration::from_millis(700),
    all: Duration::from_millis(1_500),
};
/// The wait after all replicas were asked in vain.
const ROUND: Duration = Duration::from_millis(100);

/// Asks the leading replica, wherever it is.
pub struct Link {
    host: HostId,
    replicas: Vec<HostId>,
    local: Option<Handle>,
    client: Arc<Client>,
    in_force: Arc<Store>,
    members: Arc<Members>,
    leader: Mutex<Option<HostId>>,
}

impl Link {
    /// A link that knows the replicas' hosts; `local` is this host's own replica.
    pub fn new(
        host: HostId,
        replicas: Vec<HostId>,
        local: Option<Handle>,
        client: Arc<Client>,
        in_force: Arc<Store>,
        members: Arc<Members>,
    ) -> Self {
        Self {
            host,
            replicas,
            local,
            client,
            in_force,
            members,
            leader: Mutex::new(None),
        }
    }

    /// Asks until some replica answers as the leader. Every question is idempotent, so that it
    /// may be asked again; "unknown" is the answer only where an earlier try may hold.
    async fn ask(&self, question: Question) -> Outcome {
        let is_claim = matches!(question, Question::Claim(_) | Question::Key(..));
        if is_claim && self.members.is_cut_off() {
            return Err(Failure::Unavailable);
        }
        let patience = if is_claim { CALLERS } else { OPERATORS };
        let until = Instant::now() + patience.all;
        let mut failure = Failure::Unavailable;
        loop {
            for host in self.candidates() {
                match self.ask_one(&host, &question, patience.one).await {
                    Ok(answer) => {
                        *self.leader.lock() = Some(host);
                        return Ok(answer);
                    }
                    Err(Failure::NotLeader { leader }) => {
                        let hint = leader.filter(|leader| *leader != host);
                        let is_new = hint.is_some() && *self.leader.lock() != hint;
                        if is_new {
                            *self.leader.lock() = hint;
                            break;
                        }
                    }
                    Err(Failure::NoSuchVersion) => return Err(Failure::NoSuchVersion),
                    Err(Failure::Unknown) => failure = Failure::Unknown,
                    Err(Failure::Unavailable) => {}
                }
            }
            if Instant::now() + ROUND >= until {
                return Err(failure);
            }
            sleep(ROUND).await;
        }
    }

    /// The presumed leader first.
    fn candidates(&self) -> Vec<HostId> {
        let leader = self.leader.lock().clone();
        let others = self.replicas.iter();
        let others = others.filter(|host| Some(*host) != leader.as_ref());
        leader.iter().chain(others).cloned().collect()
    }

    async fn ask_one(&self, host: &HostId, question: &Question, limit: Duration) -> Outcome {
        match &self.local {
            Some(local) if *host == self.host => {
                let answer = tokio::time::timeout(limit, local.ask(question.clone())).await;
                answer.unwrap_or(Err(Failure::Unknown))
            }
            _ => self.ask_peer(host, question, limit).await,
        }
    }

    async fn ask_peer(&self, host: &HostId, question: &Question, limit: Duration) -> Outcome {
        let body = postcard::to_allocvec(question).map_err(|_| Failure::Unavailable)?;
        let asked = self
            .client
            .ask(host, Channel::Control, body.into(), limit)
            .await;
        match asked {
            Ok(answer) => postcard::from_bytes::<Outcome>(&answer).unwrap_or(Err(Failure::Unknown)),
            Err(error) if error.is_unsent() => Err(Failure::Unavailable),
            Err(_) => Err(Failure::Unknown),
        }
    }

    fn last_known(&self) -> Option<Revision> {
        let current = self.in_force.current()?;
        Some(Revision {
            version: current.offer.version,
            digest: current.offer.digest,
            accepted_unix_ms: current.offer.accepted_unix_ms,
            standing: self.standing(),
            text: Arc::clone(&current.offer.text),
        })
    }

    fn standing(&self) -> Standing {
        Standing::LastKnown {
            as_of_unix_ms: self.members.majority_heard_unix_ms(),
        }
    }

    async fn show_current(&self, selector: Selector) -> Result<Revision, Failure> {
        match self.ask(Question::Show(selector)).await {
            Ok(Answer::Show(shown)) => Ok(shown),
            Ok(_) => Err(Failure::Unavailable),
            Err(Failure::NoSuchVersion) => Err(Failure::NoSuchVersion),
            Err(failure) => self.fall_back(selector).ok_or(failure),
        }
    }

    /// Without a majority this host still knows the version that it goes by.
    fn fall_back(&self, selector: Selector) -> Option<Revision> {
        let shown = self.last_known()?;
        match selector {
            Selector::Current => Some(shown),
            Selector::Version(version) if version == shown.version => Some(shown),
            Selector::Version(_) | Selector::At(_) => None,
        }
    }

    async fn gather_status(&self) -> Status {
        let node = match &self.local {
            Some(local) => local.status().await,
            None => None,
        };
        let current = self.in_force.current();
        let leader = node
            .as_ref()
            .and_then(|node| node.leader.as_ref())
            .map(|leader| leader.host.clone());
        Status {
            host: self.host.clone(),
            data_centre: self.members.data_centre().clone(),
            version: current
                .as_ref()
                .map_or(Version(0), |current| current.offer.version),
            digest: current.map_or(Digest::of(b""), |current| current.offer.digest),
            standing: self.standing(),
            leader: leader.or_else(|| self.leader.lock().clone()),
            hosts: self.members.host_statuses(node.as_ref(), &self.replicas),
            endpoints: self.members.endpoint_statuses(),
            cut_off: self.members.cut_off(),
        }
    }
}

macro_rules! expect {
    ($asked:expr, $variant:path) => {
        Box::pin(async move {
            match $asked.await? {
                $variant(answer) => Ok(answer),
                _ => Err(Failure::Unavailable),
            }
        })
    };
}

impl Control for Link {
    fn apply(&self, request: ApplyRequest) -> Reply<'_, ApplyAnswer> {
        expect!(self.ask(Question::Apply(request)), Answer::Apply)
    }

    fn show(&self, selector: Selector) -> Reply<'_, Revision> {
        Box::pin(self.show_current(selector))
    }

    fn audit(&self, from: u64, limit: usize) -> Reply<'_, Page> {
        let limit = limit as u64;
        expect!(self.ask(Question::Audit { from, limit }), Answer::Audit)
    }

    fn status(&self) -> Reply<'_, Status> {
        Box::pin(async move { Ok(self.gather_status().await) })
    }

    fn claim(&self, claims: Vec<Claim>) -> Reply<'_, Vec<ClaimAnswer>> {
        expect!(self.ask(Question::Claim(claims)), Answer::Claim)
    }

    fn settle(&self, settlements: Vec<Settlement>) -> Reply<'_, Vec<SettleAnswer>> {
        expect!(self.ask(Question::Settle(settlements)), Answer::Settle)
    }

    fn key(&self, workspace: &WorkspaceName, key: &IdempotencyKey) -> Reply<'_, Option<Holder>> {
        let question = Question::Key(workspace.clone(), key.clone());
        expect!(self.ask(question), Answer::Key)
    }
}
