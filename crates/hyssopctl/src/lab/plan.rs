//! What a site looks like.

use std::{fmt::Write, time::Duration};

/// Hosts in one rack.
const RACK: usize = 3;

/// A site and the shape of its jobs.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Environment.
    pub environment: String,
    /// Service.
    pub service: String,
    /// Request kinds.
    pub kinds: Vec<Kind>,
    /// Failure domains; each has one entry.
    pub domains: Vec<String>,
    /// Hosts, spread over the domains in turn.
    pub hosts: usize,
    /// Slots of each host.
    pub slots: u16,
    /// One-way delay between domains.
    pub domain_delay: Duration,
    /// One-way delay between customers and entries.
    pub customer_delay: Duration,
}

/// A request kind and the shape of its jobs.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Whether it may be submitted twice without harm.
    pub repeatable: bool,
    /// Share of the jobs.
    pub share: f64,
    /// Least and most tasks in a job.
    pub tasks: (u16, u16),
    /// Shortest and longest run time of a task, in milliseconds.
    pub run_ms: (f64, f64),
}

impl Plan {
    /// Folia's proofing desk.
    pub fn folia() -> Self {
        Self {
            environment: "folia".to_owned(),
            service: "proofing".to_owned(),
            kinds: vec![
                kind("preview", true, 0.6, (2, 12), (50.0, 300.0)),
                kind("die-check", false, 0.25, (8, 24), (100.0, 1_000.0)),
                kind("nudge", true, 0.15, (1, 1), (50.0, 100.0)),
            ],
            domains: names(&["nord-a", "nord-b", "nord-c"]),
            hosts: 12,
            slots: 8,
            domain_delay: Duration::from_micros(1_500),
            customer_delay: Duration::from_millis(3),
        }
    }

    /// Jadran's repositioning desk.
    pub fn jadran() -> Self {
        Self {
            environment: "jadran".to_owned(),
            service: "repositioning".to_owned(),
            kinds: vec![
                kind("stock-check", true, 0.55, (1, 8), (50.0, 200.0)),
                kind("plan", true, 0.25, (8, 40), (100.0, 800.0)),
                kind("slot-hold", false, 0.2, (1, 2), (50.0, 150.0)),
            ],
            domains: names(&["split", "ploce", "rijeka", "zadar"]),
            hosts: 12,
            slots: 8,
            domain_delay: Duration::from_micros(500),
            customer_delay: Duration::from_millis(1),
        }
    }

    /// Finds a plan by its environment's name.
    pub fn find(name: &str) -> Option<Self> {
        match name {
            "folia" => Some(Self::folia()),
            "jadran" => Some(Self::jadran()),
            _ => None,
        }
    }

    /// Returns all slots of the site.
    pub fn total_slots(&self) -> usize {
        self.hosts * usize::from(self.slots)
    }

    /// Returns the index of a host's domain.
    pub fn domain_of(&self, host: usize) -> usize {
        host % self.domains.len()
    }

    /// Returns the name of a host's rack.
    pub fn rack_of(&self, host: usize) -> String {
        let place = host / self.domains.len() / RACK;
        format!("{}-rack-{place}", self.domains[self.domain_of(host)])
    }

    /// Returns the site's document with some domains out of service.
    pub fn document(&self, out: &[&str]) -> String {
        let mut text = format!("[environment]\nname = {}\n\n", self.environment);
        let _ = writeln!(text, "[service {}]\n", self.service);
        for kind in &self.kinds {
            let repeatable = if kind.repeatable { "yes" } else { "no" };
            let _ = writeln!(text, "[kind {}/{}]", self.service, kind.name);
            let _ = writeln!(text, "repeatable = {repeatable}\n");
        }
        for domain in &self.domains {
            let state = if out.contains(&domain.as_str()) {
                "out"
            } else {
                "in"
            };
            let _ = writeln!(text, "[domain {domain}]\nstate = {state}\n");
        }
        text
    }
}

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|&name| name.to_owned()).collect()
}

fn kind(
    name: &'static str,
    repeatable: bool,
    share: f64,
    tasks: (u16, u16),
    run_ms: (f64, f64),
) -> Kind {
    Kind {
        name,
        repeatable,
        share,
        tasks,
        run_ms,
    }
}
