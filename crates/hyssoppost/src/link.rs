//! Connections between the dispatcher's processes.
//!
//! Plain TCP with length-delimited frames. Both ends prove that they hold the
//! shared key before any other frame is accepted. A connection is replaced when
//! its peer has been silent for too long: an open connection may have stopped
//! working for good while new ones work.

use crate::{
    Error,
    budget::{CONNECTION_BYTES, Limits, Pool, Share},
    http::INTERNAL_LIMITS,
};
use futures::StreamExt;
use hashbrown::HashMap;
use kernel::reconnect::Backoff;
use rand::RngExt;
use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWriteExt, ReadBuf},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::JoinHandle,
    time::Instant,
};
use tokio_util::codec::{Encoder, FramedRead};
use wire::{
    Frame,
    codec::Codec,
    frame::{Hello, Proof, VERSION},
    id::Incarnation,
    proof::Keyring,
};

/// Time limit for a peer's hello and proof.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of connections whose peers have not proved their keys. All sides of a large site
/// connect to an entry that starts.
const HANDSHAKE_LIMITS: Limits = Limits {
    connections: 256,
    bytes: 256 * CONNECTION_BYTES,
    ..INTERNAL_LIMITS
};

/// Time limit for a connection attempt: ten one-way delays between regions. A
/// host without power does not answer, and the operating system retransmits only
/// after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time limit for a write; the connection is closed when it passes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Size from which buffered frames are written, in bytes.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;

/// Most frames queued for a slow peer before its connection is closed.
const SEND_QUEUE_FRAMES: usize = 65_536;

/// Traffic of all connections of a process since its start.
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

/// What has arrived on one connection, and whether the process has used it.
#[derive(Debug, Default)]
pub struct Activity {
    /// Bytes read, counted before they are decoded and queued.
    bytes: AtomicU64,
    /// Whether the reader waits for room in the process's event queue, and so
    /// reads no bytes.
    blocked: AtomicBool,
    frame_handled: AtomicBool,
}

impl Activity {
    /// Returns the number of bytes received.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns whether a received frame waits for room in the event queue.
    pub fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::Relaxed)
    }

    /// Records that the process handles a frame of the connection. Without this,
    /// the next dial to the peer counts as one after a failed attempt.
    pub fn record_frame(&self) {
        self.frame_handled.store(true, Ordering::Relaxed);
    }

    fn is_frame_handled(&self) -> bool {
        self.frame_handled.load(Ordering::Relaxed)
    }
}

/// Receiving half of a connection that counts the bytes read.
struct Counted {
    stream: OwnedReadHalf,
    activity: Arc<Activity>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = (buffer.filled().len() - before) as u64;
        self.activity.bytes.fetch_add(bytes, Ordering::Relaxed);
        result
    }
}

/// An event of a connection.
#[derive(Debug)]
pub enum Event {
    /// A connection has passed the handshake.
    Joined(Joined),
    /// A frame arrived on the connection of this number.
    Frame(u64, Frame),
    /// The connection of this number is lost.
    Lost(u64),
}

/// A connection that has passed the handshake.
#[derive(Debug)]
pub struct Joined {
    /// Hello that the peer has sent.
    pub hello: Hello,
    /// Sending half of the connection.
    pub link: Link,
    /// Address that this process dialled; `None` if the peer dialled.
    pub dialled: Option<SocketAddr>,
}

impl Joined {
    /// Returns a number that grows with each connection that the same of the two
    /// processes dials, and is the same at both ends.
    ///
    /// A connection may be reported after a newer one of the same peer. It must
    /// not replace that one, on which frames may have been received already.
    pub fn sequence(&self) -> u64 {
        match self.dialled {
            Some(_) => self.link.number(),
            None => self.hello.number,
        }
    }
}

/// The newest connection of each peer, of those that it dialled and of the others: the
/// process that dials numbers them.
#[derive(Debug, Default)]
pub struct Latest(HashMap<(Incarnation, bool), u64>);

impl Latest {
    /// Records a connection and returns whether it is the newest of its peer in its
    /// direction.
    pub fn admit(&mut self, joined: &Joined) -> bool {
        let key = (joined.hello.incarnation, joined.dialled.is_none());
        let newest = self.0.entry(key).or_default();
        let newer = joined.sequence() > *newest;
        *newest = joined.sequence().max(*newest);
        newer
    }
}

/// The sending half of a connection. After [`Link::close`], the frames queued
/// before are still sent.
#[derive(Debug)]
pub struct Link {
    number: u64,
    frames: mpsc::Sender<Frame>,
    reader: JoinHandle<()>,
    activity: Arc<Activity>,
}

