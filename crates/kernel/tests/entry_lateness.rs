//! What the dispatcher does differently while the entry's event loop is late, and
//! with jobs that have waited in the entry's own queue.

mod site;

use kernel::dispatch::{Action, Answer, Dispatcher, Phase, Reason};
use site::{HOST, PATH, Site, job, rules, timing};
use std::time::Duration;
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    lease::{Frame, Need, Status},
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn submit_arrived(site: &mut Site, waited: Duration, customer: u64, submission_id: u64) {
    let mut submission = job(submission_id, 1, 1_000, ms(200));
    submission.patience = ms(1_500);
    let now = site.now;
    let entry = site.entries[0].as_mut().expect("it runs");
    entry.submit_arrived(
        now,
        now.saturating_sub(waited),
        customer,
        HOST,
        PATH,
        submission,
    );
}

/// Guards against placement work for a job that its own entry has kept waiting for
/// too long: it is refused at once, and reported as not run.
#[test]
fn job_overtaken_by_time() {
    let mut site = Site::new(1, 3);
    let events = |site: &mut Site| site.entries[0].as_mut().expect("it runs").take_events();
    events(&mut site);
    submit_arrived(&mut site, ms(1_400), 9_001, 77);
    let entry = site.entries[0].as_mut().expect("it runs");
    let actions = entry.take_actions();
    assert!(
        matches!(
            actions[..],
            [Action::Answer(
                9_001,
                Answer::Refused {
                    reason: Reason::EntryLate,
                    ..
                }
            )]
        ),
        "{actions:?}"
    );
    assert!(!entry.knows(77));
    assert_eq!(entry.open_jobs(), 0);
}

/// The objective and the patience count from a job's arrival: a job that has waited
/// for 600 ms is late, and is still completed.
#[test]
fn job_counts_from_arrival() {
    let mut site = Site::new(1, 3);
    submit_arrived(&mut site, ms(600), 9_001, 77);
    assert!(site.entries[0].as_ref().expect("it runs").knows(77));
    site.run(ms(400));
    assert_eq!(site.state(9_001), Some(Phase::Completed));
    let entry = site.entries[0].as_mut().expect("it runs");
    let texts: Vec<String> = entry
        .take_events()
        .iter()
        .map(ToString::to_string)
        .filter(|text| text.starts_with("event=answered"))
        .collect();
    let took: u64 = texts[0]
        .split(" took_ms=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next())
        .and_then(|text| text.parse().ok())
        .expect("a number");
    assert!((650..1_000).contains(&took), "{took}");
}

/// A job that has ended is answered with its state, however late the request is.
#[test]
fn resubmission_after_wait() {
    let mut site = Site::new(1, 3);
    submit_arrived(&mut site, Duration::ZERO, 9_001, 77);
    site.run(ms(400));
    submit_arrived(&mut site, ms(5_000), 9_002, 77);
    site.run(ms(10));
    assert_eq!(site.state(9_002), Some(Phase::Completed));
}

/// Counts the echoes to a side that reports every 10 ms, in 2 s; returns the longest
/// time between two as well.
fn echoes(lateness: Duration, thin: bool) -> (usize, Duration) {
    let start = Duration::from_secs(1_000);
    let mut entry = Dispatcher::new(start, "d0", timing(), 1);
    let side = Hello {
        role: Role::Side,
        ..peer(3)
    };
    entry.join_side(start, &side);
    entry.frame(start, side.incarnation, Frame::OpenRuns(Vec::new()));
    entry.set_lateness(lateness, thin);
    assert_eq!(entry.lateness(), lateness);
    let mut sent = vec![start];
    for step in 1..=200 {
        let now = start + ms(10) * step;
        let status = Status {
            clock: kernel::millis(now),
            received: 0,
            free: Need::default(),
            accepting: true,
            out: false,
            runs: 0,
            entries: 1,
            rate: 1_000,
        };
        entry.frame(now, side.incarnation, Frame::Status(status));
        if step % 2 == 0 {
            entry.tick(now);
        }
        let is_echo = |action: &Action| matches!(action, Action::Send((_, Frame::Echo(_))));
        if entry.take_actions().iter().any(is_echo) {
            sent.push(now);
        }
    }
    let gaps = sent.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    (sent.len() - 1, gaps.max().unwrap_or_default())
}

/// Echoes are less frequent while the loop is late, but together with the lateness
/// they never leave a side without one for its limit on silence.
#[test]
fn thin_echoes() {
    let (usual, _) = echoes(Duration::ZERO, false);
    for lateness in [100, 200, 300, 600].map(ms) {
        let (count, gap) = echoes(lateness, true);
        assert!(count <= usual);
        assert!(gap <= ms(220), "{gap:?}");
        if lateness < timing().max_silence().saturating_sub(ms(100)) {
            assert!(gap + lateness < timing().max_silence(), "{gap:?}");
        }
    }
    let (thinned, _) = echoes(ms(100), true);
    assert!(thinned * 3 < usual * 2, "{thinned} of {usual}");
}

fn peer(number: u64) -> Hello {
    Hello {
        version: VERSION,
        role: Role::Entry,
        name: format!("entry-{number}"),
        incarnation: Incarnation(number),
        domain: "d0".to_owned(),
        rack: String::new(),
        address: String::new(),
        number: 1,
        nonce: 0,
        processor: 0,
    }
}

/// Other entries learn the lateness from heartbeats, which are half as frequent
/// while the loop is late; it is forgotten with the connection.
#[test]
fn lateness_in_heartbeats() {
    let start = Duration::from_secs(1_000);
    let mut late = Dispatcher::new(start, "d0", timing(), 1);
    late.adopt(start, &rules(1, &[]), None);
    late.join_entry(start, &peer(2));
    let mut other = Dispatcher::new(start, "d0", timing(), 2);
    other.join_entry(start, &peer(1));
    let mut heartbeats = |late: &mut Dispatcher, from: Duration| {
        let mut count = 0;
        for step in 1..=100 {
            let now = from + ms(20) * step;
            late.tick(now);
            for action in late.take_actions() {
                if let Action::Send((_, frame @ Frame::Heartbeat(_))) = action {
                    other.frame(now, Incarnation(1), frame);
                    count += 1;
                }
            }
        }
        (count, other.peer_lateness(Incarnation(1)))
    };
    assert_eq!(heartbeats(&mut late, start), (10, Some(Duration::ZERO)));
    late.set_lateness(ms(150), true);
    let later = start + Duration::from_secs(2);
    assert_eq!(heartbeats(&mut late, later), (5, Some(ms(150))));
    other.lose_entry(later + Duration::from_secs(2), Incarnation(1));
    assert_eq!(other.peer_lateness(Incarnation(1)), None);
}
