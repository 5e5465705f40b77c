//! Routes of a configuration, indexed by name and by host.
use crate::route::Route;
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// The routes of a configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_name: BTreeMap<String, Arc<Route>>,
    /// Routes by lower-case host.
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the routes, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_name.values()
    }

    /// Returns the route with the given name.
    pub fn get(&self, name: &str) -> Option<&Arc<Route>> {
        self.by_name.get(name)
    }

    /// Returns the route of a host with the longest prefix that matches the path. The host is compared case-
    /// insensitively.
    pub fn find(&self, hostname: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(&hostname.to_ascii_lowercase())?;
        routes
            .iter()
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
            .map(Arc::as_ref)
    }

    /// Returns the route of a queue.
    pub fn of_queue(&self, queue: &str) -> Option<&Route> {
        let (hostname, _) = queue.split_once('/')?;
        let path = queue.get(hostname.len()..)?;
        self.find(hostname, path)
            .filter(|route| route.queue() == queue)
    }
}

impl PartialEq for RouteTable {
    fn eq(&self, other: &RouteTable) -> bool {
        self.by_name == other.by_name
    }
}

impl FromIterator<Arc<Route>> for RouteTable {
    fn from_iter<I: IntoIterator<Item = Arc<Route>>>(routes: I) -> RouteTable {
        let by_name: BTreeMap<String, Arc<Route>> = routes
            .into_iter()
            .map(|route| (route.name.clone(), route))
            .collect();
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in by_name.values() {
            by_host
                .entry(route.hostname.to_ascii_lowercase())
                .or_default()
                .push(route.clone());
        }
        RouteTable { by_name, by_host }
    }
}
