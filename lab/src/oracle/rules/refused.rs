//! A refusal promises that nothing ran, where a repeat would matter.
use crate::experiment::{Effect, Group};
use crate::oracle::client_calls::ClientCall;
use crate::oracle::facts::{ClassRules, Final};

fn binds(class: ClassRules) -> bool {
    match class.effect {
        Effect::Safe => false,
        Effect::Keyed => class.group != Group::All,
        Effect::Once => true,
    }
}

pub(crate) fn case(
    name: &str,
    id: u64,
    t: &ClientCall,
    class: ClassRules,
    how: Final,
) -> Option<String> {
    let wrong = how == Final::Refused && t.ran() && binds(class);
    wrong.then(|| format!("{name} refused {id:016x} though an attempt may have run"))
}
