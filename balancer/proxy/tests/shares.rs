//! Callers' connections while descriptors are short: which tenant's make way.
mod common;
use common::*;

/// A tenant that keeps more connections than it has a share of made others, who had kept theirs for longer, pay.
#[test]
fn a_flood_of_idle_connections_makes_way_for_other_tenants_callers() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let tenants = r#"{"name":"club","share":0.5,"quota_per_s":5000},{"name":"flood","share":0.5,"quota_per_s":5000}"#;
    let known = listing(1, true, &[(0, upstream.addr, "active")]);
    let config = config(discovery.addr, 64, &known)
        .replace(r#"{"name":"club","share":1.0,"quota_per_s":5000}"#, tenants);
    let node = Node::run(command(&config), discovery);
    let caller = |id: String, owner: &str| {
        let mut client = node.client();
        let request = get(&id, "10000m").replace("Req-Owner: club", &format!("Req-Owner: {owner}"));
        assert_eq!(client.call(&request).status(), 200, "{id}");
        client
    };
    // Callers may hold 30 of the 64 descriptors.
    let mut connected: Vec<Client> = (0..4)
        .map(|i| caller(format!("kept-{i}"), "club"))
        .collect();
    let mut flood: Vec<Client> = (0..25)
        .map(|i| caller(format!("flood-{i}"), "flood"))
        .collect();
    // One that says nothing is closed after 2.5 s: by then all others have rested for long enough.
    node.client().closed();
    let new: Vec<Client> = (0..9).map(|i| caller(format!("new-{i}"), "club")).collect();
    for (i, client) in connected.iter_mut().enumerate() {
        assert_eq!(
            client.call(&get(&format!("again-{i}"), "10000m")).status(),
            200,
            "kept"
        );
    }
    for client in &mut flood[..8] {
        assert!(
            client.answer().is_none(),
            "those of the flood that rested longest are closed"
        );
    }
    let last = flood.last_mut().expect("a flood");
    last.send(&get("last", "10000m").replace("club", "flood"));
    assert_eq!(
        last.answer()
            .expect("it is kept: no more make way than are needed")
            .status(),
        200
    );
    assert_eq!(new.len(), 9);
}
