//! Runs a scenario: submits jobs to a site and applies the scenario's events.

use super::{
    load::{Arrival, Outcome},
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

/// Interval between samples of the busy slots.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of submissions of one job.
const MAX_ATTEMPTS: usize = 40;

/// Pause between two submissions of one job.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a disturbance lasts.
const DOWNTIME: Duration = Duration::from_millis(2_500);

/// Result codes after which a customer resubmits a job under the same ticket: a
/// temporary refusal, an unreachable home, or no answer (0).
const RETRYABLE_CODES: [u16; 8] = [201, 202, 203, 204, 205, 206, 305, 0];

/// Busy slots of a site at one time.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Time from the start of the run.
    pub at: Duration,
    /// Number of slots that run a task.
    pub busy: u32,
    /// Number of usable slots: their domain is in service and their host is up.
    pub usable: u32,
    /// Number of jobs that have not ended.
    pub open: usize,
}

/// Results of a run.
#[derive(Debug)]
pub struct Run {
    /// Name of the policy.
    pub policy: String,
    /// Outcome of each job, in no particular order.
    pub outcomes: Vec<Outcome>,
    /// Busy slots, in order of time.
    pub samples: Vec<Sample>,
    /// Statistics of all jobs.
    pub report: Report,
    /// For each removal of a domain after which a task started there: time from
    /// the acceptance of the removal to the last such start.
    pub last_start: Vec<Duration>,
}

/// Tickets of the jobs that have not ended.
type OpenTickets = Arc<Mutex<HashSet<String>>>;

/// State shared by all simulated customers.
#[derive(Debug, Clone)]
struct Customers {
    clients: Vec<Client>,
    open: OpenTickets,
    resubmit: bool,
    start: Instant,
}

