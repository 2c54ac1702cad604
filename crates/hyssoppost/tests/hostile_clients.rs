//! Crowds of clients that hold what they can of a process: memory, descriptors and time.
//! The process must live, stay within the memory and the descriptors of its host, and
//! answer an ordinary request while the crowd is connected and afterwards.

#[path = "soak/pair.rs"]
mod pair;
#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use pair::{Pair, Setup};
use process::{Output, Process};
use std::{
    fs,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
};

/// Memory of each process's host, in bytes.
const MEMORY: u64 = 64 << 20;
/// Descriptors of each process's host.
const DESCRIPTORS: usize = 512;
/// Descriptors that clients must leave for the process's own connections.
const RESERVED_DESCRIPTORS: usize = 64;
/// Connections of a crowd that holds memory.
const CROWD: usize = 400;
/// Connections of a crowd that holds descriptors.
const LARGE_CROWD: usize = 700;
/// Size of a body that customers may send, in bytes.
const BODY_BYTES: usize = 250_000;
/// Settings of the processes that concern the crowds.
const ENTRY_LIMITS: &str = "[limits]\nbody_bytes = 262144\nmemory_mb = 64\n";
const SIDE_LIMITS: &str = "[limits]\nmemory_mb = 64\n";

const RUN_TIME: Duration = Duration::from_millis(20);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// A crowd without progress in so many samples has sent what it can.
const SETTLED_SAMPLES: u32 = 20;
/// Most samples until the ordinary request, for crowds that send forever.
const MAX_SAMPLES: u32 = 160;
/// Time within which one of the ordinary requests must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit of each of them; customers then try again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(8);

/// Crowds run one after the other.
static ALONE: Mutex<()> = Mutex::const_new(());

/// What each client of a crowd sends before it stays connected.
#[derive(Debug, Clone, Default)]
struct Script {
    head: Vec<u8>,
    piece: Vec<u8>,
    pieces: usize,
    pause: Duration,
}

impl Script {
    fn whole(bytes: Vec<u8>) -> Self {
        Self {
            head: bytes,
            ..Self::default()
        }
    }

    fn repeated(head: Vec<u8>, piece: &[u8], pieces: usize) -> Self {
        Self {
            head,
            piece: piece.to_vec(),
            pieces,
            ..Self::default()
        }
    }
}

/// The listeners of a pair.
#[derive(Debug, Clone, Copy)]
enum Listener {
    Customers,
    Readiness,
    Links,
    Admin,
    Metrics,
    Reports,
    SideMetrics,
}

/// A pair of processes with little memory and few descriptors.
struct Site {
    pair: Pair,
    metrics: [SocketAddr; 2],
}

/// Most that a process has held.
#[derive(Debug, Default)]
struct Peak {
    resident: u64,
    /// Bytes in the buffers of its sockets.
    unread: u64,
    descriptors: usize,
}

impl Site {
    async fn start(run_time: Duration) -> Self {
        let metrics = [free_address(), free_address()];
        let setup = Setup {
            name: "hostile",
            slots: 4,
            run_time,
            output: Output::Read,
            seed: None,
            prepare: |_| {},
            entry: ENTRY_LIMITS,
            side: SIDE_LIMITS,
            metrics: Some(metrics),
            descriptors: Some(DESCRIPTORS),
        };
        let pair = Pair::open(&setup).await;
        Self { pair, metrics }
    }

    fn address(&self, listener: Listener) -> SocketAddr {
        match listener {
            Listener::Customers => self.pair.entry.address("customers"),
            Listener::Readiness => self.pair.entry.address("readiness"),
            Listener::Links => self.pair.entry.address("links"),
            Listener::Admin => self.pair.entry.address("admin"),
            Listener::Metrics => self.metrics[0],
            Listener::Reports => self.pair.side.address("reports"),
            Listener::SideMetrics => self.metrics[1],
        }
    }

    fn process(&mut self, listener: Listener) -> &mut Process {
        match listener {
            Listener::Reports | Listener::SideMetrics => &mut self.pair.side,
            _ => &mut self.pair.entry,
        }
    }

