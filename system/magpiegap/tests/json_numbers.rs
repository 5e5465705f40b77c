//! Conversion of JSON numbers to integers.
use googletest::prelude::*;
use magpiegap::{
    job_body,
    json_number::{clamped_integer, exact_integer, MAX_EXACT_INTEGER},
};

#[googletest::test]
fn numbers_convert_within_the_exact_integer_range() {
    let max = MAX_EXACT_INTEGER;
    for (number, exact, clamped) in [
        (0.0, Some(0), 0),
        (42.9, Some(42), 42),
        (max as f64, Some(max), max),
        (max as f64 + 2.0, None, max),
        (1e300, None, max),
        (f64::INFINITY, None, max),
        (-0.5, None, 0),
        (-1e300, None, 0),
        (f64::NAN, None, 0),
    ] {
        expect_that!(exact_integer(number), eq(exact), "{number}");
        expect_that!(clamped_integer(number), eq(clamped), "{number}");
    }
}

#[googletest::test]
fn excessive_amounts_are_rejected_naming_the_field() {
    for field in ["cpu", "memMb", "gpu", "estimatedMs"] {
        let body = |number: &str| {
            format!(r#"{{"spec":"t","steps":[{{"count":1}},{{"count":1,"{field}":{number}}}]}}"#)
        };
        expect_that!(
            job_body::read(body("1e12").as_bytes()),
            ok(anything()),
            "{field}"
        );
        for number in ["1000000000001", "1e300", "18446744073709551615"] {
            let error = job_body::read(body(number).as_bytes()).err();
            let line = error.map(|error| error.to_string()).unwrap_or_default();
            let expected = format!("step 1 has too large a number for {field}");
            expect_that!(line, starts_with(expected), "{field} {number}");
            expect_that!(line.lines().count(), eq(1), "{field} {number}");
        }
    }
}
