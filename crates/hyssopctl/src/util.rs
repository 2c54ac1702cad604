//! Small helpers that commands share.

use crate::Error;
use std::{
    fs,
    io::Read,
    path::Path,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Reads a file, or standard input for `-`.
pub fn read_input(path: &Path) -> Result<String, Error> {
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    fs::read_to_string(path).map_err(|source| Error::File {
        file: path.to_owned(),
        source,
    })
}

/// Writes a file.
pub fn write_output(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    fs::write(path, bytes).map_err(|source| Error::File {
        file: path.to_owned(),
        source,
    })
}

/// Returns the time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Runs a future on a runtime of its own.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(future)
}

/// Prints how much of a run has passed until it is dropped.
#[derive(Debug)]
pub struct Progress(tokio::task::JoinHandle<()>);

/// Interval between progress lines.
const PROGRESS: Duration = Duration::from_secs(5);

impl Progress {
    /// Starts printing to standard error.
    pub fn spawn(length: Duration) -> Self {
        Self(tokio::spawn(async move {
            let begun = std::time::Instant::now();
            loop {
                tokio::time::sleep(PROGRESS).await;
                let passed = begun.elapsed().as_secs();
                eprintln!("{passed} s of about {} s", length.as_secs());
            }
        }))
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.0.abort();
    }
}
