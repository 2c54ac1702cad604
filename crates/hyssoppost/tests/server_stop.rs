//! A server that stops must answer requests on all connections that clients have
//! opened before. It used to reset those on which no request had arrived yet
//! (soak seeds 129, 28 and 115: "draining entry cut job").

use hyssoppost::http;
use poem::endpoint::make_sync;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const CUSTOMERS: usize = 8;
const DRAIN: Duration = Duration::from_secs(5);

fn bind() -> http::Handle {
    let app = make_sync(|_| "answer");
    http::bind("test", "127.0.0.1:0".parse().unwrap(), DRAIN, app).unwrap()
}

async fn request(stream: &mut TcpStream) -> String {
    let head = b"GET / HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let mut answer = String::new();
    // A reset is reported as an error, a cut connection as an empty answer.
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Connects customers, stops the server after `delay`, and sends their requests
/// once the server has been told to stop.
async fn answers_after_stop(delay: Duration) -> Vec<String> {
    let server = bind();
    let mut customers = Vec::new();
    for _ in 0..CUSTOMERS {
        customers.push(TcpStream::connect(server.address()).await.unwrap());
    }
    tokio::time::sleep(delay).await;
    let closing = tokio::spawn(server.close());
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut answers = Vec::new();
    for customer in &mut customers {
        answers.push(request(customer).await);
    }
    closing.await.unwrap();
    answers
}

#[tokio::test]
async fn accepted_connections() {
    for answer in answers_after_stop(Duration::from_millis(50)).await {
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
}

#[tokio::test]
async fn connections_not_yet_accepted() {
    // The server's task runs only when this one waits, so that the connections
    // are still in the listener's queue.
    let server = bind();
    let address = server.address();
    let customers: Vec<std::net::TcpStream> = (0..CUSTOMERS)
        .map(|_| std::net::TcpStream::connect(address).unwrap())
        .collect();
    let closing = tokio::spawn(server.close());
    tokio::time::sleep(Duration::from_millis(20)).await;
    for customer in customers {
        customer.set_nonblocking(true).unwrap();
        let answer = request(&mut TcpStream::from_std(customer).unwrap()).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
    closing.await.unwrap();
}

#[tokio::test]
async fn idle_connections_closed() {
    let server = bind();
    let mut customer = TcpStream::connect(server.address()).await.unwrap();
    let closing = tokio::spawn(server.close());
    let mut rest = Vec::new();
    customer.read_to_end(&mut rest).await.unwrap();
    assert!(rest.is_empty());
    closing.await.unwrap();
}

#[tokio::test]
async fn refused_after_stop() {
    let server = bind();
    let address = server.address();
    server.close().await;
    assert!(TcpStream::connect(address).await.is_err());
}
