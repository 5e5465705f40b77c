//! The marks in the bodies of answers.
use balancer_lab::call::{body, mark};

#[test]
fn the_mark_of_an_answer_is_read_and_no_other_text_has_one() {
    assert_eq!(mark(&body("desk-1", 0xab12)), Some(0xab12));
    for other in ["", "mark", "mark x", "ok"] {
        assert_eq!(mark(other.as_bytes()), None, "{other}");
    }
}
