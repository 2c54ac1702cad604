//! Scenarios: the load and the events of a run, parsed from INI.

use super::{
    load::{Burst, Load},
    plan::Plan,
};
use crate::Error;
use kernel::{document::Toggle, ini::Reader};
use std::{path::Path, time::Duration};

/// A change to the site during a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Operators take the failure domain with this name out of service.
    DomainOut(String),
    /// Operators bring all domains back into service.
    DomainsIn,
    /// All tasks at the host with this index fail from now on.
    BadHost(usize),
    /// The hosts of the rack with this name and their sides go down.
    RackLost(String),
    /// All open connections between sides and entries drop their bytes silently.
    Silence,
    /// Each call to the store is delayed by this time.
    StoreSlow(Duration),
    /// The store stops answering.
    StoreDown,
    /// The store answers again.
    StoreUp,
    /// Customers cancel this share of the open jobs.
    Cancel(f64),
    /// A random process is killed or partitioned for a while.
    Disturb,
}

/// Load and events of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the file without its extension.
    pub name: String,
    /// Site on which the scenario runs.
    pub plan: Plan,
    /// Load offered by the customers.
    pub load: Load,
    /// Events with their times from the start of the run, in order.
    pub events: Vec<(Duration, Event)>,
    /// Whether customers resubmit a job under its ticket when its answer is lost
    /// or it is temporarily refused.
    pub resubmit: bool,
}

const TIME_FORMAT: &str = "milliseconds from the start";
const SHARE_FORMAT: &str = "a share from 0 to 1";

impl Scenario {
    /// Reads a scenario from a file; `seed` determines its random choices.
    pub fn open(path: &Path, seed: u64) -> Result<Self, Error> {
        let text = crate::util::read_input(path)?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        Self::parse(&name, &text, seed).map_err(|faults| Error::faults(path, faults))
    }

    /// Parses a scenario.
    pub fn parse(name: &str, text: &str, seed: u64) -> Result<Self, kernel::ini::Faults> {
        let mut reader = Reader::open(text)?;
        let site: Option<String> = reader.required("scenario", "site", "folia or jadran");
        let plan = site.as_deref().and_then(Plan::find);
        if plan.is_none() {
            reader.fault("scenario", "site", "folia or jadran");
        }
        let share = reader.required("scenario", "load", "a share of the slots");
        let seconds: Option<f64> = reader.required("scenario", "seconds", "seconds");
        let resubmit = reader.optional::<Toggle>("scenario", "resubmit", "yes or no");
        let length = Duration::from_secs_f64(seconds.unwrap_or_default());
        let mut load = Load::steady(share.unwrap_or_default(), length, seed);
        read_load(&mut reader, &mut load);
        let mut events = read_events(&mut reader, length);
        events.sort_by_key(|(at, _)| *at);
        reader.finish()?;
        Ok(Self {
            name: name.to_owned(),
            plan: plan.unwrap_or_else(Plan::folia),
            load,
            events,
            resubmit: resubmit.is_some_and(|toggle| toggle.0),
        })
    }
}

fn read_load(reader: &mut Reader<'_>, load: &mut Load) {
    if reader.has("stragglers") {
        load.stragglers = reader
            .required("stragglers", "share", SHARE_FORMAT)
            .unwrap_or(0.0);
        let factor = reader.required("stragglers", "factor", "a factor");
        load.straggler_factor = factor.unwrap_or(1.0);
    }
    if reader.has("impossible-jobs") {
        load.failing = reader
            .required("impossible-jobs", "share", SHARE_FORMAT)
            .unwrap_or(0.0);
    }
    if reader.has("burst") {
        let at = time(reader, "burst", "at_ms");
        let length = time(reader, "burst", "length_ms");
        let factor = reader.required("burst", "factor", "a factor");
        load.burst = Some(Burst {
            at: at.unwrap_or_default(),
            length: length.unwrap_or_default(),
            factor: factor.unwrap_or(1.0),
        });
    }
}

fn read_events(reader: &mut Reader<'_>, length: Duration) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    let mut push_event = |at: Option<Duration>, event| events.extend(at.map(|at| (at, event)));
    if reader.has("domain-out") {
        let name = reader.required("domain-out", "name", "a failure domain");
        let out = time(reader, "domain-out", "at_ms");
        push_event(out, Event::DomainOut(name.unwrap_or_default()));
        push_event(time(reader, "domain-out", "back_ms"), Event::DomainsIn);
    }
    if reader.has("bad-host") {
        let index = reader.required("bad-host", "index", "a host's number from 0");
        let at = time(reader, "bad-host", "at_ms");
        push_event(at, Event::BadHost(index.unwrap_or_default()));
    }
    if reader.has("rack-lost") {
        let name = reader.required("rack-lost", "name", "a rack");
        let at = time(reader, "rack-lost", "at_ms");
        push_event(at, Event::RackLost(name.unwrap_or_default()));
    }
    if reader.has("silent-connections") {
        push_event(time(reader, "silent-connections", "at_ms"), Event::Silence);
    }
    if reader.has("store-slow") {
        let delay = time(reader, "store-slow", "delay_ms").unwrap_or_default();
        push_event(time(reader, "store-slow", "at_ms"), Event::StoreSlow(delay));
    }
    if reader.has("store-outage") {
        push_event(time(reader, "store-outage", "at_ms"), Event::StoreDown);
        push_event(time(reader, "store-outage", "back_ms"), Event::StoreUp);
    }
    if reader.has("cancellation-wave") {
        let share = reader.required("cancellation-wave", "share", SHARE_FORMAT);
        let at = time(reader, "cancellation-wave", "at_ms");
        push_event(at, Event::Cancel(share.unwrap_or_default()));
    }
    if reader.has("disturbances") {
        let interval = time(reader, "disturbances", "every_ms").unwrap_or(length);
        let mut at = interval;
        while at < length && !interval.is_zero() {
            push_event(Some(at), Event::Disturb);
            at += interval;
        }
    }
    events
}

fn time(reader: &mut Reader<'_>, section: &str, key: &str) -> Option<Duration> {
    let milliseconds = reader.required(section, key, TIME_FORMAT)?;
    Some(Duration::from_millis(milliseconds))
}
