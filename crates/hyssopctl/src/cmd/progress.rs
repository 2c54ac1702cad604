//! Progress output of long runs.

use std::time::{Duration, Instant};

/// Prints the elapsed time of a run to standard error until it is dropped.
#[derive(Debug)]
pub struct Progress(tokio::task::JoinHandle<()>);

/// Interval between progress lines.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

impl Progress {
    /// Starts printing; `length` is the expected duration of the run.
    pub fn spawn(length: Duration) -> Self {
        Self(tokio::spawn(async move {
            let started = Instant::now();
            loop {
                tokio::time::sleep(LINE_INTERVAL).await;
                let elapsed_s = started.elapsed().as_secs();
                eprintln!("{elapsed_s} s of about {} s", length.as_secs());
            }
        }))
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.0.abort();
    }
}
