//! A running site.

use super::plan::Plan;
use crate::{Error, client, util};
use hyssoppost::{entry, settings, side};
use kernel::policy::Plugin;
use serde_json::Value;
use standin::{
    host::{Audit, Host, Profile},
    relay::Relay,
    store::Store,
    timer::Timer,
};
use std::time::{Duration, Instant};
use store::{
    gateway,
    publication::{self, Change, Record},
};
use tokio::runtime::{Handle, Runtime};

/// Token of the admin interfaces.
pub const TOKEN: &str = "lab-admin-token";

/// Key shared by the processes.
const KEY: &str = "lab-shared-key-0001";

/// Time that a site has to start.
const START: Duration = Duration::from_secs(10);

/// An entry with the network before it.
#[derive(Debug)]
pub struct Entry {
    /// The running process; `None` while it is down.
    pub handle: Option<entry::Handle>,
    /// The network between customers and the entry.
    pub customers: Relay,
    /// The network between other entries and this one.
    pub peers: Relay,
    /// The network between each side and the entry, in the order of sides.
    pub sides: Vec<Relay>,
}

impl Entry {
    /// Cuts the entry off from all sides and entries, or heals the network.
    pub fn partition(&self, cut: bool) {
        self.peers.partition(cut);
        for relay in &self.sides {
            relay.partition(cut);
        }
    }
}

/// A side and the host that it stands beside.
#[derive(Debug)]
pub struct Place {
    /// The running side; `None` while it is down.
    pub side: Option<side::Handle>,
    /// The host.
    pub host: Host,
    /// The host's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// What it looks like.
    pub plan: Plan,
    /// The platform's store.
    pub store: Store,
    /// A client of the store, as operators use it.
    pub operator: gateway::Client,
    /// One entry a domain.
    pub entries: Vec<Entry>,
    /// Sides and hosts.
    pub places: Vec<Place>,
    /// Starts of all tasks.
    pub audit: Audit,
    policy: &'static Plugin,
    seed: u64,
    timer: Timer,
    handles: Option<Handles>,
}

/// Runtimes whose threads carry their role's name.
#[derive(Debug)]
pub struct Runtimes {
    entry: Runtime,
    side: Runtime,
}

#[derive(Debug, Clone)]
struct Handles {
    entry: Handle,
    side: Handle,
}

impl Runtimes {
    /// Starts the threads.
    pub fn open() -> Result<Self, Error> {
        let open = |name: &str| {
            tokio::runtime::Builder::new_multi_thread()
                .thread_name(name)
                .enable_all()
                .build()
        };
        Ok(Self {
            entry: open("entry")?,
            side: open("side")?,
        })
    }

    fn handles(&self) -> Handles {
        Handles {
            entry: self.entry.handle().clone(),
            side: self.side.handle().clone(),
        }
    }
}

/// Runs a future on a role's threads, if it has its own.
async fn on<T, F>(handle: Option<&Handle>, future: F) -> Result<T, Error>
where
    T: Send + 'static,
    F: Future<Output = Result<T, hyssoppost::Error>> + Send + 'static,
{
    let result = match handle {
        None => future.await,
        Some(handle) => handle
            .spawn(future)
            .await
            .map_err(|error| Error::Failed(error.to_string()))?,
    };
    Ok(result?)
}

impl Site {
    /// Starts a site and waits until every entry sees every side.
    pub async fn spawn(plan: Plan, policy: &str, seed: u64) -> Result<Self, Error> {
        Self::spawn_on(plan, policy, seed, None).await
    }

