//! A customer's view of an entry, over HTTP.

use crate::Error;
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};
use std::net::SocketAddr;

/// A job as customers write it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Job {
    /// Service; part of the path, not of the document.
    #[serde(skip)]
    pub service: String,
    /// Ticket, needed for kinds that are not repeatable.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// Request kind.
    pub kind: String,
    /// Team.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Time to the deadline, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<i64>,
    /// Inputs.
    pub tasks: Vec<Value>,
}

/// An entry's answer to a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// The job's ticket.
    pub ticket: Option<String>,
    /// `complete` or `failed`.
    pub state: String,
    /// Result code.
    pub code: u16,
    /// The code's name, if failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// The answers in the order of the tasks, if complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<Box<RawValue>>,
    /// What is known about started tasks, if failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<String>,
    /// When to come back, if failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
    /// Detail, if failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

impl Answer {
    /// Returns whether every task has its answer.
    pub fn is_complete(&self) -> bool {
        self.state == "complete"
    }
}

#[derive(Debug, Deserialize)]
struct Tickets {
    tickets: Vec<String>,
}

/// A client of one entry, or of the balancer before several.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
}

impl Client {
    /// Makes a client for an entry's customers' address.
    pub fn open(address: SocketAddr) -> Result<Self, Error> {
        Ok(Self {
            http: reqwest::Client::builder().no_proxy().build()?,
            base: format!("http://{address}/v1"),
        })
    }

    /// Asks for tickets.
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

    /// Waits for the answer of a job submitted before.
    pub async fn answer(&self, ticket: &str) -> Result<Answer, Error> {
        let url = format!("{}/jobs/{ticket}", self.base);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Cancels a job.
    pub async fn cancel(&self, ticket: &str) -> Result<Answer, Error> {
        let url = format!("{}/jobs/{ticket}", self.base);
        Ok(self.http.delete(url).send().await?.json().await?)
    }
}

/// Reads a process's state from its admin interface.
pub async fn dump(admin: SocketAddr, token: &str) -> Result<Value, Error> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let request = http.get(format!("http://{admin}/state")).bearer_auth(token);
    Ok(request.send().await?.error_for_status()?.json().await?)
}
