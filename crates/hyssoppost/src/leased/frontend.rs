//! HTTP interfaces of an entry for customers and for the load balancer.

use super::event::{Event, Status};
use crate::{Error, http, settings};
use platform::customer::Operation;
use poem::{Body, EndpointExt, Request, Response, endpoint::make, http::StatusCode};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::{mpsc, oneshot, watch};

#[derive(Debug)]
struct Shared {
    events: mpsc::Sender<Event>,
    status: watch::Receiver<Status>,
    body_bytes: usize,
    next_customer: AtomicU64,
}

/// Reports to the process when a customer disconnects before its answer.
struct DisconnectGuard<'a> {
    events: &'a mpsc::Sender<Event>,
    /// The job and the customer's number; `None` once there is an answer.
    unanswered: Option<(u64, u64)>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some((job, customer)) = self.unanswered.take()
            && let Err(error) = self.events.try_send(Event::Disconnected { job, customer })
        {
            log::warn!("event=departure_not_taken job={job:016x} reason=\"{error}\"");
        }
    }
}

/// Binds the customers' interface and starts it.
pub(super) async fn bind(
    settings: &settings::Entry,
    events: mpsc::Sender<Event>,
    status: watch::Receiver<Status>,
) -> Result<http::Handle, Error> {
    let shared = Arc::new(Shared {
        events,
        status,
        body_bytes: settings.body_bytes,
        next_customer: AtomicU64::new(0),
    });
    let app = make(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, poem::Error>(handle(&shared, request).await) }
    });
    http::bind(settings.customers, settings.common.drain, app.boxed()).await
}

/// Binds the load balancer's health check and starts it: 200 while the entry is
/// ready, otherwise 503.
pub(super) async fn bind_readiness(
    address: std::net::SocketAddr,
    status: watch::Receiver<Status>,
) -> Result<http::Handle, Error> {
    let app = make(move |_| {
        let ready = status.borrow().ready;
        async move {
            let status = if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            Ok::<_, poem::Error>(Response::from(status))
        }
    });
    http::bind(address, Duration::from_millis(100), app.boxed()).await
}

async fn handle(shared: &Shared, mut request: Request) -> Response {
    let mut response = match parse(shared, &mut request).await {
        Ok(operation) => shared.execute(&request, operation).await,
        Err(response) => response,
    };
    if shared.status.borrow().leaving {
        // The customer sends its next request through another entry.
        response
            .headers_mut()
            .insert("connection", poem::http::HeaderValue::from_static("close"));
    }
    response
}

async fn parse(shared: &Shared, request: &mut Request) -> Result<Operation, Response> {
    let body = request.take_body().into_bytes_limit(shared.body_bytes);
    let Ok(body) = body.await else {
        return Err(StatusCode::PAYLOAD_TOO_LARGE.into());
    };
    let patience = request.header(platform::customer::PATIENCE_HEADER);
    let method = request.method().as_str();
    let path = request.uri().path();
    platform::customer::decode(method, path, patience, &body).map_err(|rejection| {
        log::info!("event=request_rejected path={path:?} reason=\"{rejection}\"");
        respond(platform::customer::reject(&rejection))
    })
}

impl Shared {
    async fn execute(&self, request: &Request, operation: Operation) -> Response {
        let customer = self.next_customer.fetch_add(1, Ordering::Relaxed);
        let host = request.header("host").unwrap_or_default().to_owned();
        let path = platform::customer::split(request.uri().path()).0.to_owned();
        let (reply, answer) = oneshot::channel();
        let mut disconnect_guard = DisconnectGuard {
            events: &self.events,
            unanswered: match &operation {
                Operation::Submit(submission) => Some((submission.job, customer)),
                Operation::Inspect(_) | Operation::Cancel(_) | Operation::Count => None,
            },
        };
        let event = Event::Call {
            customer,
            host,
            path,
            operation,
            reply,
        };
        if self.events.send(event).await.is_err() {
            return StatusCode::SERVICE_UNAVAILABLE.into();
        }
        let answer = answer.await;
        disconnect_guard.unanswered = None;
        match answer {
            Ok(answer) => respond(platform::customer::encode(&answer)),
            // The process stopped before it answered; the job may have run.
            Err(_) => StatusCode::BAD_GATEWAY.into(),
        }
    }
}

fn respond(response: platform::customer::Response) -> Response {
    let status = StatusCode::from_u16(response.status);
    let mut builder = Response::builder()
        .status(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .content_type("application/json");
    if let Some(seconds) = response.retry_after {
        builder = builder.header("retry-after", seconds.to_string());
    }
    builder.body(Body::from(response.body))
}
