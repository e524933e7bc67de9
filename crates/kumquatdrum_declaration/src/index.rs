//! Look-ups into a declaration for the path of each request.

use std::sync::Arc;

use indexmap::IndexMap;
use kumquatdrum_types::{EndpointId, ModelName, ServiceName, WorkspaceName, digest};

use crate::{Declaration, Endpoint, Model, Priority, Service, ServiceKind, Workspace};

/// Positions in the lists of a declaration, by what requests name.
#[derive(Debug, Clone)]
pub struct Index {
    declaration: Arc<Declaration>,
    keys: IndexMap<String, usize>,
    workspaces: IndexMap<WorkspaceName, usize>,
    services: IndexMap<ServiceName, usize>,
    models: IndexMap<ModelName, usize>,
    priorities: IndexMap<String, usize>,
    endpoints: IndexMap<EndpointId, usize>,
}

impl Index {
    /// Indexes a declaration. Where a name stands twice, which [`crate::check`] refuses, the
    /// first one counts.
    ///
    /// ```
    /// use kumquatdrum_declaration::{Index, parse};
    ///
    /// let digest = kumquatdrum_types::digest::hex(b"chair-7");
    /// let text = format!(r#"{{"workspaces": [{{"name": "tartu", "keys": [{{"sha256": "{digest}"}}]}}]}}"#);
    /// let index = Index::new(parse(&text).unwrap().into());
    /// assert_eq!(index.workspace_by_key("chair-7").unwrap().name.as_str(), "tartu");
    /// assert!(index.workspace_by_key("chair-8").is_none());
    /// ```
    pub fn new(declaration: Arc<Declaration>) -> Self {
        let keys = declaration.workspaces.iter().enumerate();
        let keys = keys.flat_map(|(place, workspace)| {
            workspace
                .keys
                .iter()
                .map(move |key| (key.sha256.clone(), place))
        });
        Self {
            keys: first_of_each(keys),
            workspaces: positions(&declaration.workspaces, |item| item.name.clone()),
            services: positions(&declaration.services, |item| item.name.clone()),
            models: positions(&declaration.models, |item| item.name.clone()),
            priorities: positions(&declaration.priorities, |item| item.name.clone()),
            endpoints: positions(&declaration.endpoints, |item| item.name.clone()),
            declaration,
        }
    }

    /// The declaration itself.
    pub fn declaration(&self) -> &Arc<Declaration> {
        &self.declaration
    }

    /// The workspace of a caller's key.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        self.workspace_by_digest(&digest::hex(key.as_bytes()))
    }

    /// The workspace of a caller's key, by the key's digest.
    pub fn workspace_by_digest(&self, sha256: &str) -> Option<&Workspace> {
        self.keys
            .get(sha256)
            .map(|&place| &self.declaration.workspaces[place])
    }

    /// A workspace.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces
            .get(name)
            .map(|&place| &self.declaration.workspaces[place])
    }

    /// A service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .get(name)
            .map(|&place| &self.declaration.services[place])
    }

    /// A service, if the workspace may call it.
    pub fn service_for(&self, workspace: &Workspace, name: &str) -> Option<&Service> {
        let listed = &workspace.services;
        let may = listed.is_empty() || listed.iter().any(|service| service.as_str() == name);
        self.service(name).filter(|_| may)
    }

    /// A model.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models
            .get(name)
            .map(|&place| &self.declaration.models[place])
    }

    /// The model behind a service; `None` for a plain service.
    pub fn model_of(&self, service: &Service) -> Option<&Model> {
        match &service.kind {
            ServiceKind::Model { model } => self.model(model.as_str()),
            ServiceKind::Plain {} => None,
        }
    }

    /// A priority.
    pub fn priority(&self, name: &str) -> Option<&Priority> {
        self.priorities
            .get(name)
            .map(|&place| &self.declaration.priorities[place])
    }

    /// An endpoint that is expected.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints
            .get(name)
            .map(|&place| &self.declaration.endpoints[place])
    }
}

fn positions<T, N>(items: &[T], name: impl Fn(&T) -> N) -> IndexMap<N, usize>
where
    N: std::hash::Hash + Eq,
{
    first_of_each(items.iter().map(name).zip(0..))
}

fn first_of_each<N>(pairs: impl Iterator<Item = (N, usize)>) -> IndexMap<N, usize>
where
    N: std::hash::Hash + Eq,
{
    let mut map = IndexMap::new();
    for (name, place) in pairs {
        map.entry(name).or_insert(place);
    }
    map
}