/// Runs a scenario under a policy.
pub async fn run(scenario: &Scenario, policy: &str) -> Result<Run, Error> {
    let mut site = Site::spawn(scenario.plan.clone(), policy, scenario.load.seed).await?;
    let arrivals = scenario.load.draw(&scenario.plan);
    let clients: Result<Vec<_>, _> = (0..site.entries.len())
        .map(|index| site.client(index))
        .collect();
    let before = Traffic::read(&site).await?;
    let customers = Customers {
        clients: clients?,
        open: OpenTickets::default(),
        resubmit: scenario.resubmit,
        start: Instant::now(),
    };
    let jobs = tokio::spawn(submit_all(customers.clone(), arrivals));
    let mut state = State {
        random: SmallRng::seed_from_u64(scenario.load.seed),
        samples: Vec::new(),
        out: Vec::new(),
        removals: Vec::new(),
        lost_hosts: Vec::new(),
        recoveries: Vec::new(),
    };
    let mut events = scenario.events.iter().peekable();
    while !jobs.is_finished() {
        let now = customers.start.elapsed();
        if let Some((_, event)) = events.next_if(|(at, _)| *at <= now) {
            state.apply(event, &mut site, &customers).await?;
        }
        state.recover_due(&mut site, now).await?;
        restart_fenced(&mut site).await?;
        state.sample(&site, &customers);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
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

/// Restarts fenced entries, as the platform does with a process that exits.
async fn restart_fenced(site: &mut Site) -> Result<(), Error> {
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

async fn submit_all(customers: Customers, arrivals: Vec<Arrival>) -> Vec<Outcome> {
    let mut running = JoinSet::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until((customers.start + arrival.at).into()).await;
        running.spawn(submit_one(customers.clone(), number, arrival));
    }
    running.join_all().await
}

async fn submit_one(customers: Customers, number: usize, arrival: Arrival) -> Outcome {
    let mut ticket = None;
    let mut outcome = None;
    for attempt in 0..MAX_ATTEMPTS {
        let client = &customers.clients[(number + attempt) % customers.clients.len()];
        if ticket.is_none() {
            ticket = client
                .tickets(1)
                .await
                .ok()
                .and_then(|mut tickets| tickets.pop());
        }
        if let Some(ticket) = &ticket {
            customers.lock().insert(ticket.clone());
            let attempted =
                super::load::submit(client, &arrival, Some(ticket.clone()), customers.start).await;
            customers.lock().remove(ticket);
            let retryable =
                RETRYABLE_CODES.contains(&attempted.code.unwrap_or_default()) && !attempted.correct;
            outcome = Some(attempted);
            if !retryable || !customers.resubmit {
                break;
            }
        } else if !customers.resubmit {
            break;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    outcome.unwrap_or_else(|| Outcome::unanswered(&arrival, customers.start))
}

impl Customers {
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

/// A disturbance that has to be reverted later.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    Entry(usize),
    Side(usize),
    Partition(usize),
}

struct State {
    random: SmallRng,
    samples: Vec<Sample>,
    out: Vec<String>,
    removals: Vec<(Instant, String, Option<Instant>)>,
    lost_hosts: Vec<usize>,
    recoveries: Vec<(Duration, Disturbance)>,
}

impl State {
    async fn apply(
        &mut self,
        event: &Event,
        site: &mut Site,
        customers: &Customers,
    ) -> Result<(), Error> {
        match event {
            Event::DomainOut(name) => {
                self.out.push(name.clone());
                site.publish(&[name], &format!("out-{name}")).await?;
                self.removals.push((Instant::now(), name.clone(), None));
            }
            Event::DomainsIn => {
                self.out.clear();
                site.publish(&[], "all-in").await?;
                for (_, _, returned) in &mut self.removals {
                    returned.get_or_insert_with(Instant::now);
                }
            }
            Event::BadHost(index) => site.nodes[*index].host.set_failing(true),
            Event::RackLost(rack) => self.lose_rack(rack, site),
            Event::Silence => {
                for relay in site.entries.iter().flat_map(|entry| &entry.sides) {
                    relay.blackhole();
                }
            }
            Event::StoreSlow(delay) => site.store.set_delay(*delay),
            Event::StoreDown => site.store.set_outage(true),
            Event::StoreUp => site.store.set_outage(false),
            Event::Cancel(share) => customers.cancel(*share, &mut self.random),
            Event::Disturb => self.disturb(site, customers.start.elapsed()),
        }
        Ok(())
    }

    fn lose_rack(&mut self, rack: &str, site: &mut Site) {
        for index in 0..site.nodes.len() {
            if site.plan.rack_of(index) == rack {
                site.kill_side(index);
                site.nodes[index].host.set_failing(true);
                self.lost_hosts.push(index);
            }
        }
    }

    /// Kills an entry or a side, or partitions an entry from all sides and other
    /// entries for a while, as if it were paused.
    fn disturb(&mut self, site: &mut Site, now: Duration) {
        let disturbed_entries: Vec<usize> = self
            .recoveries
            .iter()
            .filter_map(|(_, disturbance)| match disturbance {
                Disturbance::Entry(index) | Disturbance::Partition(index) => Some(*index),
                Disturbance::Side(_) => None,
            })
            .collect();
        let choice = self.random.random_range(0..4);
        let entry = self.random.random_range(0..site.entries.len());
        let node = self.random.random_range(0..site.nodes.len());
        let disturbance = match choice {
            0 if disturbed_entries.is_empty() => {
                site.kill_entry(entry);
                Disturbance::Entry(entry)
            }
            1 if disturbed_entries.is_empty() => {
                site.entries[entry].partition(true);
                Disturbance::Partition(entry)
            }
            _ if site.nodes[node].side.is_some() => {
                site.kill_side(node);
                Disturbance::Side(node)
            }
            _ => return,
        };
        self.recoveries.push((now + DOWNTIME, disturbance));
    }

    async fn recover_due(&mut self, site: &mut Site, now: Duration) -> Result<(), Error> {
        let due: Vec<Disturbance> = self
            .recoveries
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, disturbance)| *disturbance)
            .collect();
        self.recoveries.retain(|(at, _)| *at > now);
        for disturbance in due {
            match disturbance {
                Disturbance::Entry(index) => site.start_entry(index).await?,
                Disturbance::Side(index) => site.start_side(index).await?,
                Disturbance::Partition(index) => site.entries[index].partition(false),
            }
        }
        Ok(())
    }

    fn sample(&mut self, site: &Site, customers: &Customers) {
        let mut sample = Sample {
            at: customers.start.elapsed(),
            busy: 0,
            usable: 0,
            open: customers.lock().len(),
        };
        for (index, node) in site.nodes.iter().enumerate() {
            if self.out.contains(&node.domain) || self.lost_hosts.contains(&index) {
                continue;
            }
            sample.busy += node.host.running();
            sample.usable += u32::from(site.plan.slots);
        }
        self.samples.push(sample);
    }

    fn last_starts(&self, site: &Site) -> Vec<Duration> {
        self.removals
            .iter()
            .filter_map(|(out, domain, returned)| {
                let end = returned.unwrap_or_else(Instant::now);
                let last = site.audit.last_start(&site.hosts_of(domain), *out, end)?;
                Some(last.saturating_duration_since(*out))
            })
            .collect()
    }
}
