//! Errors that end a process before or after it serves.

use kernel::ini::Faults;
use std::{io, path::PathBuf};

/// Why a process could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("event=bad_arguments reason={0:?}")]
    Arguments(#[from] lexopt::Error),
    /// A settings file could not be read.
    #[error("event=unreadable_settings file={file:?} reason=\"{source}\"")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A settings file has faults.
    #[error("{}", describe(file, faults))]
    Settings {
        /// The file.
        file: PathBuf,
        /// All its faults.
        faults: Faults,
    },
    /// A listener could not be bound.
    #[error("event=bind_failed address={address:?} reason=\"{source}\"")]
    Bind {
        /// The address.
        address: String,
        /// Why.
        source: io::Error,
    },
    /// Logging could not be set up.
    #[error("event=logging_failed reason={0:?}")]
    Logging(String),
    /// The store's client could not be made.
    #[error("event=store_client_failed reason=\"{0}\"")]
    Store(#[from] store::Error),
    /// An input or output operation failed.
    #[error("event=io_failed reason=\"{0}\"")]
    Io(#[from] io::Error),
    /// The process was fenced and must be replaced.
    #[error("event=fenced reason=\"another entry recovered this incarnation's jobs\"")]
    Fenced,
    /// The process left before its work had ended.
    #[error("event=drain_incomplete reason=\"the bound passed with work left\"")]
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
