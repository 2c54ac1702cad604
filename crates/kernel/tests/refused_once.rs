//! A refused connection to an upstream that lives: a reset may meet the attempt.

mod site;

use kernel::mutation::{self, Mutant};
use site::{Site, job};
use std::time::Duration;

/// Longer than everything that bounds a run that is left behind.
const RUN: Duration = Duration::from_secs(4);

/// Starts runs, and has the connection of one call to their upstream refused; every step
/// asserts that no task has two runs.
fn refuse_one_call(waited: Duration) -> Site {
    let mut site = Site::new(1, 3);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    site.submit(0, job(1, 6, 1_000, RUN));
    site.run(waited);
    let busy = |stub: &&mut site::upstream::Stub| stub.running().next().is_some();
    let stub = site.upstreams.iter_mut().find(busy).expect("a run");
    stub.call_faults.refuses_next = true;
    site.run(RUN);
    site
}

/// Guards against a side that takes one refused connection as the end of the upstream's
/// process, and reports the runs in progress there as over.
#[test]
fn refused_hold_beside_runs() {
    for waited in [20, 200, 1_000] {
        let site = refuse_one_call(Duration::from_millis(waited));
        let starts: usize = site.upstreams.iter().map(|stub| stub.starts.len()).sum();
        assert_eq!(starts, 6, "tasks started again after {waited} ms");
    }
    mutation::seed(Some(Mutant::RefusedOnce));
    let outcome = std::panic::catch_unwind(|| refuse_one_call(Duration::from_millis(200)));
    mutation::seed(None);
    assert!(outcome.is_err(), "the mutant is not found");
}
