//! Results stored by earlier builds of the lab stay readable for reports and comparisons.
use balancer_lab::metrics::Played;
use balancer_lab::tally::RequestOutcome;

const STORED: &str = include_str!("stored_play.json");

#[test]
fn stored_plays_keep_their_json_keys() {
    let played: Played = serde_json::from_str(STORED).expect("reads");
    assert_eq!(
        (played.metrics.value, played.metrics.client_attempts),
        (0.75, 1.25)
    );
    let recovery = played.recovery.as_ref().expect("recovery metrics");
    assert_eq!((recovery.value_before, recovery.value_after), (0.5, 0.25));
    assert_eq!(played.tier.as_ref().map(|tier| tier.departed), Some(3));
    assert_eq!(played.usage[0].memory_kb, 4096);
    assert_eq!(played.tally.completed[0].how, RequestOutcome::TimedOut);
    assert_eq!(played.tally.completed[0].client_attempts, 2);
    assert_eq!(played.tally.seconds[0].upstream_time, [1.5, 2.5]);
    let stored: serde_json::Value = serde_json::from_str(STORED).expect("is JSON");
    let written = serde_json::to_value(&played).expect("writes");
    assert_eq!(written, stored);
}
