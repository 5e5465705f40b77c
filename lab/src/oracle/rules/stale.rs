//! Nothing shared is acted on beyond its stated age, as far as a balancer's metrics report what it acts on.
use crate::experiment::Millis;

pub(crate) fn case(name: &str, what: &str, age: Millis, most: Millis) -> Option<String> {
    (age > most)
        .then(|| format!("{name} acts on {what} of {age:.0} ms ago; {most:.0} is the bound"))
}
