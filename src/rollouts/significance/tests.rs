use super::*;

#[test]
fn small_counts_follow_the_binomial_distribution() {
    for (hits, trials, chance, expected) in [
        (4, 4, 0.2, 0.0016),
        (1, 10, 0.1, 0.651_322),
        (5, 10, 0.5, 0.623_047),
        (8, 10, 0.5, 0.054_688),
    ] {
        let probability = probability(hits, trials, chance);
        assert!((probability - expected).abs() < 1e-5, "{probability}");
    }
}

#[test]
fn counts_as_usual_are_probable() {
    for trials in [10, 100, 10_000] {
        assert!(probability(trials / 4, trials, 0.25) > 0.4, "{trials}");
        assert!(probability(trials, trials, 0.25) < 1e-5, "{trials}");
    }
    assert!(probability(0, 0, 0.5) > 0.999);
    assert!(probability(0, 100, 0.0) > 0.999);
}
