//! Rules that every action must satisfy, checked from the harness's own records.
use super::{Harness, RequestRecord};
use balancer_core::*;

impl Harness {
    pub(super) fn check(&mut self, action: &Action) {
        match action {
            Action::Send {
                request,
                upstream,
                timeout,
                write_by,
            } => {
                self.check_send(*request, *upstream);
                self.check_repeat(*request, *upstream, *write_by);
                self.record_send(*request, *upstream, *timeout);
            }
            Action::Refuse { request, .. } => {
                self.check_final(*request);
                let record = &self.requests[request];
                let effect = self.settings.classes[record.class].effect;
                let harmless = match effect {
                    Effect::Free
                    | Effect::Guarded {
                        scope: DedupScope::All,
                        ..
                    } => true,
                    _ => self.first_run(record).is_none(),
                };
                assert!(harmless, "{request:?} refused although it may have run");
                self.complete(*request);
            }
            Action::Fail { request } => {
                self.check_final(*request);
                self.complete(*request);
            }
            Action::Cancel { request, attempt } => {
                let attempts = self.requests[request].sends.len();
                assert!(self.settings.cancel && (*attempt as usize) < attempts);
            }
            Action::SetTimer { after, token } => self.timers.push((self.now + after, *token)),
            Action::Subscribe => assert!(self.settings.subscribes, "the list is pushed"),
            Action::CloseIdle(_) | Action::Log(_) => {}
        }
    }

    /// Whether this ending of an attempt proves that it never ran.
    fn proves_never_ran(&self, ending: Option<Ending>) -> bool {
        match ending {
            Some(Ending::Rejected) => !self.settings.late_shedding,
            Some(Ending::ConnectFailed | Ending::NotSent) => true,
            _ => false,
        }
    }

    /// The first attempt that may have run.
    fn first_run(&self, record: &RequestRecord) -> Option<usize> {
        let may_have_run = |ending: &Option<Ending>| !self.proves_never_ran(*ending);
        record.endings.iter().position(may_have_run)
    }

    fn check_send(&self, request: RequestId, upstream: UpstreamId) {
        let endpoint = &self.listed[&upstream];
        assert_eq!(
            endpoint.availability,
            Availability::Ready,
            "{request:?} sent to {endpoint:?}"
        );
        let record = &self.requests[&request];
        let class = &self.settings.classes[record.class];
        let zones = class.zones.as_ref();
        assert!(
            zones.is_none_or(|zones| zones.contains(&endpoint.zone)),
            "{request:?} sent to the wrong zone: {endpoint:?}"
        );
        let kinds = class.kinds.as_ref();
        assert!(
            kinds.is_none_or(|kinds| kinds.contains(&endpoint.kind)),
            "{request:?} sent to the wrong machine type: {endpoint:?}"
        );
        assert!(
            !record.completed,
            "{request:?} sent after its final response"
        );
        assert!(
            self.now < record.deadline,
            "{request:?} sent after its deadline"
        );
        assert!(
            record.sends.len() < self.settings.max_attempts as usize,
            "{request:?}: too many attempts"
        );
        let in_flight = record.endings.contains(&None);
        assert!(!in_flight, "{request:?}: two attempts in flight");
    }

    fn check_repeat(&self, request: RequestId, upstream: UpstreamId, write_by: f64) {
        let record = &self.requests[&request];
        let effect = self.settings.classes[record.class].effect;
        let first_run = self.first_run(record);
        let bounded = first_run.is_some() && matches!(effect, Effect::Guarded { .. });
        assert_eq!(
            write_by.is_finite(),
            bounded,
            "{request:?}: bounded only for guarded retries, but write_by is {write_by}"
        );
        let Some(first_run) = first_run else {
            return;
        };
        match effect {
            Effect::Free => {}
            Effect::SingleShot => panic!("{request:?} may run twice"),
            Effect::Guarded { scope, window } => {
                let (first_upstream, sent_at) = record.sends[first_run];
                let window_end = sent_at + window;
                assert!(
                    self.now < window_end,
                    "{request:?} retried after the window"
                );
                assert!(
                    write_by <= window_end,
                    "{request:?} may be written after the window"
                );
                let first = &self.listed[&first_upstream];
                let endpoint = &self.listed[&upstream];
                assert!(match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.zone == endpoint.zone,
                    DedupScope::Cell => first.group == endpoint.group,
                });
            }
        }
    }

    fn record_send(&mut self, request: RequestId, upstream: UpstreamId, timeout: f64) {
        let now = self.now;
        assert!(timeout >= 0.0, "{request:?} has a negative timeout");
        let record = self.requests.get_mut(&request).expect("a known request");
        record.timeouts.push(if timeout > 0.0 {
            record.deadline.min(now + timeout)
        } else {
            record.deadline
        });
        record.sends.push((upstream, now));
        record.endings.push(None);
    }

    fn check_final(&self, request: RequestId) {
        let completed = self.requests[&request].completed;
        assert!(!completed, "{request:?} has two final responses");
    }

    fn complete(&mut self, request: RequestId) {
        let record = self.requests.get_mut(&request).expect("a known request");
        record.completed = true;
    }
}
