//! A run: jobs submitted to a site while a scenario's events happen.

use super::{
    load::{Item, Outcome},
    report::{Report, Traffic},
    scenario::{Event, Scenario},
    site::Site,
};
use crate::{Error, client::Client};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Interval between samples of busy slots.
const SAMPLE: Duration = Duration::from_millis(20);

/// Tries of one job, and the pause before each but the first.
const TRIES: usize = 40;
const PAUSE: Duration = Duration::from_millis(300);

/// Time that a disturbed process stays away.
const AWAY: Duration = Duration::from_millis(2_500);

/// Result codes after which a customer tries again under the same ticket: refused
/// for now, or the home was out of reach.
const TRY_AGAIN: [u16; 8] = [201, 202, 203, 204, 205, 206, 305, 0];

/// Busy slots at a time.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// From the start of the run.
    pub at: Duration,
    /// Slots that run a task.
    pub busy: u32,
    /// Slots that may run one: their domain is in and their host is there.
    pub allowed: u32,
    /// Jobs that have not ended.
    pub open: usize,
}

/// What a run gave.
#[derive(Debug)]
pub struct Run {
    /// Name of the policy.
    pub policy: String,
    /// All jobs.
    pub outcomes: Vec<Outcome>,
    /// Busy slots over time.
    pub samples: Vec<Sample>,
    /// Figures.
    pub report: Report,
    /// Time from the acceptance of each domain's removal to the last start
    /// there, if any task started after it.
    pub last_start: Vec<Duration>,
}

/// Jobs that have not ended, by ticket.
type Open = Arc<Mutex<HashSet<String>>>;

/// What customers share.
#[derive(Debug, Clone)]
struct Desk {
    clients: Vec<Client>,
    open: Open,
    resubmit: bool,
    start: Instant,
}

/// Runs a scenario under a policy.
pub async fn run(scenario: &Scenario, policy: &str) -> Result<Run, Error> {
    let mut site = Site::spawn(scenario.plan.clone(), policy, scenario.load.seed).await?;
    let items = scenario.load.draw(&scenario.plan);
    let clients: Result<Vec<_>, _> = (0..site.entries.len())
        .map(|index| site.client(index))
        .collect();
    let before = Traffic::read(&site).await?;
    let desk = Desk {
        clients: clients?,
        open: Open::default(),
        resubmit: scenario.resubmit,
        start: Instant::now(),
    };
    let jobs = tokio::spawn(submit_all(desk.clone(), items));
    let mut state = State {
        random: SmallRng::seed_from_u64(scenario.load.seed),
        samples: Vec::new(),
        out: Vec::new(),
        removals: Vec::new(),
        lost: Vec::new(),
        returns: Vec::new(),
    };
    let mut events = scenario.events.iter().peekable();
    while !jobs.is_finished() {
        let now = desk.start.elapsed();
        if let Some((_, event)) = events.next_if(|(at, _)| *at <= now) {
            state.apply(event, &mut site, &desk).await?;
        }
        state.bring_back(&mut site, now).await?;
        replace_fenced(&mut site).await?;
        state.sample(&site, &desk);
        tokio::time::sleep(SAMPLE).await;
    }
    let outcomes = jobs
        .await
        .map_err(|error| Error::Failed(error.to_string()))?;
    let traffic = Traffic::read(&site).await?.since(before);
    let report = Report::new(&outcomes, traffic, &site);
    let last_start = state.last_starts(&site);
    Ok(Run {
        policy: policy.to_owned(),
        report,
        last_start,
        samples: state.samples,
        outcomes,
    })
}

/// Starts fenced entries anew, as the platform does with a process that ends.
async fn replace_fenced(site: &mut Site) -> Result<(), Error> {
    for index in 0..site.entries.len() {
        let fenced = site.entries[index]
            .handle
            .as_ref()
            .is_some_and(hyssoppost::entry::Handle::is_fenced);
        if fenced {
            site.kill_entry(index);
            site.start_entry(index).await?;
        }
    }
    Ok(())
}

async fn submit_all(desk: Desk, items: Vec<Item>) -> Vec<Outcome> {
    let mut running = JoinSet::new();
    for (number, item) in items.into_iter().enumerate() {
        tokio::time::sleep_until((desk.start + item.at).into()).await;
        running.spawn(submit_one(desk.clone(), number, item));
    }
    running.join_all().await
}

