//! HTTP clients for customers' requests and for a process's admin interface.

use crate::Error;
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};
use std::net::SocketAddr;

/// A job in the format of the customers' interface.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Job {
    /// Name of the service; sent in the path, not in the document.
    #[serde(skip)]
    pub service: String,
    /// Required for kinds that are not repeatable.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// Request kind, one of the service's in the environment's document.
    pub kind: String,
    /// Team that the job is accounted to, if the document defines teams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Time from submission to the deadline, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<i64>,
    /// Input of each task, any JSON value.
    pub tasks: Vec<Value>,
}

/// An entry's answer to a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// Ticket under which the job is known, if it has one.
    pub ticket: Option<String>,
    /// `complete` or `failed`.
    pub state: String,
    /// Result code's number; 0 if complete.
    pub code: u16,
    /// Name of the result code, if failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// One answer for each task in the order of the tasks, if complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<Box<RawValue>>,
    /// Whether tasks may have run, if failed: `none`, `some` or `unknown`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<String>,
    /// Pause before the job should be submitted again, in milliseconds, if failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
    /// Explanation for people, if failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

impl Answer {
    /// Returns whether the job is complete, with an answer for each task.
    pub fn is_complete(&self) -> bool {
        self.state == "complete"
    }
}

#[derive(Debug, Deserialize)]
struct Tickets {
    tickets: Vec<String>,
}

/// A client of one entry, or of a load balancer in front of several.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
}

impl Client {
    /// Creates a client for the address on which an entry serves customers.
    pub fn open(address: SocketAddr) -> Result<Self, Error> {
        Ok(Self {
            http: reqwest::Client::builder().no_proxy().build()?,
            base: format!("http://{address}/v1"),
        })
    }

    /// Requests `count` new tickets.
    pub async fn tickets(&self, count: u16) -> Result<Vec<String>, Error> {
        let request = self.http.post(format!("{}/tickets", self.base));
        let body = serde_json::json!({ "count": count });
        let response = request.json(&body).send().await?.error_for_status()?;
        let tickets: Tickets = response.json().await?;
        Ok(tickets.tickets)
    }

    /// Submits a job and waits for its answer.
    pub async fn submit(&self, job: &Job) -> Result<Answer, Error> {
        let url = format!("{}/services/{}/jobs", self.base, job.service);
        let response = self.http.post(url).json(job).send().await?;
        Ok(response.json().await?)
    }

    /// Waits for the answer of a job that was submitted under this ticket.
    pub async fn answer(&self, ticket: &str) -> Result<Answer, Error> {
        let url = format!("{}/jobs/{ticket}", self.base);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Cancels the job that was submitted under this ticket.
    pub async fn cancel(&self, ticket: &str) -> Result<Answer, Error> {
        let url = format!("{}/jobs/{ticket}", self.base);
        Ok(self.http.delete(url).send().await?.json().await?)
    }
}

/// Returns the state of a process from its admin interface.
pub async fn dump(admin: SocketAddr, token: &str) -> Result<Value, Error> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let request = http.get(format!("http://{admin}/state")).bearer_auth(token);
    Ok(request.send().await?.error_for_status()?.json().await?)
}
