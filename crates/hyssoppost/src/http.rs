//! HTTP servers of the processes.
//!
//! A server stops in three steps, so that it resets no connection on which a
//! client is about to send a request. It takes the connections that clients have
//! already opened and then stops listening. It goes on serving while clients send
//! their requests. Then it closes what is idle and finishes the rest.

pub mod body;
mod connection;

use crate::{
    Error,
    budget::{Limits, Pool, REVIEW_INTERVAL, Share, Stage},
};
use bytes::Bytes;
use connection::Connection;
use http_body_util::combinators::BoxBody;
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use poem::{
    Addr, Endpoint, EndpointExt, Request, Response,
    http::{HeaderValue, header::CONNECTION, uri::Scheme},
    web::{LocalAddr, RemoteAddr},
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{Interval, MissedTickBehavior, interval, timeout},
};

/// Time in which a client that has connected must send its request once the
/// server no longer listens.
const REQUEST_WAIT: Duration = Duration::from_millis(200);

/// Size of the receive buffer and of the send buffer of a connection, in bytes.
const SOCKET_BUFFER_BYTES: u32 = 16 << 10;

/// Most connections that the system keeps until the server accepts them.
const BACKLOG: u32 = 1_024;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest answer that is not charged, in bytes.
const SMALL_ANSWER_BYTES: u64 = 4 << 10;

/// Largest buffer of the HTTP server for a head, in bytes; the listener's limit is
/// smaller.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Limits of the listeners that serve operators, the load balancer and upstreams. They
/// are apart from the customers', whose crowds must not shut those out.
pub const INTERNAL_LIMITS: Limits = Limits {
    connections: 32,
    bytes: 4 << 20,
    head_bytes: 16 << 10,
    body_bytes: 64 << 10,
    header_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_mins(2),
    body_timeout: Duration::from_secs(30),
};

/// A running HTTP server. Dropping the handle stops it as [`Handle::close`]
/// does, without waiting for requests.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    /// Stops listening.
    unlisten: watch::Sender<bool>,
    /// Closes idle connections, and the others after their responses.
    stop: watch::Sender<bool>,
    /// Counts the open connections: each holds a receiver, as does the acceptor.
    connections: Arc<watch::Sender<()>>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections, and waits until every request has its response
    /// or the drain time is over. Requests that arrive meanwhile are served.
    pub async fn close(self) {
        self.unlisten.send_replace(true);
        // Fails if connections stay open, which the next step closes.
        let _ = tokio::time::timeout(REQUEST_WAIT, self.connections.closed()).await;
        self.stop.send_replace(true);
        // Fails only if the server's task panicked; there is nothing left to
        // close.
        let _ = self.task.await;
    }
}

/// Binds `address` within [`INTERNAL_LIMITS`] and serves `app` on it as [`bind_within`]
/// does. Logs and metrics carry the name of the `listener`.
pub fn bind<E: Endpoint + 'static>(
    listener: &'static str,
    address: SocketAddr,
    drain: Duration,
    app: E,
) -> Result<Handle, Error> {
    bind_within(Pool::new(listener, INTERNAL_LIMITS), address, drain, app)
}

