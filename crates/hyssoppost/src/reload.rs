//! Takes up a settings file that has changed, with or without a signal.
//!
//! The least log level and the addresses of entries take effect at once;
//! everything else with the next start. A file with faults changes nothing.

use crate::{Error, settings};
use std::{net::SocketAddr, path::PathBuf, time::Duration};
use tokio::signal::unix::Signal;

/// Interval at which the file is looked at: well under the seconds that an
/// operator waits, and one read of a small file.
const LOOK: Duration = Duration::from_secs(2);

/// What takes effect without a new start.
#[derive(Debug)]
pub struct Change {
    /// Least severe log level.
    pub level: log::LevelFilter,
    /// Addresses of entries.
    pub entries: Vec<SocketAddr>,
}

impl From<settings::Entry> for Change {
    fn from(settings: settings::Entry) -> Self {
        Self {
            level: settings.common.level,
            entries: settings.peers,
        }
    }
}

impl From<settings::Side> for Change {
    fn from(settings: settings::Side) -> Self {
        Self {
            level: settings.common.level,
            entries: settings.entries,
        }
    }
}

/// Follows a settings file; `take` gets what changes.
pub async fn follow(
    path: PathBuf,
    mut hangup: Signal,
    read: impl Fn(&std::path::Path) -> Result<Change, Error>,
    take: impl AsyncFn(Change),
) {
    let mut known = std::fs::read(&path).ok();
    loop {
        let signalled = tokio::select! {
            Some(()) = hangup.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        let now = std::fs::read(&path).ok();
        if now == known {
            if signalled {
                log::info!("event=settings_unchanged");
            }
            continue;
        }
        known = now;
        match read(&path) {
            Ok(change) => {
                log::set_max_level(change.level);
                log::info!(
                    "event=settings_taken level={} entries={} rest=\"at the next start\"",
                    change.level,
                    change.entries.len()
                );
                take(change).await;
            }
            Err(error) => log::error!("event=settings_refused\n{error}"),
        }
    }
}
