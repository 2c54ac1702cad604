//! HTTP server of a stand-in, on a loopback port.

use poem::{
    Endpoint, Server,
    listener::{Acceptor, TcpAcceptor},
};
use std::{io, net::SocketAddr};
use tokio::{net::TcpListener, task::JoinHandle};

/// A running server; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Handle {
    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `app` on a free loopback port. Fails if the port can't be bound.
pub async fn bind<E: Endpoint + 'static>(app: E) -> io::Result<Handle> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    debug_assert!(!acceptor.local_addr().is_empty());
    let task = tokio::spawn(async move {
        // The accept loop of a stand-in fails only while the process exits.
        let _ = Server::new_with_acceptor(acceptor).run(app).await;
    });
    Ok(Handle { address, task })
}