/// Binds `address` and serves `app` on it; its connections share the `pool`.
/// [`Handle::close`] waits for `drain` at most once it has closed the idle connections.
pub fn bind_within<E: Endpoint + 'static>(
    pool: Arc<Pool>,
    address: SocketAddr,
    drain: Duration,
    app: E,
) -> Result<Handle, Error> {
    let listener = listen(address).map_err(|source| Error::Bind {
        address: address.to_string(),
        source,
    })?;
    let address = listener.local_addr()?;
    let (unlisten, unlistened) = watch::channel(false);
    let (stop, stopped) = watch::channel(false);
    let connections = Arc::new(watch::Sender::new(()));
    let mut review = interval(REVIEW_INTERVAL);
    review.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let server = Server {
        address,
        app: Arc::new(app.map_to_response()),
        pool,
        state: State::Listening(listener),
        unlistened,
        stopped,
        open: connections.subscribe(),
        tasks: JoinSet::new(),
        review,
    };
    Ok(Handle {
        address,
        unlisten,
        stop,
        connections,
        task: tokio::spawn(server.run(drain)),
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit both.
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

enum State {
    Listening(TcpListener),
    /// Takes the connections that clients opened before.
    Emptying(std::net::TcpListener),
    Closed,
}

/// A server accepts connections until it is told to stop, and then those that are open
/// already.
struct Server<E> {
    address: SocketAddr,
    app: Arc<E>,
    pool: Arc<Pool>,
    state: State,
    unlistened: watch::Receiver<bool>,
    stopped: watch::Receiver<bool>,
    /// Cloned for each connection.
    open: watch::Receiver<()>,
    tasks: JoinSet<()>,
    review: Interval,
}

impl<E: Endpoint<Output = Response> + 'static> Server<E> {
    async fn run(mut self, drain: Duration) {
        let mut stopped = self.stopped.clone();
        loop {
            tokio::select! {
                () = until_set(&mut stopped) => break,
                accepted = accept(&self.state, &mut self.unlistened) => match accepted {
                    Ok(Some(stream)) => self.admit(stream).await,
                    Ok(None) => self.advance(),
                    Err(error) => self.recover(&error).await,
                },
                _ = self.review.tick(), if !self.tasks.is_empty() => self.pool.review(),
                Some(ended) = self.tasks.join_next() => {
                    report_end(self.address, ended);
                    if self.tasks.is_empty() {
                        self.pool.review();
                    }
                }
            }
        }
        self.state = State::Closed;
        let finish = async {
            while let Some(ended) = self.tasks.join_next().await {
                report_end(self.address, ended);
            }
        };
        // Whatever is open then is closed with the tasks.
        let _ = timeout(drain, finish).await;
    }

    /// Serves a connection once there is room for it; otherwise closes it.
    async fn admit(&mut self, stream: TcpStream) {
        let (open, stopped) = (self.open.clone(), self.stopped.clone());
        let (app, address) = (self.app.clone(), self.address);
        let serve = async move |share| {
            let share = Arc::new(share);
            let connection = Connection::new(stream, Arc::clone(&share), open);
            serve(connection, share, &*app, address, stopped).await;
        };
        if let Some(share) = self.pool.admit() {
            self.tasks.spawn(serve(share));
            return;
        }
        let Some(place) = self.pool.queue().await else {
            self.pool.record_refusal("connection");
            return;
        };
        let pool = self.pool.clone();
        self.tasks.spawn(async move {
            match place.wait().await {
                Ok(share) => serve(share).await,
                Err(_) => pool.record_refusal("connection"),
            }
        });
    }

    /// Goes to the next state once no connection is to be expected in this one.
    fn advance(&mut self) {
        self.state = match std::mem::replace(&mut self.state, State::Closed) {
            State::Listening(listener) => {
                listener.into_std().map_or(State::Closed, State::Emptying)
            }
            State::Emptying(_) | State::Closed => {
                // From now on only connections hold receivers.
                self.open = watch::channel(()).1;
                State::Closed
            }
        };
    }

    /// Frees a descriptor, of which there may be none, before the next attempt.
    async fn recover(&self, error: &io::Error) {
        log::debug!(
            "event=accept_failed address={} reason=\"{error}\"",
            self.address
        );
        self.pool.record_refusal("accept");
        self.pool.shed();
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Accepts a connection; `None` if none is to be expected in this state.
async fn accept(
    state: &State,
    unlistened: &mut watch::Receiver<bool>,
) -> io::Result<Option<TcpStream>> {
    match state {
        State::Listening(listener) => tokio::select! {
            accepted = listener.accept() => Ok(Some(accepted?.0)),
            () = until_set(unlistened) => Ok(None),
        },
        State::Emptying(listener) => match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                Ok(Some(TcpStream::from_std(stream)?))
            }
            Err(_) => Ok(None),
        },
        State::Closed => std::future::pending().await,
    }
}

/// Resolves when a signal to stop is set, or when the server's handle was dropped.
async fn until_set(signal: &mut watch::Receiver<bool>) {
    // An error means the latter.
    let _ = signal.wait_for(|is_set| *is_set).await;
}

fn report_end(address: SocketAddr, ended: Result<(), tokio::task::JoinError>) {
    if let Err(error) = ended {
        log::error!("event=connection_failed address={address} reason=\"{error}\"");
    }
}

/// Serves a connection until it ends, or until its pool or the server closes it.
async fn serve<E: Endpoint<Output = Response>>(
    connection: Connection,
    share: Arc<Share>,
    app: &E,
    local: SocketAddr,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(remote) = connection.remote() else {
        return;
    };
    let service = service_fn(|request: hyper::Request<Incoming>| {
        let stage = if request.body().is_end_stream() {
            Stage::Serving
        } else {
            Stage::Body
        };
        share.enter(stage);
        let addresses = (
            LocalAddr(Addr::SocketAddr(local)),
            RemoteAddr(Addr::SocketAddr(remote)),
        );
        let mut request = Request::from((request, addresses.0, addresses.1, Scheme::HTTP));
        request.extensions_mut().insert(share.clone());
        answer(app, request, &share)
    });
    let served = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(connection), service);
    tokio::pin!(served);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            // How a client's connection ends is no concern of the server.
            _ = &mut served => return,
            () = share.closed() => return,
            () = until_set(&mut stopped), if !is_stopping => {
                is_stopping = true;
                served.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Returns the answer to a request; an error closes the connection.
async fn answer<E: Endpoint<Output = Response>>(
    app: &E,
    request: Request,
    share: &Share,
) -> Result<hyper::Response<BoxBody<Bytes, io::Error>>, crate::budget::Full> {
    let mut response: hyper::Response<BoxBody<Bytes, io::Error>> =
        app.get_response(request).await.into();
    if share.is_wanted() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    share.release();
    share.enter(Stage::Answer);
    let size = response.body().size_hint().lower();
    if size > SMALL_ANSWER_BYTES {
        share
            .grow(usize::try_from(size).unwrap_or(usize::MAX))
            .await?;
    }
    Ok(response)
}
