//! What a run came to.
use super::{Answer, Tier, Want};
use balancer_core::UpstreamId;

impl Tier {
    /// Wants that were met per second in this time, within the aim and as long as copies told clients to wait.
    pub(crate) fn goodput(&self, from: f64, to: f64, of: impl Fn(&Want) -> bool) -> f64 {
        let good = |a: &&Answer| {
            let aim = self.settings.classes[a.want.class].objective;
            a.served && a.at - a.want.began <= aim + f64::from(a.want.tries) * 1500.0 && of(&a.want)
        };
        let within = self.answers.iter().filter(|a| a.at >= from && a.at < to);
        within.filter(good).count() as f64 * 1000.0 / (to - from)
    }

    /// The part of what a tenant asked for in this time that was met.
    pub(crate) fn met(&self, from: f64, to: f64, tenant: usize) -> f64 {
        let asked = self
            .asked
            .iter()
            .filter(|a| a.0 >= from && a.0 < to && a.1 == tenant)
            .count();
        self.goodput(from, to, |w| w.tenant == tenant) * (to - from) / 1000.0 / asked as f64
    }

    /// Attempts a second in this time that went to such servers.
    pub(crate) fn sent(&self, from: f64, to: f64, to_such: impl Fn(UpstreamId) -> bool) -> f64 {
        let such = self
            .sends
            .iter()
            .filter(|s| s.0 >= from && s.0 < to && to_such(s.2));
        such.count() as f64 * 1000.0 / (to - from)
    }
}
