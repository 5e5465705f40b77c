//! A request that may have been executed is retried only as its class allows.
use super::SLACK;
use crate::experiment::{Effect, Millis};
use crate::oracle::client_calls::ClientCall;
use crate::oracle::facts::{group, ClassRules, Place};

/// Returns an upstream that may have executed the request and whose execution forbids sending it to this one now.
pub(crate) fn ran_at(
    now: Millis,
    call: &ClientCall,
    class: ClassRules,
    places: &[Place],
    upstream: usize,
) -> Option<usize> {
    let first_run = call
        .attempts
        .iter()
        .find(|a| a.may_have_run())
        .map(|a| a.began);
    let allowed = |earlier: usize| match class.effect {
        Effect::Safe => true,
        Effect::Once => false,
        Effect::Keyed => {
            let same = group(class.group, places[upstream]) == group(class.group, places[earlier]);
            same && first_run.is_none_or(|at| now - at <= class.window + SLACK)
        }
    };
    call.attempts
        .iter()
        .filter(|a| a.may_have_run())
        .map(|a| a.upstream)
        .find(|&u| !allowed(u))
}
