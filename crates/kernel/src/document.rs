//! The configuration document of an environment: services, failure domains,
//! teams and limits.

use crate::ini::{Faults, Reader};
use std::{
    collections::{BTreeMap, BTreeSet},
    str::FromStr,
};
use wire::frame::State;

/// Team of jobs that name none.
pub const DEFAULT_TEAM: &str = "default";

/// A request kind of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kind {
    /// Whether the same request may safely run several times, under different
    /// tickets. Requests of other kinds must name a ticket.
    pub repeatable: bool,
}

/// A team's limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Most tasks that the team may have placed at the same time in the
    /// environment.
    pub slots: u32,
}

/// Limits of one environment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Most tasks in one job.
    pub tasks: u16,
    /// Most tasks that wait for placement at one entry.
    pub queue: u32,
    /// Longest deadline, and the default, in milliseconds from acceptance.
    pub deadline_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            tasks: 110,
            queue: 20_000,
            deadline_ms: 60_000,
        }
    }
}

/// The configuration of one environment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Name of the environment.
    pub environment: String,
    /// Request kinds by service.
    pub services: BTreeMap<String, BTreeMap<String, Kind>>,
    /// Declared failure domains whose state is `out`; they take no tasks.
    pub out: BTreeSet<String>,
    /// All declared failure domains; others take no tasks either.
    pub domains: BTreeSet<String>,
    /// Names of the sides whose upstreams take no new tasks.
    pub draining: BTreeSet<String>,
    /// Declared teams, by name.
    pub teams: BTreeMap<String, Team>,
    /// Limits on jobs, queues and deadlines.
    pub limits: Limits,
}

/// A value written as `yes` or `no`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Toggle(pub bool);

impl FromStr for Toggle {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "yes" => Ok(Self(true)),
            "no" => Ok(Self(false)),
            _ => Err(()),
        }
    }
}

/// A value written as `in` or `out`.
struct InOut(bool);

impl FromStr for InOut {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "in" => Ok(Self(true)),
            "out" => Ok(Self(false)),
            _ => Err(()),
        }
    }
}

impl Document {
    /// Parses and checks `text`.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::open(text)?;
        let mut document = Self {
            environment: reader
                .required("environment", "name", "the environment's name")
                .unwrap_or_default(),
            ..Self::default()
        };
        for section in reader.sections() {
            document.read_section(&mut reader, &section);
        }
        document.check_kinds(&mut reader);
        reader.finish()?;
        Ok(document)
    }

    /// Returns whether tasks may start in the failure domain.
    pub fn is_in(&self, domain: &str) -> bool {
        self.domains.contains(domain) && !self.out.contains(domain)
    }

    /// Returns the state of a side, by its failure domain and name.
    pub fn state_of(&self, domain: &str, side: &str) -> State {
        if !self.is_in(domain) {
            State::DomainOut
        } else if self.draining.contains(side) {
            State::Draining
        } else {
            State::Allowed
        }
    }

    fn read_section(&mut self, reader: &mut Reader<'_>, section: &str) {
        let (word, name) = section.split_once(' ').unwrap_or((section, ""));
        match (word, name.trim()) {
            ("environment", "") => {}
            ("limits", "") => self.read_limits(reader),
            ("service", name) if !name.is_empty() => {
                self.services.entry(name.to_owned()).or_default();
            }
            ("kind", name) if name.contains('/') => self.read_kind(reader, section, name),
            ("domain", name) if !name.is_empty() => self.read_domain(reader, section, name),
            ("team", name) if !name.is_empty() => self.read_team(reader, section, name),
            ("upstream", name) if !name.is_empty() => self.read_upstream(reader, section, name),
            _ => reader.fault(
                section,
                "",
                "environment, limits, service NAME, kind SERVICE/NAME, domain NAME, \
                 team NAME or upstream NAME",
            ),
        }
    }

    fn read_kind(&mut self, reader: &mut Reader<'_>, section: &str, name: &str) {
        let repeatable = reader.required::<Toggle>(section, "repeatable", "yes or no");
        let Some((service, kind)) = name.split_once('/') else {
            return;
        };
        let kinds = self.services.entry(service.to_owned()).or_default();
        let repeatable = repeatable.is_some_and(|switch| switch.0);
        kinds.insert(kind.to_owned(), Kind { repeatable });
        if !reader.has(&format!("service {service}")) {
            reader.fault(section, "", "a service that is declared");
        }
    }

    fn read_domain(&mut self, reader: &mut Reader<'_>, section: &str, name: &str) {
        let state = reader.optional::<InOut>(section, "state", "in or out");
        self.domains.insert(name.to_owned());
        if state.is_some_and(|switch| !switch.0) {
            self.out.insert(name.to_owned());
        }
    }

    fn read_upstream(&mut self, reader: &mut Reader<'_>, section: &str, name: &str) {
        let drain = reader.required::<Toggle>(section, "drain", "yes or no");
        if drain.is_some_and(|switch| switch.0) {
            self.draining.insert(name.to_owned());
        }
    }

    fn read_team(&mut self, reader: &mut Reader<'_>, section: &str, name: &str) {
        let slots = reader.required(section, "slots", "a number of tasks from 1");
        if slots == Some(0) {
            reader.fault(section, "slots", "a number of tasks from 1");
        }
        let slots = slots.unwrap_or(1);
        self.teams.insert(name.to_owned(), Team { slots });
    }

    fn read_limits(&mut self, reader: &mut Reader<'_>) {
        const SECTION: &str = "limits";
        let limits = &mut self.limits;
        if let Some(tasks) = reader.optional(SECTION, "tasks", "a number of tasks up to 65535") {
            limits.tasks = tasks;
        }
        if let Some(queue) = reader.optional(SECTION, "queue", "a number of tasks") {
            limits.queue = queue;
        }
        if let Some(deadline) = reader.optional(SECTION, "deadline_ms", "milliseconds") {
            limits.deadline_ms = deadline;
        }
    }

    fn check_kinds(&self, reader: &mut Reader<'_>) {
        for (service, kinds) in &self.services {
            if kinds.is_empty() {
                let section = format!("service {service}");
                reader.fault(&section, "", "at least one kind of the service");
            }
        }
    }
}
