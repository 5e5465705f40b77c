//! Client connections when descriptors run short: which tenants lose idle ones.
mod common;
use common::*;

/// A tenant with more connections than its share loses idle ones first, even if those of other tenants have been idle
/// for longer.
#[test]
fn tenant_over_its_share_loses_idle_connections() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let tenants = r#"{"name":"club","share":0.5,"quota_per_s":5000},{"name":"flood","share":0.5,"quota_per_s":5000}"#;
    let known = listing(1, true, &[(0, upstream.addr, "active")]);
    let config = config(discovery.addr, 64, &known)
        .replace(r#"{"name":"club","share":1.0,"quota_per_s":5000}"#, tenants);
    let node = Node::run(command(&config), discovery);
    let connect_and_call = |id: String, owner: &str| {
        let mut client = node.client();
        let request = get(&id, "10000m").replace("Req-Owner: club", &format!("Req-Owner: {owner}"));
        assert_eq!(client.call(&request).status(), 200, "{id}");
        client
    };
    // Clients may use 30 of the 64 descriptors.
    let mut club_clients: Vec<Client> = (0..4)
        .map(|i| connect_and_call(format!("kept-{i}"), "club"))
        .collect();
    let mut flood: Vec<Client> = (0..25)
        .map(|i| connect_and_call(format!("flood-{i}"), "flood"))
        .collect();
    // A connection without a request is closed after 2.5 s: by then all others have been idle long enough to be
    // closed.
    node.client().wait_until_closed();
    let new: Vec<Client> = (0..9)
        .map(|i| connect_and_call(format!("new-{i}"), "club"))
        .collect();
    for (i, client) in club_clients.iter_mut().enumerate() {
        assert_eq!(
            client.call(&get(&format!("again-{i}"), "10000m")).status(),
            200,
            "kept"
        );
    }
    for client in &mut flood[..8] {
        assert!(
            client.read_response().is_none(),
            "the longest idle connections of the flood are closed"
        );
    }
    let last = flood.last_mut().expect("at least one connection");
    last.send(&get("last", "10000m").replace("club", "flood"));
    assert_eq!(
        last.read_response()
            .expect("an open connection: no more are closed than needed")
            .status(),
        200
    );
    assert_eq!(new.len(), 9);
}
