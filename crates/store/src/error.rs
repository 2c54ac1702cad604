//! Failures of the platform's store.

/// A call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer, or an answer that shows the store to be out. A write may
    /// have taken effect.
    #[error("the store did not answer: {0}")]
    Unavailable(String),
    /// The answer could not be understood.
    #[error("the store's answer could not be read: {0}")]
    Malformed(String),
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Self {
        if error.is_decode() {
            Self::Malformed(error.to_string())
        } else {
            Self::Unavailable(error.to_string())
        }
    }
}
