//! How far a long run has come, for the eye.

use std::time::{Duration, Instant};

/// Prints how much of a run has passed until it is dropped.
#[derive(Debug)]
pub struct Progress(tokio::task::JoinHandle<()>);

/// Interval between progress lines.
const PROGRESS: Duration = Duration::from_secs(5);

impl Progress {
    /// Starts printing to standard error.
    pub fn spawn(length: Duration) -> Self {
        Self(tokio::spawn(async move {
            let begun = Instant::now();
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
