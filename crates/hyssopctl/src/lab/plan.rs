//! Description of a site and of the jobs submitted to it.

use std::{fmt::Write, time::Duration};

const HOSTS_PER_RACK: usize = 3;

/// Size, network and request kinds of a site.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Name of the environment.
    pub environment: String,
    /// Name of the only service.
    pub service: String,
    /// Request kinds of the service; their shares add up to 1.
    pub kinds: Vec<Kind>,
    /// Names of the failure domains, each with one entry.
    pub domains: Vec<String>,
    /// Number of hosts, assigned to the domains in rotation.
    pub hosts: usize,
    /// Number of slots of each host.
    pub slots: u16,
    /// One-way delay between domains.
    pub domain_delay: Duration,
    /// One-way delay between customers and entries.
    pub customer_delay: Duration,
}

/// A request kind and the distribution of its jobs.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Name as in the environment's document.
    pub name: &'static str,
    /// Whether a job may safely run twice.
    pub repeatable: bool,
    /// Share of all jobs, from 0 to 1.
    pub share: f64,
    /// Minimum and maximum number of tasks in a job; uniformly distributed.
    pub tasks: (u16, u16),
    /// Shortest and longest run time of a task, in milliseconds; log-uniformly
    /// distributed.
    pub run_ms: (f64, f64),
}

impl Plan {
    /// Returns the plan of Folia's proofing service.
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

    /// Returns the plan of Jadran's repositioning service.
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

    /// Returns the plan with this environment name.
    pub fn find(name: &str) -> Option<Self> {
        match name {
            "folia" => Some(Self::folia()),
            "jadran" => Some(Self::jadran()),
            _ => None,
        }
    }

    /// Returns the number of slots of all hosts.
    pub fn total_slots(&self) -> usize {
        self.hosts * usize::from(self.slots)
    }

    /// Returns the index of a host's domain.
    pub fn domain_of(&self, host: usize) -> usize {
        host % self.domains.len()
    }

    /// Returns the name of a host's rack.
    pub fn rack_of(&self, host: usize) -> String {
        let number = host / self.domains.len() / HOSTS_PER_RACK;
        format!("{}-rack-{number}", self.domains[self.domain_of(host)])
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