    /// Starts a site with each role on threads of its own.
    pub async fn spawn_on(
        plan: Plan,
        policy: &str,
        seed: u64,
        runtimes: Option<&Runtimes>,
    ) -> Result<Self, Error> {
        let policy = Plugin::find(policy).ok_or_else(|| unknown_policy(policy))?;
        let store = Store::bind().await?;
        let operator = gateway::Client::open(&store.address().to_string())?;
        let mut site = Self {
            plan,
            store,
            operator,
            entries: Vec::new(),
            places: Vec::new(),
            audit: Audit::default(),
            policy,
            seed,
            timer: Timer::spawn(),
            handles: runtimes.map(Runtimes::handles),
        };
        site.publish(&[], "start").await?;
        for index in 0..site.plan.domains.len() {
            let entry = site.new_entry(index).await?;
            site.entries.push(entry);
            site.start_entry(index).await?;
        }
        for index in 0..site.plan.hosts {
            let place = site.new_place(index).await?;
            site.places.push(place);
        }
        site.wait_ready().await?;
        Ok(site)
    }

    /// Puts the site's document in force with some domains out of service.
    pub async fn publish(&self, out: &[&str], change: &str) -> Result<Record, Error> {
        let environment = &self.plan.environment;
        let base = publication::read(&self.operator, environment).await?;
        let text = self.plan.document(out);
        let change = Change {
            id: change,
            author: "lab",
            time: util::unix_time().as_secs(),
            text: &text,
        };
        Ok(publication::publish(&self.operator, environment, base.as_ref(), change).await?)
    }

    /// Starts an entry's process, for the first time or again.
    pub async fn start_entry(&mut self, index: usize) -> Result<(), Error> {
        let settings = self.entry_settings(index)?;
        let threads = self.handles.as_ref().map(|handles| &handles.entry);
        let handle = on(threads, entry::spawn(settings)).await?;
        let entry = &mut self.entries[index];
        entry.customers.set_target(Some(handle.customers()));
        entry.peers.set_target(Some(handle.links()));
        for relay in &entry.sides {
            relay.set_target(Some(handle.links()));
        }
        entry.handle = Some(handle);
        Ok(())
    }

