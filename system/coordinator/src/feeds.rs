//! What agents and proxies are fed: long polls, answered as soon as anything has changed.
use crate::{coordinator::Coordinator, outputs::RequestId, under_way::Waiter};
use magpiegap_protocol::{CoordinatorAnswer, Feed, FeedPoll, RoleHolder};
use std::hash::{DefaultHasher, Hash, Hasher};

impl Coordinator {
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
            chain: view.chain.iter().map(|replica| replica.member.address).collect(),
            roles: roles.collect(),
            configuration_version: state.configuration.version,
            configuration: Vec::new(),
            revision: 0,
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
        self.waiters.push(Waiter { request, poll, until });
    }

    /// Answers the polls whose turn has come.
    pub(crate) fn answer_polls(&mut self) {
        if self.waiters.is_empty() {
            return;
        }
        let stands = self.replica.has_contact(self.now) && !self.leaving;
        let (now, revision) = (self.now, self.feed.revision);
        let due = |waiter: &Waiter| !stands || waiter.poll.revision != revision || now >= waiter.until;
        let (answered, waiting): (Vec<Waiter>, Vec<Waiter>) =
            std::mem::take(&mut self.waiters).into_iter().partition(due);
        self.waiters = waiting;
        for waiter in answered {
            let answer = if stands { self.feed_for(&waiter.poll) } else { CoordinatorAnswer::NotServing };
            self.answer(waiter.request, answer);
        }
    }

    fn feed_for(&self, poll: &FeedPoll) -> CoordinatorAnswer {
        let mut feed = self.feed.clone();
        if poll.configuration_version != feed.configuration_version {
            feed.configuration = self.machine.state.configuration.body.clone();
        }
        CoordinatorAnswer::Feed(Box::new(feed))
    }
}
