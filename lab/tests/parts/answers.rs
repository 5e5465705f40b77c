//! The marks in the bodies of responses.
use balancer_lab::call::{body, mark};

#[test]
fn reads_marks_from_response_bodies_only() {
    assert_eq!(mark(&body("desk-1", 0xab12)), Some(0xab12));
    for other in ["", "mark", "mark x", "ok"] {
        assert_eq!(mark(other.as_bytes()), None, "{other}");
    }
}