    /// Ends an entry's process as a crash would.
    pub fn kill_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.customers.set_target(None);
        entry.peers.set_target(None);
        for relay in &entry.sides {
            relay.set_target(None);
        }
        if let Some(handle) = entry.handle.take() {
            handle.kill();
        }
    }

    /// Starts a side's process again; its host stays.
    pub async fn start_side(&mut self, index: usize) -> Result<(), Error> {
        let handle = self.spawn_side(index).await?;
        let place = &mut self.places[index];
        place.host.set_side(handle.upstream());
        place.side = Some(handle);
        Ok(())
    }

    /// Ends a side's process as a crash would.
    pub fn kill_side(&mut self, index: usize) {
        if let Some(handle) = self.places[index].side.take() {
            handle.kill();
        }
    }

    /// Returns a client of an entry, through the customers' network.
    pub fn client(&self, index: usize) -> Result<client::Client, Error> {
        client::Client::open(self.entries[index].customers.address())
    }

    /// Returns the names of a domain's hosts.
    pub fn hosts_of(&self, domain: &str) -> Vec<String> {
        self.places
            .iter()
            .filter(|place| place.domain == domain)
            .map(|place| place.name.clone())
            .collect()
    }

    /// Returns the dumps of all running processes: entries, then sides.
    pub async fn dumps(&self) -> Result<(Vec<Value>, Vec<Value>), Error> {
        let mut entries = Vec::new();
        for entry in self
            .entries
            .iter()
            .filter_map(|entry| entry.handle.as_ref())
        {
            entries.push(client::dump(entry.admin(), TOKEN).await?);
        }
        let mut sides = Vec::new();
        for side in self.places.iter().filter_map(|place| place.side.as_ref()) {
            sides.push(client::dump(side.admin(), TOKEN).await?);
        }
        Ok((entries, sides))
    }

    /// Waits until every running entry may place tasks on every running side.
    pub async fn wait_ready(&self) -> Result<(), Error> {
        let begun = Instant::now();
        let wanted = self
            .places
            .iter()
            .filter(|place| place.side.is_some())
            .count();
        while begun.elapsed() < START {
            let (entries, sides) = self.dumps().await?;
            let up = |entry: &Value| {
                let sides = entry["sides"].as_array().map_or(&[][..], Vec::as_slice);
                sides.iter().filter(|side| is_up(side)).count() >= wanted
            };
            let vouched = |side: &Value| side["may_start"] == Value::Bool(true);
            if entries.iter().all(up) && sides.iter().all(vouched) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(Error::Failed("the site did not start in time".to_owned()))
    }

    async fn new_entry(&self, index: usize) -> Result<Entry, Error> {
        let own = &self.plan.domains[index];
        let mut sides = Vec::new();
        for host in 0..self.plan.hosts {
            let same = self.plan.domains[self.plan.domain_of(host)] == *own;
            let delay = if same {
                Duration::ZERO
            } else {
                self.plan.domain_delay
            };
            sides.push(Relay::bind(delay, &self.timer).await?);
        }
        Ok(Entry {
            handle: None,
            customers: Relay::bind(self.plan.customer_delay, &self.timer).await?,
            peers: Relay::bind(self.plan.domain_delay, &self.timer).await?,
            sides,
        })
    }

    async fn new_place(&self, index: usize) -> Result<Place, Error> {
        let handle = self.spawn_side(index).await?;
        let name = host_name(index);
        let profile = Profile {
            name: name.clone(),
            service: self.plan.service.clone(),
            kinds: self
                .plan
                .kinds
                .iter()
                .map(|kind| kind.name.to_owned())
                .collect(),
            slots: self.plan.slots,
        };
        let host = Host::bind(profile, handle.upstream(), &self.audit, &self.timer).await?;
        Ok(Place {
            side: Some(handle),
            host,
            name,
            domain: self.plan.domains[self.plan.domain_of(index)].clone(),
        })
    }

    async fn spawn_side(&self, index: usize) -> Result<side::Handle, Error> {
        let settings = self.side_settings(index)?;
        let threads = self.handles.as_ref().map(|handles| &handles.side);
        on(threads, side::spawn(settings)).await
    }

    fn entry_settings(&self, index: usize) -> Result<settings::Entry, Error> {
        let domain = &self.plan.domains[index];
        let text = format!(
            "[entry]\nname = entry-{domain}\nenvironment = {}\ndomain = {domain}\n\n\
             [listen]\ncallers = 127.0.0.1:0\nlinks = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             advertise = {}\n\n[store]\naddress = {}\n\n\
             [security]\nkey = {KEY}\nadmin_token = {TOKEN}\n\n\
             [policy]\nname = {}\nseed = {}\n",
            self.plan.environment,
            self.entries[index].peers.address(),
            self.store.address(),
            self.policy.name,
            self.seed + index as u64,
        );
        settings::Entry::parse(&text).map_err(|faults| Error::faults("lab", faults))
    }

    fn side_settings(&self, index: usize) -> Result<settings::Side, Error> {
        let domain = &self.plan.domains[self.plan.domain_of(index)];
        let seeds: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.sides[index].address().to_string())
            .collect();
        let text = format!(
            "[side]\nname = side-{index}\nenvironment = {}\ndomain = {domain}\nrack = {}\n\n\
             [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\n\
             [security]\nkey = {KEY}\nadmin_token = {TOKEN}\n\n\
             [entries]\nseeds = {}\ndiscover = no\n",
            self.plan.environment,
            self.plan.rack_of(index),
            seeds.join(", "),
        );
        settings::Side::parse(&text).map_err(|faults| Error::faults("lab", faults))
    }
}

/// Returns a host's name for the audit.
pub fn host_name(index: usize) -> String {
    format!("host-{index}")
}

fn is_up(side: &Value) -> bool {
    side["link"] == "up" && side["ready"] == Value::Bool(true) && side["slots"] != 0
}

fn unknown_policy(name: &str) -> Error {
    let names: Vec<&str> = Plugin::all().map(|plugin| plugin.name).collect();
    Error::Failed(format!("policy {name:?} is none of {}", names.join(", ")))
}