impl Link {
    /// Returns what has arrived on the connection.
    pub fn activity(&self) -> &Arc<Activity> {
        &self.activity
    }

    /// Returns the connection's number, unique in the process.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Queues a frame. Returns false if the queue is full or the connection is
    /// closed.
    pub fn send(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Stops receiving at once, sends the queued frames, and closes the
    /// connection.
    pub fn close(self) {
        self.reader.abort();
    }
}

/// The process's own identity, keys and counters, shared by its connections.
#[derive(Debug, Clone)]
pub struct Local {
    /// Template of the hello; every connection has its own number and nonce.
    pub hello: Hello,
    /// Keys that the processes of an environment share.
    pub keys: Keyring,
    /// Counters of all connections.
    pub traffic: Arc<Traffic>,
    /// Number of the last connection.
    last_number: Arc<AtomicU64>,
}

impl Local {
    /// Makes the identity of a process without connections.
    pub fn new(hello: Hello, keys: Keyring) -> Self {
        Self {
            hello,
            keys,
            traffic: Arc::default(),
            last_number: Arc::default(),
        }
    }
}

/// Why a connection was refused.
#[derive(Debug, thiserror::Error)]
enum Refusal {
    #[error("{0}")]
    Codec(#[from] wire::codec::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("the peer closed the connection in the handshake")]
    Closed,
    #[error("the handshake timed out")]
    Timeout,
    #[error("other connections needed the memory before the handshake had ended")]
    Shed,
    #[error("the peer's version is {0}")]
    Version(u16),
    #[error("the peer has the incarnation of this process")]
    SelfConnection,
    #[error("the peer's proof is wrong")]
    Proof,
    #[error("the peer sent an unexpected frame in the handshake")]
    UnexpectedFrame,
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
    let pool = Pool::new("links", HANDSHAKE_LIMITS);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::debug!("event=accept_failed listener=links reason=\"{error}\"");
                pool.shed();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // There is room soon: handshakes can always give way.
        let Some(place) = pool.queue().await else {
            continue;
        };
        pool.review();
        let (local, events) = (local.clone(), events.clone());
        tokio::spawn(async move {
            let share = place.wait().await.ok()?;
            establish(stream, &local, &events, None, Some(share)).await
        });
    }
}

/// Connects to `address`, and again whenever the connection is lost, until the
/// task is aborted.
pub fn dial<E: From<Event> + Send + 'static>(
    address: SocketAddr,
    local: Local,
    events: mpsc::Sender<E>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut backoff = Backoff::default();
        loop {
            let mut attempted_at = Instant::now();
            let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
            if let Ok(Ok(stream)) = connect.await
                && let Some(connection) =
                    establish(stream, &local, &events, Some(address), None).await
            {
                // The task ends with the connection, whatever its result.
                let _ = connection.end.await;
                backoff.record_connection(connection.activity.is_frame_handled());
                attempted_at = Instant::now();
            }
            let interval = backoff.next_interval(rand::rng().random());
            tokio::time::sleep_until(attempted_at + interval).await;
        }
    })
}

/// A connection that has been reported to the process.
struct Established {
    /// Ends with the connection.
    end: JoinHandle<()>,
    activity: Arc<Activity>,
}

/// Runs the handshake and reports the connection; returns `None` if it was refused
/// or the process has ended. The `share` of a connection that a peer has opened is held
/// until the peer has proved its key.
async fn establish<E: From<Event> + Send + 'static>(
    stream: TcpStream,
    local: &Local,
    events: &mpsc::Sender<E>,
    dialled: Option<SocketAddr>,
    share: Option<Share>,
) -> Option<Established> {
    let closed = async {
        match &share {
            Some(share) => share.closed().await,
            None => std::future::pending().await,
        }
    };
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, perform_handshake(stream, local));
    let result = tokio::select! {
        result = handshake => result.unwrap_or(Err(Refusal::Timeout)),
        () = closed => Err(Refusal::Shed),
    };
    drop(share);
    let session = match result {
        Ok(session) => session,
        Err(refusal) => {
            local.traffic.refused.fetch_add(1, Ordering::Relaxed);
            log::debug!("event=connection_refused reason=\"{refusal}\"");
            return None;
        }
    };
    let Session {
        hello,
        number,
        reader,
        writer,
    } = session;
    let activity = reader.get_ref().activity.clone();
    let (frames, queue) = mpsc::channel(SEND_QUEUE_FRAMES);
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
        activity: activity.clone(),
    };
    let joined = Joined {
        hello,
        link,
        dialled,
    };
    events.send(Event::Joined(joined).into()).await.ok()?;
    start.send(()).ok()?;
    let events = events.clone();
    let end = tokio::spawn(async move {
        // Resolves when the reader ends or is aborted.
        let _ = end.await;
        // The send fails only if the process has ended.
        let _ = events.send(Event::Lost(number).into()).await;
    });
    Some(Established { end, activity })
}

