//! What agents and proxies are fed: long polls, answered as soon as anything has changed.
use crate::{coordinator::Coordinator, outputs::RequestId, under_way::Waiter};
use magpiegap_protocol::{
    ConfigurationFetch, CoordinatorResponse, Feed, FeedPoll, Millis, RoleHolder,
};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Polls are not turned away before a coordinator has been without news of the others for this long, in milliseconds.
const VIEW_CHANGE_MS: Millis = 150;

impl Coordinator {
    /// Whether this coordinator knows what had been acknowledged up to a moment ago: after a change of the view, and after
    /// a loss of power of all, that takes the first entry of the view.
    pub(crate) fn is_informed(&self) -> bool {
        self.settled_in_view && self.replica.is_informed(self.now)
    }

    /// Brings the feed up to date.
    pub(crate) fn refresh_feed(&mut self) {
        let state = &self.machine.state;
        let view = self.replica.view();
        let roles = state.roles.iter().map(|(role, held)| RoleHolder {
            role: role.clone(),
            holder: held.holder,
            token: held.token,
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
        for held in &feed.roles {
            (&held.role, held.holder, held.token).hash(&mut hasher);
        }
        feed.revision = hasher.finish().max(1);
        self.feed = feed;
    }

    pub(crate) fn poll(&mut self, request: RequestId, poll: FeedPoll) {
        let until = self.now + poll.wait_ms;
        self.waiters.push(Waiter {
            request,
            poll,
            until,
        });
    }

    /// Answers the polls whose turn has come.
    pub(crate) fn answer_polls(&mut self) {
        if self.waiters.is_empty() {
            return;
        }
        let (now, revision) = (self.now, self.feed.revision);
        let is_informed = self.is_informed() && !self.leaving;
        self.uninformed.note(is_informed, now);
        // A change of the view is over in a moment, and then there is news.
        let is_lost = self.leaving || self.uninformed.lasts(VIEW_CHANGE_MS, now);
        let is_news = |waiter: &Waiter| waiter.poll.revision != revision || now >= waiter.until;
        let due = |waiter: &Waiter| is_lost || (is_informed && is_news(waiter));
        let (answered, waiting): (Vec<Waiter>, Vec<Waiter>) =
            std::mem::take(&mut self.waiters).into_iter().partition(due);
        self.waiters = waiting;
        for waiter in answered {
            let answer = if is_informed {
                self.feed_for(&waiter.poll)
            } else {
                CoordinatorResponse::NotServing
            };
            self.answer(waiter.request, answer);
        }
    }

    fn feed_for(&mut self, poll: &FeedPoll) -> CoordinatorResponse {
        let change = self.configurations.small_change(poll.configuration_version);
        change
            .iter()
            .for_each(|chunk| self.counters.note_part(chunk));
        CoordinatorResponse::Feed(Box::new(Feed {
            change,
            ..self.feed.clone()
        }))
    }

    /// Answers with a part of what leads to the newest configuration.
    pub(crate) fn fetch_configuration(&mut self, request: RequestId, fetch: &ConfigurationFetch) {
        let is_informed = self.is_informed() && !self.leaving;
        let chunk = is_informed
            .then(|| self.configurations.chunk(fetch))
            .flatten();
        chunk
            .iter()
            .for_each(|chunk| self.counters.note_part(chunk));
        let answer = match chunk {
            Some(chunk) => CoordinatorResponse::ConfigurationChunk(Box::new(chunk)),
            None => CoordinatorResponse::NotServing,
        };
        self.answer(request, answer);
    }
}
