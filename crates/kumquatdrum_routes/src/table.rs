//! Lookup tables for a setup.

use indexmap::IndexMap;

use crate::{Route, Setup, Workspace};

/// A setup indexed by host and by key.
#[derive(Debug, Clone, Default)]
pub struct Table {
    setup: Setup,
    /// Indices of each host's routes, longest prefix first.
    hosts: IndexMap<String, Vec<usize>>,
    /// The index of each key's workspace.
    keys: IndexMap<String, usize>,
}

impl Table {
    /// Builds the indexes of a setup.
    pub fn new(setup: Setup) -> Self {
        let mut hosts: IndexMap<String, Vec<usize>> = IndexMap::new();
        for (number, route) in setup.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(number);
        }
        for numbers in hosts.values_mut() {
            numbers.sort_by_key(|number| std::cmp::Reverse(setup.routes[*number].prefix.len()));
        }
        let workspaces = setup.workspaces.iter().flatten().enumerate();
        let keys = workspaces.flat_map(|(number, workspace)| {
            let keys = workspace.keys.iter();
            keys.map(move |key| (key.clone(), number))
        });
        let keys = keys.collect();
        Self { setup, hosts, keys }
    }

    /// Returns the indexed setup.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// Returns the route with the longest matching prefix for a host and path. A port in `host` is
    /// ignored.
    ///
    /// ```
    /// use kumquatdrum_routes::Table;
    ///
    /// assert!(Table::default().route("example.org:80", "/a/b").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let numbers = self.hosts.get(&name.to_ascii_lowercase())?;
        let mut routes = numbers.iter().map(|number| &self.setup.routes[*number]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let number = *self.keys.get(key)?;
        self.setup.workspaces.as_ref()?.get(number)
    }
}
