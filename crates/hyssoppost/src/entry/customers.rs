//! The customers' HTTP interface of an entry.

use super::{Call, Event, Phase, Status};
use crate::{
    Error,
    budget::Pool,
    departure,
    http::{
        self,
        body::{self, Whole},
    },
    settings,
};
use kernel::{pressure::MIN_RETRY_AFTER, work::failed_answer};
use poem::{
    EndpointExt, IntoResponse, Request, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json, Path},
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::{mpsc, oneshot, watch};
use wire::{
    Code, Payload,
    frame::{Answer, Failure, Request as Operation, Started, Submission},
    id::Job,
    proof::Keyring,
};

/// Most tickets issued per request.
const MAX_TICKETS: u16 = 1_000;

/// Unit of the Retry-After header, in milliseconds.
const RETRY_AFTER_UNIT_MS: u32 = 1_000;

#[derive(Debug)]
struct Shared {
    events: mpsc::Sender<Event>,
    status: watch::Receiver<Status>,
    keys: Keyring,
    next_number: AtomicU64,
}

/// Body of a job submission. Its name is part of the errors that customers
/// receive for malformed ones.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document<'a> {
    ticket: Option<String>,
    kind: String,
    team: Option<String>,
    repeatable: Option<bool>,
    deadline_ms: Option<i64>,
    #[serde(borrow)]
    tasks: Vec<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketRequest {
    count: u16,
}

#[derive(Debug, Serialize)]
struct Tickets {
    tickets: Vec<String>,
    expires: u64,
}

#[derive(Debug, Serialize)]
struct Completed<'a> {
    ticket: Option<String>,
    state: &'static str,
    code: u16,
    answers: Vec<&'a RawValue>,
}

#[derive(Debug, Serialize)]
struct Failed<'a> {
    ticket: Option<String>,
    state: &'static str,
    code: u16,
    name: &'static str,
    ran: &'static str,
    retry_after_ms: u32,
    detail: &'a str,
}

pub(super) fn bind(
    settings: &settings::Entry,
    events: mpsc::Sender<Event>,
    status: watch::Receiver<Status>,
) -> Result<http::Handle, Error> {
    let shared = Arc::new(Shared {
        events,
        status,
        keys: settings.common.keys.clone(),
        next_number: AtomicU64::new(0),
    });
    let app = Route::new()
        .at("/v1/tickets", post(tickets))
        .at("/v1/services/:service/jobs", post(submit))
        .at("/v1/jobs/:ticket", get(fetch).delete(cancel))
        .at("/healthz", get(health))
        .data(shared);
    let pool = Pool::new("customers", settings.limits.connections);
    http::bind_within(pool, settings.customers, settings.common.drain, app)
}

#[handler]
async fn submit(
    Path(service): Path<String>,
    request: &Request,
    Whole(body): Whole,
    shared: Data<&Arc<Shared>>,
) -> Response {
    let body = match body {
        Ok(body) => body,
        Err(error) => return refuse_body(&error),
    };
    let document: Document<'_> = match serde_json::from_slice(&body) {
        Ok(document) => document,
        Err(error) => return refuse(Code::MalformedJob, &error.to_string()),
    };
    let job = match &document.ticket {
        Some(text) => match shared.keys.verify_ticket(text) {
            Some(job) => Some(job),
            None => return refuse(Code::BadTicket, Code::BadTicket.meaning()),
        },
        None => None,
    };
    let has_key = request.header("idempotency-key").is_some();
    if job.is_none() && (has_key || document.repeatable == Some(false)) {
        return refuse(Code::TicketRequired, Code::TicketRequired.meaning());
    }
    let submission = document.into_submission(service);
    shared.execute(job, Operation::Submit(submission)).await
}

impl Document<'_> {
    fn into_submission(self, service: String) -> Submission {
        let deadline = match self.deadline_ms {
            // The limit of the configuration still applies.
            None => u32::MAX,
            Some(deadline) => u32::try_from(deadline.max(0)).unwrap_or(u32::MAX),
        };
        Submission {
            service,
            kind: self.kind,
            team: self.team.unwrap_or_default(),
            deadline,
            tasks: self
                .tasks
                .iter()
                .map(|task| Payload::from(task.get()))
                .collect(),
        }
    }
}

#[handler]
async fn fetch(Path(ticket): Path<String>, shared: Data<&Arc<Shared>>) -> Response {
    shared.execute_by_ticket(&ticket, Operation::Answer).await
}

#[handler]
async fn cancel(Path(ticket): Path<String>, shared: Data<&Arc<Shared>>) -> Response {
    shared.execute_by_ticket(&ticket, Operation::Cancel).await
}

