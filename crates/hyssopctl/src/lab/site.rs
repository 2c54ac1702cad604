//! Starts a site's processes and the simulated network between them.

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

/// Token of all admin interfaces.
pub const ADMIN_TOKEN: &str = "lab-admin-token";

const SHARED_KEY: &str = "lab-shared-key-0001";

/// Time within which all processes of a site must be connected.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// An entry and the relays in front of it.
#[derive(Debug)]
pub struct Entry {
    /// Handle of the entry; `None` while it is down.
    pub handle: Option<entry::Handle>,
    /// Relay between customers and the entry.
    pub customers: Relay,
    /// Relay between other entries and this one.
    pub peers: Relay,
    /// Relays between each side and the entry, in the order of the sides.
    pub sides: Vec<Relay>,
}

impl Entry {
    /// Partitions the entry from all sides and entries, or ends the partition.
    pub fn partition(&self, cut: bool) {
        self.peers.partition(cut);
        for relay in &self.sides {
            relay.partition(cut);
        }
    }
}

/// A host and the side that runs beside it.
#[derive(Debug)]
pub struct Node {
    /// Handle of the side; `None` while it is down.
    pub side: Option<side::Handle>,
    /// Simulated host; runs while its side is down.
    pub host: Host,
    /// Name of the host in the audit.
    pub name: String,
    /// Failure domain of the host and its side.
    pub domain: String,
}

/// A running site: entries, hosts with their sides, and a store.
#[derive(Debug)]
pub struct Site {
    /// Description from which the site was started.
    pub plan: Plan,
    /// Simulated key-value store.
    pub store: Store,
    /// Client of the store with which documents are published.
    pub operator: gateway::Client,
    /// Entries, one in each domain, in the order of the plan.
    pub entries: Vec<Entry>,
    /// Hosts and their sides.
    pub nodes: Vec<Node>,
    /// Record of all task starts.
    pub audit: Audit,
    policy: &'static Plugin,
    seed: u64,
    timer: Timer,
    handles: Option<Handles>,
}

/// Runtimes for entries and sides; the threads are named after their role.
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
    /// Starts the threads of both runtimes.
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

/// Runs a future on the runtime of a role, or on the current one for `None`.
async fn run_on<T, F>(handle: Option<&Handle>, future: F) -> Result<T, Error>
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
    /// Starts a site and waits until all entries can place tasks on all sides.
    pub async fn spawn(plan: Plan, policy: &str, seed: u64) -> Result<Self, Error> {
        Self::spawn_on(plan, policy, seed, None).await
    }

    /// Starts a site as [`Site::spawn`] does, with each role on its own runtime.
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
            nodes: Vec::new(),
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
            let node = site.new_node(index).await?;
            site.nodes.push(node);
        }
        site.wait_ready().await?;
        Ok(site)
    }

    /// Publishes the site's document with the domains `out` out of service.
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

    /// Starts or restarts an entry.
    pub async fn start_entry(&mut self, index: usize) -> Result<(), Error> {
        let settings = self.entry_settings(index)?;
        let threads = self.handles.as_ref().map(|handles| &handles.entry);
        let handle = run_on(threads, entry::spawn(settings)).await?;
        let entry = &mut self.entries[index];
        entry.customers.set_target(Some(handle.customers()));
        entry.peers.set_target(Some(handle.links()));
        for relay in &entry.sides {
            relay.set_target(Some(handle.links()));
        }
        entry.handle = Some(handle);
        Ok(())
    }

    /// Stops an entry without a drain, like a crash.
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

    /// Restarts a side; its host keeps running.
    pub async fn start_side(&mut self, index: usize) -> Result<(), Error> {
        let handle = self.spawn_side(index).await?;
        let node = &mut self.nodes[index];
        node.host.set_side(handle.upstream());
        node.side = Some(handle);
        Ok(())
    }

    /// Stops a side without a drain, like a crash.
    pub fn kill_side(&mut self, index: usize) {
        if let Some(handle) = self.nodes[index].side.take() {
            handle.kill();
        }
    }

    /// Returns a client of an entry that connects through the customers' relay.
    pub fn client(&self, index: usize) -> Result<client::Client, Error> {
        client::Client::open(self.entries[index].customers.address())
    }

    /// Returns the names of the hosts in a domain.
    pub fn hosts_of(&self, domain: &str) -> Vec<String> {
        self.nodes
            .iter()
            .filter(|node| node.domain == domain)
            .map(|node| node.name.clone())
            .collect()
    }

    /// Returns the states of all running entries and of all running sides.
    pub async fn dumps(&self) -> Result<(Vec<Value>, Vec<Value>), Error> {
        let mut entries = Vec::new();
        for entry in self
            .entries
            .iter()
            .filter_map(|entry| entry.handle.as_ref())
        {
            entries.push(client::dump(entry.admin(), ADMIN_TOKEN).await?);
        }
        let mut sides = Vec::new();
        for side in self.nodes.iter().filter_map(|node| node.side.as_ref()) {
            sides.push(client::dump(side.admin(), ADMIN_TOKEN).await?);
        }
        Ok((entries, sides))
    }

    /// Waits until all running entries can place tasks on all running sides.
    pub async fn wait_ready(&self) -> Result<(), Error> {
        let started = Instant::now();
        let wanted = self.nodes.iter().filter(|node| node.side.is_some()).count();
        while started.elapsed() < START_TIMEOUT {
            let (entries, sides) = self.dumps().await?;
            let is_connected = |entry: &Value| {
                let sides = entry["sides"].as_array().map_or(&[][..], Vec::as_slice);
                sides.iter().filter(|side| is_up(side)).count() >= wanted
            };
            let can_start = |side: &Value| side["may_start"] == Value::Bool(true);
            if entries.iter().all(is_connected) && sides.iter().all(can_start) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(Error::Failed("the site did not start in time".to_owned()))
    }

    async fn new_entry(&self, index: usize) -> Result<Entry, Error> {
        let own_domain = &self.plan.domains[index];
        let mut sides = Vec::new();
        for host in 0..self.plan.hosts {
            let same_domain = self.plan.domains[self.plan.domain_of(host)] == *own_domain;
            let delay = if same_domain {
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

    async fn new_node(&self, index: usize) -> Result<Node, Error> {
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
        Ok(Node {
            side: Some(handle),
            host,
            name,
            domain: self.plan.domains[self.plan.domain_of(index)].clone(),
        })
    }

    async fn spawn_side(&self, index: usize) -> Result<side::Handle, Error> {
        let settings = self.side_settings(index)?;
        let threads = self.handles.as_ref().map(|handles| &handles.side);
        run_on(threads, side::spawn(settings)).await
    }

    fn entry_settings(&self, index: usize) -> Result<settings::Entry, Error> {
        let domain = &self.plan.domains[index];
        let text = format!(
            "[entry]\nname = entry-{domain}\nenvironment = {}\ndomain = {domain}\n\n\
             [listen]\ncallers = 127.0.0.1:0\nlinks = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             advertise = {}\n\n[store]\naddress = {}\n\n\
             [security]\nkey = {SHARED_KEY}\nadmin_token = {ADMIN_TOKEN}\n\n\
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
             [security]\nkey = {SHARED_KEY}\nadmin_token = {ADMIN_TOKEN}\n\n\
             [entries]\nseeds = {}\ndiscover = no\n",
            self.plan.environment,
            self.plan.rack_of(index),
            seeds.join(", "),
        );
        settings::Side::parse(&text).map_err(|faults| Error::faults("lab", faults))
    }
}

/// Returns the name of a host in the audit.
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
