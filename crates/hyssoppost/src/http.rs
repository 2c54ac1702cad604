//! HTTP servers of the processes.

use crate::Error;
use poem::{Endpoint, Server, listener::TcpAcceptor};
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// A running HTTP server. Dropping the handle stops it as [`Handle::close`]
/// does, without waiting.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections, and waits until every request in progress has
    /// its response or the drain time is over.
    pub async fn close(self) {
        self.stop.send_replace(true);
        // Fails only if the server's task panicked; there is nothing left to
        // close.
        let _ = self.task.await;
    }
}

/// Binds `address` and serves `app` on it. [`Handle::close`] waits for `drain` at
/// most.
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
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    let (stop, mut stopped) = watch::channel(false);
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
        stop,
        task,
    })
}
