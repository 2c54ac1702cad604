//! Customers that leave entries and submit their jobs again at others.

use super::{ENTRIES, fleet::Fleet};
use serde_json::json;
use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Shortest time after which a customer submits a job again.
pub const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Time until a refused job is submitted again.
pub const RETRY_AFTER: Duration = Duration::from_millis(100);
pub const LOAD_INTERVAL: Duration = Duration::from_millis(60);
/// The same of customers that leave for good, with some seeds.
pub const FLOOD_INTERVAL: Duration = Duration::from_millis(4);
/// Time that customers wait for an answer.
pub const PATIENCE: Duration = Duration::from_secs(7);
/// Time in which a job that is submitted again and again must be answered.
pub const ANSWERED_WITHIN: Duration = Duration::from_secs(30);
pub const SHORT_TASK_MS: u64 = 150;

/// A fleet and what is known of its customers.
pub struct Site {
    pub seed: u64,
    pub fleet: Fleet,
    /// Connections whose customers have left.
    pub kept: Mutex<Vec<TcpStream>>,
    pub violations: Mutex<Vec<String>>,
}

impl Site {
    pub fn note(&self, text: &str) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let (s, ms) = (since.as_secs() % 86_400, since.subsec_millis());
        let time = format!("{:02}:{:02}:{:02}.{ms:03}", s / 3_600, s / 60 % 60, s % 60);
        let mut log = self.fleet.log.lock().unwrap();
        log.push(format!("test time=T{time}Z {text}"));
    }

    pub async fn post(&self, entry: usize, job: u64, tasks: usize, ms: u64) -> Option<TcpStream> {
        let body = json!({
            "spec": ms.to_string(), "best_effort": true,
            "phases": [{ "count": tasks, "cpu": 1_000, "ram_mb": 64, "estimate_ms": ms }],
        })
        .to_string();
        let request = format!(
            "POST /jobs/{job:016x} HTTP/1.1\r\nhost: a.example\r\nx-deadline-ms: {}\r\n\
             content-length: {}\r\n\r\n{body}",
            PATIENCE.as_millis(),
            body.len()
        );
        let address = self.fleet.entries[entry].address("customers");
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        Some(stream)
    }

    /// Submits a job until it is answered, at the next entry if an answer is lost.
    pub async fn finish(&self, mut entry: usize, job: u64, tasks: usize, ms: u64) {
        let end = Instant::now() + ANSWERED_WITHIN;
        let mut last = None;
        while Instant::now() < end {
            last = match self.post(entry % ENTRIES, job, tasks, ms).await {
                Some(mut stream) => timeout(PATIENCE, status(&mut stream)).await.ok().flatten(),
                None => None,
            };
            match last {
                Some(200) => return,
                Some(429 | 503) => sleep(RETRY_AFTER).await,
                _ => sleep(RESUBMIT_AFTER).await,
            }
            entry += 1;
        }
        let text = format!("job {job:016x} was not answered: {last:?}");
        self.violations.lock().unwrap().push(text);
    }

    /// Submits short jobs at all entries until `end`; returns when all are answered.
    pub async fn generate_load(self: Arc<Self>, end: Instant) {
        let mut customers = JoinSet::new();
        while Instant::now() < end {
            let (entry, site) = (rand::random_range(0..ENTRIES), self.clone());
            customers.spawn(async move {
                site.finish(entry, rand::random(), 1, SHORT_TASK_MS).await;
            });
            sleep(LOAD_INTERVAL).await;
        }
        customers.join_all().await;
    }

    /// Has many customers of the first entry leave at any time.
    pub async fn flood(self: Arc<Self>, entry: usize, end: Instant) {
        let mut customers = JoinSet::new();
        while Instant::now() < end {
            let site = self.clone();
            customers.spawn(async move {
                let stream = site.post(entry, rand::random(), 1, SHORT_TASK_MS).await;
                sleep(Duration::from_millis(rand::random_range(1..800))).await;
                drop(stream);
            });
            sleep(FLOOD_INTERVAL).await;
        }
        customers.join_all().await;
    }

    /// Returns the violated guarantees; keeps the log if there are any.
    pub fn conclude(&self) -> Vec<String> {
        let findings = self.fleet.audit.lock();
        let mut violations = self.violations.lock().unwrap().clone();
        violations.extend(findings.violations.iter().cloned());
        println!("seed {}: {} starts", self.seed, findings.starts.len());
        if !violations.is_empty() {
            let mut lines = self.fleet.log.lock().unwrap().clone();
            for (what, moments) in [("start", &findings.starts), ("end", &findings.ends)] {
                lines.extend(moments.iter().map(|(at, index, task)| {
                    let ago_ms = at.elapsed().as_millis();
                    format!("test {what}={task} upstream={index} ago_ms={ago_ms}")
                }));
            }
            let kind = if self.kept.lock().unwrap().is_empty() {
                "unread"
            } else {
                "hidden"
            };
            let path = std::env::temp_dir().join(format!("{kind}-{}.log", self.seed));
            std::fs::write(&path, lines.join("\n")).unwrap();
            println!("logs: {}", path.display());
        }
        violations
    }
}

/// Reads the status of an answer.
pub async fn status(stream: &mut TcpStream) -> Option<u16> {
    // "HTTP/1.1 200".
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.ok()?;
    String::from_utf8_lossy(&head[9..]).parse().ok()
}
