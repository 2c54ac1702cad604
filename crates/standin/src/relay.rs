//! A TCP relay that imitates the network between two processes: a delay in
//! each direction, connections that go silent, and partitions.

use crate::timer::Timer;
use bytes::Bytes;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::JoinHandle,
};

const CHUNK_BYTES: usize = 64 * 1024;

/// How often a pump that reads nothing looks whether it is cut off.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    delay: Duration,
    timer: Timer,
    connection: AtomicU64,
    blackholed: AtomicU64,
    partitioned: AtomicBool,
}

/// A running relay; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Opens a free loopback port with a one-way `delay`; it accepts and closes
    /// connections until it is aimed.
    pub async fn bind(delay: Duration, timer: &Timer) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(None),
            delay,
            timer: timer.clone(),
            connection: AtomicU64::new(0),
            blackholed: AtomicU64::new(0),
            partitioned: AtomicBool::new(false),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Sets where new connections lead; `None` refuses them.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self
            .shared
            .target
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all open connections swallow every byte from now on, without
    /// closing them; new connections work.
    pub fn blackhole(&self) {
        let last = self.shared.connection.load(Ordering::SeqCst);
        self.shared.blackholed.store(last, Ordering::SeqCst);
    }

    /// Cuts (`true`) or heals the network: open connections go silent for
    /// good, and new ones get no answer while the cut lasts.
    pub fn partition(&self, cut: bool) {
        if cut {
            self.blackhole();
        }
        self.shared.partitioned.store(cut, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((near, _)) = listener.accept().await {
        let number = shared.connection.fetch_add(1, Ordering::SeqCst) + 1;
        tokio::spawn(connect(near, shared.clone(), number));
    }
}

async fn connect(near: TcpStream, shared: Arc<Shared>, number: u64) {
    while shared.partitioned.load(Ordering::SeqCst) {
        tokio::time::sleep(PARTITION_POLL_INTERVAL).await;
    }
    let target = *shared.target.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(target) = target else { return };
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    let outward = pump(near_reader, far_writer, shared.clone(), number);
    let inward = pump(far_reader, near_writer, shared, number);
    tokio::join!(outward, inward);
}

/// Copies one direction; the end of the stream is delayed like its bytes.
async fn pump(mut reader: OwnedReadHalf, writer: OwnedWriteHalf, shared: Arc<Shared>, number: u64) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let delivery = tokio::spawn(deliver(receiver, writer, shared.clone(), number));
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = reader.read(&mut chunk).await {
        if count == 0 {
            break;
        }
        let due = Instant::now() + shared.delay;
        let bytes = Bytes::copy_from_slice(&chunk[..count]);
        if sender.send((due, bytes)).is_err() {
            break;
        }
    }
    drop(sender);
    // Delivery fails only with the connection.
    let _ = delivery.await;
}

async fn deliver(
    mut chunks: mpsc::UnboundedReceiver<(Instant, Bytes)>,
    mut writer: OwnedWriteHalf,
    shared: Arc<Shared>,
    number: u64,
) {
    while let Some((due, bytes)) = chunks.recv().await {
        shared.timer.until(due).await;
        if number <= shared.blackholed.load(Ordering::SeqCst) {
            continue;
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
    if number <= shared.blackholed.load(Ordering::SeqCst) {
        // A silent connection does not pass on its end either.
        std::future::pending::<()>().await;
    }
}
