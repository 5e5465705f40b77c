//! The proxy's information about the cluster, with notification of changes.
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

/// Information about the cluster: the newest feed and the newest complete configuration.
#[derive(Clone, Debug, Default)]
pub struct ClusterInfo {
    /// The newest feed.
    pub feed: Feed,
    /// The current configuration; `None` until one was received.
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

    /// Identifies the scheduler of a service. The tag changes each time the role is transferred; it is zero while no
    /// coordinator holds the role.
    pub fn scheduler_tag(&self, service: &str) -> u64 {
        self.role_holder(service).map_or(0, |role_holder| {
            (u64::from(role_holder.holder.member.address) << 24) ^ role_holder.token.0
        })
    }

    /// The addresses of the coordinators in read order: from the tail, which serves reads, to the head.
    pub fn readers(&self) -> Vec<u32> {
        self.feed.chain.iter().rev().copied().collect()
    }
}

/// Cluster information and draining state, shared within the proxy.
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
    /// Creates a watch with an empty feed and no configuration.
    pub fn new() -> ClusterWatch {
        ClusterWatch::default()
    }

    /// The current information.
    pub fn current(&self) -> Arc<ClusterInfo> {
        self.info.borrow().clone()
    }

    /// Waits until the information differs from `since`, for at most `timeout`.
    pub async fn wait_for_change(&self, since: &Arc<ClusterInfo>, timeout: Duration) {
        let mut receiver = self.info.subscribe();
        let change = receiver.wait_for(|info| !Arc::ptr_eq(info, since));
        let _ = tokio::time::timeout(timeout, change).await;
    }

    /// Waits until the information meets a condition.
    pub async fn wait_until(&self, condition: impl Fn(&ClusterInfo) -> bool) {
        let mut receiver = self.info.subscribe();
        // Waiting can't fail, because `self` owns the sender.
        let _ = receiver.wait_for(|info| condition(info)).await;
    }

    /// Waits for a configuration, for at most `timeout`, and returns the current information.
    pub async fn wait_for_configuration(&self, timeout: Duration) -> Arc<ClusterInfo> {
        if self.info.borrow().configuration.is_none() {
            let configured = self.wait_until(|info| info.configuration.is_some());
            let _ = tokio::time::timeout(timeout, configured).await;
        }
        self.current()
    }

    /// Marks the proxy as draining, before it shuts down.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the proxy is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether the proxy can accept clients: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.info.borrow().configuration.is_some()
    }

    /// Replaces the feed if the new one supersedes the current one. Returns whether it was replaced.
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

    /// Replaces the configuration if the new one has a higher version.
    pub fn update_configuration(&self, configuration: Arc<Configuration>) {
        let info = self.current();
        let current = info.configuration.as_ref();
        if current.is_some_and(|current| current.version >= configuration.version) {
            return;
        }
        let feed = info.feed.clone();
        self.info.send_replace(Arc::new(ClusterInfo {
            feed,
            configuration: Some(configuration),
        }));
    }
}
