//! Reloads a settings file when it changes, checked periodically and on SIGHUP.
//!
//! The log level and the addresses of entries take effect at once; all other
//! settings at the next start. A file with faults changes nothing.

use crate::{Error, settings};
use std::{net::SocketAddr, path::PathBuf, time::Duration};
use tokio::signal::unix::Signal;

/// Interval at which the file is read: short for an operator who waits for a
/// change, and cheap since the file is small.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Settings that take effect without a restart.
#[derive(Debug)]
pub struct Change {
    /// Least severe log level.
    pub level: log::LevelFilter,
    /// Addresses of entries to connect to.
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

/// Follows a settings file forever: reads it with `read` when its content has
/// changed, and passes the new settings to `apply`. Faults are logged.
pub async fn follow(
    path: PathBuf,
    mut sighup: Signal,
    read: impl Fn(&std::path::Path) -> Result<Change, Error>,
    apply: impl AsyncFn(Change),
) {
    let mut loaded = std::fs::read(&path).ok();
    loop {
        let is_requested = tokio::select! {
            Some(()) = sighup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let content = std::fs::read(&path).ok();
        if content == loaded {
            if is_requested {
                log::info!("event=settings_unchanged");
            }
            continue;
        }
        loaded = content;
        match read(&path) {
            Ok(change) => {
                log::set_max_level(change.level);
                log::info!(
                    "event=settings_taken level={} entries={} rest=\"at the next start\"",
                    change.level,
                    change.entries.len()
                );
                apply(change).await;
            }
            Err(error) => log::error!("event=settings_refused\n{error}"),
        }
    }
}
