//! Connections between the dispatcher's processes.
//!
//! Plain TCP with length-delimited frames. Both ends prove that they hold the
//! shared key before any other frame counts. A connection is replaced when its
//! peer has been silent for too long, since an open connection may have gone
//! silent for good while new ones work.

use crate::Error;
use futures::StreamExt;
use hashbrown::HashMap;
use rand::RngExt;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::JoinHandle,
};
use tokio_util::codec::{Encoder, FramedRead};
use wire::{
    Frame,
    codec::Codec,
    frame::{Hello, Proof, VERSION},
    id::Incarnation,
    proof::Keyring,
};

/// Time that a peer has for its hello and proof.
const HANDSHAKE: Duration = Duration::from_secs(1);

/// Time that a connection attempt may take: ten ways between regions. A host
/// without power answers nothing, and the system's own next attempt comes only
/// after a second.
const CONNECT: Duration = Duration::from_millis(200);

/// Time that a write may take before the connection counts as silent.
const WRITE: Duration = Duration::from_secs(4);

/// First and longest pause between connection attempts.
const PAUSE_FIRST: Duration = Duration::from_millis(50);
const PAUSE_LONGEST: Duration = Duration::from_millis(800);

/// Bytes gathered before a write.
const BATCH_BYTES: usize = 64 * 1024;

/// Frames that wait for a slow peer before its connection is dropped.
const BACKLOG: usize = 65_536;

/// Traffic of all connections of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Frames sent.
    pub frames_sent: AtomicU64,
    /// Bytes sent.
    pub bytes_sent: AtomicU64,
    /// Frames received.
    pub frames_received: AtomicU64,
    /// Heartbeats and configuration frames sent, in bytes.
    pub control_bytes_sent: AtomicU64,
    /// Connections refused for a wrong version, role or proof.
    pub refused: AtomicU64,
}

/// What connections tell the process.
#[derive(Debug)]
pub enum Event {
    /// A peer has proved itself.
    Joined(Joined),
    /// A frame arrived on the connection of this number.
    Frame(u64, Frame),
    /// The connection of this number is lost.
    Lost(u64),
}

/// A peer has proved itself.
#[derive(Debug)]
pub struct Joined {
    /// The peer's hello.
    pub hello: Hello,
    /// The connection.
    pub link: Link,
    /// Address that this process dialled; `None` if the peer dialled.
    pub dialled: Option<SocketAddr>,
}

impl Joined {
    /// Returns the connection's place among all that the two processes ever
    /// had, which both ends agree on.
    ///
    /// A connection may be reported after a newer one of the same peer; it must
    /// not replace it, since what was sent on the newer one may count already.
    pub fn order(&self) -> u64 {
        match self.dialled {
            Some(_) => self.link.number(),
            None => self.hello.number,
        }
    }
}

/// The newest connection of each peer.
#[derive(Debug, Default)]
pub struct Order(HashMap<Incarnation, u64>);

impl Order {
    /// Returns whether a connection is the newest of its peer, and records it.
    pub fn admit(&mut self, joined: &Joined) -> bool {
        let newest = self.0.entry(joined.hello.incarnation).or_default();
        let newer = joined.order() > *newest;
        *newest = joined.order().max(*newest);
        newer
    }
}

/// The sending half of a connection; closing it ends the connection after what
/// was sent before.
#[derive(Debug)]
pub struct Link {
    number: u64,
    frames: mpsc::Sender<Frame>,
    reader: JoinHandle<()>,
}

