//! A client's connection, which ends as soon as the client closes it.
//!
//! The HTTP server stops reading while a request is open and bytes of the next one are
//! there, so it would find the end of the stream only after its response. This connection
//! reads ahead instead, and fails the server's next flush when the stream has ended: the
//! server then drops the open request.
//!
//! It also tells the connection's [`Share`] which stage a request is in, and reads no
//! more of a head than its limit.

use crate::budget::{Cause, Share, Stage};
use bytes::{BufMut, BytesMut};
use futures::FutureExt;
use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready},
    net::TcpStream,
    sync::watch,
    time::{Sleep, sleep},
};

/// Most bytes that are read before the server asks for them.
const MAX_AHEAD: usize = 8 << 10;

/// Most bytes that the server gets at once. Its buffer grows when it is filled, and
/// starts with one byte more.
const MAX_READ: usize = (8 << 10) - 1;

/// Interval at which the end of a stream is looked for behind [`MAX_AHEAD`] bytes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A connection of a client.
pub(super) struct Connection {
    stream: TcpStream,
    share: Arc<Share>,
    /// Bytes read since the last answer, while the head is incomplete.
    head_bytes: usize,
    /// Bytes that the server has not asked for yet.
    ahead: BytesMut,
    /// Whether the server waits for bytes.
    is_awaited: bool,
    next_check: Option<Pin<Box<Sleep>>>,
    _open: watch::Receiver<()>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, share: Arc<Share>, open: watch::Receiver<()>) -> Self {
        Self {
            stream,
            share,
            head_bytes: 0,
            ahead: BytesMut::new(),
            is_awaited: false,
            next_check: None,
            _open: open,
        }
    }

    /// Returns the client's address.
    pub(super) fn remote(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Reads ahead and returns an error if the client has closed the connection;
    /// otherwise has `context` woken when it does.
    fn detect_end(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        let before = self.ahead.len();
        while self.ahead.len() < MAX_AHEAD {
            let Poll::Ready(readiness) = self.stream.poll_read_ready(context) else {
                break;
            };
            readiness?;
            let room = MAX_AHEAD - self.ahead.len();
            let mut buffer = (&mut self.ahead).limit(room);
            match self.stream.try_read_buf(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::ConnectionReset.into()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        if self.is_awaited && self.ahead.len() > before {
            context.waker().wake_by_ref();
        }
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
        if self.ahead.len() < MAX_AHEAD {
            self.next_check = None;
            return Ok(());
        }
        self.check_later(context)
    }

    /// Looks for the end of the stream behind bytes that are left unread, at an interval:
    /// the socket stays readable, so its end wakes nobody.
    fn check_later(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        let readiness = self.stream.ready(Interest::READABLE).now_or_never();
        if readiness.transpose()?.is_some_and(Ready::is_read_closed) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        loop {
            let check = self
                .next_check
                .get_or_insert_with(|| Box::pin(sleep(CHECK_INTERVAL)));
            if check.as_mut().poll(context).is_pending() {
                return Ok(());
            }
            self.next_check = None;
        }
    }

    fn poll_bytes(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.ahead.is_empty() {
            let count = self.ahead.len().min(buffer.len());
            buffer[..count].copy_from_slice(&self.ahead.split_to(count));
            if self.ahead.is_empty() {
                // Frees the memory, which an idle connection must not keep.
                self.ahead = BytesMut::new();
            }
            return Poll::Ready(Ok(count));
        }
        let mut bytes = ReadBuf::new(buffer);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut bytes))?;
        let count = bytes.filled().len();
        // The server would go on with the request, as if only the client's sending half
        // were closed. A customer that has left may submit its job again.
        if count == 0 && !buffer.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(count))
    }

    /// Returns how many bytes the server may get now. A head that is as large as its
    /// limit and still incomplete closes the connection.
    fn next_read(&mut self) -> io::Result<usize> {
        let stage = self.share.stage();
        if stage == Stage::Answer {
            // The server looks for the next request.
            self.share.enter(Stage::Idle);
        }
        match stage {
            Stage::Body | Stage::Serving => {
                self.head_bytes = 0;
                return Ok(MAX_READ);
            }
            Stage::Answer => self.head_bytes = 0,
            Stage::Idle | Stage::Head => {}
        }
        let limit = self.share.limits().head_bytes;
        if self.head_bytes >= limit {
            self.share.close(Cause::Head);
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(MAX_READ.min(limit - self.head_bytes))
    }

    /// Records bytes that the server has got.
    fn record_read(&mut self, count: usize) {
        match self.share.stage() {
            Stage::Idle => {
                self.share.enter(Stage::Head);
                self.head_bytes = count;
            }
            Stage::Head => self.head_bytes += count,
            Stage::Body | Stage::Serving | Stage::Answer => self.share.record_read(),
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = self.next_read()?.min(buffer.remaining());
        let read = self.poll_bytes(context, buffer.initialize_unfilled_to(most));
        self.is_awaited = read.is_pending();
        let count = ready!(read)?;
        buffer.advance(count);
        self.record_read(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.share.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.share.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The server flushes in each of its turns, also while it reads nothing.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.detect_end(context)?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
