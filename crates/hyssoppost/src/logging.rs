//! Logging of one line of key=value pairs per event to standard output.
//!
//! A separate thread writes the lines, which it receives through a bounded
//! channel. A blocked standard output therefore never blocks the process; lines
//! that don't fit into the channel are dropped and counted.

use crate::Error;
use log::{LevelFilter, Record};
use log4rs::{
    Config,
    append::Append,
    config::{Appender, Root},
    encode::{Encode, pattern::PatternEncoder, writer::simple::SimpleWriter},
};
use std::{
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Most lines queued for the writer: some seconds of a busy process.
const MAX_QUEUED_LINES: usize = 4_096;

/// Shortest interval between two lines about the same fault of another process.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Limits the lines about a fault that recurs with every message.
#[derive(Debug, Default)]
pub(crate) struct Pacer(Mutex<Option<Instant>>);

impl Pacer {
    /// Returns whether a line is due, and counts it as logged.
    pub(crate) fn is_due(&self) -> bool {
        let mut logged_at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = logged_at.is_none_or(|at| at.elapsed() >= REPEAT_INTERVAL);
        if is_due {
            *logged_at = Some(Instant::now());
        }
        is_due
    }
}

/// Appender that queues encoded lines for the writer.
#[derive(Debug)]
struct Queue {
    encoder: PatternEncoder,
    lines: SyncSender<Vec<u8>>,
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if self.lines.try_send(line.0).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Logs events of `level` and above to standard output.
pub fn open(level: LevelFilter) -> Result<(), Error> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&queue, io::stdout()))?;
    let appender = Queue {
        encoder: PatternEncoder::new(PATTERN),
        lines,
    };
    let config = Config::builder()
        .appender(Appender::builder().build("queue", Box::new(appender)))
        .build(Root::builder().appender("queue").build(level))
        .map_err(|error| Error::Logging(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| Error::Logging(error.to_string()))?;
    Ok(())
}

/// Writes all queued lines per call, followed by a line with the number of
/// dropped ones if there are any.
fn write(queue: &Receiver<Vec<u8>>, mut output: impl Write) {
    let mut reported = 0;
    while let Ok(mut lines) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            lines.extend(line);
        }
        let dropped = dropped();
        if dropped > reported {
            let line = format!(
                "level=WARN event=log_dropped lines={}\n",
                dropped - reported
            );
            lines.extend(line.into_bytes());
            reported = dropped;
        }
        let written = output.write_all(&lines).and_then(|()| output.flush());
        if written.is_err() {
            // Standard output is closed, and the error can't be logged.
            return;
        }
    }
}