impl Link {
    /// Returns the connection's number, unique in the process.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Queues a frame. Returns false if the peer does not keep up.
    pub fn send(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Stops receiving at once; what was sent before still goes out.
    pub fn close(self) {
        self.reader.abort();
    }
}

/// What a process says of itself, and where it reports events.
#[derive(Debug, Clone)]
pub struct Local {
    /// The process's hello; its nonce is replaced for every connection.
    pub hello: Hello,
    /// Shared keys.
    pub keys: Keyring,
    /// Traffic counts.
    pub traffic: Arc<Traffic>,
    /// Numbers for connections.
    numbers: Arc<AtomicU64>,
}

impl Local {
    /// Describes the process.
    pub fn new(hello: Hello, keys: Keyring) -> Self {
        Self {
            hello,
            keys,
            traffic: Arc::default(),
            numbers: Arc::default(),
        }
    }
}

/// A connection was refused.
#[derive(Debug, thiserror::Error)]
enum Refusal {
    #[error("{0}")]
    Codec(#[from] wire::codec::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("closed")]
    Closed,
    #[error("timeout")]
    Timeout,
    #[error("version {0}")]
    Version(u16),
    #[error("own incarnation")]
    Own,
    #[error("wrong proof")]
    Proof,
    #[error("unexpected frame")]
    Unexpected,
}

/// Binds a listener for connections.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind {
            address: address.to_string(),
            source,
        })
}

/// Accepts connections and reports them to `events` until the task is aborted.
pub async fn accept<E: From<Event> + Send + 'static>(
    listener: TcpListener,
    local: Local,
    events: mpsc::Sender<E>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE_FIRST).await;
            continue;
        };
        let (local, events) = (local.clone(), events.clone());
        tokio::spawn(async move { open(stream, &local, &events, None).await });
    }
}

/// Keeps a connection to `address` until the task is aborted.
pub fn dial<E: From<Event> + Send + 'static>(
    address: SocketAddr,
    local: Local,
    events: mpsc::Sender<E>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut pause = PAUSE_FIRST;
        loop {
            let connect = tokio::time::timeout(CONNECT, TcpStream::connect(address));
            if let Ok(Ok(stream)) = connect.await
                && let Some(reader) = open(stream, &local, &events, Some(address)).await
            {
                pause = PAUSE_FIRST;
                // The reader ends with the connection, however that ends.
                let _ = reader.await;
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(PAUSE_LONGEST);
        }
    })
}

/// Shakes hands and reports the connection; returns a task that ends with it.
async fn open<E: From<Event> + Send + 'static>(
    stream: TcpStream,
    local: &Local,
    events: &mpsc::Sender<E>,
    dialled: Option<SocketAddr>,
) -> Option<JoinHandle<()>> {
    let handshake = tokio::time::timeout(HANDSHAKE, shake_hands(stream, local));
    let halves = match handshake.await.unwrap_or(Err(Refusal::Timeout)) {
        Ok(halves) => halves,
        Err(refusal) => {
            local.traffic.refused.fetch_add(1, Ordering::Relaxed);
            log::debug!("event=connection_refused reason=\"{refusal}\"");
            return None;
        }
    };
    let Halves {
        hello,
        number,
        reader,
        writer,
    } = halves;
    let (frames, queue) = mpsc::channel(BACKLOG);
    tokio::spawn(write(queue, writer, local.traffic.clone()));
    let (start, started) = tokio::sync::oneshot::channel::<()>();
    let (ended, end) = tokio::sync::oneshot::channel::<()>();
    let reader = tokio::spawn({
        let (events, traffic) = (events.clone(), local.traffic.clone());
        async move {
            let _ended = ended;
            if started.await.is_ok() {
                read(number, reader, &traffic, &events).await;
            }
        }
    });
    let link = Link {
        number,
        frames,
        reader,
    };
    let joined = Joined {
        hello,
        link,
        dialled,
    };
    events.send(Event::Joined(joined).into()).await.ok()?;
    start.send(()).ok()?;
    let events = events.clone();
    Some(tokio::spawn(async move {
        // Resolves when the reader has ended or was aborted.
        let _ = end.await;
        // A process that has ended takes no events.
        let _ = events.send(Event::Lost(number).into()).await;
    }))
}

/// A connection whose peer has proved itself.
struct Halves {
    hello: Hello,
    number: u64,
    reader: FramedRead<OwnedReadHalf, Codec>,
    writer: OwnedWriteHalf,
}

