//! Parsing of the replica addresses in the configuration, and the errors for unusable ones.
#[allow(dead_code)]
#[path = "../src/peers/addresses.rs"]
mod addresses;

use addresses::UnparsedAddresses;
use balancer_gossip::Member;
use serde_json::{json, Value};

#[test]
fn address_errors_name_the_field() {
    let parse = |listen: Value, peers: Value| UnparsedAddresses { listen, peers }.parse(2);
    let (good, two) = (json!("127.0.0.1:0"), json!(["127.0.0.1:7", "127.0.0.2:7"]));
    let parsed = parse(good.clone(), two.clone()).expect("valid input");
    assert_eq!(parsed.senders().get(&parsed.peers[1]), Some(&Member(1)));
    for (listen, peers, expected) in [
        (Value::Null, two.clone(), "peer_listen: missing"),
        (
            json!("[::1]:7"),
            two,
            "peer_listen: \"[::1]:7\" is not an IPv4 address and port",
        ),
        (good.clone(), Value::Null, "peers: missing"),
        (good.clone(), json!("127.0.0.1:7"), "peers: not a list"),
        (
            good.clone(),
            json!(["127.0.0.1:7"]),
            "peers: 1 addresses for 2 balancers",
        ),
        (
            good.clone(),
            json!(["127.0.0.1:7", 7]),
            "peers[1]: 7 is not an IPv4 address and port",
        ),
        (
            good.clone(),
            json!(["127.0.0.1:7", "127.0.0.1:0"]),
            "peers[1]: 127.0.0.1:0 has no port",
        ),
        (
            good,
            json!(["127.0.0.1:7", "127.0.0.1:7"]),
            "peers[1]: 127.0.0.1:7 duplicates peers[0]",
        ),
    ] {
        let error = parse(listen, peers).map_err(|error| error.to_string());
        assert_eq!(error, Err(expected.into()));
    }
}
