//! Open jobs hold no more memory than the bound: a short document may have many tasks.

mod site;

use kernel::dispatch::{Action, Answer, Dispatcher, Reason, Submission};
use site::{HOST, PATH, job, rules, timing};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);
const RUN: Duration = Duration::from_millis(100);
const CPU: u32 = 10;
const LIMIT: usize = 1 << 20;
/// More tasks than [`LIMIT`] has room for.
const MANY: u16 = 60_000;

fn entry(has_rules: bool) -> Dispatcher {
    let mut entry = Dispatcher::new(NOW, "d0", timing(), 1);
    entry.set_job_memory(LIMIT);
    if has_rules {
        entry.adopt(NOW, &rules(1, &[]), None);
    }
    entry
}

/// Returns whether a job is refused for its memory.
fn is_refused(entry: &mut Dispatcher, submission: Submission) -> bool {
    entry.submit(NOW, submission.job, HOST, PATH, submission);
    let mut actions = entry.take_actions().into_iter();
    actions.any(|action| {
        let is_for_memory = |reason| reason == Reason::Memory || reason == Reason::NoRules;
        matches!(action, Action::Answer(_, Answer::Refused { reason, .. }) if is_for_memory(reason))
    })
}

#[test]
fn large_job_refused() {
    for has_rules in [false, true] {
        let mut entry = entry(has_rules);
        assert!(is_refused(&mut entry, job(1, MANY, CPU, RUN)));
        assert_eq!(entry.job_memory(), 0);
        assert!(!is_refused(&mut entry, job(2, 2, CPU, RUN)), "{has_rules}");
    }
}

#[test]
fn bound_reached_and_freed() {
    let mut entry = entry(true);
    let accepted = (1..1_000).take_while(|id| !is_refused(&mut entry, job(*id, 100, CPU, RUN)));
    let accepted = accepted.count();
    assert!(accepted > 10, "{accepted} jobs");
    let full = entry.job_memory();
    assert!(full <= LIMIT && full > LIMIT / 2, "{full} bytes");
    entry.cancel(NOW, 5_000, 1);
    assert!(entry.job_memory() < full);
    assert!(!is_refused(&mut entry, job(2_000, 100, CPU, RUN)));
    entry.give_up_all(NOW);
    assert_eq!(entry.job_memory(), 0);
}
