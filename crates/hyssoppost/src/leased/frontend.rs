//! HTTP interfaces of an entry for customers and for the load balancer.

use super::{
    admission::Admission,
    event::{Event, Status},
};
use crate::{Error, budget::Pool, clock::Clock, departure, http, settings};
use kernel::{
    dispatch::{Answer, Reason},
    pressure::{MIN_RETRY_AFTER, Unread},
};
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

/// Time over which customers come back whose requests found no memory: together they would
/// find none again.
const RETRY_SPREAD: Duration = Duration::from_secs(3);

/// Queues of the process: customers' calls wait behind all other events.
#[derive(Debug)]
pub(super) struct Queues {
    pub(super) events: mpsc::Sender<Event>,
    pub(super) calls: mpsc::Sender<Event>,
}

#[derive(Debug)]
pub(super) struct Shared {
    queues: Queues,
    status: watch::Receiver<Status>,
    admission: Arc<Admission>,
    clock: Clock,
    next_customer: AtomicU64,
}

/// Reports to the process when a customer disconnects before its answer.
struct DisconnectGuard<'a> {
    events: &'a mpsc::Sender<Event>,
    response: oneshot::Receiver<platform::customer::Response>,
    /// The job and the customer's number; `None` once there is an answer.
    unanswered: Option<(u64, u64)>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        // Before the report, since the process may handle this before the call.
        self.response.close();
        let Some((job, customer)) = self.unanswered.take() else {
            return;
        };
        let departure = Event::Disconnected { job, customer };
        departure::report(self.events, departure, format_args!("job={job:016x}"));
    }
}

/// Binds the customers' interface and starts it.
pub(super) fn bind(
    settings: &settings::Entry,
    pool: Arc<Pool>,
    shared: Shared,
) -> Result<http::Handle, Error> {
    let shared = Arc::new(shared);
    let app = make(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, poem::Error>(handle(&shared, request).await) }
    });
    let drain = settings.common.drain;
    http::bind_within(pool, settings.customers, drain, app.boxed())
}

/// Binds the load balancer's health check and starts it: 200 while the entry is
/// ready, otherwise 503.
pub(super) fn bind_readiness(
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
    http::bind(
        "readiness",
        address,
        Duration::from_millis(100),
        app.boxed(),
    )
}

async fn handle(shared: &Shared, mut request: Request) -> Response {
    let result = shared.serve(&mut request).await;
    let mut response = result.unwrap_or_else(|response| response);
    if !shared.status.borrow().serves {
        // Readiness affects new connections only. The customer sends its next request
        // through another entry.
        response
            .headers_mut()
            .insert("connection", poem::http::HeaderValue::from_static("close"));
    }
    response
}

impl Shared {
    pub(super) fn new(
        queues: Queues,
        status: watch::Receiver<Status>,
        admission: Arc<Admission>,
        clock: Clock,
    ) -> Self {
        Self {
            queues,
            status,
            admission,
            clock,
            next_customer: AtomicU64::new(0),
        }
    }

    /// Returns the response to a request; one that says why the request did not reach
    /// the process is an error.
    async fn serve(&self, request: &mut Request) -> Result<Response, Response> {
        // The body is read even if the job is refused: a connection that is closed
        // with unread bytes may lose its response.
        let body = request.take_body();
        let body = match http::body::read(request, body).await {
            Ok(body) => body,
            Err(error) => return Err(self.refuse_body(request, &error)),
        };
        let arrived = self.clock.now();
        let place = self.wait_for_place(request, arrived).await?;
        let wants_requests = self.status.borrow().wants_requests;
        let (method, path) = (request.method().as_str(), request.uri().path());
        if let Some(job) = platform::customer::submitted_job(method, path)
            && wants_requests
        {
            let body = Payload(body);
            return Ok(self.pass_on(request, arrived, job, body, place).await);
        }
        let patience = request.header(platform::customer::PATIENCE_HEADER);
        let decoded = platform::customer::decode(method, path, patience, &body);
        let operation = decoded.map_err(|rejection| {
            log::info!("event=request_rejected path={path:?} reason=\"{rejection}\"");
            respond(platform::customer::reject(&rejection))
        })?;
        Ok(self.execute(request, arrived, operation, place).await)
    }

