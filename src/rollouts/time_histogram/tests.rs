use super::*;

fn histogram(ratios: &[f64]) -> TimeHistogram {
    let mut histogram = TimeHistogram::default();
    for ratio in ratios {
        histogram.record(*ratio);
    }
    histogram
}

#[test]
fn equal_times_hardly_exceed_each_other() {
    let times: Vec<f64> = (0..100).map(|n| 0.9 + 0.003 * n as f64).collect();
    let times = histogram(&times);
    assert_eq!(times.exceeded(&times), 0);
    assert_eq!(times.since(times.much_later_from(0.5)), 0);
}

#[test]
fn times_twice_as_long_exceed_all() {
    let old = histogram(&[1.0; 10]);
    let new = histogram(&[2.0; 10]);
    assert_eq!(new.exceeded(&old), 100);
    assert_eq!(new.since(old.much_later_from(0.1)), 10);
    assert_eq!(old.exceeded(&new), 0);
}

/// A quarter of its answers is slow.
#[test]
fn late_answers_count_beside_usual_ones() {
    let mut times = vec![1.0; 30];
    let old = histogram(&times);
    times.extend([8.0; 10]);
    assert_eq!(histogram(&times).since(old.much_later_from(0.1)), 10);
}

#[test]
fn any_time_has_a_bucket() {
    let ratios = [0.0, 1e-9, 1.0, 63.0, 1e9, f64::INFINITY, f64::NAN];
    assert_eq!(histogram(&ratios).count(), ratios.len() as u32);
}

#[test]
fn merges_and_adds_each_count() {
    let one = histogram(&[1.0, 1.0, 4.0]);
    let other = histogram(&[1.0, 9.0]);
    assert_eq!(one.max(other), histogram(&[1.0, 1.0, 4.0, 9.0]));
    let mut sum = one;
    sum.add(other);
    assert_eq!(sum, histogram(&[1.0, 1.0, 1.0, 4.0, 9.0]));
}

#[test]
fn decodes_to_the_same_counts() {
    let histogram = histogram(&[0.01, 1.0, 1.0, 500.0]);
    let bytes = postcard::to_allocvec(&histogram).unwrap();
    assert!(bytes.len() <= 7, "{} bytes", bytes.len());
    assert_eq!(postcard::from_bytes(&bytes), Ok(histogram));
    let unknown = postcard::to_allocvec(&vec![(200_u8, 3_u32)]).unwrap();
    let decoded: TimeHistogram = postcard::from_bytes(&unknown).unwrap();
    assert_eq!(decoded, TimeHistogram::default());
}
