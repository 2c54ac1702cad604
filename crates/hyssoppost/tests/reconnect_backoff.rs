//! Dials to a process that accepts connections but whose frames are not handled
//! must become rarer. Sides used to dial anew without growing pauses, which kept a
//! machine with too few processors busy with handshakes.

use hyssoppost::link::{self, Event, Joined, Local};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    proof::Keyring,
};

const CONNECTIONS: usize = 6;

/// Sum of the shortest pauses between [`CONNECTIONS`] attempts if each pause is
/// twice as long as the one before; without growth, the longest add up to 250 ms.
const GROWING_PAUSES: Duration = Duration::from_millis(25 + 50 + 100 + 200 + 400);

fn local(role: Role, incarnation: u64) -> Local {
    let hello = Hello {
        version: VERSION,
        role,
        name: format!("{role:?}"),
        incarnation: Incarnation(incarnation),
        domain: String::new(),
        rack: String::new(),
        address: String::new(),
        processor: 0,
        number: 0,
        nonce: 0,
    };
    Local::new(hello, Keyring::new("key-key-key-key-key", None))
}

async fn next_joined(events: &mut mpsc::Receiver<Event>) -> Joined {
    loop {
        if let Event::Joined(joined) = events.recv().await.expect("the link goes on") {
            return joined;
        }
    }
}

/// Returns the time from the first to the last of [`CONNECTIONS`] connections, all
/// of which the acceptor closes. With `handled`, the dialling process handles a
/// frame of each.
async fn time_of_connections(handled: bool) -> Duration {
    let listener = link::listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (accepted, mut accepts) = mpsc::channel::<Event>(64);
    let acceptor = tokio::spawn(link::accept(listener, local(Role::Entry, 1), accepted));
    let (dialled, mut dials) = mpsc::channel::<Event>(64);
    let dialer = link::dial(address, local(Role::Side, 2), dialled);
    let mut first = None;
    for _ in 0..CONNECTIONS {
        let joined = next_joined(&mut dials).await;
        first.get_or_insert_with(Instant::now);
        if handled {
            joined.link.activity().record_frame();
        }
        next_joined(&mut accepts).await.link.close();
    }
    dialer.abort();
    acceptor.abort();
    first.expect("there are connections").elapsed()
}

#[tokio::test]
async fn dials_become_rarer() {
    let time = time_of_connections(false).await;
    assert!(time >= GROWING_PAUSES, "{CONNECTIONS} in {time:?}");
}

/// Guards against late dials to a process that works and restarts: the pauses
/// start anew after each connection that was used.
#[tokio::test]
async fn used_connections_redialled() {
    // A busy machine may delay a dial, but hardly each one of ten attempts.
    for _ in 0..10 {
        if time_of_connections(true).await < GROWING_PAUSES {
            return;
        }
    }
    panic!("the pauses grow after used connections");
}
