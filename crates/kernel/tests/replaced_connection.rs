//! A connection that is replaced in the turn in which its last frame is handled.

mod site;

use kernel::mutation::{self, Mutant};
use site::{Site, job};
use std::time::Duration;

/// Longer than everything that bounds a run that is left behind.
const RUN: Duration = Duration::from_secs(4);

fn replace_after_claim() {
    let mut site = Site::new(1, 2);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    let mut short = job(1, 8, 1_000, Duration::from_millis(300));
    "ms=300".clone_into(&mut short.input);
    site.submit(0, short);
    site.submit(0, job(2, 4, 1_000, RUN));
    site.run(Duration::from_millis(250));
    // Less than what counts as a pause. The side claims tasks meanwhile, closes its end of
    // the connection and connects again.
    site.frozen_entries[0] = true;
    site.run(Duration::from_millis(80));
    site.close_end(0, 0, false);
    site.run(Duration::from_millis(110));
    site.frozen_entries[0] = false;
    site.run(RUN);
}

/// Guards against an entry that sends an order on the new connection and counts it as lost
/// with the old one, since the list that the side sends first doesn't have it.
#[test]
fn claim_before_replacement() {
    replace_after_claim();
    mutation::seed(Some(Mutant::LateFrame));
    let outcome = std::panic::catch_unwind(replace_after_claim);
    mutation::seed(None);
    assert!(outcome.is_err(), "the mutant is not found");
}
