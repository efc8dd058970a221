use super::*;

const BOUND: RetryBound =
    RetryBound { share: 0.9, extra: 60.0, window: Duration::from_secs(10) };

/// The platform compares the retries with the requests of the same window, of
/// the one before it, or of the one half a window earlier, whichever has most.
#[test]
fn retries_stay_within_the_bound_in_every_window() {
    // Bursts of requests and bursts of wanted retries that do not coincide.
    let start = BootInstant::now();
    let window = RetryWindow::new(BOUND, start);
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..6000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let is_busy = step / 500 % 3 == 0;
        if is_busy || step % 20 == 0 {
            window.count_request(now);
            requests.push(step * 10);
        }
        let wants = if step / 300 % 2 == 0 { 3 } else { 0 };
        for _ in 0..wants {
            if window.try_retry(1, now) {
                retries.push(step * 10);
            }
        }
    }
    let count = |times: &[u64], from: u64| {
        let within = |at: &&u64| (from..from + 10_000).contains(*at);
        times.iter().filter(within).count() as f64
    };
    for from in (10_000..50_000).step_by(37) {
        let windows = [from, from - 5_000, from - 10_000];
        let asked = windows.map(|from| count(&requests, from));
        let asked = asked.into_iter().fold(0.0, f64::max);
        let sent = count(&retries, from);
        assert!(sent <= asked * 0.9 + 60.0, "{sent} of {asked} at {from}");
    }
    assert!(!retries.is_empty());
}

#[test]
fn the_additional_retries_are_shared_by_all_vms() {
    let start = BootInstant::now();
    let window = RetryWindow::new(BOUND, start);
    let now = start + BOUND.window;
    let taken = (0..100).filter(|_| window.try_retry(10, now)).count();
    assert!((1..=6).contains(&taken), "{taken}");
}

#[test]
fn requests_before_the_window_allow_no_retries() {
    let now = BootInstant::now();
    let window = RetryWindow::new(BOUND, now);
    for _ in 0..1000 {
        window.count_request(now);
    }
    assert!(window.allows_retry(1000, now));
    assert!(!window.allows_retry(1000, now + BOUND.window));
}

/// The attempts of a VM's previous incarnation still count in the window.
#[test]
fn restarted_vms_keep_to_the_retry_bound_together() {
    const VMS: usize = 6;
    let start = BootInstant::now();
    let mut retries = 0;
    let mut requests = 0;
    // All VMs are started anew three times within one window.
    for restart in 0..3_u64 {
        let began = start + Duration::from_secs(restart * 3);
        for _ in 0..VMS {
            let window = RetryWindow::new(BOUND, began);
            for step in 0..30 {
                let now = began + Duration::from_millis(step * 100);
                window.count_request(now);
                requests += 1;
                retries +=
                    (0..3).filter(|_| window.try_retry(VMS, now)).count();
            }
        }
    }
    let bound = 0.9 * f64::from(requests) + BOUND.extra;
    assert!(retries as f64 <= bound, "{retries} of {bound}");
}
