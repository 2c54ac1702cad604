//! What an entry that sees some of the sides assumes of all, and how often it tells
//! them of new entries (folia-cluj-large: 35 entries, 8 of them at each side).

mod site;

use kernel::dispatch::{Action, Answer, Dispatcher};
use site::{HOST, PATH, SERVICE, job, rules, timing};
use std::time::Duration;
use wire::{
    frame::{Endpoint, Hello, Role, VERSION},
    id::Incarnation,
    lease::{Frame, Heartbeat, Need, Share, Status, Upstream},
};

const SIDE: Incarnation = Incarnation(7);
const PEER: Incarnation = Incarnation(8);
const RUN: Duration = Duration::from_millis(100);
const NOW: Duration = Duration::from_secs(10);
const CAPACITY: Need = Need {
    cpu: 4_000,
    memory: 65_536,
    accelerators: 0,
};

fn hello(role: Role, incarnation: Incarnation) -> Hello {
    Hello {
        version: VERSION,
        role,
        name: format!("p{incarnation}"),
        incarnation,
        domain: "d0".to_owned(),
        rack: String::new(),
        address: String::new(),
        processor: 0,
        number: 0,
        nonce: 0,
    }
}

/// Makes an entry with one full side, which serves two entries.
fn entry() -> Dispatcher {
    let mut entry = Dispatcher::new(NOW, "d0", timing(), 1);
    entry.adopt(NOW, &rules(1, &[]), None);
    entry.join_side(NOW, &hello(Role::Side, SIDE));
    let upstream = Upstream {
        id: "u".to_owned(),
        service: SERVICE.to_owned(),
        labels: Vec::new(),
        capacity: CAPACITY,
    };
    let status = Status {
        clock: 10_000,
        received: 0,
        free: Need::default(),
        accepting: true,
        out: false,
        runs: 4,
        entries: 2,
        rate: 1_000,
    };
    entry.frame(NOW, SIDE, Frame::Upstream(Some(upstream)));
    entry.frame(NOW, SIDE, Frame::OpenRuns(Vec::new()));
    entry.frame(NOW, SIDE, Frame::Status(status));
    entry
}

/// Returns whether a job is accepted while another entry reports waiting work of
/// 8 core-seconds, and a share of the hosts of `cores`.
fn is_accepted(cores: u64) -> bool {
    let mut entry = entry();
    entry.join_entry(NOW, &hello(Role::Entry, PEER));
    let share = Share {
        total: cores * 1_000,
        free: 0,
    };
    let heartbeat = Heartbeat {
        lateness: 0,
        clock: 1,
        echo: 0,
        revision: 1,
        digest: 0,
        pending: Vec::new(),
        waiting: vec![(0, 8_000)],
        arriving: Vec::new(),
        shares: vec![(SERVICE.to_owned(), share)],
        leaving: false,
    };
    entry.frame(NOW, PEER, Frame::Heartbeat(heartbeat));
    entry.submit(NOW, 1, HOST, PATH, job(1, 1, 1_000, RUN));
    let actions = entry.take_actions();
    !actions
        .iter()
        .any(|action| matches!(action, Action::Answer(1, Answer::Refused { .. })))
}

#[test]
fn waiting_work_against_all_hosts() {
    assert!(!is_accepted(2), "8 core-seconds wait for 4 cores");
    assert!(is_accepted(98), "8 core-seconds wait for 100 cores");
}

#[test]
fn entries_announced_together() {
    let mut entry = entry();
    entry.take_actions();
    let mut entries: Vec<Endpoint> = Vec::new();
    let mut sent = 0;
    let mut now = NOW;
    let mut last_count = 0;
    for index in 0..35 {
        entries.push(Endpoint {
            name: format!("e{index:02}"),
            address: format!("10.0.0.{index}:7100"),
            processor: 0,
        });
        entry.set_entries(&entries);
        now += Duration::from_millis(20);
        entry.tick(now);
        for action in entry.take_actions() {
            if let Action::Send((SIDE, Frame::Entries(list))) = action {
                sent += 1;
                last_count = list.len();
            }
        }
    }
    assert!(sent <= 4, "{sent} lists in 0.7 s");
    entry.tick(now + Duration::from_millis(300));
    for action in entry.take_actions() {
        if let Action::Send((SIDE, Frame::Entries(list))) = action {
            last_count = list.len();
        }
    }
    assert_eq!(last_count, 35, "the side learns of all entries");
}
