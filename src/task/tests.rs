use super::*;

/// Tasks that end for a fault of this program.
const FAULTY: usize = 50;

/// Longest time for a task that only answers.
const LIMIT: Duration = Duration::from_secs(5);

/// One request that panics must not end the thread that others run on.
#[test]
fn a_task_that_panics_ends_alone() {
    let answered = block_on(async {
        for _ in 0..FAULTY {
            let faulty: Task<()> =
                spawn(async { panic!("a fault of this program") });
            faulty.detach();
        }
        let answers = (0..FAULTY).map(|number| spawn(async move { number }));
        let answers: Vec<Task<usize>> = answers.collect();
        let mut sum = 0;
        for answer in answers {
            sum += within(LIMIT, answer).await.expect("it is answered");
        }
        sum
    });
    assert_eq!(answered, (0..FAULTY).sum::<usize>());
}
