//! What this host tells operators of the others.

use indexmap::IndexMap;
use kumquatdrum_consensus::Status as NodeStatus;
use kumquatdrum_membership::{Condition, Liveness, Member, Record};
use kumquatdrum_setup::control::{Condition as Shown, EndpointStatus, HostStatus, Replica};
use kumquatdrum_types::{Announcement, HostId};

use super::Members;

impl Members {
    /// All hosts, this one included.
    pub fn host_statuses(&self, node: Option<&NodeStatus>, replicas: &[HostId]) -> Vec<HostStatus> {
        let cores = self.cores.lock();
        let versions: IndexMap<_, _> = cores.propagation.installations().collect();
        let status = |member: &Member, reachable: bool| HostStatus {
            host: member.host.clone(),
            data_centre: member.data_centre.clone(),
            replica: part(&member.host, node, replicas),
            reachable,
            version: versions.get(&member.host).map(|holding| holding.version),
        };
        let mut own = status(&self.local, true);
        own.version = Some(cores.propagation.version());
        let others = cores.membership.hosts();
        let others = others.map(|view| status(view.member, view.condition != Condition::Dead));
        std::iter::once(own).chain(others).collect()
    }

    /// All endpoints of the data centre; declared ones that never came are told too.
    pub fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        let cores = self.cores.lock();
        let known = cores.membership.endpoints().map(|record| EndpointStatus {
            endpoint: record.announcement.endpoint.clone(),
            service: record.announcement.service.clone(),
            data_centre: record.announcement.data_centre.clone(),
            condition: shown(record),
        });
        let mut statuses: Vec<_> = known.collect();
        let current = self.parts.in_force.current();
        let expected = current.iter().flat_map(|current| {
            let declared = current.index.declaration().endpoints.iter();
            declared.filter(|endpoint| endpoint.data_centre == self.local.data_centre)
        });
        for endpoint in expected {
            if cores.membership.endpoint(&endpoint.name).is_none() {
                statuses.push(EndpointStatus {
                    endpoint: endpoint.name.clone(),
                    service: endpoint.service.clone(),
                    data_centre: endpoint.data_centre.clone(),
                    condition: Shown::Expected,
                });
            }
        }
        statuses
    }

    /// What live endpoints of the data centre announce, but for those that leave.
    pub fn live_endpoints(&self) -> Vec<Announcement> {
        let cores = self.cores.lock();
        let records = cores.membership.endpoints();
        let alive = records.filter(|record| shown(record) == Shown::Alive);
        alive.map(|record| record.announcement.clone()).collect()
    }
}

pub(super) fn shown(record: &Record) -> Shown {
    match record.liveness {
        Liveness::Gone => Shown::Gone,
        _ if record.announcement.leaving => Shown::Leaving,
        Liveness::Suspect => Shown::Suspect,
        Liveness::Alive => Shown::Alive,
    }
}

fn part(host: &HostId, node: Option<&NodeStatus>, replicas: &[HostId]) -> Replica {
    let Some(node) = node else {
        return if replicas.contains(host) {
            Replica::Voter
        } else {
            Replica::None
        };
    };
    let of = |members: &[kumquatdrum_consensus::Member]| {
        let member = members.iter().find(|member| member.id.host == *host);
        member.map(|member| member.id.clone())
    };
    let replicas = &node.replicas;
    let voter = of(&replicas.voters);
    // Until a change is settled, the majority of the voters before it counts too.
    let joins = replicas.is_joint() && voter != of(&replicas.outgoing);
    match () {
        // The voter of a host that came back with a new disk is its lost predecessor.
        () if node.id.host == *host && !replicas.is_voter(&node.id) => Replica::Learner,
        () if joins || of(&replicas.learners).is_some() => Replica::Learner,
        () if voter.is_some() => Replica::Voter,
        () => Replica::None,
    }
}
