//! Causes of a job's outcome, from the log lines of several processes.

use hyssopctl::trace::{cause, parse_matching};

const JOB: &str = "b29852c7766e0bc2";

fn outcome_cause(lines: &[&str]) -> String {
    let mut parsed: Vec<_> = lines
        .iter()
        .filter_map(|line| parse_matching(line, JOB, "file.log"))
        .collect();
    parsed.sort_by(|left, right| left.time.cmp(&right.time));
    cause(&parsed)
}

#[test]
fn refused_kinds() {
    let line = |held: u32| {
        format!(
            "time=2026-08-29T17:47:05.570Z level=WARN event=refused job={JOB} reason=overload \
             wait_ms=175 useful_ms=181 held_ms={held} ran=no"
        )
    };
    let expected = "not run: overload; expected wait 175 ms, answer useful for 181 ms";
    assert_eq!(
        outcome_cause(&[&line(0)]),
        format!("refused at once, {expected}")
    );
    assert_eq!(
        outcome_cause(&[&line(171)]),
        format!("refused after 171 ms, {expected}")
    );
}

#[test]
fn moved_run() {
    let text = outcome_cause(&[
        "2.3 e1 time=2026-07-25T07:38:14.643Z level=WARN event=answered job=b29852c7766e0bc2 \
         queue=r state=completed took_ms=482 objective_ms=200 reruns=1",
        "2.1 e1 time=2026-07-25T07:38:14.451Z level=WARN event=moved \
         run=b29852c7766e0bc2.0.0.6/1 side=bb6b elapsed_ms=285 percent=36 still_ms=0",
        "2.2 e1 time=2026-07-25T07:38:14.486Z level=INFO event=ended \
         run=b29852c7766e0bc2.0.0.6/1 side=bb6b ending=stopped spent_ms=320",
        "2.2 e1 time=2026-07-25T07:38:14.486Z level=INFO event=placed \
         run=b29852c7766e0bc2.0.0.6/2 side=cd7a way=Room room_mcpu=8 age_ms=13 waited_ms=324",
        "2.0 e1 time=2026-07-25T07:38:14.486Z level=INFO event=placed run=0000000000000000.0.0.6/2",
    ]);
    assert_eq!(
        text,
        "completed late: 482 ms of 200 ms; run b29852c7766e0bc2.0.0.6/1 reached 36 % in 285 ms \
         at side bb6b and was moved; 1 runs ended as stopped after 320 ms in total; last task \
         placed after 324 ms"
    );
}

/// Guards against the answer "failed" without the crashes that led to it.
#[test]
fn crashed_upstreams() {
    let text = outcome_cause(&[
        "2.1 e1 time=2026-07-25T07:38:14.451Z level=WARN event=culprit \
         task=b29852c7766e0bc2.0.0.0 job=b29852c7766e0bc2 queue=r crashes=2 suspicions=2",
        "2.2 e1 time=2026-07-25T07:38:14.452Z level=WARN event=answered job=b29852c7766e0bc2 \
         queue=r state=failed took_ms=42 objective_ms=200 ran_ms=0 reruns=1",
    ]);
    assert_eq!(
        text,
        "failed: 2 upstreams crashed with task b29852c7766e0bc2.0.0.0, 2 of them shortly after \
         its start"
    );
}

#[test]
fn line_parts() {
    let text = "7.85 e1 time=T level=WARN event=refused job=b29852c7766e0bc2 out=\"a,b\"";
    let line = parse_matching(text, JOB, "file.log").unwrap();
    assert_eq!(
        (line.process.as_str(), line.event.as_str()),
        ("e1", "refused")
    );
    assert_eq!(line.get("out"), Some("a,b"));
    let bare = parse_matching("time=T event=x job=b29852c7766e0bc2", JOB, "file.log").unwrap();
    assert_eq!(
        bare.process, "file.log",
        "the file's name without a collector's prefix"
    );
    assert!(parse_matching("time=T event=x job=1", JOB, "f").is_none());
}

/// Guards against the refusal of one owner taken for the outcome of a job that was
/// then forwarded to another.
#[test]
fn forwarded_job() {
    let forwarded = |at: u32, peer: &str| {
        format!("2.0 e0 time=T{at} level=INFO event=job_forwarded job={JOB} peer={peer}")
    };
    let taken = |at: u32, entry: &str| {
        format!("2.1 {entry} time=T{at} level=INFO event=job_taken_over job={JOB} from=0a")
    };
    let refused = format!(
        "2.2 e1 time=T3 level=WARN event=refused job={JOB} reason=leaving wait_ms=0 \
         useful_ms=300 held_ms=0 ran=no"
    );
    let answered = format!(
        "2.3 e2 time=T6 level=INFO event=answered job={JOB} state=completed took_ms=90 \
         objective_ms=200"
    );
    let (first, second) = (forwarded(1, "1b"), forwarded(4, "2c"));
    let (by_first, by_second) = (taken(2, "e1"), taken(5, "e2"));
    let all = [&first, &by_first, &refused, &second, &by_second, &answered];
    assert_eq!(
        outcome_cause(&all.map(String::as_str)),
        "completed in time: 90 ms of 200 ms; taken over by e1 from 0a; taken over by e2 from 0a"
    );
    let text = outcome_cause(&all.map(String::as_str)[..3]);
    assert!(
        text.starts_with("refused at once, not run: leaving"),
        "{text}"
    );
    let lost = format!(
        "2.4 e0 time=T6 level=WARN event=forward_lost job={JOB} peer=2c held_ms=540 ran=maybe"
    );
    let lines = [&second, &by_second, &lost].map(String::as_str);
    assert_eq!(
        outcome_cause(&lines),
        "owner 2c lost after 540 ms; a task may have run; taken over by e2 from 0a"
    );
}