#[handler]
async fn tickets(Whole(body): Whole, shared: Data<&Arc<Shared>>) -> Response {
    let request: TicketRequest = match body.map(|body| serde_json::from_slice(&body)) {
        Ok(Ok(request)) => request,
        Ok(Err(error)) => return refuse(Code::MalformedJob, &error.to_string()),
        Err(error) => return refuse_body(&error),
    };
    let phase = shared.status.borrow().phase;
    if matches!(phase, Phase::Leaving | Phase::Fenced) {
        return refuse(Code::Draining, Code::Draining.meaning());
    }
    let count = request.count.clamp(1, MAX_TICKETS);
    let (reply, issued) = oneshot::channel();
    let sent = shared.events.send(Event::Tickets(count, reply)).await;
    let (Ok(()), Ok(jobs)) = (sent, issued.await) else {
        return refuse(Code::Draining, Code::Draining.meaning());
    };
    let tickets = Tickets {
        tickets: jobs
            .iter()
            .map(|job| shared.keys.sign_ticket(*job))
            .collect(),
        expires: jobs.first().map_or(0, |job| job.expires),
    };
    Json(tickets).into_response()
}

#[handler]
fn health(Data(shared): Data<&Arc<Shared>>) -> StatusCode {
    match shared.status.borrow().phase {
        Phase::Ready => StatusCode::OK,
        Phase::Waiting | Phase::Leaving | Phase::Fenced => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Reports to the process when a customer disconnects before its answer.
struct DisconnectGuard<'a> {
    events: &'a mpsc::Sender<Event>,
    number: Option<u64>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        let Some(number) = self.number else { return };
        let subject = format_args!("customer={number}");
        departure::report(self.events, Event::Disconnected(number), subject);
    }
}

impl Shared {
    async fn execute_by_ticket(&self, ticket: &str, request: Operation) -> Response {
        match self.keys.verify_ticket(ticket) {
            Some(job) => self.execute(Some(job), request).await,
            None => refuse(Code::BadTicket, Code::BadTicket.meaning()),
        }
    }

    async fn execute(&self, job: Option<Job>, request: Operation) -> Response {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (reply, answered) = oneshot::channel();
        let call = Call {
            job,
            request,
            reply,
            number,
        };
        let mut disconnect_guard = DisconnectGuard {
            events: &self.events,
            number: Some(number),
        };
        if self.events.send(Event::Call(call)).await.is_err() {
            return refuse(Code::Draining, Code::Draining.meaning());
        }
        let Ok(reply) = answered.await else {
            // The process stopped before the job ended.
            return respond(None, &interrupted());
        };
        disconnect_guard.number = None;
        let ticket = reply.job.map(|job| self.keys.sign_ticket(job));
        respond(ticket, &reply.answer)
    }
}

fn interrupted() -> Answer {
    let detail = "the entry stopped before the job had ended";
    failed_answer(
        Code::OutcomeUnknown,
        Started::Unknown,
        Duration::ZERO,
        detail,
    )
}

fn refuse(code: Code, detail: &str) -> Response {
    refuse_for(Duration::ZERO, code, detail)
}

/// Refuses a request, which may be sent again after a pause.
fn refuse_for(pause: Duration, code: Code, detail: &str) -> Response {
    respond(
        None,
        &failed_answer(code, Started::None, pause, detail.trim()),
    )
}

fn refuse_body(error: &body::Error) -> Response {
    match error {
        body::Error::TooLarge => refuse(Code::BodyTooLarge, Code::BodyTooLarge.meaning()),
        body::Error::Full(full) => refuse_for(MIN_RETRY_AFTER, Code::QueueFull, &full.to_string()),
        body::Error::Io(error) => refuse(Code::MalformedJob, &error.to_string()),
    }
}

fn respond(ticket: Option<String>, answer: &Answer) -> Response {
    match answer {
        Answer::Complete(answers) => completed(ticket, answers),
        Answer::Failed(failure) => failure_response(ticket, failure),
        // Tickets are issued by `tickets`, never as the answer to a job.
        Answer::Tickets(_) => refuse(Code::MalformedJob, "no answer of a job"),
    }
}

fn completed(ticket: Option<String>, answers: &[Payload]) -> Response {
    let answers: Result<Vec<&RawValue>, _> = answers
        .iter()
        .map(|answer| serde_json::from_slice(answer.as_bytes()))
        .collect();
    match answers {
        Ok(answers) => Json(Completed {
            ticket,
            state: "complete",
            code: Code::Complete.number(),
            answers,
        })
        .into_response(),
        // Sides reject answers that are not JSON, so this is a bug.
        Err(error) => failure_response(
            ticket,
            &Failure {
                code: Code::OutcomeUnknown,
                ran: Started::Some,
                retry_after: 0,
                detail: error.to_string(),
            },
        ),
    }
}

fn failure_response(ticket: Option<String>, failure: &Failure) -> Response {
    let body = Failed {
        ticket,
        state: "failed",
        code: failure.code.number(),
        name: failure.code.name(),
        ran: failure.ran.as_str(),
        retry_after_ms: failure.retry_after,
        detail: &failure.detail,
    };
    let status = StatusCode::from_u16(failure.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Json(body).with_status(status).into_response();
    if failure.retry_after > 0 {
        let seconds = failure.retry_after.div_ceil(RETRY_AFTER_UNIT_MS);
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}
