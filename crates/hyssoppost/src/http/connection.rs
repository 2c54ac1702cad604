//! A client's connection, which ends as soon as the client closes it.
//!
//! The HTTP server stops reading while a request is open and bytes of the next one are
//! there, so it would find the end of the stream only after its response. This connection
//! reads ahead instead, and fails the server's next flush when the stream has ended: the
//! server then drops the open request.

use bytes::{BufMut, BytesMut};
use futures::FutureExt;
use std::{
    io,
    pin::Pin,
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
const MAX_AHEAD: usize = 64 * 1024;

/// Interval at which the end of a stream is looked for behind [`MAX_AHEAD`] bytes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A connection of a client.
pub(super) struct Connection {
    stream: TcpStream,
    /// Bytes that the server has not asked for yet.
    ahead: BytesMut,
    /// Whether the server waits for bytes.
    is_awaited: bool,
    next_check: Option<Pin<Box<Sleep>>>,
    _open: watch::Receiver<()>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, open: watch::Receiver<()>) -> Self {
        Self {
            stream,
            ahead: BytesMut::new(),
            is_awaited: false,
            next_check: None,
            _open: open,
        }
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
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let count = self.ahead.len().min(buffer.remaining());
            buffer.put_slice(&self.ahead.split_to(count));
            if self.ahead.is_empty() {
                // Frees the memory, which an idle connection must not keep.
                self.ahead = BytesMut::new();
            }
            return Poll::Ready(Ok(()));
        }
        let before = buffer.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        // The server would go on with the request, as if only the client's sending half
        // were closed. A customer that has left may submit its job again.
        if before > 0 && buffer.remaining() == before {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.poll_bytes(context, buffer);
        self.is_awaited = read.is_pending();
        read
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
