//! A process under test, controlled by signals.

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

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether the standard output of a process is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Read to the end.
    Read,
    /// Not read after the process has started; the pipe stays open.
    Unread,
}

/// A running process; it is killed when dropped.
pub struct Process {
    child: Child,
    /// Its log line `event=…_started`, which lists the bound addresses.
    started: String,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a role and waits until it has bound its listeners.
    pub fn start(role: &str, settings: &Path, log: &Arc<Mutex<Vec<String>>>) -> Self {
        Self::launch(role, settings, log, Output::Read)
    }

    /// Starts a role as [`Process::start`] does, with the given treatment of its
    /// output.
    pub fn launch(
        role: &str,
        settings: &Path,
        log: &Arc<Mutex<Vec<String>>>,
        output: Output,
    ) -> Self {
        let command = Command::new(env!("CARGO_BIN_EXE_hyssoppost"));
        Self::spawn(command, role, settings, log, output)
    }

    /// Starts a role as [`Process::start`] does, with at most this many open
    /// descriptors.
    pub fn start_limited(
        role: &str,
        settings: &Path,
        log: &Arc<Mutex<Vec<String>>>,
        descriptors: usize,
    ) -> Self {
        let mut command = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        command.args(["-c", &script, env!("CARGO_BIN_EXE_hyssoppost")]);
        Self::spawn(command, role, settings, log, Output::Read)
    }

    fn spawn(
        mut command: Command,
        role: &str,
        settings: &Path,
        log: &Arc<Mutex<Vec<String>>>,
        output: Output,
    ) -> Self {
        let mut child = command
            .args([role, "--settings"])
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process spawns");
        let mut lines = BufReader::new(child.stdout.take().expect("piped above")).lines();
        let (first, started) = mpsc::channel();
        let log_lines = log.clone();
        let name = settings.file_stem().unwrap_or_default().to_owned();
        std::thread::spawn(move || {
            for line in lines.by_ref().map_while(Result::ok) {
                let has_started = line.contains("_started ");
                let named = format!("{} {line}", name.display());
                log_lines.lock().expect("no reader panics").push(named);
                if has_started {
                    // Fails for a second such line, which nothing waits for.
                    let _ = first.send(line);
                    if output == Output::Unread {
                        // Keeps the pipe open without reading.
                        std::mem::forget(lines);
                        return;
                    }
                }
            }
        });
        let started = started
            .recv_timeout(START_TIMEOUT)
            .expect("the process starts");
        Self {
            child,
            started,
            log: log.clone(),
        }
    }

    /// Returns an address that the process has bound.
    pub fn address(&self, key: &str) -> SocketAddr {
        let pattern = format!("{key}=");
        let found = self
            .started
            .split(' ')
            .find_map(|word| word.strip_prefix(&pattern));
        found.expect("a bound address").parse().expect("an address")
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.id()).expect("a process id");
        // Fails if the process has ended.
        let _ = kill_process(Pid::from_raw(pid).expect("not zero"), signal);
    }

    /// Returns the process's identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the status of a child process")
            .is_some()
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        // Its sockets are closed after the wait.
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

/// Writes a settings file into the test's folder.
pub fn write_ini(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(format!("{name}.ini"));
    let mut file = std::fs::File::create(&path).expect("a writable folder");
    file.write_all(text.as_bytes()).expect("room for settings");
    path
}

/// Waits until `ready` returns true.
pub async fn wait_until(what: &str, mut ready: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !ready() {
        assert!(
            started_at.elapsed() < START_TIMEOUT,
            "timeout while waiting for {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
