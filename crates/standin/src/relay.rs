//! A TCP relay that simulates the network between two processes: a delay in each
//! direction, connections that drop all bytes in one direction or both, and
//! partitions.

use crate::timer::Timer;
use bytes::Bytes;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
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

/// Whether a connection drops the bytes to the server, and those to the client.
type Silent = [AtomicBool; 2];

#[derive(Debug)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    delay: Duration,
    timer: Timer,
    /// The open connections, those that drop all bytes included.
    connections: Mutex<Vec<Weak<Silent>>>,
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
            connections: Mutex::default(),
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
        for connection in self.shared.lock_connections().iter() {
            silence(connection, [true; 2]);
        }
    }

    /// Does so on one of the open connections that have dropped nothing, if there is
    /// any, to the server, to the client or both; `choice` selects it.
    pub fn silence(&self, choice: usize, directions: [bool; 2]) {
        let connections = self.shared.lock_connections();
        let is_sound = |connection: &&Weak<Silent>| {
            let flags = connection.upgrade();
            flags.is_some_and(|flags| flags.iter().all(|flag| !flag.load(Ordering::SeqCst)))
        };
        let sound: Vec<_> = connections.iter().filter(is_sound).collect();
        if let Some(connection) = sound.get(choice % sound.len().max(1)) {
            silence(connection, directions);
        }
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

impl Shared {
    fn lock_connections(&self) -> MutexGuard<'_, Vec<Weak<Silent>>> {
        let connections = self.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }
}

fn silence(connection: &Weak<Silent>, directions: [bool; 2]) {
    // None if the connection has ended.
    for (flag, drops) in connection
        .upgrade()
        .iter()
        .flat_map(|silent| silent.iter().zip(directions))
    {
        flag.fetch_or(drops, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((client, _)) = listener.accept().await {
        let silent = Arc::new(Silent::default());
        {
            let mut connections = shared.lock_connections();
            connections.retain(|other| other.strong_count() > 0);
            connections.push(Arc::downgrade(&silent));
        }
        tokio::spawn(connect(client, shared.clone(), silent));
    }
}

async fn connect(client: TcpStream, shared: Arc<Shared>, silent: Arc<Silent>) {
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
    let to_server = forward(client_reader, server_writer, &shared, (&silent, 0));
    let to_client = forward(server_reader, client_writer, &shared, (&silent, 1));
    tokio::join!(to_server, to_client);
}

/// Forwards one direction. The end of the stream is delayed like its bytes.
async fn forward(
    mut reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    shared: &Arc<Shared>,
    (silent, direction): (&Arc<Silent>, usize),
) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let (timer, silent) = (shared.timer.clone(), silent.clone());
    let delivery = tokio::spawn(deliver(receiver, writer, timer, silent, direction));
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
    timer: Timer,
    silent: Arc<Silent>,
    direction: usize,
) {
    while let Some((due, bytes)) = chunks.recv().await {
        timer.until(due).await;
        if silent[direction].load(Ordering::SeqCst) {
            continue;
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
    if silent[direction].load(Ordering::SeqCst) {
        // A connection that drops all bytes does not forward its end either.
        std::future::pending::<()>().await;
    }
}
