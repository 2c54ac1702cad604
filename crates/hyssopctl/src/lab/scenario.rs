//! What happens to a site during a run, read from INI.

use super::{
    load::{Burst, Load},
    plan::Plan,
};
use crate::Error;
use kernel::{document::Toggle, ini::Reader};
use std::{path::Path, time::Duration};

/// Something that happens at a time.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The operators take a failure domain out.
    DomainOut(String),
    /// The operators bring all domains back.
    DomainsIn,
    /// A host fails everything from now on.
    BadHost(usize),
    /// The hosts of a rack and their sides are lost.
    RackLost(String),
    /// All open connections between sides and entries go silent.
    Silence,
    /// Every call to the store takes longer by this time.
    StoreSlow(Duration),
    /// The store goes out.
    StoreOut,
    /// The store comes back.
    StoreBack,
    /// The customers cancel a share of the jobs that have not ended.
    Cancel(f64),
    /// A process, chosen by the seed, is killed, cut off or drained, and
    /// replaced.
    Disturb,
}

/// A run's load and events.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the file without its ending.
    pub name: String,
    /// The site.
    pub plan: Plan,
    /// The load.
    pub load: Load,
    /// What happens, in the order of time.
    pub events: Vec<(Duration, Event)>,
    /// Whether customers submit a job again under its ticket when its answer is
    /// lost or refused for now.
    pub resubmit: bool,
}

const MILLISECONDS: &str = "milliseconds from the start";
const SHARE: &str = "a share from 0 to 1";

impl Scenario {
    /// Reads a scenario; `seed` replaces its seed.
    pub fn open(path: &Path, seed: u64) -> Result<Self, Error> {
        let text = crate::util::read_input(path)?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        Self::parse(&name, &text, seed).map_err(|faults| Error::faults(path, faults))
    }

    /// Checks a scenario in INI.
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
        load.stragglers = reader.required("stragglers", "share", SHARE).unwrap_or(0.0);
        let factor = reader.required("stragglers", "factor", "a factor");
        load.straggler_factor = factor.unwrap_or(1.0);
    }
    if reader.has("impossible-jobs") {
        load.poison = reader
            .required("impossible-jobs", "share", SHARE)
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
    let mut add = |at: Option<Duration>, event| events.extend(at.map(|at| (at, event)));
    if reader.has("domain-out") {
        let name = reader.required("domain-out", "name", "a failure domain");
        let out = time(reader, "domain-out", "at_ms");
        add(out, Event::DomainOut(name.unwrap_or_default()));
        add(time(reader, "domain-out", "back_ms"), Event::DomainsIn);
    }
    if reader.has("bad-host") {
        let index = reader.required("bad-host", "index", "a host's number from 0");
        let at = time(reader, "bad-host", "at_ms");
        add(at, Event::BadHost(index.unwrap_or_default()));
    }
    if reader.has("rack-lost") {
        let name = reader.required("rack-lost", "name", "a rack");
        let at = time(reader, "rack-lost", "at_ms");
        add(at, Event::RackLost(name.unwrap_or_default()));
    }
    if reader.has("silent-connections") {
        add(time(reader, "silent-connections", "at_ms"), Event::Silence);
    }
    if reader.has("store-slow") {
        let delay = time(reader, "store-slow", "delay_ms").unwrap_or_default();
        add(time(reader, "store-slow", "at_ms"), Event::StoreSlow(delay));
    }
    if reader.has("store-outage") {
        add(time(reader, "store-outage", "at_ms"), Event::StoreOut);
        add(time(reader, "store-outage", "back_ms"), Event::StoreBack);
    }
    if reader.has("cancellation-wave") {
        let share = reader.required("cancellation-wave", "share", SHARE);
        let at = time(reader, "cancellation-wave", "at_ms");
        add(at, Event::Cancel(share.unwrap_or_default()));
    }
    if reader.has("disturbances") {
        let every = time(reader, "disturbances", "every_ms").unwrap_or(length);
        let mut at = every;
        while at < length && !every.is_zero() {
            add(Some(at), Event::Disturb);
            at += every;
        }
    }
    events
}

fn time(reader: &mut Reader<'_>, section: &str, key: &str) -> Option<Duration> {
    let milliseconds = reader.required(section, key, MILLISECONDS)?;
    Some(Duration::from_millis(milliseconds))
}
