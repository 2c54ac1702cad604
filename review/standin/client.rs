//! Clients: submit and cancel jobs, and note what they send and get.

use crate::{
    http,
    site::{Record, Site},
};
use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// An answer: when it came, its status and body; the reason if there was none.
pub type Answer = (Instant, Result<(u16, String), String>);

/// A client of a site.
#[derive(Debug, Clone)]
pub struct Client {
    record: Record,
    host: String,
    prefix: String,
}

/// A job of one step.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub tasks: u32,
    pub cpu: u32,
    pub estimate_ms: u32,
    /// Real run time of each task.
    pub work_ms: u32,
    /// How long the client waits for the answer.
    pub deadline_ms: u32,
}

impl Job {
    fn body(&self) -> String {
        format!(
            "{{\"spec\":\"work_ms={}\",\"best_effort\":true,\"phases\":[{{\"count\":{},\"cpu\":{},\
             \"ram_mb\":64,\"estimate_ms\":{}}}]}}",
            self.work_ms, self.tasks, self.cpu, self.estimate_ms
        )
    }
}

impl Client {
    pub fn new(site: &Site) -> Self {
        Self {
            record: site.record.clone(),
            host: site.host.clone(),
            prefix: site.prefix.clone(),
        }
    }

    /// Submits a job on a new connection and waits for the answer in the background.
    pub fn submit(&self, to: (&str, SocketAddr), job: &Job) -> JoinHandle<Answer> {
        let (client, job) = (self.clone(), job.clone());
        let (name, address) = (to.0.to_owned(), to.1);
        thread::spawn(move || {
            let deadline = job.deadline_ms.to_string();
            let headers = [("Host", client.host.as_str()), ("X-Deadline-Ms", &deadline)];
            let path = format!("{}{}", client.prefix, job.id);
            let timeout = Duration::from_millis(job.deadline_ms.into());
            client.call((&name, address), "POST", &path, &headers, &job.body(), timeout)
        })
    }

    /// Cancels a job on a new connection.
    pub fn cancel(&self, to: (&str, SocketAddr), job: &str, timeout: Duration) -> Answer {
        let headers = [("Host", self.host.as_str())];
        let path = format!("{}{job}", self.prefix);
        self.call(to, "DELETE", &path, &headers, "", timeout)
    }

    fn call(
        &self,
        (name, address): (&str, SocketAddr),
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        timeout: Duration,
    ) -> Answer {
        self.record
            .note(&format!("client: {method} {path} to {name} {body}"));
        let result = http::call(address, method, path, headers, body, timeout);
        let result = result.map_err(|error| error.to_string());
        match &result {
            Ok((status, body)) => self
                .record
                .note(&format!("client: {method} {path} at {name}: {status} {body}")),
            Err(reason) => self
                .record
                .note(&format!("client: {method} {path} at {name}: no answer ({reason})")),
        }
        (Instant::now(), result)
    }
}