/// A connection that has passed the handshake, before its tasks start.
struct Session {
    hello: Hello,
    number: u64,
    reader: FramedRead<Counted, Codec>,
    writer: OwnedWriteHalf,
}

async fn perform_handshake(stream: TcpStream, local: &Local) -> Result<Session, Refusal> {
    stream.set_nodelay(true)?;
    let (stream, mut writer) = stream.into_split();
    let counted = Counted {
        stream,
        activity: Arc::default(),
    };
    let mut reader = FramedRead::new(counted, Codec::for_handshake());
    let own = Hello {
        number: local.last_number.fetch_add(1, Ordering::Relaxed) + 1,
        nonce: rand::random(),
        ..local.hello.clone()
    };
    let (number, nonce) = (own.number, own.nonce);
    write_frame(&mut writer, &Frame::Hello(own)).await?;
    let Frame::Hello(hello) = read_frame(&mut reader).await? else {
        return Err(Refusal::UnexpectedFrame);
    };
    if hello.version != VERSION {
        return Err(Refusal::Version(hello.version));
    }
    if hello.incarnation == local.hello.incarnation {
        return Err(Refusal::SelfConnection);
    }
    let mac = local
        .keys
        .sign_link(local.hello.role, local.hello.incarnation, hello.nonce);
    write_frame(&mut writer, &Frame::Proof(Proof { mac })).await?;
    let Frame::Proof(proof) = read_frame(&mut reader).await? else {
        return Err(Refusal::UnexpectedFrame);
    };
    if !local.keys.verify_link(&hello, nonce, &proof.mac) {
        return Err(Refusal::Proof);
    }
    Ok(Session {
        hello,
        number,
        reader: reader.map_decoder(|_| Codec::default()),
        writer,
    })
}

async fn read_frame(reader: &mut FramedRead<Counted, Codec>) -> Result<Frame, Refusal> {
    let frame = reader.next().await.ok_or(Refusal::Closed)?;
    Ok(frame?)
}

async fn write_frame(writer: &mut OwnedWriteHalf, frame: &Frame) -> Result<(), Refusal> {
    let mut buffer = bytes::BytesMut::new();
    Codec::default().encode(frame, &mut buffer)?;
    writer.write_all(&buffer).await?;
    Ok(())
}

async fn read<E: From<Event>>(
    number: u64,
    mut reader: FramedRead<Counted, Codec>,
    traffic: &Traffic,
    events: &mpsc::Sender<E>,
) {
    let activity = reader.get_ref().activity.clone();
    while let Some(frame) = reader.next().await {
        match frame {
            Ok(frame) => {
                traffic.frames_received.fetch_add(1, Ordering::Relaxed);
                activity.blocked.store(true, Ordering::Relaxed);
                let sent = events.send(Event::Frame(number, frame).into()).await;
                activity.blocked.store(false, Ordering::Relaxed);
                if sent.is_err() {
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

/// Writes queued frames, up to [`WRITE_BUFFER_BYTES`] per call.
async fn write(
    mut queue: mpsc::Receiver<Frame>,
    mut writer: OwnedWriteHalf,
    traffic: Arc<Traffic>,
) {
    let mut codec = Codec::default();
    let mut buffer = bytes::BytesMut::with_capacity(WRITE_BUFFER_BYTES);
    while let Some(frame) = queue.recv().await {
        buffer.clear();
        if !encode_frame(&mut codec, &frame, &mut buffer, &traffic) {
            return;
        }
        while buffer.len() < WRITE_BUFFER_BYTES {
            let Ok(frame) = queue.try_recv() else { break };
            if !encode_frame(&mut codec, &frame, &mut buffer, &traffic) {
                return;
            }
        }
        let length = buffer.len() as u64;
        let result = tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(&buffer)).await;
        if !matches!(result, Ok(Ok(()))) {
            return;
        }
        traffic.bytes_sent.fetch_add(length, Ordering::Relaxed);
    }
}

fn encode_frame(
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
    let is_control = matches!(
        frame,
        Frame::Heartbeat(_) | Frame::Config(_) | Frame::Rule(_) | Frame::Pull | Frame::Offer(_)
    );
    if is_control {
        let bytes = (buffer.len() - before) as u64;
        traffic
            .control_bytes_sent
            .fetch_add(bytes, Ordering::Relaxed);
    }
    true
}
