//! The upstream beside the side: its announcements and its tasks, over HTTP.
//!
//! The upstream sends `POST /v1/announce` every second or so; it counts as gone
//! after [`super::process`]'s silence. A task is one `POST /v1/run/{kind}` to
//! the announced address. It is sent once: neither this module nor the HTTP
//! client repeats it.

use super::Event;
use crate::{Error, http};
use kernel::side::Start;
use poem::{
    EndpointExt, Route, handler,
    http::StatusCode,
    post,
    web::{Data, Json},
};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;
use wire::{Payload, frame::Outcome, id::Task};

/// Most connections to the upstream, and so most tasks at a time.
pub(super) const MAX_CONNECTIONS: u16 = 64;

/// Time after a task's deadline at which the upstream's answer is given up and
/// the slot is used again.
const OVERTIME: Duration = Duration::from_secs(30);

/// Longest failure text passed on, in bytes.
const MAX_DETAIL_BYTES: usize = 1_024;

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Announcement {
    /// Address that takes the tasks.
    pub(super) address: SocketAddr,
    /// Service.
    pub(super) service: String,
    /// Request kinds.
    pub(super) kinds: Vec<String>,
    /// Tasks at a time; 0 when leaving.
    pub(super) slots: u16,
}

/// A task has ended.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) task: Task,
    pub(super) spent: Duration,
    pub(super) outcome: Outcome,
}

/// Serves the upstream's announcements on `address`.
pub(super) async fn bind(
    address: SocketAddr,
    events: mpsc::Sender<Event>,
) -> Result<http::Handle, Error> {
    let app = Route::new().at("/v1/announce", post(announce)).data(events);
    http::bind(address, Duration::from_secs(1), app).await
}

#[handler]
async fn announce(
    Json(announcement): Json<Announcement>,
    events: Data<&mpsc::Sender<Event>>,
) -> StatusCode {
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
    /// Makes a client that knows no upstream yet.
    pub(super) fn open(events: mpsc::Sender<Event>) -> Result<Self, Error> {
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
    pub(super) fn target(&mut self, address: SocketAddr) {
        if self.address != Some(address) {
            self.address = Some(address);
            self.base = Some(format!("http://{address}/v1/run/"));
        }
    }

    /// Starts a task; its end is reported as an event.
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
            .timeout(start.deadline.saturating_sub(now) + OVERTIME)
            .body(start.payload.0);
        tokio::spawn(async move {
            let begun = Instant::now();
            let outcome = run(request).await;
            let spent = begun.elapsed();
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
    // A process that has ended takes no events.
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
