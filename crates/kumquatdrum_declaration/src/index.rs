//! Lookups into a declaration, made for each request.

use std::sync::Arc;

use indexmap::IndexMap;
use kumquatdrum_types::{EndpointId, ModelName, ServiceName, WorkspaceName, digest};

use crate::{Declaration, Endpoint, Model, Priority, Service, ServiceKind, Workspace};

/// Positions of the items in a declaration's lists, by key digest or name.
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
    /// Indexes a declaration. If a name occurs twice, which [`crate::check`] refuses, the first
    /// item is used.
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
        let keys = keys.flat_map(|(position, workspace)| {
            workspace
                .keys
                .iter()
                .map(move |key| (key.sha256.clone(), position))
        });
        Self {
            keys: index_first(keys),
            workspaces: index_positions(&declaration.workspaces, |item| item.name.clone()),
            services: index_positions(&declaration.services, |item| item.name.clone()),
            models: index_positions(&declaration.models, |item| item.name.clone()),
            priorities: index_positions(&declaration.priorities, |item| item.name.clone()),
            endpoints: index_positions(&declaration.endpoints, |item| item.name.clone()),
            declaration,
        }
    }

    /// Returns the indexed declaration.
    pub fn declaration(&self) -> &Arc<Declaration> {
        &self.declaration
    }

    /// Returns the workspace of a caller's key.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        self.workspace_by_digest(&digest::hex(key.as_bytes()))
    }

    /// Returns the workspace of a caller's key, given the key's digest.
    pub fn workspace_by_digest(&self, sha256: &str) -> Option<&Workspace> {
        self.keys
            .get(sha256)
            .map(|&position| &self.declaration.workspaces[position])
    }

    /// Returns a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces
            .get(name)
            .map(|&position| &self.declaration.workspaces[position])
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .get(name)
            .map(|&position| &self.declaration.services[position])
    }

    /// Returns a service by name if the workspace can call it.
    pub fn service_for(&self, workspace: &Workspace, name: &str) -> Option<&Service> {
        let listed = &workspace.services;
        let is_allowed = listed.is_empty() || listed.iter().any(|service| service.as_str() == name);
        self.service(name).filter(|_| is_allowed)
    }

    /// Returns a model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models
            .get(name)
            .map(|&position| &self.declaration.models[position])
    }

    /// Returns the model of a service; `None` for a plain service.
    pub fn model_of(&self, service: &Service) -> Option<&Model> {
        match &service.kind {
            ServiceKind::Model { model } => self.model(model.as_str()),
            ServiceKind::Plain {} => None,
        }
    }

    /// Returns a priority by name.
    pub fn priority(&self, name: &str) -> Option<&Priority> {
        self.priorities
            .get(name)
            .map(|&position| &self.declaration.priorities[position])
    }

    /// Returns a declared endpoint by name.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints
            .get(name)
            .map(|&position| &self.declaration.endpoints[position])
    }
}

fn index_positions<T, N>(items: &[T], name: impl Fn(&T) -> N) -> IndexMap<N, usize>
where
    N: std::hash::Hash + Eq,
{
    index_first(items.iter().map(name).zip(0..))
}

fn index_first<N>(pairs: impl Iterator<Item = (N, usize)>) -> IndexMap<N, usize>
where
    N: std::hash::Hash + Eq,
{
    let mut map = IndexMap::new();
    for (name, position) in pairs {
        map.entry(name).or_insert(position);
    }
    map
}
