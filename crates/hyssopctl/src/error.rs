//! Errors of the commands and their exit codes.

use kernel::ini::Faults;
use std::{io, path::PathBuf};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{0}")]
    Arguments(#[from] lexopt::Error),
    /// A file could not be read or written.
    #[error("{file:?}: {source}")]
    File {
        /// Path as given on the command line.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Documents or settings files are invalid: all faults of each file.
    #[error("{}", describe(.0))]
    Faults(Vec<(PathBuf, Faults)>),
    /// A process did not answer on its admin interface.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// An input or output operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// An entry or a side failed to start.
    #[error("{0}")]
    Process(#[from] hyssoppost::Error),
    /// An HTTP call failed.
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    /// A JSON document could not be parsed.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A call to the store failed.
    #[error("{0}")]
    Store(#[from] store::Error),
    /// A change was not published.
    #[error("{0}")]
    Publication(#[from] store::publication::Error<store::Error>),
    /// The logs contain no line about the job with this identifier.
    #[error("no line about {0}")]
    NoLine(String),
    /// One or more submitted jobs failed.
    #[error("job failed: {0}")]
    Job(String),
    /// A command could not do its work, or a run violated a guarantee.
    #[error("{0}")]
    Failed(String),
}

impl Error {
    /// Creates an error from the faults of one file.
    pub fn faults(file: impl Into<PathBuf>, faults: Faults) -> Self {
        Self::Faults(vec![(file.into(), faults)])
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_) => 2,
            Self::File { .. } | Self::Faults(_) | Self::Json(_) => 3,
            Self::Io(_)
            | Self::Process(_)
            | Self::Http(_)
            | Self::Unreachable(_)
            | Self::Store(_)
            | Self::Publication(store::publication::Error::Store(_)) => 4,
            Self::Publication(_) => 5,
            Self::Job(_) | Self::NoLine(_) => 6,
            Self::Failed(_) => 7,
        }
    }
}

fn describe(files: &[(PathBuf, Faults)]) -> String {
    let lines: Vec<String> = files
        .iter()
        .flat_map(|(file, faults)| faults.0.iter().map(move |fault| (file, fault)))
        .map(|(file, fault)| format!("file=\"{}\" {fault}", file.display()))
        .collect();
    lines.join("\n")
}
