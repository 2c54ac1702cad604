//! Bodies of requests, read within the connection's limits.

use crate::budget::{Full, Share, Stage};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, combinators::BoxBody};
use hyper::body::Body as _;
use poem::{FromRequest, Request, RequestBody};
use std::{io, sync::Arc};

/// Least memory charged for a body whose length is not stated, in bytes.
const MIN_CAPACITY: usize = 16 << 10;

/// Most bytes of a refused body that are read, so that its client gets the answer.
const MAX_DRAINED_BYTES: usize = 1 << 20;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is larger than the limit.
    #[error("the body is too large")]
    TooLarge,
    /// There is no memory for it.
    #[error("{0}")]
    Full(#[from] Full),
    /// The connection failed, or the body is malformed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// The body of a request, or why it was not read.
#[derive(Debug)]
pub struct Whole(pub Result<Bytes, Error>);

impl<'a> FromRequest<'a> for Whole {
    async fn from_request(request: &'a Request, body: &mut RequestBody) -> poem::Result<Self> {
        Ok(Self(read(request, body.take()?).await))
    }
}

/// Reads the body that was taken from a request, within the listener's limits. A body
/// that is refused is read to its end if that is near, since a connection that is closed
/// with unread bytes may lose its answer.
pub async fn read(request: &Request, body: poem::Body) -> Result<Bytes, Error> {
    let Some(share) = request.extensions().get::<Arc<Share>>().cloned() else {
        return Err(io::Error::other("the request came from no server").into());
    };
    let limit = share.limits().body_bytes;
    let mut body: BoxBody<Bytes, io::Error> = body.into();
    let result = collect(&mut body, limit, &share).await;
    if let Err(error) = &result {
        let cause = match error {
            Error::TooLarge => "body_too_large",
            Error::Full(_) => "body_without_room",
            Error::Io(_) => return result,
        };
        share.record_refusal(cause);
        share.release();
        drain(&mut body).await;
    }
    share.enter(Stage::Serving);
    result
}

async fn collect(
    body: &mut BoxBody<Bytes, io::Error>,
    limit: usize,
    share: &Share,
) -> Result<Bytes, Error> {
    let stated = body.size_hint().exact();
    let stated = stated.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if stated.is_some_and(|length| length > limit) {
        return Err(Error::TooLarge);
    }
    let most = stated.unwrap_or(limit);
    let mut bytes = BytesMut::new();
    let mut charged = 0;
    while let Some(frame) = body.frame().await {
        // Trailers carry nothing that is used.
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(Error::TooLarge);
        }
        if length > charged {
            let capacity = (2 * charged).max(MIN_CAPACITY).max(length).min(most);
            share.grow(capacity - charged).await?;
            charged = capacity;
            bytes.reserve(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Discards a body up to [`MAX_DRAINED_BYTES`].
async fn drain(body: &mut BoxBody<Bytes, io::Error>) {
    let mut read = 0;
    if body.size_hint().lower() > MAX_DRAINED_BYTES as u64 {
        return;
    }
    while read <= MAX_DRAINED_BYTES {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        read += frame.data_ref().map_or(0, Bytes::len);
    }
}
