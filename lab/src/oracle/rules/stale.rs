//! Balancers do not act on shared data beyond its maximum age, as far as their metrics report the age.
use crate::experiment::Millis;

pub(crate) fn check(name: &str, what: &str, age: Millis, most: Millis) -> Option<String> {
    (age > most).then(|| {
        format!("{name} acts on {what} of {age:.0} ms ago; at most {most:.0} ms are allowed")
    })
}