    /// Submits ordinary jobs until one is answered with success.
    async fn submit(&self, first: u64) -> bool {
        let address = self.address(Listener::Customers);
        let body =
            r#"{"spec":"x","best_effort":true,"phases":[{"count":2,"cpu":10,"estimate_ms":20}]}"#;
        let attempts = async {
            for job in first.. {
                let http = reqwest::Client::builder().no_proxy().build().unwrap();
                let request = http
                    .post(format!("http://{address}/jobs/{job:016x}"))
                    .header("host", "a.example")
                    .header("x-deadline-ms", "8000")
                    .timeout(ATTEMPT_TIMEOUT)
                    .body(body);
                let answered = request.send().await;
                if answered.is_ok_and(|response| response.status().is_success()) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
        };
        tokio::time::timeout(ANSWER_TIMEOUT, attempts).await.is_ok()
    }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

impl Peak {
    fn sample(&mut self, process: &Process, port: u16) {
        let folder = Path::new("/proc").join(process.id().to_string());
        let count = fs::read_dir(folder.join("fd")).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(count);
        self.unread = self.unread.max(unread(port));
        let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let words = line.and_then(|line| line.split_whitespace().nth(1));
        let kibibytes: u64 = words.map_or(0, |number| number.parse().unwrap());
        self.resident = self.resident.max(kibibytes << 10);
    }
}

/// Returns the bytes in the buffers of all accepted connections at a port.
fn unread(port: u16) -> u64 {
    const LISTENING: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let local = format!(":{port:04X}");
    let sizes = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_counted = fields[1].ends_with(&local) && fields[3] != LISTENING;
        let (unsent, unread) = fields[4].split_once(':')?;
        let size = |text| u64::from_str_radix(text, 16).unwrap_or(0);
        is_counted.then(|| size(unsent) + size(unread))
    });
    sizes.sum()
}

/// Connects and sends the script; stays connected until the task is aborted.
async fn run_client(address: SocketAddr, script: Arc<Script>, sent: Arc<AtomicU64>) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    sent.fetch_add(1, Ordering::Relaxed);
    let pieces = std::iter::repeat_n(&script.piece, script.pieces);
    for bytes in std::iter::once(&script.head).chain(pieces) {
        if stream.write_all(bytes).await.is_err() {
            return;
        }
        sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        tokio::time::sleep(script.pause).await;
    }
    std::future::pending::<()>().await;
}

/// Connects a crowd to a listener and checks the process's promises.
async fn check(listener: Listener, crowd: usize, script: Script) {
    check_at(listener, crowd, script, RUN_TIME).await;
}

async fn check_at(listener: Listener, crowd: usize, script: Script, run_time: Duration) {
    let _alone = ALONE.lock().await;
    let mut site = Site::start(run_time).await;
    let address = site.address(listener);
    let (script, sent) = (Arc::new(script), Arc::new(AtomicU64::new(0)));
    let mut clients = JoinSet::new();
    for _ in 0..crowd {
        clients.spawn(run_client(address, script.clone(), sent.clone()));
    }
    let mut peak = Peak::default();
    let (mut seen, mut unchanged) = (0, 0);
    for _ in 0..MAX_SAMPLES {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        peak.sample(site.process(listener), address.port());
        let now = sent.load(Ordering::Relaxed);
        unchanged = if now == seen { unchanged + 1 } else { 0 };
        seen = now;
        if unchanged == SETTLED_SAMPLES {
            break;
        }
    }
    let during = site.submit(1 << 32).await;
    peak.sample(site.process(listener), address.port());
    clients.shutdown().await;
    let after = site.submit(2 << 32).await;
    peak.sample(site.process(listener), address.port());
    println!("{listener:?}: {peak:?}, sent {seen} bytes, answers {during} and {after}");
    assert!(!site.process(listener).has_ended(), "the process has ended");
    let memory = peak.resident + peak.unread;
    assert!(memory <= MEMORY, "held {memory} bytes: {peak:?}");
    let most = DESCRIPTORS - RESERVED_DESCRIPTORS;
    assert!(peak.descriptors <= most, "{} descriptors", peak.descriptors);
    assert!(during, "no answer while the crowd was connected");
    assert!(after, "no answer after the crowd had left");
}

fn head(job: u64, framing: &str) -> Vec<u8> {
    format!("POST /jobs/{job:016x} HTTP/1.1\r\nhost: a.example\r\n{framing}\r\n\r\n").into_bytes()
}

fn with_length(length: usize) -> Vec<u8> {
    head(0xA1, &format!("content-length: {length}"))
}

