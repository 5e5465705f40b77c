//! What leads from one version of the configuration to another.
use magpiegap_jobs::{Configuration, Limits, Route, RouteTable, Service};
use minicbor::{Decode, Encode};
use std::{collections::BTreeSet, sync::Arc};

/// The difference between two versions of the configuration, by routes. With base 0 it is a whole configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigurationChange {
    /// The version that it builds on; zero: none.
    #[n(0)]
    pub base: u64,
    /// The version that it leads to.
    #[n(1)]
    pub version: u64,
    /// Names of the routes that are gone.
    #[n(2)]
    pub removed: Vec<String>,
    /// The routes that are new or differ.
    #[n(3)]
    pub routes: Vec<Route>,
    /// All services: there are few.
    #[n(4)]
    pub services: Vec<Service>,
    /// The limits.
    #[n(5)]
    pub limits: Limits,
}

impl ConfigurationChange {
    /// What leads from one configuration to another.
    pub fn between(base: &Configuration, newer: &Configuration) -> ConfigurationChange {
        let is_gone = |route: &&Arc<Route>| newer.routes.get(&route.name).is_none();
        let differs = |route: &&Arc<Route>| base.routes.get(&route.name) != Some(route);
        ConfigurationChange {
            base: base.version,
            version: newer.version,
            removed: base
                .routes
                .iter()
                .filter(is_gone)
                .map(|route| route.name.clone())
                .collect(),
            routes: newer
                .routes
                .iter()
                .filter(differs)
                .map(|route| Route::clone(route))
                .collect(),
            services: newer.services.values().cloned().collect(),
            limits: newer.limits,
        }
    }

    /// The configuration to which this leads from `base`. The caller sees to it that `base` has the right version.
    pub fn apply_to(self, base: &Configuration) -> Configuration {
        let replaced: BTreeSet<&str> = self
            .removed
            .iter()
            .map(String::as_str)
            .chain(self.routes.iter().map(|r| r.name.as_str()))
            .collect();
        let kept: Vec<Arc<Route>> = base
            .routes
            .iter()
            .filter(|route| !replaced.contains(route.name.as_str()))
            .cloned()
            .collect();
        let routes: RouteTable = kept
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
