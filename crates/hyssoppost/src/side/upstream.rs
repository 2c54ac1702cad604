//! The upstream beside the side: its announcements and its tasks, over HTTP.
//!
//! The upstream sends `POST /v1/announce` about once a second; it counts as
//! stopped after the timeout in [`super::process`]. A task is one `POST
//! /v1/run/{kind}` to the announced address. It is sent once: neither this
//! module nor the HTTP client repeats it.

use super::Event;
use crate::http::{
    self,
    body::{Error, Whole},
};
use kernel::side::Start;
use poem::{EndpointExt, Route, handler, http::StatusCode, post, web::Data};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;
use wire::{Payload, frame::Outcome, id::Task};

/// Most connections to the upstream, and so most concurrent tasks.
pub(super) const MAX_CONNECTIONS: u16 = 64;

/// Time after a task's deadline at which the request to the upstream times out
/// and the slot becomes free.
const TIMEOUT_AFTER_DEADLINE: Duration = Duration::from_secs(30);

/// Longest failure text sent to the entry, in bytes; longer ones are truncated.
const MAX_DETAIL_BYTES: usize = 1_024;

/// An upstream's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Announcement {
    /// Address that accepts tasks.
    pub(super) address: SocketAddr,
    /// Name of its service.
    pub(super) service: String,
    /// Kinds of tasks that it runs.
    pub(super) kinds: Vec<String>,
    /// Most concurrent tasks; 0 when it is leaving.
    pub(super) slots: u16,
}

/// A task has ended.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) task: Task,
    pub(super) spent: Duration,
    pub(super) outcome: Outcome,
}

/// Binds the interface for the upstream's announcements and starts it.
pub(super) fn bind(
    address: SocketAddr,
    events: mpsc::Sender<Event>,
) -> Result<http::Handle, crate::Error> {
    let app = Route::new().at("/v1/announce", post(announce)).data(events);
    http::bind("upstream", address, Duration::from_secs(1), app)
}

#[handler]
async fn announce(Whole(body): Whole, events: Data<&mpsc::Sender<Event>>) -> StatusCode {
    let body = match body {
        Ok(body) => body,
        Err(Error::TooLarge) => return StatusCode::PAYLOAD_TOO_LARGE,
        Err(Error::Full(_) | Error::Io(_)) => return StatusCode::SERVICE_UNAVAILABLE,
    };
    let Ok(announcement) = serde_json::from_slice(&body) else {
        return StatusCode::BAD_REQUEST;
    };
    match events.send(Event::Announced(announcement)).await {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Starts tasks at the upstream.
#[derive(Debug)]
pub(super) struct Client {
    http: reqwest::Client,
    base: Option<String>,
    address: Option<SocketAddr>,
    events: mpsc::Sender<Event>,
}

impl Client {
    /// Makes a client; it has no upstream until [`Client::set_address`].
    pub(super) fn open(events: mpsc::Sender<Event>) -> Result<Self, crate::Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(MAX_CONNECTIONS.into())
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .map_err(store::Error::from)?;
        Ok(Self {
            http,
            base: None,
            address: None,
            events,
        })
    }

    /// Sets the upstream's address.
    pub(super) fn set_address(&mut self, address: SocketAddr) {
        if self.address != Some(address) {
            self.address = Some(address);
            self.base = Some(format!("http://{address}/v1/run/"));
        }
    }

    /// Starts a task and reports its end as an event.
    pub(super) fn start(&self, now: Duration, start: Start) {
        let events = self.events.clone();
        let task = start.task;
        let Some(base) = &self.base else {
            let outcome = failure("no upstream");
            let spent = Duration::ZERO;
            tokio::spawn(report(
                events,
                Finished {
                    task,
                    spent,
                    outcome,
                },
            ));
            return;
        };
        let request = self
            .http
            .post(format!("{base}{}", start.kind))
            .header("content-type", "application/json")
            .timeout(start.deadline.saturating_sub(now) + TIMEOUT_AFTER_DEADLINE)
            .body(start.payload.0);
        tokio::spawn(async move {
            let started = Instant::now();
            let outcome = run(request).await;
            let spent = started.elapsed();
            report(
                events,
                Finished {
                    task,
                    spent,
                    outcome,
                },
            )
            .await;
        });
    }
}

async fn report(events: mpsc::Sender<Event>, finished: Finished) {
    // The send fails only if the process has ended.
    let _ = events.send(Event::Finished(finished)).await;
}

async fn run(request: reqwest::RequestBuilder) -> Outcome {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) => return failure(&error.to_string()),
    };
    let status = response.status();
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => return failure(&error.to_string()),
    };
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        return failure(&format!("upstream answered {}: {text}", status.as_u16()));
    }
    match serde_json::from_slice::<&RawValue>(&body) {
        Ok(_) => Outcome::Answer(Payload(body)),
        Err(error) => failure(&format!("upstream's answer is not JSON: {error}")),
    }
}

fn failure(detail: &str) -> Outcome {
    let end = detail.floor_char_boundary(MAX_DETAIL_BYTES);
    Outcome::Failure(Payload::from(&detail[..end]))
}
