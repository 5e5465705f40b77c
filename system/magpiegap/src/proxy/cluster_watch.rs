//! What the proxy knows of the cluster, and how its parts wait for changes of it.
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{Feed, Role, RoleHolder};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::sync::watch;

/// The newest feed, and the configuration that has been received completely.
#[derive(Clone, Debug, Default)]
pub struct ClusterInfo {
    /// The feed.
    pub feed: Feed,
    /// The configuration in force; `None`: there is none yet.
    pub configuration: Option<Arc<Configuration>>,
}

impl ClusterInfo {
    fn role_holder(&self, service: &str) -> Option<&RoleHolder> {
        let is_scheduler = |role_holder: &&RoleHolder| matches!(&role_holder.role, Role::Scheduler(name) if name == service);
        self.feed.roles.iter().find(is_scheduler)
    }

    /// The address of the coordinator that schedules a service.
    pub fn scheduler(&self, service: &str) -> Option<u32> {
        self.role_holder(service)
            .map(|role_holder| role_holder.holder.member.address)
    }

    /// Identifies the scheduler of a service: another number each time that the role passes on; zero where nobody holds
    /// it.
    pub fn scheduler_tag(&self, service: &str) -> u64 {
        self.role_holder(service).map_or(0, |role_holder| {
            (u64::from(role_holder.holder.member.address) << 24) ^ role_holder.token.0
        })
    }

    /// The addresses of the coordinators, from the tail, which serves reads, to the head.
    pub fn readers(&self) -> Vec<u32> {
        self.feed.chain.iter().rev().copied().collect()
    }
}

/// What the proxy knows of the cluster, shared by its parts, and whether the proxy is draining.
pub struct ClusterWatch {
    info: watch::Sender<Arc<ClusterInfo>>,
    draining: AtomicBool,
}

impl Default for ClusterWatch {
    fn default() -> ClusterWatch {
        ClusterWatch {
            info: watch::Sender::new(Arc::new(ClusterInfo::default())),
            draining: AtomicBool::new(false),
        }
    }
}

impl ClusterWatch {
    /// A watch that knows nothing yet.
    pub fn new() -> ClusterWatch {
        ClusterWatch::default()
    }

    /// What is known now.
    pub fn current(&self) -> Arc<ClusterInfo> {
        self.info.borrow().clone()
    }

    /// Waits until something other than `since` is known, or for `timeout`.
    pub async fn changed(&self, since: &Arc<ClusterInfo>, timeout: Duration) {
        let mut receiver = self.info.subscribe();
        let changed = receiver.wait_for(|info| !Arc::ptr_eq(info, since));
        let _ = tokio::time::timeout(timeout, changed).await;
    }

    /// Waits until what is known meets a condition.
    pub async fn until(&self, condition: impl Fn(&ClusterInfo) -> bool) {
        let mut receiver = self.info.subscribe();
        // The sender lives as long as this, so that waiting can't fail.
        let _ = receiver.wait_for(|info| condition(info)).await;
    }

    /// Returns what is known as soon as there is a configuration, or after `timeout`.
    pub async fn configured(&self, timeout: Duration) -> Arc<ClusterInfo> {
        if self.info.borrow().configuration.is_none() {
            let configured = self.until(|info| info.configuration.is_some());
            let _ = tokio::time::timeout(timeout, configured).await;
        }
        self.current()
    }

    /// Begins to drain the proxy: it is about to end.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the proxy is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether clients can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.info.borrow().configuration.is_some()
    }

    /// Replaces the feed, unless it is older than the one known. Returns whether it was replaced.
    pub fn update_feed(&self, feed: Feed) -> bool {
        let info = self.current();
        if !feed.supersedes(&info.feed) {
            return false;
        }
        let configuration = info.configuration.clone();
        self.info.send_replace(Arc::new(ClusterInfo {
            feed,
            configuration,
        }));
        true
    }

    /// Puts a configuration in force, unless it is no newer than the one in force.
    pub fn update_configuration(&self, configuration: Arc<Configuration>) {
        let info = self.current();
        let in_force = info.configuration.as_ref();
        if in_force.is_some_and(|in_force| in_force.version >= configuration.version) {
            return;
        }
        let feed = info.feed.clone();
        self.info.send_replace(Arc::new(ClusterInfo {
            feed,
            configuration: Some(configuration),
        }));
    }
}
