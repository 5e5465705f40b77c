//! Results of a simulation run.
use super::{ClientRequest, ClientResponse, TierSimulation};
use balancer_core::UpstreamId;

impl TierSimulation {
    /// Requests per second that were served in this period, within the objective plus the advised retry delays.
    pub(crate) fn goodput(
        &self,
        from: f64,
        to: f64,
        counts: impl Fn(&ClientRequest) -> bool,
    ) -> f64 {
        let is_good = |response: &&ClientResponse| {
            let request = &response.request;
            let objective = self.settings.classes[request.class].objective;
            let bound = objective + f64::from(request.retries) * 1500.0;
            response.served && response.at - request.started_at <= bound && counts(request)
        };
        let responses = self.responses.iter();
        let within = responses.filter(|response| response.at >= from && response.at < to);
        within.filter(is_good).count() as f64 * 1000.0 / (to - from)
    }

    /// Fraction of a tenant's requests in this period that was served.
    pub(crate) fn served_part(&self, from: f64, to: f64, tenant: usize) -> f64 {
        let requested = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.at >= from && arrival.at < to && arrival.tenant == tenant)
            .count();
        let goodput = self.goodput(from, to, |request| request.tenant == tenant);
        goodput * (to - from) / 1000.0 / requested as f64
    }

    /// Attempts per second in this period to matching upstreams.
    pub(crate) fn sent_rate(&self, from: f64, to: f64, counts: impl Fn(UpstreamId) -> bool) -> f64 {
        let sends = self.sends.iter();
        let within = sends.filter(|send| send.at >= from && send.at < to && counts(send.upstream));
        within.count() as f64 * 1000.0 / (to - from)
    }
}
