//! The two processes for leased tasks, around [`kernel::dispatch`] and
//! [`kernel::guard`].

mod dump;
pub mod entry;
mod front;
mod record;
mod rules;
pub mod side;

use crate::settings;
use kernel::guard::Pace;
use std::time::Duration;
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
};

/// Events that wait for a process's task.
const INBOX: usize = 16_384;

/// Events handled before the actions that follow are carried out.
const BATCH: usize = 128;

/// Interval at which deadlines and silences are looked for.
const TICK: Duration = Duration::from_millis(20);

/// Time kept of a planned stop for the process's own end.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

fn pace(lease: &settings::Lease) -> Pace {
    Pace::new(lease.longest, lease.resend, lease.stop)
}

fn hello(common: &settings::Common, role: Role, address: String) -> Hello {
    Hello {
        version: VERSION,
        role,
        name: common.name.clone(),
        incarnation: Incarnation(rand::random()),
        domain: common.domain.clone(),
        rack: String::new(),
        address,
        number: 0,
        nonce: 0,
    }
}
