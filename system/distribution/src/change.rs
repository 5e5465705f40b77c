//! The difference between two versions of the configuration. The `encoding` module defines its encoding.
use magpiegap_jobs::{Configuration, Limits, Route, RouteTable, Service};
use minicbor::{Decode, Encode};
use std::{collections::BTreeSet, sync::Arc};

/// The difference between two versions of the configuration, route by route. With base zero it is a complete
/// configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigurationChange {
    /// The version that the change applies to; zero for the empty configuration.
    #[n(0)]
    pub base: u64,
    /// The version that results from the change.
    #[n(1)]
    pub version: u64,
    /// Names of the removed routes.
    #[n(2)]
    pub removed: Vec<String>,
    /// Added and changed routes.
    #[n(3)]
    pub routes: Vec<Route>,
    /// All services of the resulting version. There are few, so no difference is computed for them.
    #[n(4)]
    pub services: Vec<Service>,
    /// The limits of the resulting version.
    #[n(5)]
    pub limits: Limits,
}

impl ConfigurationChange {
    /// The difference from one configuration to another.
    pub fn between(base: &Configuration, newer: &Configuration) -> ConfigurationChange {
        let is_removed = |route: &&Arc<Route>| newer.routes.get(&route.name).is_none();
        let has_changed = |route: &&Arc<Route>| base.routes.get(&route.name) != Some(route);
        ConfigurationChange {
            base: base.version,
            version: newer.version,
            removed: base
                .routes
                .iter()
                .filter(is_removed)
                .map(|route| route.name.clone())
                .collect(),
            routes: newer
                .routes
                .iter()
                .filter(has_changed)
                .map(|route| Route::clone(route))
                .collect(),
            services: newer.services.values().cloned().collect(),
            limits: newer.limits,
        }
    }

    /// Applies the change to `base`. The caller must ensure that `base` has the version that the change applies to.
    pub fn apply_to(self, base: &Configuration) -> Configuration {
        let replaced: BTreeSet<&str> = self
            .removed
            .iter()
            .map(String::as_str)
            .chain(self.routes.iter().map(|route| route.name.as_str()))
            .collect();
        let unchanged: Vec<Arc<Route>> = base
            .routes
            .iter()
            .filter(|route| !replaced.contains(route.name.as_str()))
            .cloned()
            .collect();
        let routes: RouteTable = unchanged
            .into_iter()
            .chain(self.routes.into_iter().map(Arc::new))
            .collect();
        let services = self
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Configuration {
            version: self.version,
            routes,
            services,
            limits: self.limits,
        }
    }
}
