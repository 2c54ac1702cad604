//! A TCP relay that simulates the network between two processes: a delay in each
//! direction, connections that drop all bytes, and partitions.

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

/// Interval at which a new connection checks whether the partition has ended.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    delay: Duration,
    timer: Timer,
    connections: AtomicU64,
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
    /// Listens on a free loopback port and delays each direction by `delay`.
    /// Closes connections at once until a target is set. Fails if the port can't
    /// be bound.
    pub async fn bind(delay: Duration, timer: &Timer) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(None),
            delay,
            timer: timer.clone(),
            connections: AtomicU64::new(0),
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

    /// Sets the address to which new connections are forwarded; with `None` they
    /// are closed at once.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self
            .shared
            .target
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all further bytes on the open connections without closing them. New
    /// connections work.
    pub fn blackhole(&self) {
        let last = self.shared.connections.load(Ordering::SeqCst);
        self.shared.blackholed.store(last, Ordering::SeqCst);
    }

    /// Starts (`true`) or ends a partition. Connections open at its start drop
    /// all further bytes, also after its end; new ones get no answer until it
    /// ends.
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
    while let Ok((client, _)) = listener.accept().await {
        let number = shared.connections.fetch_add(1, Ordering::SeqCst) + 1;
        tokio::spawn(connect(client, shared.clone(), number));
    }
}

async fn connect(client: TcpStream, shared: Arc<Shared>, number: u64) {
    while shared.partitioned.load(Ordering::SeqCst) {
        tokio::time::sleep(PARTITION_POLL_INTERVAL).await;
    }
    let target = *shared.target.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(target) = target else { return };
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let to_server = forward(client_reader, server_writer, shared.clone(), number);
    let to_client = forward(server_reader, client_writer, shared, number);
    tokio::join!(to_server, to_client);
}

/// Forwards one direction. The end of the stream is delayed like its bytes.
async fn forward(
    mut reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    shared: Arc<Shared>,
    number: u64,
) {
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
    // Delivery ends early only when the connection is closed.
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
        // A connection that drops all bytes does not forward its end either.
        std::future::pending::<()>().await;
    }
}
