use super::*;

/// Number of tasks that panic.
const PANICKING_TASKS: usize = 50;

/// Timeout for a task that only returns a number.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A panic in one request must not end the thread that runs others.
#[test]
fn a_panicking_task_does_not_stop_others() {
    let total = block_on(async {
        for _ in 0..PANICKING_TASKS {
            let panicking: Task<()> =
                spawn(async { panic!("a bug in this program") });
            panicking.detach();
        }
        let tasks =
            (0..PANICKING_TASKS).map(|number| spawn(async move { number }));
        let tasks: Vec<Task<usize>> = tasks.collect();
        let mut sum = 0;
        for task in tasks {
            sum += within(TIMEOUT, task).await.expect("the task completes");
        }
        sum
    });
    assert_eq!(total, (0..PANICKING_TASKS).sum::<usize>());
}