    /// Returns the response to a request whose body was not read. Nothing of it has run,
    /// unless it is the resubmission of a job that the process knows.
    fn refuse_body(&self, request: &Request, error: &http::body::Error) -> Response {
        match error {
            http::body::Error::TooLarge => return StatusCode::PAYLOAD_TOO_LARGE.into(),
            http::body::Error::Io(_) => return StatusCode::BAD_REQUEST.into(),
            http::body::Error::Full(_) => {}
        }
        let (method, path) = (request.method().as_str(), request.uri().path());
        let job = platform::customer::submitted_job(method, path);
        let answer = if job.is_some_and(|job| self.admission.is_known(job)) {
            Answer::Unknown
        } else {
            Answer::Refused {
                reason: Reason::Memory,
                retry_after: RETRY_SPREAD.mul_f64(rand::random()).max(MIN_RETRY_AFTER),
            }
        };
        respond(platform::customer::encode(&answer))
    }

    /// Waits for a place in the queue of calls. If the event loop stays late, a new
    /// job may be refused instead; its body has not been parsed then.
    async fn wait_for_place(
        &self,
        request: &Request,
        arrived: Duration,
    ) -> Result<mpsc::Permit<'_, Event>, Response> {
        let (method, path) = (request.method().as_str(), request.uri().path());
        let job = platform::customer::submitted_job(method, path);
        let unread = Unread {
            host: request.header("host").unwrap_or_default(),
            path: platform::customer::split(path).0,
            patience: platform::customer::patience(
                request.header(platform::customer::PATIENCE_HEADER),
            ),
        };
        let refusal = || {
            let waited = self.clock.now().saturating_sub(arrived);
            let answer = Answer::Refused {
                reason: Reason::EntryLate,
                retry_after: self.admission.refusal(job?, &unread, waited)?,
            };
            Some(respond(platform::customer::encode(&answer)))
        };
        if let Some(response) = refusal() {
            return Err(response);
        }
        if let Ok(place) = self.queues.calls.try_reserve() {
            return Ok(place);
        }
        let mut gate = self.admission.watch_gate();
        let place = self.queues.calls.reserve();
        tokio::pin!(place);
        loop {
            tokio::select! {
                place = &mut place => {
                    // Fails only if the process has ended.
                    return place.map_err(|_| StatusCode::SERVICE_UNAVAILABLE.into());
                }
                // The sender lives as long as `self`.
                _ = gate.changed() => if let Some(response) = refusal() {
                    return Err(response);
                },
            }
        }
    }

    /// Passes a submission on with its body as received.
    async fn pass_on(
        &self,
        request: &Request,
        arrived: Duration,
        job: u64,
        body: Payload,
        place: mpsc::Permit<'_, Event>,
    ) -> Response {
        let customer = self.next_customer.fetch_add(1, Ordering::Relaxed);
        let (reply, response) = oneshot::channel();
        let patience = request.header(platform::customer::PATIENCE_HEADER);
        self.admission.record_job(arrived, job);
        place.send(Event::Request {
            customer,
            job,
            host: request.header("host").unwrap_or_default().to_owned(),
            path: request.uri().path().to_owned(),
            patience: platform::customer::patience(patience),
            arrived,
            body,
            reply,
        });
        self.await_response(response, Some((job, customer))).await
    }

    async fn execute(
        &self,
        request: &Request,
        arrived: Duration,
        operation: Operation,
        place: mpsc::Permit<'_, Event>,
    ) -> Response {
        let customer = self.next_customer.fetch_add(1, Ordering::Relaxed);
        let (reply, response) = oneshot::channel();
        let submitted = match &operation {
            Operation::Submit(submission) => Some((submission.job, customer)),
            Operation::Inspect(_) | Operation::Cancel(_) | Operation::Count => None,
        };
        if let Some((job, _)) = submitted {
            self.admission.record_job(arrived, job);
        }
        place.send(Event::Call {
            arrived,
            customer,
            host: request.header("host").unwrap_or_default().to_owned(),
            path: platform::customer::split(request.uri().path()).0.to_owned(),
            operation,
            reply,
        });
        self.await_response(response, submitted).await
    }

    /// Returns the process's response to a call. `submitted` is the job that it
    /// submits and the customer's number.
    async fn await_response(
        &self,
        response: oneshot::Receiver<platform::customer::Response>,
        submitted: Option<(u64, u64)>,
    ) -> Response {
        let mut guard = DisconnectGuard {
            events: &self.queues.events,
            response,
            unanswered: submitted,
        };
        let response = (&mut guard.response).await;
        guard.unanswered = None;
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
