//! Logs: one line of key=value pairs an event, on standard output.
//!
//! Lines go through a bounded channel to a thread of their own, so a reader
//! that has stopped delays nobody. What does not fit is dropped and counted.

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
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Lines that wait for the writer: some seconds of a busy process.
const WAITING: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Encodes lines and passes them on.
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

/// Sends log events from `level` on to standard output.
pub fn open(level: LevelFilter) -> Result<(), Error> {
    let (lines, queue) = sync_channel(WAITING);
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

/// Writes lines, as many as are ready in one call, and tells how many were
/// dropped before.
fn write(queue: &Receiver<Vec<u8>>, mut output: impl Write) {
    let mut told = 0;
    while let Ok(mut lines) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            lines.extend(line);
        }
        let dropped = dropped();
        if dropped > told {
            let line = format!("level=WARN event=log_dropped lines={}\n", dropped - told);
            lines.extend(line.into_bytes());
            told = dropped;
        }
        let written = output.write_all(&lines).and_then(|()| output.flush());
        if written.is_err() {
            // Nobody reads any more, and there is no other place to tell.
            return;
        }
    }
}
