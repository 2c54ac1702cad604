//! Errors that end a command.

use kernel::ini::Faults;
use std::{io, path::PathBuf};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Arguments(#[from] lexopt::Error),
    /// A file could not be read or written.
    #[error("{file:?}: {source}")]
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Documents or settings files have faults: all of them, by file.
    #[error("{}", describe(.0))]
    Faults(Vec<(PathBuf, Faults)>),
    /// A process did not answer.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// An input or output operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A process of the system could not start.
    #[error("{0}")]
    Process(#[from] hyssoppost::Error),
    /// An HTTP call failed.
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    /// A JSON document could not be read.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The store did not answer.
    #[error("{0}")]
    Store(#[from] store::Error),
    /// A change could not be published.
    #[error("{0}")]
    Publication(#[from] store::publication::Error<store::Error>),
    /// The logs have no line about a job.
    #[error("no line about {0}")]
    NoLine(String),
    /// A job failed.
    #[error("job failed: {0}")]
    Job(String),
    /// A run broke a promise or missed its bound.
    #[error("{0}")]
    Broken(String),
}

impl Error {
    /// Makes an error of one file's faults.
    pub fn faults(file: impl Into<PathBuf>, faults: Faults) -> Self {
        Self::Faults(vec![(file.into(), faults)])
    }

    /// Returns the exit code.
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
            Self::Broken(_) => 7,
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
