//! HTTP interfaces of an entry for customers and for the load balancer.

use super::event::{Event, Status};
use crate::{Error, clock::Clock, http, settings};
use bytes::Bytes;
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
use wire::Payload;

#[derive(Debug)]
struct Shared {
    events: mpsc::Sender<Event>,
    status: watch::Receiver<Status>,
    clock: Clock,
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
    clock: Clock,
    events: mpsc::Sender<Event>,
    status: watch::Receiver<Status>,
) -> Result<http::Handle, Error> {
    let shared = Arc::new(Shared {
        events,
        status,
        clock,
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
    let wants_requests = shared.status.borrow().wants_requests;
    let path = request.uri().path();
    let submitted = platform::customer::submitted_job(request.method().as_str(), path);
    let mut response = match (wants_requests, submitted) {
        (true, Some(job)) => shared.pass_on(&mut request, job).await,
        _ => match parse(shared, &mut request).await {
            Ok(operation) => shared.execute(&request, operation).await,
            Err(response) => response,
        },
    };
    if shared.status.borrow().leaving {
        // The customer sends its next request through another entry.
        response
            .headers_mut()
            .insert("connection", poem::http::HeaderValue::from_static("close"));
    }
    response
}

async fn read_body(shared: &Shared, request: &mut Request) -> Result<Bytes, Response> {
    let body = request.take_body().into_bytes_limit(shared.body_bytes);
    body.await.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE.into())
}

async fn parse(shared: &Shared, request: &mut Request) -> Result<Operation, Response> {
    let body = read_body(shared, request).await?;
    let patience = request.header(platform::customer::PATIENCE_HEADER);
    let method = request.method().as_str();
    let path = request.uri().path();
    platform::customer::decode(method, path, patience, &body).map_err(|rejection| {
        log::info!("event=request_rejected path={path:?} reason=\"{rejection}\"");
        respond(platform::customer::reject(&rejection))
    })
}

impl Shared {
    /// Passes a submission on with its body as received.
    async fn pass_on(&self, request: &mut Request, job: u64) -> Response {
        let body = match read_body(self, request).await {
            Ok(body) => Payload(body),
            Err(response) => return response,
        };
        let customer = self.next_customer.fetch_add(1, Ordering::Relaxed);
        let (reply, response) = oneshot::channel();
        let patience = request.header(platform::customer::PATIENCE_HEADER);
        let event = Event::Request {
            customer,
            job,
            host: request.header("host").unwrap_or_default().to_owned(),
            path: request.uri().path().to_owned(),
            patience: platform::customer::patience(patience),
            arrived: self.clock.now(),
            body,
            reply,
        };
        self.call(event, response, Some((job, customer))).await
    }

    async fn execute(&self, request: &Request, operation: Operation) -> Response {
        let customer = self.next_customer.fetch_add(1, Ordering::Relaxed);
        let (reply, response) = oneshot::channel();
        let submitted = match &operation {
            Operation::Submit(submission) => Some((submission.job, customer)),
            Operation::Inspect(_) | Operation::Cancel(_) | Operation::Count => None,
        };
        let event = Event::Call {
            customer,
            host: request.header("host").unwrap_or_default().to_owned(),
            path: platform::customer::split(request.uri().path()).0.to_owned(),
            operation,
            reply,
        };
        self.call(event, response, submitted).await
    }

    /// Sends a customer's request to the process and returns the response.
    /// `submitted` is the job that it submits and the customer's number.
    async fn call(
        &self,
        event: Event,
        response: oneshot::Receiver<platform::customer::Response>,
        submitted: Option<(u64, u64)>,
    ) -> Response {
        let mut disconnect_guard = DisconnectGuard {
            events: &self.events,
            unanswered: submitted,
        };
        if self.events.send(event).await.is_err() {
            return StatusCode::SERVICE_UNAVAILABLE.into();
        }
        let response = response.await;
        disconnect_guard.unanswered = None;
        match response {
            Ok(response) => respond(response),
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