async fn submit_one(desk: Desk, number: usize, item: Item) -> Outcome {
    let mut ticket = None;
    let mut outcome = None;
    for attempt in 0..TRIES {
        let client = &desk.clients[(number + attempt) % desk.clients.len()];
        if ticket.is_none() {
            ticket = client
                .tickets(1)
                .await
                .ok()
                .and_then(|mut tickets| tickets.pop());
        }
        if let Some(ticket) = &ticket {
            desk.lock().insert(ticket.clone());
            let tried = super::load::submit(client, &item, Some(ticket.clone()), desk.start).await;
            desk.lock().remove(ticket);
            let again = TRY_AGAIN.contains(&tried.code.unwrap_or_default()) && !tried.whole;
            outcome = Some(tried);
            if !again || !desk.resubmit {
                break;
            }
        } else if !desk.resubmit {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    outcome.unwrap_or_else(|| Outcome::lost(&item, desk.start))
}

impl Desk {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashSet<String>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cancel(&self, share: f64, random: &mut SmallRng) {
        let mut tickets: Vec<String> = self.lock().iter().cloned().collect();
        tickets.sort();
        tickets.retain(|_| random.random_bool(share));
        for (number, ticket) in tickets.into_iter().enumerate() {
            let client = self.clients[number % self.clients.len()].clone();
            tokio::spawn(async move { client.cancel(&ticket).await });
        }
    }
}

/// A process that is away.
#[derive(Debug, Clone, Copy)]
enum Away {
    Entry(usize),
    Side(usize),
    Partition(usize),
}

struct State {
    random: SmallRng,
    samples: Vec<Sample>,
    out: Vec<String>,
    removals: Vec<(Instant, String, Option<Instant>)>,
    lost: Vec<usize>,
    returns: Vec<(Duration, Away)>,
}

impl State {
    async fn apply(&mut self, event: &Event, site: &mut Site, desk: &Desk) -> Result<(), Error> {
        match event {
            Event::DomainOut(name) => {
                self.out.push(name.clone());
                site.publish(&[name], &format!("out-{name}")).await?;
                self.removals.push((Instant::now(), name.clone(), None));
            }
            Event::DomainsIn => {
                self.out.clear();
                site.publish(&[], "all-in").await?;
                for (_, _, back) in &mut self.removals {
                    back.get_or_insert_with(Instant::now);
                }
            }
            Event::BadHost(index) => site.places[*index].host.set_failing(true),
            Event::RackLost(rack) => self.lose_rack(rack, site),
            Event::Silence => {
                for relay in site.entries.iter().flat_map(|entry| &entry.sides) {
                    relay.blackhole();
                }
            }
            Event::StoreSlow(delay) => site.store.set_delay(*delay),
            Event::StoreOut => site.store.set_outage(true),
            Event::StoreBack => site.store.set_outage(false),
            Event::Cancel(share) => desk.cancel(*share, &mut self.random),
            Event::Disturb => self.disturb(site, desk.start.elapsed()),
        }
        Ok(())
    }

    fn lose_rack(&mut self, rack: &str, site: &mut Site) {
        for index in 0..site.places.len() {
            if site.plan.rack_of(index) == rack {
                site.kill_side(index);
                site.places[index].host.set_failing(true);
                self.lost.push(index);
            }
        }
    }

    /// Takes one process away: an entry or a side is killed, or an entry is
    /// cut off from every side and entry for a while, as if it were paused.
    fn disturb(&mut self, site: &mut Site, now: Duration) {
        let away: Vec<usize> = self
            .returns
            .iter()
            .filter_map(|(_, away)| match away {
                Away::Entry(index) | Away::Partition(index) => Some(*index),
                Away::Side(_) => None,
            })
            .collect();
        let choice = self.random.random_range(0..4);
        let entry = self.random.random_range(0..site.entries.len());
        let place = self.random.random_range(0..site.places.len());
        let away = match choice {
            0 if away.is_empty() => {
                site.kill_entry(entry);
                Away::Entry(entry)
            }
            1 if away.is_empty() => {
                site.entries[entry].partition(true);
                Away::Partition(entry)
            }
            _ if site.places[place].side.is_some() => {
                site.kill_side(place);
                Away::Side(place)
            }
            _ => return,
        };
        self.returns.push((now + AWAY, away));
    }

    async fn bring_back(&mut self, site: &mut Site, now: Duration) -> Result<(), Error> {
        let due: Vec<Away> = self
            .returns
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, away)| *away)
            .collect();
        self.returns.retain(|(at, _)| *at > now);
        for away in due {
            match away {
                Away::Entry(index) => site.start_entry(index).await?,
                Away::Side(index) => site.start_side(index).await?,
                Away::Partition(index) => site.entries[index].partition(false),
            }
        }
        Ok(())
    }

    fn sample(&mut self, site: &Site, desk: &Desk) {
        let mut sample = Sample {
            at: desk.start.elapsed(),
            busy: 0,
            allowed: 0,
            open: desk.lock().len(),
        };
        for (index, place) in site.places.iter().enumerate() {
            if self.out.contains(&place.domain) || self.lost.contains(&index) {
                continue;
            }
            sample.busy += place.host.running();
            sample.allowed += u32::from(site.plan.slots);
        }
        self.samples.push(sample);
    }

    fn last_starts(&self, site: &Site) -> Vec<Duration> {
        self.removals
            .iter()
            .filter_map(|(out, domain, back)| {
                let end = back.unwrap_or_else(Instant::now);
                let last = site.audit.last_start(&site.hosts_of(domain), *out, end)?;
                Some(last.saturating_duration_since(*out))
            })
            .collect()
    }
}