async fn shake_hands(stream: TcpStream, local: &Local) -> Result<Halves, Refusal> {
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = FramedRead::new(reader, Codec::default());
    let own = Hello {
        number: local.numbers.fetch_add(1, Ordering::Relaxed) + 1,
        nonce: rand::random(),
        ..local.hello.clone()
    };
    let (number, nonce) = (own.number, own.nonce);
    send_now(&mut writer, &Frame::Hello(own)).await?;
    let Frame::Hello(hello) = next(&mut reader).await? else {
        return Err(Refusal::Unexpected);
    };
    if hello.version != VERSION {
        return Err(Refusal::Version(hello.version));
    }
    if hello.incarnation == local.hello.incarnation {
        return Err(Refusal::Own);
    }
    let mac = local
        .keys
        .sign_link(local.hello.role, local.hello.incarnation, hello.nonce);
    send_now(&mut writer, &Frame::Proof(Proof { mac })).await?;
    let Frame::Proof(proof) = next(&mut reader).await? else {
        return Err(Refusal::Unexpected);
    };
    if !local.keys.verify_link(&hello, nonce, &proof.mac) {
        return Err(Refusal::Proof);
    }
    Ok(Halves {
        hello,
        number,
        reader,
        writer,
    })
}

async fn next(reader: &mut FramedRead<OwnedReadHalf, Codec>) -> Result<Frame, Refusal> {
    let frame = reader.next().await.ok_or(Refusal::Closed)?;
    Ok(frame?)
}

async fn send_now(writer: &mut OwnedWriteHalf, frame: &Frame) -> Result<(), Refusal> {
    let mut buffer = bytes::BytesMut::new();
    Codec::default().encode(frame, &mut buffer)?;
    writer.write_all(&buffer).await?;
    Ok(())
}

async fn read<E: From<Event>>(
    number: u64,
    mut reader: FramedRead<OwnedReadHalf, Codec>,
    traffic: &Traffic,
    events: &mpsc::Sender<E>,
) {
    while let Some(frame) = reader.next().await {
        match frame {
            Ok(frame) => {
                traffic.frames_received.fetch_add(1, Ordering::Relaxed);
                if events
                    .send(Event::Frame(number, frame).into())
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => {
                log::warn!("event=bad_frame connection={number} reason=\"{error}\"");
                return;
            }
        }
    }
}

/// Writes frames, as many as are ready in one call.
async fn write(
    mut queue: mpsc::Receiver<Frame>,
    mut writer: OwnedWriteHalf,
    traffic: Arc<Traffic>,
) {
    let mut codec = Codec::default();
    let mut buffer = bytes::BytesMut::with_capacity(BATCH_BYTES);
    while let Some(frame) = queue.recv().await {
        buffer.clear();
        if !gather(&mut codec, &frame, &mut buffer, &traffic) {
            return;
        }
        while buffer.len() < BATCH_BYTES {
            let Ok(frame) = queue.try_recv() else { break };
            if !gather(&mut codec, &frame, &mut buffer, &traffic) {
                return;
            }
        }
        let length = buffer.len() as u64;
        let written = tokio::time::timeout(WRITE, writer.write_all(&buffer)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        traffic.bytes_sent.fetch_add(length, Ordering::Relaxed);
    }
}

fn gather(
    codec: &mut Codec,
    frame: &Frame,
    buffer: &mut bytes::BytesMut,
    traffic: &Traffic,
) -> bool {
    let before = buffer.len();
    if let Err(error) = codec.encode(frame, buffer) {
        log::error!("event=frame_not_sent reason=\"{error}\"");
        return false;
    }
    traffic.frames_sent.fetch_add(1, Ordering::Relaxed);
    let control = matches!(
        frame,
        Frame::Heartbeat(_) | Frame::Config(_) | Frame::Rule(_) | Frame::Pull | Frame::Offer(_)
    );
    if control {
        let bytes = (buffer.len() - before) as u64;
        traffic
            .control_bytes_sent
            .fetch_add(bytes, Ordering::Relaxed);
    }
    true
}
