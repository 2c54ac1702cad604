//! One program under test, started from outside and signalled by its id.

#![allow(dead_code, reason = "each test file uses a part")]

use rustix::process::{Pid, Signal, kill_process};
use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

const START: Duration = Duration::from_secs(20);

/// What becomes of what a program prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// It is read.
    Read,
    /// It is not read after the program has started; the pipe stays open.
    Unread,
}

/// A running program; it is killed when dropped.
pub struct Process {
    child: Child,
    /// Addresses of its first line, by name.
    started: String,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a role and waits until it has bound its listeners.
    pub fn start(role: &str, settings: &Path, log: &Arc<Mutex<Vec<String>>>) -> Self {
        Self::launch(role, settings, log, Output::Read)
    }

    /// Starts a role as [`Process::start`] does.
    pub fn launch(
        role: &str,
        settings: &Path,
        log: &Arc<Mutex<Vec<String>>>,
        output: Output,
    ) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_hyssoppost"))
            .args([role, "--settings"])
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program");
        let mut lines = BufReader::new(child.stdout.take().expect("piped above")).lines();
        let (first, started) = mpsc::channel();
        let kept = log.clone();
        let name = settings.file_stem().unwrap_or_default().to_owned();
        std::thread::spawn(move || {
            for line in lines.by_ref().map_while(Result::ok) {
                let has_started = line.contains("_started ");
                let named = format!("{} {line}", name.display());
                kept.lock().expect("no reader panics").push(named);
                if has_started {
                    // Nobody waits for a later one.
                    let _ = first.send(line);
                    if output == Output::Unread {
                        // Keeps the pipe open without reading.
                        std::mem::forget(lines);
                        return;
                    }
                }
            }
        });
        let started = started.recv_timeout(START).expect("the program starts");
        Self {
            child,
            started,
            log: log.clone(),
        }
    }

    /// Returns an address that the program has bound.
    pub fn address(&self, key: &str) -> SocketAddr {
        let pattern = format!("{key}=");
        let found = self
            .started
            .split(' ')
            .find_map(|word| word.strip_prefix(&pattern));
        found.expect("a bound address").parse().expect("an address")
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        // A program that has ended takes no signal.
        let _ = kill_process(Pid::from_raw(pid).expect("not zero"), signal);
    }

    /// Returns whether the program has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child of ours").is_some()
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        // Waits, so that its sockets are closed.
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        self.log
            .lock()
            .expect("no reader panics")
            .push("killed".to_owned());
    }
}

/// Writes settings into a folder of the test's own.
pub fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(format!("{name}.ini"));
    let mut file = std::fs::File::create(&path).expect("a writable folder");
    file.write_all(text.as_bytes()).expect("room for settings");
    path
}

/// Waits until `ready` holds.
pub async fn until(what: &str, mut ready: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !ready() {
        assert!(begun.elapsed() < START, "timeout: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
