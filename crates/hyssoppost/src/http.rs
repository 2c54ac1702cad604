//! HTTP servers of the processes.
//!
//! A server stops in three steps, so that it resets no connection on which a
//! client is about to send a request. It takes the connections that clients have
//! already opened and then stops listening. It goes on serving while clients send
//! their requests. Then it closes what is idle and finishes the rest.

mod connection;

use crate::Error;
use connection::Connection;
use poem::{
    Addr, Endpoint, Server,
    http::uri::Scheme,
    listener,
    web::{LocalAddr, RemoteAddr},
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Time in which a client that has connected must send its request once the
/// server no longer listens.
const REQUEST_WAIT: Duration = Duration::from_millis(200);

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

/// Binds `address` and serves `app` on it. [`Handle::close`] waits for `drain` at
/// most once it has closed the idle connections.
pub async fn bind<E: Endpoint + 'static>(
    address: SocketAddr,
    drain: Duration,
    app: E,
) -> Result<Handle, Error> {
    let bind_error = |source| Error::Bind {
        address: address.to_string(),
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    let address = listener.local_addr()?;
    let (unlisten, unlistened) = watch::channel(false);
    let (stop, mut stopped) = watch::channel(false);
    let connections = Arc::new(watch::Sender::new(()));
    let acceptor = Acceptor {
        address,
        state: State::Listening(listener),
        unlistened,
        open: connections.subscribe(),
    };
    let signal = async move {
        // An error means that the handle was dropped, which stops the server too.
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    let task = tokio::spawn(async move {
        let served = Server::new_with_acceptor(acceptor)
            .run_with_graceful_shutdown(app, signal, Some(drain))
            .await;
        if let Err(error) = served {
            log::error!("event=http_failed address={address} reason=\"{error}\"");
        }
    });
    Ok(Handle {
        address,
        unlisten,
        stop,
        connections,
        task,
    })
}

enum State {
    Listening(TcpListener),
    /// Takes the connections that clients opened before.
    Emptying(std::net::TcpListener),
    Closed,
}

/// Accepts connections until it is told to stop, and then those that are open
/// already.
struct Acceptor {
    address: SocketAddr,
    state: State,
    unlistened: watch::Receiver<bool>,
    /// Cloned for each connection.
    open: watch::Receiver<()>,
}

impl listener::Acceptor for Acceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(Addr::SocketAddr(self.address))]
    }

    async fn accept(&mut self) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let stream = match &self.state {
                State::Listening(listener) => tokio::select! {
                    accepted = listener.accept() => Some(accepted?.0),
                    // A dropped handle stops the server by its other signal.
                    Ok(_) = self.unlistened.wait_for(|unlistened| *unlistened) => None,
                },
                State::Emptying(listener) => match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(true)?;
                        Some(TcpStream::from_std(stream)?)
                    }
                    Err(_) => None,
                },
                State::Closed => std::future::pending().await,
            };
            match stream {
                Some(stream) => return self.connection(stream),
                None => self.advance()?,
            }
        }
    }
}

impl Acceptor {
    fn connection(
        &self,
        stream: TcpStream,
    ) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        let remote = stream.peer_addr()?;
        let connection = Connection::new(stream, self.open.clone());
        Ok((
            connection,
            LocalAddr(Addr::SocketAddr(self.address)),
            RemoteAddr(Addr::SocketAddr(remote)),
            Scheme::HTTP,
        ))
    }

    /// Goes to the next state once no connection is to be expected in this one.
    fn advance(&mut self) -> io::Result<()> {
        self.state = match std::mem::replace(&mut self.state, State::Closed) {
            State::Listening(listener) => State::Emptying(listener.into_std()?),
            State::Emptying(_) | State::Closed => {
                // From now on only connections hold receivers.
                self.open = watch::channel(()).1;
                State::Closed
            }
        };
        Ok(())
    }
}
