//! The validation of experiments, and the plans drawn from a seed.
use crate::common::fleet;
use balancer_lab::draw::{plan, Party};
use balancer_lab::experiment::{load, parse};
use std::path::Path;

fn good() -> String {
    fleet(2, 2, "5s", "[clients]\nrate = 100\n")
}

#[test]
#[expect(clippy::too_many_lines, reason = "not split yet: docs/OPEN.md")]
fn validation_errors_name_the_line_and_key() {
    assert!(parse(&good()).is_ok());
    let wrong = |from: &str, to: &str| {
        let text = good().replacen(from, to, 1);
        let (line, what) = parse(&text).expect_err(to);
        let line = line.unwrap_or_else(|| panic!("no line: {what}"));
        assert!(!what.contains('\n'), "{what}");
        (
            text.lines().nth(line - 1).expect("the line").to_string(),
            what,
        )
    };
    for (from, to, line, key) in [
        ("title =", "titel =", "titel", "titel"),
        ("front = 2", "front = 0", "front = 0", "fleet.front"),
        ("\"5s\"", "\"5\"", "length = \"5\"", "length"),
        ("front = 2", "front = \"two\"", "front = \"two\"", "fleet.front"),
        ("[\"a\", \"b\"]", "[\"a\", \"a\"]", "zones", "fleet.zones[1]"),
        ("\nshare = 1.0", "\nshare = -1.0", "share = -1.0", "tenant[0].share"),
        ("deadline = \"8s\"", "deadline = \"1s\"", "deadline = \"1s\"", "class[0].deadline"),
        ("rate = 100", "rate = [200, 100]", "rate = [200, 100]", "clients.rate"),
        ("calls = 1.0", "calls = 0.5", "calls = 0.5", "tier[0].calls"),
        (
            "front = 2\n",
            "front = 2\nregions = { west = [\"a\", \"z\"] }\n",
            "regions =",
            "fleet.regions.west",
        ),
        ("\nshare = 1.0", "\nshare = 1.0\nhops = \"0s\"", "hops", "tenant[0].hops"),
        ("\nshare = 1.0", "\nshare = 1.0\nclasses = [\"read\"]", "classes", "tenant[0].classes"),
        ("rate = 100\n", "rate = 100\n[[build]]\nname = \"a b\"\n", "[[build]]", "build[0]"),
        (
            "rate = 100\n",
            "rate = 100\n[[bounds.trials]]\nzone = \"c\"\nduring = \"1s\"\nmost = 3\n",
            "zone = \"c\"",
            "bounds.trials[0].zone",
        ),
        (
            "rate = 100\n",
            "rate = 100\n[[fault]]\nkind = \"upgrade\"\nat = \"1s\"\nfor = \"1s\"\nbuild = \"x\"\n",
            "build = \"x\"",
            "fault[0].build",
        ),
        (
            "rate = 100\n",
            "rate = 100\n[[fault]]\nkind = \"burst\"\nat = \"1s\"\nfor = \"1s\"\nsize = 2\nof = { class = \"x\" }\n",
            "of = {",
            "fault[0].of.class",
        ),
        (
            "rate = 100\n",
            "rate = 100\n[[fault]]\nkind = \"kill\"\nat = \"1s\"\n",
            "[[fault]]",
            "fault[0].for",
        ),
        (
            "rate = 100\n",
            "rate = 100\n[[fault]]\nkind = \"pause\"\nat = \"1s\"\nfor = \"1s\"\non = { zone = \"c\" }\n",
            "on = { zone = \"c\" }",
            "fault[0].on.zone",
        ),
    ] {
        let (at, what) = wrong(from, to);
        assert!(at.contains(line), "{to:?}: line {at:?}, {what}");
        assert!(what.contains(key), "{to:?}: {what}");
    }
}

