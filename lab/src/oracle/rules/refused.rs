//! A refused request was not executed, for classes in which executing it twice would matter.
use crate::experiment::{Effect, Group};
use crate::oracle::client_calls::ClientCall;
use crate::oracle::facts::{ClassRules, Final};

fn applies(class: ClassRules) -> bool {
    match class.effect {
        Effect::Safe => false,
        Effect::Keyed => class.group != Group::All,
        Effect::Once => true,
    }
}

pub(crate) fn check(
    name: &str,
    id: u64,
    call: &ClientCall,
    class: ClassRules,
    how: Final,
) -> Option<String> {
    let violated = how == Final::Refused && call.may_have_run() && applies(class);
    violated.then(|| {
        format!("{name} refused request {id:016x} although an attempt may have been executed")
    })
}
