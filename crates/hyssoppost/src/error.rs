//! Errors with which a process exits.

use kernel::ini::Faults;
use std::{io, path::PathBuf};

/// An error with which a process exits; its text is the log line.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line can't be parsed.
    #[error("event=bad_arguments reason={0:?}")]
    Arguments(#[from] lexopt::Error),
    /// A settings file could not be read.
    #[error("event=unreadable_settings file={file:?} reason=\"{source}\"")]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the read.
        source: io::Error,
    },
    /// A settings file is invalid.
    #[error("{}", describe(file, faults))]
    Settings {
        /// Path of the file.
        file: PathBuf,
        /// All faults of the file.
        faults: Faults,
    },
    /// A listener could not be bound.
    #[error("event=bind_failed address={address:?} reason=\"{source}\"")]
    Bind {
        /// Address as IP:port.
        address: String,
        /// Error of the bind.
        source: io::Error,
    },
    /// Logging could not be set up.
    #[error("event=logging_failed reason={0:?}")]
    Logging(String),
    /// A client for the store or the upstream could not be created.
    #[error("event=store_client_failed reason=\"{0}\"")]
    Store(#[from] store::Error),
    /// An input or output operation failed.
    #[error("event=io_failed reason=\"{0}\"")]
    Io(#[from] io::Error),
    /// Another entry recovered this incarnation's jobs; the process must be
    /// restarted.
    #[error("event=fenced reason=\"another entry recovered this incarnation's jobs\"")]
    Fenced,
    /// The process stopped before its work had ended.
    #[error("event=drain_incomplete reason=\"the process stopped with unfinished work\"")]
    DrainIncomplete,
}

impl Error {
    /// Returns the process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_) => 2,
            Self::Unreadable { .. } | Self::Settings { .. } => 3,
            Self::Bind { .. } | Self::Logging(_) | Self::Store(_) | Self::Io(_) => 4,
            Self::Fenced => 5,
            Self::DrainIncomplete => 6,
        }
    }
}

fn describe(file: &std::path::Path, faults: &Faults) -> String {
    let lines: Vec<String> = faults
        .0
        .iter()
        .map(|fault| format!("event=bad_settings file=\"{}\" {fault}", file.display()))
        .collect();
    lines.join("\n")
}
