//! A job whose customer has left an entry without its knowing, and has submitted the job
//! again at another one.

mod site;

use kernel::{
    dispatch::{Answer, Phase},
    mutation::{self, Mutant},
};
use site::{Site, job};
use std::time::Duration;

/// Shortest time after which a customer submits a job again.
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Longer than that, so that both entries have runs at a time.
const RUN: Duration = Duration::from_secs(3);
const TASK_CPU: u32 = 1_000;
/// Number of such tasks for which the site has room.
const ROOM: u16 = 12;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Makes a site whose entries are connected and equally strong.
fn linked_site() -> Site {
    let mut site = Site::with_processors(&[1_000, 1_000, 1_000], 3);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    site
}

/// Submits a job of `tasks` tasks whose customer waits for `patience`.
fn submit(site: &mut Site, entry: usize, id: u64, tasks: u16, patience: Duration) -> u64 {
    let mut submission = job(id, tasks, TASK_CPU, RUN);
    submission.patience = patience;
    site.submit(entry, submission)
}

/// Has a customer leave unnoticed and submit its job again with as much patience as it
/// states; the site asserts that no task has two runs at a time.
fn unnoticed(patience: Duration) {
    let mut site = linked_site();
    let former = submit(&mut site, 0, 1, 6, ms(20_000));
    site.run(RESUBMIT_AFTER);
    let customer = submit(&mut site, 1, 1, 6, patience);
    site.run(RUN + ms(500));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert!(matches!(site.answers[&former].1, Answer::Unknown));
}

// Guards against two runs of a task where an entry never notices that a customer has left.
#[test]
fn running_job() {
    unnoticed(ms(20_000));
}

// The same where the customer states the time that is left.
#[test]
fn less_patience() {
    unnoticed(ms(18_700));
}

// Guards against an entry that starts a job when room comes, after its customer has left.
#[test]
fn waiting_job() {
    let mut site = linked_site();
    for stub in &mut site.upstreams {
        stub.run_time = RESUBMIT_AFTER.saturating_sub(ms(20));
    }
    submit(&mut site, 0, 1, ROOM, ms(20_000));
    submit(&mut site, 0, 2, 4, ms(20_000));
    site.run(RESUBMIT_AFTER);
    let customer = submit(&mut site, 1, 2, 4, ms(20_000));
    site.run(RUN);
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

// The same where the former entry has passed the job on.
#[test]
fn forwarded_job() {
    let mut site = Site::with_processors(&[1_000, 1_000, 120], 3);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    submit(&mut site, 2, 1, 6, ms(20_000));
    site.run(RESUBMIT_AFTER);
    let open_jobs = |index: &usize| site.entries[*index].as_ref().unwrap().open_jobs();
    let other = (0..2).find(|index| open_jobs(index) == 0).unwrap();
    let customer = submit(&mut site, other, 1, 6, ms(20_000));
    site.run(RUN + ms(500));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

// Guards against a start while the former entry's runs go on, since its stops stay
// unanswered.
#[test]
fn unanswered_stops() {
    let mut site = linked_site();
    submit(&mut site, 0, 1, 6, ms(20_000));
    site.run(RESUBMIT_AFTER);
    for stub in &mut site.upstreams {
        stub.call_faults.hung.stops = 1.0;
    }
    let customer = submit(&mut site, 1, 1, 6, ms(20_000));
    site.run(RUN + ms(1_500));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

// Guards against a wait without end for an entry that is lost before it replies.
#[test]
fn lost_holder() {
    let mut site = linked_site();
    submit(&mut site, 0, 1, 6, ms(20_000));
    site.run(ms(1_100));
    site.frozen_entries[0] = true;
    site.run(RESUBMIT_AFTER.saturating_sub(ms(1_100)));
    let customer = submit(&mut site, 1, 1, 6, ms(20_000));
    site.run(ms(700) + site.timing.run_expiry() + RUN);
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

// Guards against a wait for an entry that is known to be lost for long enough.
#[test]
fn killed_holder() {
    let mut site = linked_site();
    submit(&mut site, 0, 1, 6, ms(20_000));
    site.run(ms(1_100));
    site.kill_entry(0, true);
    site.run(RESUBMIT_AFTER);
    submit(&mut site, 1, 1, 6, ms(20_000));
    site.run(ms(50));
    let running = site.upstreams.iter().map(|stub| stub.running().count());
    assert_eq!(running.sum::<usize>(), 6);
}

// Guards against a refusal that says "not run" of a job that another entry has run.
#[test]
fn refused_here() {
    let mut site = linked_site();
    submit(&mut site, 0, 1, 6, ms(20_000));
    site.run(RESUBMIT_AFTER);
    let exit = site.now + ms(100);
    site.entries[1].as_mut().unwrap().leave(exit);
    let customer = submit(&mut site, 1, 1, 6, ms(20_000));
    assert!(matches!(site.answers[&customer].1, Answer::Unknown));
}

// Guards against a paused entry that reads a request after its customer has left, and takes
// it for the later submission.
#[test]
fn unread_in_pause() {
    for resumed_after in [-200, 10, 50, 700] {
        let mut site = linked_site();
        site.frozen_entries[0] = true;
        let again = i64::try_from(RESUBMIT_AFTER.as_millis()).unwrap() + 20;
        let resumes = u64::try_from(again + resumed_after).unwrap();
        let customer = if resumed_after < 0 {
            site.run(ms(resumes));
            site.frozen_entries[0] = false;
            submit(&mut site, 0, 1, 6, ms(20_000));
            site.run(ms(again.unsigned_abs() - resumes));
            submit(&mut site, 1, 1, 6, ms(20_000))
        } else {
            site.run(ms(again.unsigned_abs()));
            let customer = submit(&mut site, 1, 1, 6, ms(20_000));
            site.run(ms(resumed_after.unsigned_abs()));
            site.frozen_entries[0] = false;
            submit(&mut site, 0, 1, 6, ms(20_000));
            customer
        };
        site.run(RUN + ms(1_500));
        assert_eq!(
            site.state(customer),
            Some(Phase::Completed),
            "{resumed_after}"
        );
    }
}

// Guards against an earlier submission, read late, that takes the job from the later one.
#[test]
fn earlier_read_late() {
    let mut site = linked_site();
    let customer = submit(&mut site, 1, 1, 6, ms(18_700));
    site.run(ms(1_100));
    let former = submit(&mut site, 0, 1, 6, ms(20_000));
    site.run(RUN);
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert!(matches!(site.answers[&former].1, Answer::Unknown));
}

#[test]
fn seeded_bugs_found() {
    let directed: [fn(); 4] = [running_job, less_patience, waiting_job, forwarded_job];
    for (number, test) in directed.into_iter().enumerate() {
        mutation::seed(Some(Mutant::TwoHolders));
        let passed = std::panic::catch_unwind(test).is_ok();
        mutation::seed(None);
        assert!(!passed, "not found by test {number}");
    }
}
