//! An entry must learn that a customer has left while its job runs, whatever the customer
//! has sent before: it submits the job again, and the earlier runs must be over by then.

use hyssoppost::http;
use poem::{Request, endpoint::make};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

const BODY: &str = "{\"spec\":\"in\"}";
/// Well below the shortest time until a resubmission.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Counts the requests that are being handled.
struct Open(Arc<AtomicU32>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Binds a server that reads each request and never answers it.
fn bind(open: Arc<AtomicU32>) -> http::Handle {
    let app = make(move |mut request: Request| {
        let open = open.clone();
        async move {
            let body = request.take_body().into_bytes_limit(1_000).await;
            assert!(body.is_ok_and(|body| body == BODY));
            open.fetch_add(1, Ordering::SeqCst);
            let _open = Open(open);
            std::future::pending::<Result<&str, poem::Error>>().await
        }
    });
    let address = "127.0.0.1:0".parse().unwrap();
    http::bind("test", address, Duration::from_secs(5), app).unwrap()
}

fn request(more: &str) -> String {
    format!(
        "POST /jobs/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: {}\r\n\r\n{BODY}{more}",
        BODY.len()
    )
}

/// Has a customer send a request and leave; returns whether the server has noticed.
async fn is_noticed(request: &str, reset: bool) -> bool {
    let open = Arc::new(AtomicU32::new(0));
    let server = bind(open.clone());
    let mut customer = TcpStream::connect(server.address()).await.unwrap();
    customer.write_all(request.as_bytes()).await.unwrap();
    while open.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    if reset {
        customer.set_zero_linger().unwrap();
    }
    drop(customer);
    tokio::time::sleep(NOTICE_TIME).await;
    open.load(Ordering::SeqCst) == 0
}

#[tokio::test]
async fn closed() {
    assert!(is_noticed(&request(""), false).await);
}

#[tokio::test]
async fn reset() {
    assert!(is_noticed(&request(""), true).await);
}

#[tokio::test]
async fn closed_after_next_request() {
    let next = request("");
    assert!(is_noticed(&request(&next), false).await);
}

#[tokio::test]
async fn reset_after_next_request() {
    let next = request("");
    assert!(is_noticed(&request(&next), true).await);
}

#[tokio::test]
async fn closed_after_line_end() {
    assert!(is_noticed(&request("\r\n"), false).await);
}