fn chunked() -> Vec<u8> {
    head(0xA1, "transfer-encoding: chunked")
}

/// Makes a valid job document of the given size.
fn document(size: usize) -> Vec<u8> {
    let job = r#"{"spec":"x","best_effort":true,"phases":[{"count":1,"cpu":10,"estimate_ms":20}]}"#;
    format!("{job}{}", " ".repeat(size - job.len())).into_bytes()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_heads() {
    let start = b"POST /jobs/00000000000000a1 HTTP/1.1\r\nhost: a.example\r\nx-long: ".to_vec();
    check(
        Listener::Customers,
        CROWD,
        Script::repeated(start, &[b'a'; 1_000], 350),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_header_lines() {
    let start = b"POST /jobs/00000000000000a1 HTTP/1.1\r\nhost: a.example\r\n".to_vec();
    check(
        Listener::Customers,
        CROWD,
        Script::repeated(start, &b"x: y\r\n".repeat(200), 350),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_empty_lines() {
    check(
        Listener::Customers,
        CROWD,
        Script::repeated(Vec::new(), &b"\r\n".repeat(500), 380),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies() {
    let bytes = [with_length(BODY_BYTES), document(BODY_BYTES)].concat();
    check(Listener::Customers, CROWD, Script::whole(bytes)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies() {
    let bytes = [with_length(BODY_BYTES + 1), document(BODY_BYTES)].concat();
    check(Listener::Customers, CROWD, Script::whole(bytes)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_pieces() {
    let mut script = Script::repeated(with_length(BODY_BYTES + 1), &[b' '; 10_000], 25);
    script.pause = Duration::from_millis(40);
    check(Listener::Customers, CROWD, script).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_chunks() {
    let chunk = [
        b"7a12\r\n".to_vec(),
        vec![b' '; BODY_BYTES / 8],
        b"\r\n".to_vec(),
    ]
    .concat();
    check(
        Listener::Customers,
        CROWD,
        Script::repeated(chunked(), &chunk, 8),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn smallest_chunks() {
    check(
        Listener::Customers,
        CROWD,
        Script::repeated(chunked(), &b"1\r\n \r\n".repeat(200), 300),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_chunk_extensions() {
    let start = [chunked(), b"5;".to_vec()].concat();
    check(
        Listener::Customers,
        CROWD,
        Script::repeated(start, &[b'e'; 1_000], 350),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_trailers() {
    let start = [chunked(), b"1\r\n \r\n0\r\n".to_vec()].concat();
    check(
        Listener::Customers,
        CROWD,
        Script::repeated(start, &b"x: y\r\n".repeat(200), 350),
    )
    .await;
}

/// The first request waits for room at the upstream while others arrive behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_behind() {
    let first = [with_length(100), document(100)].concat();
    let others = [with_length(BODY_BYTES), document(BODY_BYTES)].concat();
    let script = Script::repeated(first, &others, 3);
    check_at(
        Listener::Customers,
        CROWD,
        script,
        Duration::from_millis(500),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_answers() {
    let request = b"GET /jobs/00000000000000a1 HTTP/1.1\r\nhost: a.example\r\n\r\n";
    check(
        Listener::Customers,
        CROWD,
        Script::repeated(Vec::new(), &request.repeat(100), 100),
    )
    .await;
}

/// Submits a different job from each client.
async fn check_jobs(document: &str) {
    let _alone = ALONE.lock().await;
    let mut site = Site::start(Duration::from_millis(500)).await;
    let address = site.address(Listener::Customers);
    let mut clients = JoinSet::new();
    for job in 0..CROWD as u64 {
        let framing = format!("content-length: {}", document.len());
        let request = [head(job, &framing), document.as_bytes().to_vec()].concat();
        let script = Arc::new(Script::whole(request));
        clients.spawn(run_client(address, script, Arc::default()));
    }
    let mut peak = Peak::default();
    for _ in 0..MAX_SAMPLES / 2 {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        peak.sample(&site.pair.entry, address.port());
    }
    clients.shutdown().await;
    let after = site.submit(2 << 32).await;
    peak.sample(&site.pair.entry, address.port());
    println!("jobs: {peak:?}, answer {after}");
    assert!(!site.pair.entry.has_ended(), "the process has ended");
    let memory = peak.resident + peak.unread;
    assert!(memory <= MEMORY, "held {memory} bytes: {peak:?}");
    assert!(after, "no answer after the crowd had left");
}

/// Short bodies that decode to many tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_many_tasks() {
    let phases = r#"{"count":60000,"cpu":1,"estimate_ms":1}"#;
    check_jobs(&format!(
        r#"{{"spec":"x","best_effort":true,"phases":[{phases}]}}"#
    ))
    .await;
}

/// Bodies of legal size that decode to many steps.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_many_steps() {
    let phases = vec!["{\"count\":1}"; 20_000].join(",");
    check_jobs(&format!(
        r#"{{"spec":"x","best_effort":true,"phases":[{phases}]}}"#
    ))
    .await;
}

/// The largest request that the operators' limits allow, with pauses well below theirs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_request_in_calm() {
    const MAX_HEAD: usize = 16_384;
    const MAX_BODY: usize = 262_144;
    let _alone = ALONE.lock().await;
    let site = Site::start(RUN_TIME).await;
    let address = site.address(Listener::Customers);
    let framing = format!("x-deadline-ms: 30000\r\ncontent-length: {MAX_BODY}");
    let room = MAX_HEAD - head(0xA1, &format!("{framing}\r\nx-pad: ")).len();
    let head = head(0xA1, &format!("{framing}\r\nx-pad: {}", "a".repeat(room)));
    assert_eq!(head.len(), MAX_HEAD);
    let mut stream = TcpStream::connect(address).await.unwrap();
    for half in head.chunks(MAX_HEAD / 2) {
        tokio::time::sleep(Duration::from_millis(500)).await;
        stream.write_all(half).await.unwrap();
    }
    for piece in document(MAX_BODY).chunks(MAX_BODY / 4) {
        tokio::time::sleep(Duration::from_secs(2)).await;
        stream.write_all(piece).await.unwrap();
    }
    let mut answer = [0; 15];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, *b"HTTP/1.1 200 OK");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_of_crowd() {
    check(Listener::Customers, LARGE_CROWD, Script::default()).await;
}

/// A frame of HTTP/2.
fn http2_frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut frame = length[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_streams() {
    const DATA: u8 = 0;
    const HEADERS: u8 = 1;
    const SETTINGS: u8 = 4;
    const END_HEADERS: u8 = 4;
    const ACK: u8 = 1;
    // POST, http, the path and the authority as literals of the static table.
    let mut block = vec![0x83, 0x86, 0x44, 22];
    block.extend(b"/jobs/00000000000000a1");
    block.extend([0x41, 9]);
    block.extend(b"a.example");
    let mut start = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    start.extend(http2_frame(SETTINGS, 0, 0, &[]));
    // In reply to the server's settings, after which its windows are large.
    let mut bytes = http2_frame(SETTINGS, ACK, 0, &[]);
    for stream in [1, 3, 5, 7] {
        bytes.extend(http2_frame(HEADERS, END_HEADERS, stream, &block));
        for _ in 0..15 {
            bytes.extend(http2_frame(DATA, 0, stream, &[b' '; 16_000]));
        }
    }
    let mut script = Script::repeated(start, &bytes, 1);
    script.pause = Duration::from_millis(500);
    check(Listener::Customers, CROWD, script).await;
}

/// Clients of the other HTTP listeners that never end their heads.
async fn check_heads(listener: Listener) {
    let start = b"GET /metrics HTTP/1.1\r\nx-long: ".to_vec();
    check(
        listener,
        CROWD,
        Script::repeated(start, &[b'a'; 1_000], 350),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readiness_crowd() {
    check_heads(Listener::Readiness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn admin_crowd() {
    check_heads(Listener::Admin).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_crowd() {
    check_heads(Listener::Metrics).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn side_metrics_crowd() {
    check_heads(Listener::SideMetrics).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_crowd() {
    let start = b"POST /v1/Instances.Heartbeat/u HTTP/1.1\r\ncontent-length: 4000000\r\n\r\n";
    check(
        Listener::Reports,
        CROWD,
        Script::repeated(start.to_vec(), &[b' '; 10_000], 60),
    )
    .await;
}

/// Frames that are announced as long before the peer has proved its key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn links_crowd() {
    let length = (15_u32 << 20).to_be_bytes().to_vec();
    check(
        Listener::Links,
        CROWD,
        Script::repeated(length, &[0; 10_000], 100),
    )
    .await;
}
