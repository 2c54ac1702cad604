//! A TCP relay that simulates the network between two processes: a delay in each
//! direction, connections that drop all bytes in one direction or both, and
//! partitions.

use crate::timer::Timer;
use bytes::Bytes;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak,
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

#[derive(Debug, Default)]
struct Connection {
    /// Whether it drops the bytes to the server, and those to the client.
    silent: [AtomicBool; 2],
    /// The first bytes of the client.
    greeting: OnceLock<Bytes>,
}

#[derive(Debug)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    delay: Duration,
    timer: Timer,
    /// The open connections, those that drop all bytes included.
    connections: Mutex<Vec<Weak<Connection>>>,
    partitioned: AtomicBool,
    /// Connections whose first bytes contain this name drop all bytes.
    isolated: Mutex<Option<String>>,
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
            isolated: Mutex::default(),
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

    /// Does so on the open and all new connections of clients that send this name in
    /// their first bytes. With `None`, new connections work again.
    pub fn isolate(&self, name: Option<&str>) {
        *self.shared.lock_isolated() = name.map(str::to_owned);
        for connection in self.shared.lock_connections().iter() {
            if let Some(open) = connection.upgrade() {
                self.shared.silence_isolated(&open);
            }
        }
    }

    /// Does so on one of the open connections that have dropped nothing, if there is
    /// any, to the server, to the client or both; `choice` selects it.
    pub fn silence(&self, choice: usize, directions: [bool; 2]) {
        let connections = self.shared.lock_connections();
        let is_sound = |connection: &&Weak<Connection>| {
            let open = connection.upgrade();
            open.is_some_and(|open| !(0..2).any(|direction| open.is_silent(direction)))
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
    fn lock_connections(&self) -> MutexGuard<'_, Vec<Weak<Connection>>> {
        let connections = self.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_isolated(&self) -> MutexGuard<'_, Option<String>> {
        let isolated = self.isolated.lock();
        isolated.unwrap_or_else(PoisonError::into_inner)
    }

    fn silence_isolated(&self, connection: &Connection) {
        let isolated = self.lock_isolated();
        let names = isolated.iter().zip(connection.greeting.get());
        for (name, greeting) in names {
            if greeting
                .windows(name.len())
                .any(|part| part == name.as_bytes())
            {
                connection.silence([true; 2]);
            }
        }
    }
}

impl Connection {
    fn silence(&self, directions: [bool; 2]) {
        for (flag, drops) in self.silent.iter().zip(directions) {
            flag.fetch_or(drops, Ordering::SeqCst);
        }
    }

    fn is_silent(&self, direction: usize) -> bool {
        self.silent[direction].load(Ordering::SeqCst)
    }
}

fn silence(connection: &Weak<Connection>, directions: [bool; 2]) {
    // None if the connection has ended.
    if let Some(open) = connection.upgrade() {
        open.silence(directions);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((client, _)) = listener.accept().await {
        let connection = Arc::new(Connection::default());
        {
            let mut connections = shared.lock_connections();
            connections.retain(|other| other.strong_count() > 0);
            connections.push(Arc::downgrade(&connection));
        }
        tokio::spawn(connect(client, shared.clone(), connection));
    }
}

async fn connect(client: TcpStream, shared: Arc<Shared>, connection: Arc<Connection>) {
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
    let to_server = forward(client_reader, server_writer, &shared, (&connection, 0));
    let to_client = forward(server_reader, client_writer, &shared, (&connection, 1));
    tokio::join!(to_server, to_client);
}

/// Forwards one direction. The end of the stream is delayed like its bytes.
async fn forward(
    mut reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    shared: &Arc<Shared>,
    (connection, direction): (&Arc<Connection>, usize),
) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let timer = shared.timer.clone();
    let delivery = tokio::spawn(deliver(
        receiver,
        writer,
        timer,
        connection.clone(),
        direction,
    ));
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = reader.read(&mut chunk).await {
        if count == 0 {
            break;
        }
        let due = Instant::now() + shared.delay;
        let bytes = Bytes::copy_from_slice(&chunk[..count]);
        if direction == 0 && connection.greeting.set(bytes.clone()).is_ok() {
            shared.silence_isolated(connection);
        }
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
    connection: Arc<Connection>,
    direction: usize,
) {
    while let Some((due, bytes)) = chunks.recv().await {
        timer.until(due).await;
        if connection.is_silent(direction) {
            continue;
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
    if connection.is_silent(direction) {
        // A connection that drops all bytes does not forward its end either.
        std::future::pending::<()>().await;
    }
}
