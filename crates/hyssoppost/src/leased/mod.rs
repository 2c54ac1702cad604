//! The entry and side processes for leased tasks, built on
//! [`kernel::dispatch`] and [`kernel::guard`].

mod admission;
mod availability;
mod barrier;
mod dump;
pub mod entry;
mod event;
mod event_loop;
mod frontend;
mod rules;
pub mod side;
mod telemetry;

use crate::settings;
use kernel::guard::Timing;
use std::{net::SocketAddr, time::Duration};
use tokio::sync::mpsc;
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
};

/// Capacity of a process's event queue, in events.
const EVENT_QUEUE_CAPACITY: usize = 16_384;

/// Interval at which deadlines and silent connections are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Part of the drain time that is reserved for shutting down the listeners and
/// the process itself.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Replaces the seeds of a running process.
#[derive(Debug, Clone)]
pub struct SeedSender<E>(mpsc::Sender<E>);

impl<E: From<Seeds>> SeedSender<E> {
    /// Replaces all seeds; the process connects to new ones at once.
    pub async fn replace(&self, addresses: Vec<SocketAddr>) {
        // The send fails only if the process has ended and needs no seeds.
        let _ = self.0.send(Seeds(addresses).into()).await;
    }
}

/// Addresses of entries to which a process connects without discovery.
#[derive(Debug)]
pub struct Seeds(Vec<SocketAddr>);

fn timing(lease: &settings::Lease) -> Timing {
    Timing::new(lease.max_lease, lease.resubmit_after, lease.stop_timeout)
}

fn hello(common: &settings::Common, role: Role, address: String, processor: u32) -> Hello {
    Hello {
        version: VERSION,
        role,
        name: common.name.clone(),
        incarnation: Incarnation(rand::random()),
        domain: common.domain.clone(),
        rack: String::new(),
        address,
        processor,
        number: 0,
        nonce: 0,
    }
}
