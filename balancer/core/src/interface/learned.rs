//! What an instance has learned, to be kept for a later one.
use super::{Millis, Settings, SettingsError, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an instance has learned of the load. Rates are calls per cycle, of a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// What the next tier carries for this instance.
    pub capacity: f64,
    /// What was admitted: its mean of late, and its peak.
    pub recent: f64,
    /// See there.
    pub peak: f64,
    /// What all instances together get served, by what upstreams say; zero: not known.
    pub served: f64,
    /// The part of answers in time.
    pub success: f64,
    /// What is left of the least capacity while answers take as long as in a crowd.
    pub uncrowded: f64,
    /// The mean time of an answer that did not queue.
    pub unloaded: Millis,
}

impl Load {
    /// The same for `size` times as many upstreams.
    pub fn scaled(self, size: f64) -> Load {
        let (capacity, recent, peak) = (size * self.capacity, size * self.recent, size * self.peak);
        Load {
            capacity,
            recent,
            peak,
            ..self
        }
    }

    /// This one, with an older one worth so much beside it: what it says of the load, and of times.
    pub fn mixed(self, kept: &Load, load: f64, times: f64) -> Load {
        let mix = |now: f64, then: f64, value: f64| now + value * (then - now);
        Load {
            capacity: mix(self.capacity, kept.capacity, load),
            recent: mix(self.recent, kept.recent, load),
            peak: mix(self.peak, kept.peak, load),
            served: mix(self.served, kept.served, load),
            success: mix(self.success, kept.success, load),
            uncrowded: mix(self.uncrowded, kept.uncrowded, load),
            unloaded: mix(self.unloaded, kept.unloaded, times),
        }
    }
}

/// What an instance has learned of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Health {
    /// Answer time as a multiple of its kind's.
    pub slowness: f64,
    /// The part of attempts of late that failed, and how many have ended.
    pub fails: f64,
    /// See there.
    pub outcomes: u32,
    /// When it was last used.
    pub last_used: Millis,
    /// Until when it is ejected; and until when for more than errors, which a tier behind may have made.
    pub ejected_until: Millis,
    /// See there.
    pub lost_until: Millis,
    /// Ejections in a row.
    pub ejections: u32,
}

impl Health {
    /// The same on a clock that reads this much more. What was before its zero was long ago.
    pub fn shifted(self, by: Millis) -> Health {
        let at = |then: Millis| (then + by).max(0.0);
        let (ejected_until, lost_until) = (at(self.ejected_until), at(self.lost_until));
        Health {
            last_used: at(self.last_used),
            ejected_until,
            lost_until,
            ..self
        }
    }
}

/// What an instance has learned, as [`Balancer::learned`](crate::Balancer::learned) hands it out and
/// [`Event::Restored`](crate::Event::Restored) hands it back to a later one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Learned {
    /// When that was, on the clock of then: all times in it are on that clock.
    pub at: Millis,
    /// The load.
    pub load: Load,
    /// The most ready upstreams that there were, each as far as it was warm; and the part of them that could be sent
    /// to.
    #[serde(rename = "upstreams_most")]
    pub upstreams_max: f64,
    /// See there.
    pub upstreams_usable: f64,
    /// Mean answer time, and its mean deviation.
    pub answer: Millis,
    /// See there.
    pub deviation: Millis,
    /// Calls per cycle that each tenant asked for, by position in [`Settings::tenants`], with one further place for
    /// all that are not listed; absent: none was seen.
    pub demands: Vec<Option<f64>>,
    /// Answer times of machine kinds, as parts of the class's objective, and the answers that each rests on.
    pub kinds: BTreeMap<u8, (f64, f64)>,
    /// The part of calls that got no answer, in steps by how long their connection may have rested.
    pub rest_lost: Vec<f64>,
    /// Upstreams that were called, with when their processes had started: nothing holds for another start.
    pub upstreams: Vec<(UpstreamId, Millis, Health)>,
}

impl Learned {
    /// Checks every figure; the first one at fault is named. What passes can be taken back whole, however old it is.
    pub fn validate(&self, s: &Settings) -> Result<(), SettingsError> {
        let need = |ok: bool, field, must| {
            if ok {
                Ok(())
            } else {
                Err(SettingsError { field, must })
            }
        };
        let span = |v: f64| (0.0..=1e15).contains(&v);
        let part = |v: f64| (0.0..=1.0).contains(&v);
        let l = &self.load;
        let rates = [
            l.capacity,
            l.recent,
            l.peak,
            l.served,
            self.upstreams_max,
            self.at,
        ];
        need(
            rates.into_iter().all(span),
            "learned.load",
            "numbers of at least 0",
        )?;
        let parts = [l.success, l.uncrowded, self.upstreams_usable];
        need(
            parts.into_iter().all(part),
            "learned.load.success",
            "between 0 and 1",
        )?;
        // No answer takes longer than the longest deadline. One that took no time would never be grown from again.
        let longest = s.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let parts_most = s
            .classes
            .iter()
            .map(|c| c.deadline / c.objective)
            .fold(1.0, f64::max);
        let time = |v: f64| (1e-3..=longest).contains(&v);
        need(
            time(self.answer) && time(l.unloaded),
            "learned.answer",
            "a time that an answer can take",
        )?;
        need(
            (0.0..=longest).contains(&self.deviation),
            "learned.deviation",
            "a time that an answer can take",
        )?;
        let demands = self.demands.iter().flatten().all(|&d| span(d));
        let places = self.demands.len() == s.tenants.len().max(1) + 1;
        need(
            demands && places,
            "learned.demands",
            "a rate of at least 0 for each tenant",
        )?;
        need(
            self.rest_lost.iter().all(|&p| part(p)),
            "learned.rest_lost",
            "between 0 and 1",
        )?;
        let kind =
            |&(usual, answers): &(f64, f64)| (0.0..=parts_most).contains(&usual) && span(answers);
        need(
            self.kinds.values().all(kind),
            "learned.kinds",
            "times that answers can take",
        )?;
        let upstream = |(_, since, h): &(UpstreamId, Millis, Health)| {
            let spans = [
                *since,
                h.slowness,
                h.last_used,
                h.ejected_until,
                h.lost_until,
            ];
            spans.into_iter().all(span) && part(h.fails)
        };
        need(
            self.upstreams.iter().all(upstream),
            "learned.upstreams",
            "numbers of at least 0",
        )
    }
}
