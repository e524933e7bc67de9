//! Status of hosts and endpoints for operators.

use indexmap::IndexMap;
use kumquatdrum_consensus::Status as NodeStatus;
use kumquatdrum_membership::{Condition, Liveness, Member, Record};
use kumquatdrum_setup::control::{self, EndpointStatus, HostStatus, Replica};
use kumquatdrum_types::{Announcement, HostId};

use super::Members;

impl Members {
    /// Returns the status of all hosts, including this one.
    pub fn host_statuses(&self, node: Option<&NodeStatus>, replicas: &[HostId]) -> Vec<HostStatus> {
        let state = self.state.lock();
        let versions: IndexMap<_, _> = state.propagation.installations().collect();
        let status = |member: &Member, is_reachable: bool| HostStatus {
            host: member.host.clone(),
            data_centre: member.data_centre.clone(),
            replica: replica_role(&member.host, node, replicas),
            reachable: is_reachable,
            version: versions
                .get(&member.host)
                .map(|installation| installation.version),
        };
        let mut local = status(&self.local, true);
        local.version = Some(state.propagation.version());
        let others = state.membership.hosts();
        let others = others.map(|view| status(view.member, view.condition != Condition::Dead));
        std::iter::once(local).chain(others).collect()
    }

    /// Returns the status of the data centre's endpoints, including declared but unknown ones.
    pub fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        let state = self.state.lock();
        let known = state.membership.endpoints().map(|record| EndpointStatus {
            endpoint: record.announcement.endpoint.clone(),
            service: record.announcement.service.clone(),
            data_centre: record.announcement.data_centre.clone(),
            condition: endpoint_condition(record),
        });
        let mut statuses: Vec<_> = known.collect();
        let current = self.dependencies.in_force.current();
        let expected = current.iter().flat_map(|current| {
            let declared = current.index.declaration().endpoints.iter();
            declared.filter(|endpoint| endpoint.data_centre == self.local.data_centre)
        });
        for endpoint in expected {
            if state.membership.endpoint(&endpoint.name).is_none() {
                statuses.push(EndpointStatus {
                    endpoint: endpoint.name.clone(),
                    service: endpoint.service.clone(),
                    data_centre: endpoint.data_centre.clone(),
                    condition: control::Condition::Expected,
                });
            }
        }
        statuses
    }

    /// Returns the announcements of the data centre's endpoints that are alive and not leaving.
    pub fn live_endpoints(&self) -> Vec<Announcement> {
        let state = self.state.lock();
        let records = state.membership.endpoints();
        let alive =
            records.filter(|record| endpoint_condition(record) == control::Condition::Alive);
        alive.map(|record| record.announcement.clone()).collect()
    }
}

pub(super) fn endpoint_condition(record: &Record) -> control::Condition {
    match record.liveness {
        Liveness::Gone => control::Condition::Gone,
        _ if record.announcement.leaving => control::Condition::Leaving,
        Liveness::Suspect => control::Condition::Suspect,
        Liveness::Alive => control::Condition::Alive,
    }
}

fn replica_role(host: &HostId, node: Option<&NodeStatus>, replicas: &[HostId]) -> Replica {
    let Some(node) = node else {
        return if replicas.contains(host) {
            Replica::Voter
        } else {
            Replica::None
        };
    };
    let find = |members: &[kumquatdrum_consensus::Member]| {
        let member = members.iter().find(|member| member.id.host == *host);
        member.map(|member| member.id.clone())
    };
    let replicas = &node.replicas;
    let voter = find(&replicas.voters);
    // A voter in only one half of a joint configuration is shown as a learner.
    let is_changing = replicas.is_joint() && voter != find(&replicas.outgoing);
    match () {
        // The voter on this host is an earlier incarnation whose disk was lost.
        () if node.id.host == *host && !replicas.is_voter(&node.id) => Replica::Learner,
        () if is_changing || find(&replicas.learners).is_some() => Replica::Learner,
        () if voter.is_some() => Replica::Voter,
        () => Replica::None,
    }
}
