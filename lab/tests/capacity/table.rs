//! Tests of the Markdown tables.
use balancer_lab::capacity::sample::Sample;
use balancer_lab::capacity::table::markdown;

fn sample(size: usize, metrics: &[(&str, f64)]) -> Sample {
    let mut sample = Sample::new(size);
    for (name, value) in metrics {
        sample.add(name, *value);
    }
    sample
}

#[test]
fn table_has_sample_rows_and_a_fit_per_metric() {
    let samples = [10, 20, 30].map(|size| sample(size, &[("bytes/s", 5.0 + 2.0 * size as f64)]));
    let text = markdown("list", &samples);
    let wanted = "| list | bytes/s |\n| --- | --- |\n| 10 | 25 |\n| 20 | 45 |\n| 30 | 65 |\n\n\
        | figure | at 0 | slope | slope's error | residual, rms | residual, most |\n\
        | --- | --- | --- | --- | --- | --- |\n\
        | bytes/s | 5 | 2 | 0 | 0 | 0 |\n";
    assert_eq!(text, wanted);
}

#[test]
fn missing_measurements_are_shown_as_dashes() {
    let samples = [
        sample(10, &[("lag, ms", f64::NAN)]),
        sample(20, &[("lag, ms", 0.012345)]),
    ];
    assert_eq!(samples[0].metrics.len(), 0);
    let text = markdown("fleet", &samples);
    assert!(text.contains("| 10 | - |"), "{text}");
    assert!(text.contains("| 20 | 0.01235 |"), "{text}");
    assert!(
        text.contains("| lag, ms | fewer than three points |"),
        "{text}"
    );
}

#[test]
fn times_are_reported_by_their_median_and_maximum() {
    let mut sample = Sample::new(1);
    sample.add_times("lag", &mut [9.0, 1.0, 5.0]);
    sample.add_times("none", &mut []);
    assert_eq!(sample.metrics.get("lag, median ms"), Some(&5.0));
    assert_eq!(sample.metrics.get("lag, most ms"), Some(&9.0));
    assert_eq!(sample.metrics.len(), 2);
}
