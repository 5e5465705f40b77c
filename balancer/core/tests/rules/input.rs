//! Handling of invalid settings, events and times.
use crate::common::*;
use crate::one_class;
use balancer_core::*;

#[test]
fn settings_errors_name_the_invalid_field() {
    let field = |change: &dyn Fn(&mut Settings)| {
        let mut settings = Settings {
            tenants: tenants(&[1.0], 10.0),
            ..Settings::default()
        };
        change(&mut settings);
        Balancer::new(settings, 1, 0.0)
            .err()
            .map(|error| error.field)
    };
    assert_eq!(field(&|_| {}), None);
    assert_eq!(field(&|settings| settings.balancers = 0), Some("balancers"));
    assert_eq!(field(&|settings| settings.classes.clear()), Some("classes"));
    assert_eq!(
        field(&|settings| settings.classes[0].objective = f64::NAN),
        Some("classes.objective")
    );
    assert_eq!(
        field(&|settings| settings.classes[0].deadline = -1.0),
        Some("classes.deadline")
    );
    assert_eq!(
        field(&|settings| settings.classes[0].zones = Some(Vec::new())),
        Some("classes.runs_in")
    );
    assert_eq!(
        field(&|settings| settings.classes[0].kinds = Some(Vec::new())),
        Some("classes.kinds_only")
    );
    assert_eq!(
        field(&|settings| settings.tenants[0].quota_per_s = 1e300),
        Some("tenants.quota_per_s")
    );
    assert_eq!(
        field(&|settings| settings.slow_start_time = f64::INFINITY),
        Some("ramp_time")
    );
    assert_eq!(
        field(&|settings| settings.subscribe_timeout = 0.0),
        Some("ask_within")
    );
}

#[test]
fn unknown_identifiers_are_handled_safely() {
    let mut harness = Harness::new(Settings::default(), 1, vec![endpoint(1)]);
    let unknown = Request {
        id: RequestId(9),
        class: 7,
        tenant: 7,
        deadline: 900.0,
        tie: 0,
    };
    let mut actions = Vec::new();
    harness
        .balancer
        .handle(0.0, Event::Request(unknown), &mut actions);
    assert!(
        matches!(actions[..], [Action::Refuse { .. }]),
        "an unknown class must be refused"
    );
    assert!(harness
        .handle(Event::ClientDisconnected(RequestId(77)))
        .is_empty());
    assert!(harness.handle(Event::Timer(12345)).is_empty());
    assert!(harness
        .handle(Event::Streaming {
            request: RequestId(77),
            attempt: 3
        })
        .is_empty());
    assert!(
        matches!(harness.request(1, 0, 999)[..], [Action::Send { .. }]),
        "an unlisted tenant must be served"
    );
}

/// Invalid numbers from the host must not cause a panic.
#[test]
fn invalid_times_cause_no_panic() {
    let odd = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        -5.0,
        0.0,
        1e300,
        40.0,
    ];
    let mut balancer = Balancer::new(one_class(Effect::Free), 3, 0.0).expect("settings");
    let mut actions = Vec::new();
    for (n, &now) in odd.iter().cycle().take(500).enumerate() {
        let (id, value) = (RequestId(n as u32), odd[n / 7 % 7]);
        let list = (1..5)
            .map(|id| Endpoint {
                since: value,
                ..endpoint(id)
            })
            .collect();
        balancer.handle(
            now,
            Event::EndpointUpdate(EndpointUpdate::Full(list)),
            &mut actions,
        );
        let request = Request {
            id,
            class: 0,
            tenant: n % 3,
            deadline: value,
            tie: 0,
        };
        balancer.handle(now, Event::Request(request), &mut actions);
        let (attempt, ending) = (
            n as u32 % 2,
            if n.is_multiple_of(3) {
                Ending::Timeout
            } else {
                Ending::Ok
            },
        );
        let outcome = Event::Outcome {
            request: id,
            attempt,
            ending,
            duration: value,
            closed: n.is_multiple_of(2),
        };
        balancer.handle(now, outcome.clone(), &mut actions);
        balancer.handle(now, outcome, &mut actions);
        balancer.handle(now, Event::Timer(0), &mut actions);
    }
    let spans = actions.iter().filter_map(|a| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(
        spans.clone().count() > 0 && !spans.clone().any(f64::is_nan),
        "{:?}",
        spans.collect::<Vec<_>>()
    );
}
