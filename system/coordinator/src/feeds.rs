//! The feed of agents and proxies. They use long polls, which are answered as soon as the feed changes.
use crate::{coordinator::Coordinator, outputs::RequestId, pending_poll::PendingPoll};
use magpiegap_protocol::{
    ConfigurationFetch, CoordinatorResponse, Feed, FeedPoll, Millis, RoleHolder,
};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A coordinator that may lack acknowledged entries rejects polls only after this time. View changes take less time and
/// end with a feed update, so that polls need not be rejected during them.
const VIEW_CHANGE_GRACE_MS: Millis = 150;

impl Coordinator {
    /// Returns whether this coordinator knows all entries that were acknowledged until recently. After a view change,
    /// or a restart of all coordinators, this requires the commit of the first entry in the view.
    pub(crate) fn is_up_to_date(&self) -> bool {
        self.has_committed_in_view && self.replica.knows_committed(self.now)
    }

    /// Rebuilds the feed from the current state.
    pub(crate) fn refresh_feed(&mut self) {
        let state = &self.machine.state;
        let view = self.replica.view();
        let roles = state.roles.iter().map(|(role, state)| RoleHolder {
            role: role.clone(),
            holder: state.holder,
            token: state.token,
        });
        let mut feed = Feed {
            view: view.number,
            chain: view
                .chain
                .iter()
                .map(|replica| replica.member.address)
                .collect(),
            roles: roles.collect(),
            configuration_version: state.configuration.version,
            revision: 0,
            change: None,
        };
        let mut hasher = DefaultHasher::new();
        (feed.view, &feed.chain, feed.configuration_version).hash(&mut hasher);
        for role_holder in &feed.roles {
            (&role_holder.role, role_holder.holder, role_holder.token).hash(&mut hasher);
        }
        feed.revision = hasher.finish().max(1);
        self.feed = feed;
    }

    /// Accepts a long poll. The response is a later output.
    pub(crate) fn poll(&mut self, request: RequestId, poll: FeedPoll) {
        let expires_at = self.now + poll.wait_ms;
        self.pending_polls.push(PendingPoll {
            request,
            poll,
            expires_at,
        });
    }

    /// Responds to polls that are due, and rejects all polls while draining or once the feed has been unavailable for
    /// [`VIEW_CHANGE_GRACE_MS`].
    pub(crate) fn respond_to_polls(&mut self) {
        if self.pending_polls.is_empty() {
            return;
        }
        let (now, revision) = (self.now, self.feed.revision);
        let is_serving = self.is_serving_feed();
        self.feed_outage.observe(is_serving, now);
        let is_rejecting = self.draining || self.feed_outage.has_lasted(VIEW_CHANGE_GRACE_MS, now);
        let is_answered =
            |poll: &PendingPoll| is_rejecting || (is_serving && poll.is_due(revision, now));
        let (answered, pending): (Vec<PendingPoll>, Vec<PendingPoll>) =
            std::mem::take(&mut self.pending_polls)
                .into_iter()
                .partition(is_answered);
        self.pending_polls = pending;
        for pending in answered {
            let response = if is_serving {
                self.feed_for(&pending.poll)
            } else {
                CoordinatorResponse::NotServing
            };
            self.respond(pending.request, response);
        }
    }

    /// Returns whether polls and configuration fetches are served here.
    fn is_serving_feed(&self) -> bool {
        self.is_up_to_date() && !self.draining
    }

    fn feed_for(&mut self, poll: &FeedPoll) -> CoordinatorResponse {
        let change = self
            .configurations
            .inline_change(poll.configuration_version);
        if let Some(chunk) = &change {
            self.counters.count_chunk(chunk);
        }
        CoordinatorResponse::Feed(Box::new(Feed {
            change,
            ..self.feed.clone()
        }))
    }

    /// Responds with a chunk of the encoded change to the newest configuration.
    pub(crate) fn fetch_configuration(&mut self, request: RequestId, fetch: &ConfigurationFetch) {
        let chunk = self
            .is_serving_feed()
            .then(|| self.configurations.chunk(fetch))
            .flatten();
        let response = match chunk {
            Some(chunk) => {
                self.counters.count_chunk(&chunk);
                CoordinatorResponse::ConfigurationChunk(Box::new(chunk))
            }
            None => CoordinatorResponse::NotServing,
        };
        self.respond(request, response);
    }
}
