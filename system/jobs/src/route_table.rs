//! The routes of a configuration, found by name and by the place that a client asks for.
use crate::route::Route;
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// The routes of one configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_name: BTreeMap<String, Arc<Route>>,
    /// By host in lower case.
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// All routes, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_name.values()
    }

    /// The route of this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Route>> {
        self.by_name.get(name)
    }

    /// The route of a host and path: the longest prefix counts.
    pub fn find(&self, hostname: &str, path: &str) -> Option<&Route> {
        let of_host = self.by_host.get(&hostname.to_ascii_lowercase())?;
        let fits = |route: &&Arc<Route>| path.starts_with(&route.path_prefix);
        let found = of_host
            .iter()
            .filter(fits)
            .max_by_key(|route| route.path_prefix.len());
        found.map(Arc::as_ref)
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
