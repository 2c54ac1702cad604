//! Errors of calls to the platform's store.

/// A call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer, or an HTTP error status. A write may have taken effect.
    #[error("the store did not answer: {0}")]
    Unavailable(String),
    /// The answer could not be decoded.
    #[error("the store's answer could not be decoded: {0}")]
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
