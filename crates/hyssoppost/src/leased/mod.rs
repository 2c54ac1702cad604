//! The two processes for leased tasks, around [`kernel::dispatch`] and
//! [`kernel::guard`].

mod drive;
mod dump;
pub mod entry;
mod front;
mod record;
mod rules;
pub mod side;

use crate::settings;
use kernel::guard::Timing;
use std::{net::SocketAddr, time::Duration};
use tokio::sync::mpsc;
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

/// Sets the addresses of entries that a running process begins with.
#[derive(Debug, Clone)]
pub struct Entries<E>(mpsc::Sender<E>);

impl<E: From<Seeds>> Entries<E> {
    /// Sets the addresses.
    pub async fn set(&self, addresses: Vec<SocketAddr>) {
        // A process that has ended needs none.
        let _ = self.0.send(Seeds(addresses).into()).await;
    }
}

/// New addresses of entries to begin with.
#[derive(Debug)]
pub struct Seeds(Vec<SocketAddr>);

fn timing(lease: &settings::Lease) -> Timing {
    Timing::new(lease.longest, lease.resend, lease.stop)
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
