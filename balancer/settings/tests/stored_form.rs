//! The form of the settings that stored state is tied to: a balancer takes back only what was learned under the same
//! settings, so that this text must not change where they do not.
use balancer_settings::deployment;

const FULL: &str = include_str!("golden/whole.json");
const MINIMAL: &str = include_str!("golden/least.json");

fn stored_form(json: &str) -> String {
    let deployment = deployment(json.as_bytes()).expect("settings");
    deployment.policy.stored_form() + "\n"
}

#[test]
fn settings_keep_the_form_that_stored_state_is_tied_to() {
    for (json, stored) in [
        (FULL, include_str!("golden/stored_form_whole.txt")),
        (MINIMAL, include_str!("golden/stored_form_least.txt")),
    ] {
        assert_eq!(stored_form(json), stored);
    }
}
