//! The text form of settings that is stored with learned state. A balancer restores only state learned under the same
//! settings and compares this text, so it must not change as long as the settings do not.
use balancer_settings::deployment;

const FULL: &str = include_str!("golden/full.json");
const MINIMAL: &str = include_str!("golden/minimal.json");

fn stored_form(json: &str) -> String {
    let deployment = deployment(json.as_bytes()).expect("settings");
    deployment.policy.stored_form() + "\n"
}

#[test]
fn stored_form_of_settings_is_unchanged() {
    for (json, stored) in [
        (FULL, include_str!("golden/stored_form_full.txt")),
        (MINIMAL, include_str!("golden/stored_form_minimal.txt")),
    ] {
        assert_eq!(stored_form(json), stored);
    }
}