#[test]
fn seed_fixes_the_plan_and_faults_keep_arrivals() {
    let e = parse(&good()).expect("good");
    let (a, b, other) = (
        plan(&e, 7).expect("a plan"),
        plan(&e, 7).expect("a plan"),
        plan(&e, 8).expect("a plan"),
    );
    assert_eq!(a, b);
    assert_ne!(a.arrivals, other.arrivals);
    // Constants, so that a plan that differs between machines or builds is detected.
    let first = &a.arrivals[0];
    assert_eq!(
        (a.arrivals.len(), first.class, first.zone),
        FIRST,
        "{first:?}"
    );
    let fault =
        "[[fault]]\nkind = \"pause\"\nat = \"1s\"\nfor = \"1s\"\non = { role = \"front\", share = 0.5 }\n";
    let with = plan(&parse(&(good() + fault)).expect("good"), 7).expect("a plan");
    assert_eq!(
        (&with.arrivals, &with.upstreams),
        (&a.arrivals, &a.upstreams)
    );
    assert_eq!(with.faults[0].on.len(), 1);
    assert!(matches!(with.faults[0].on[0], Party::Balancer(0 | 1)));
    let burst = "[[fault]]\nkind = \"burst\"\nat = \"1s\"\nfor = \"1s\"\nsize = 3\n";
    let burst = plan(&parse(&(good() + burst)).expect("good"), 7).expect("a plan");
    let (mut left, mut more) = (a.arrivals.iter().peekable(), 0);
    for arrival in &burst.arrivals {
        if left.peek() == Some(&arrival) {
            left.next();
        } else {
            assert!((1000.0..2000.0).contains(&arrival.at));
            more += 1;
        }
    }
    assert!(left.next().is_none() && more > 100, "{more} more");
}

/// Uneven load is drawn independently: it only adds requests of the given tenant, class and zone.
#[test]
fn uneven_load_and_outages_keep_other_arrivals() {
    let second = "[[tenant]]\nname = \"second\"\nshare = 1.0\n";
    let base = fleet(2, 2, "5s", &format!("{second}[clients]\nrate = 100\n"));
    let arrivals = |text: &str| {
        plan(&parse(text).expect("good"), 7)
            .expect("a plan")
            .arrivals
    };
    let before = arrivals(&base);
    let added = |text: &str| {
        let mut left = before.iter().peekable();
        let more: Vec<_> = arrivals(text)
            .into_iter()
            .filter(|a| left.next_if(|b| *b == a).is_none())
            .collect();
        assert!(left.next().is_none(), "an existing request has changed");
        more
    };
    let burst = "[[fault]]\nkind = \"burst\"\nat = \"1s\"\nfor = \"1s\"\nsize = 5\n";
    let of = "of = { tenant = \"second\", zone = \"b\" }\n";
    let more = added(&format!("{base}{burst}{of}"));
    assert!((40..200).contains(&more.len()), "{}", more.len());
    assert!(more
        .iter()
        .all(|a| (a.tenant, a.zone) == (1, 1) && (1000.0..2000.0).contains(&a.at)));
    let hog = "[[tenant]]\nname = \"hog\"\nshare = 1.0\nrate = 50\nclasses = [\"pay\"]\nduring = [\"1s\", \"3s\"]\n";
    let more = added(&base.replacen(second, &format!("{second}{hog}"), 1));
    assert!((50..160).contains(&more.len()), "{}", more.len());
    assert!(more
        .iter()
        .all(|a| (a.tenant, a.class) == (2, 1) && (1000.0..3000.0).contains(&a.at)));
    let outage =
        "[[fault]]\nkind = \"outage\"\nat = \"1s\"\nfor = \"1s\"\nsize = 1.0\ndelay = \"300ms\"\n";
    let back = added(&format!("{base}{outage}"));
    let due = before
        .iter()
        .filter(|a| (1000.0..2000.0).contains(&a.at))
        .count();
    assert_eq!(back.len(), due);
    assert!(back.iter().all(|a| (2000.0..2300.0).contains(&a.at)));
}

/// The number of requests in the plan above, and the class and the zone of the first one.
const FIRST: (usize, usize, usize) = (509, 1, 0);

#[test]
fn bundled_experiments_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut seen = 0;
    for entry in std::fs::read_dir(folder).expect("the folder").flatten() {
        let e = load(&entry.path()).expect("usable");
        plan(&e, e.seed).expect("a plan");
        seen += 1;
    }
    assert!(seen > 0);
}
