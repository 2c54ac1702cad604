//! Settings of a process, read from INI and validated before any socket binds.

mod limits;

pub use limits::{Customers, Host};

use crate::Error;
use kernel::{
    document::Toggle,
    ini::{Faults, Reader},
    policy::Plugin,
};
use log::LevelFilter;
use std::{fs, net::SocketAddr, path::Path, str::FromStr, time::Duration};
use wire::proof::Keyring;

/// Least length of a shared key, in characters.
const MIN_KEY_CHARACTERS: usize = 16;

// Descriptions of valid values, which reports of faults contain.
const EXPECTED_ADDRESS: &str = "an address as IP:port";
const EXPECTED_REGION: &str = "the region's name";
const EXPECTED_PROCESSOR: &str = "a number of processor cores";
const EXPECTED_FACTOR: &str = "a factor of 1 or more";

/// Largest processor of one process, in thousandths of a core; more is an error.
pub const MAX_PROCESSOR: u32 = 1_024_000;

/// Settings that entries and sides share.
#[derive(Debug, Clone)]
pub struct Common {
    /// The process's name, unique in its environment.
    pub name: String,
    /// Environment, which selects the document and the entries in the store.
    pub environment: String,
    /// Failure domain that the process belongs to.
    pub domain: String,
    /// Address that the admin interface listens on.
    pub admin: SocketAddr,
    /// Bearer token that the admin interface requires.
    pub admin_token: String,
    /// Keys that the processes of the environment share.
    pub keys: Keyring,
    /// Least severe log level.
    pub level: LevelFilter,
    /// One in `sample` jobs has its routine events logged.
    pub sample: u64,
    /// Address that serves metrics without a token, if any.
    pub metrics: Option<SocketAddr>,
    /// Longest time that work in progress may take to end after SIGTERM.
    pub drain: Duration,
    /// Memory and descriptors of the process's host.
    pub host: Host,
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Settings that all processes have.
    pub common: Common,
    /// Region; the entries of a region connect to each other and share sides.
    pub region: String,
    /// Address that listens for customers' requests.
    pub customers: SocketAddr,
    /// Address that listens for connections of sides and other entries.
    pub links: SocketAddr,
    /// Address at which sides and other entries reach `links`, if it differs.
    pub advertise: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of entries to connect to, besides those in the store.
    pub peers: Vec<SocketAddr>,
    /// Placement policy.
    pub policy: &'static Plugin,
    /// What customers may make the entry hold.
    pub limits: limits::Customers,
    /// Most memory for the answers of ended jobs, in bytes.
    pub archive_bytes: usize,
    /// Processor available to the process, in cores, as the file states it.
    pub processor: Option<f64>,
    /// Seed of the placement's random choices; random if absent.
    pub seed: Option<u64>,
    /// Settings for leased tasks; `None` where upstreams answer a call per task.
    pub lease: Option<Lease>,
}

/// Time limits of leased tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct Lease {
    /// Longest lease that upstreams grant.
    pub max_lease: Duration,
    /// Least time after which a customer resubmits a job.
    pub resubmit_after: Duration,
    /// Longest time that an upstream takes to stop a run.
    pub stop_timeout: Duration,
    /// Factor by which a task runs longer away from its data; at least 1.
    pub remote_factor: f64,
    /// Address that serves an entry's readiness to the load balancer.
    pub readiness: SocketAddr,
}

/// Settings of a side for leased tasks, with those of its upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Leased {
    /// Time limits.
    pub lease: Lease,
    /// Address at which the upstream accepts orders.
    pub address: SocketAddr,
    /// Service that the upstream must belong to; empty accepts any.
    pub service: String,
    /// Address of the store, from which the entries are read while none is
    /// connected.
    pub store: Option<SocketAddr>,
    /// Region of the entries to connect to.
    pub region: String,
    /// Age beyond which the upstream's capacity, as it reported it, is not used;
    /// `None` for no limit.
    pub max_capacity_age: Option<Duration>,
    /// Time after which no run starts in a failure domain that was taken out of service.
    pub evacuation_bound: Duration,
}

/// Settings of a side.
#[derive(Debug, Clone)]
pub struct Side {
    /// Settings that all processes have.
    pub common: Common,
    /// Rack that the host is in.
    pub rack: String,
    /// Address that listens for the upstream's announcements or reports.
    pub upstream: SocketAddr,
    /// Addresses of entries to connect to; at least one.
    pub entries: Vec<SocketAddr>,
    /// Whether to connect to the entries that connected ones report, too.
    pub discover: bool,
    /// Settings for leased tasks; `None` where the upstream answers a call per
    /// task.
    pub leased: Option<Leased>,
}

const DEFAULT_REGION: &str = "main";
const DEFAULT_ARCHIVE_BYTES: usize = 64 << 20;
const DEFAULT_DRAIN_MS: u64 = 30_000;
/// Default of the time in which an evacuation must take effect.
const DEFAULT_EVACUATION_BOUND: Duration = Duration::from_secs(5);
const EXPECTED_MILLISECONDS: &str = "milliseconds";
const EXPECTED_SECONDS: &str = "seconds";
const EXPECTED_BYTES: &str = "a number of bytes";

/// Default of the least time after which a customer resubmits a job.
const DEFAULT_RESUBMIT_AFTER_MS: u64 = 1_000;

/// Placeholder for the address of an interface that a process does not have.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A list of addresses, separated by commas.
struct Addresses(Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        parts.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

impl Entry {
    /// Reads and validates a settings file.
    pub fn open(path: &Path) -> Result<Self, Error> {
        read(path, Self::parse)
    }

    /// Parses and validates settings in INI; reports all faults at once.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::open(text)?;
        check_sections(
            &mut reader,
            &[
                "entry", "listen", "store", "security", "entries", "policy", "limits", "lease",
                "log",
            ],
        );
        let host = Host::read(&mut reader);
        let common = read_common(&mut reader, "entry", host);
        let region = reader.optional("entry", "region", EXPECTED_REGION);
        let customers = reader.required_alias("listen", "customers", "callers", EXPECTED_ADDRESS);
        let links = reader.required("listen", "links", EXPECTED_ADDRESS);
        let advertise = reader.optional("listen", "advertise", EXPECTED_ADDRESS);
        let store = reader.required("store", "address", EXPECTED_ADDRESS);
        let peers = read_addresses(&mut reader, "peers");
        let policy = read_policy(&mut reader);
        let limits = Customers::read(&mut reader, host);
        let archive_bytes = reader.optional("limits", "archive_bytes", EXPECTED_BYTES);
        let processor = reader.optional("limits", "processor", EXPECTED_PROCESSOR);
        let seed = reader.optional("policy", "seed", "a number");
        let lease = read_lease(&mut reader, true);
        reader.finish()?;
        let missing = || Faults(Vec::new());
        Ok(Self {
            common: common.ok_or_else(missing)?,
            region: region.unwrap_or_else(|| DEFAULT_REGION.to_owned()),
            customers: customers.ok_or_else(missing)?,
            links: links.ok_or_else(missing)?,
            advertise,
            store: store.ok_or_else(missing)?,
            peers,
            policy: policy.ok_or_else(missing)?,
            limits,
            archive_bytes: archive_bytes.unwrap_or(DEFAULT_ARCHIVE_BYTES),
            processor,
            seed,
            lease,
        })
    }
}

/// Returns a number of cores in thousandths, or `None` if it is out of range.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked against the range"
)]
pub fn thousandths(cores: f64) -> Option<u32> {
    let thousandths = (cores * 1e3).round();
    (1.0..=f64::from(MAX_PROCESSOR))
        .contains(&thousandths)
        .then_some(thousandths as u32)
}

impl Side {
    /// Reads and validates a settings file.
    pub fn open(path: &Path) -> Result<Self, Error> {
        read(path, Self::parse)
    }

    /// Parses and validates settings in INI; reports all faults at once.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::open(text)?;
        check_sections(
            &mut reader,
            &[
                "side", "listen", "upstream", "store", "security", "entries", "limits", "lease",
                "log",
            ],
        );
        let host = Host::read(&mut reader);
        let common = read_common(&mut reader, "side", host);
        let rack = reader.required("side", "rack", "the rack's name");
        let upstream = reader.required("listen", "upstream", EXPECTED_ADDRESS);
        let entries = read_addresses(&mut reader, "seeds");
        let leased = read_leased(&mut reader);
        let has_store = leased.as_ref().is_some_and(|leased| leased.store.is_some());
        // The entries that are registered in the store need no seeds. A platform fills in
        // none while no entry is there.
        if entries.is_empty() && !has_store {
            reader.fault("entries", "seeds", "at least one address as IP:port");
        }
        let discover: Option<Toggle> = reader.optional("entries", "discover", "yes or no");
        reader.finish()?;
        let missing = || Faults(Vec::new());
        Ok(Self {
            common: common.ok_or_else(missing)?,
            rack: rack.ok_or_else(missing)?,
            upstream: upstream.ok_or_else(missing)?,
            entries,
            discover: discover.is_none_or(|toggle| toggle.0),
            leased,
        })
    }
}

fn read<T>(path: &Path, parse: impl Fn(&str) -> Result<T, Faults>) -> Result<T, Error> {
    let file = path.to_owned();
    let text = fs::read_to_string(path).map_err(|source| Error::Unreadable {
        file: file.clone(),
        source,
    })?;
    parse(&text).map_err(|faults| Error::Settings { file, faults })
}

fn check_sections(reader: &mut Reader<'_>, allowed: &[&str]) {
    for section in reader.sections() {
        if !allowed.contains(&section.as_str()) {
            reader.fault(&section, "", &format!("one of: {}", allowed.join(", ")));
        }
    }
}

fn read_common(reader: &mut Reader<'_>, section: &str, host: Host) -> Option<Common> {
    let name = reader.required(section, "name", "the process's name");
    let environment = reader.required(section, "environment", "the environment's name");
    let domain = reader.required(section, "domain", "the failure domain's name");
    let admin = reader.required("listen", "admin", EXPECTED_ADDRESS);
    let admin_token = reader.required("security", "admin_token", "the admin interface's token");
    let keys = read_keys(reader);
    let level = reader.optional("log", "level", "off, error, warn, info, debug or trace");
    let sample = reader.optional("log", "sample", "a number of jobs");
    let metrics = reader.optional("listen", "metrics", EXPECTED_ADDRESS);
    let drain: Option<f64> = reader.optional(section, "drain_s", EXPECTED_SECONDS);
    let drain = drain.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let drain_ms = reader.optional(section, "drain_ms", EXPECTED_MILLISECONDS);
    let drain = drain.or(drain_ms.map(Duration::from_millis));
    Some(Common {
        name: name?,
        environment: environment?,
        domain: domain?,
        admin: admin?,
        admin_token: admin_token?,
        keys: keys?,
        level: level.unwrap_or(LevelFilter::Info),
        sample: sample.unwrap_or(1),
        metrics,
        drain: drain.unwrap_or(Duration::from_millis(DEFAULT_DRAIN_MS)),
        host,
    })
}

fn read_lease(reader: &mut Reader<'_>, is_entry: bool) -> Option<Lease> {
    if !reader.has("lease") {
        return None;
    }
    let max_lease = reader.required("lease", "longest_ms", EXPECTED_MILLISECONDS);
    let resubmit_after: Option<u64> = reader.optional("lease", "resend_ms", EXPECTED_MILLISECONDS);
    let stop_timeout = reader.required("lease", "stop_ms", EXPECTED_MILLISECONDS);
    let remote_factor = reader.optional("lease", "away_factor", EXPECTED_FACTOR);
    if remote_factor.is_some_and(|factor: f64| !(1.0..f64::INFINITY).contains(&factor)) {
        reader.fault("lease", "away_factor", EXPECTED_FACTOR);
    }
    let readiness = if is_entry {
        reader.required("listen", "readiness", EXPECTED_ADDRESS)
    } else {
        Some(NO_ADDRESS)
    };
    Some(Lease {
        max_lease: Duration::from_millis(max_lease?),
        resubmit_after: Duration::from_millis(resubmit_after.unwrap_or(DEFAULT_RESUBMIT_AFTER_MS)),
        stop_timeout: Duration::from_millis(stop_timeout?),
        remote_factor: remote_factor.unwrap_or(1.0),
        readiness: readiness?,
    })
}

fn read_leased(reader: &mut Reader<'_>) -> Option<Leased> {
    let lease = read_lease(reader, false)?;
    let address = reader.required("upstream", "address", EXPECTED_ADDRESS)?;
    let service = reader.optional("upstream", "service", "the service's name");
    let store = reader.optional("store", "address", EXPECTED_ADDRESS);
    let region = reader.optional("side", "region", EXPECTED_REGION);
    let contact_ms: Option<u64> = reader.optional("upstream", "contact_ms", EXPECTED_MILLISECONDS);
    let report_ms: Option<u64> = reader.optional("upstream", "report_ms", EXPECTED_MILLISECONDS);
    let evacuate_ms: Option<u64> = reader.optional("store", "evacuate_ms", EXPECTED_MILLISECONDS);
    let max_capacity_age = contact_ms
        .zip(report_ms)
        .map(|(contact_ms, report_ms)| Duration::from_millis(contact_ms + report_ms));
    Some(Leased {
        lease,
        address,
        service: service.unwrap_or_default(),
        store,
        region: region.unwrap_or_else(|| DEFAULT_REGION.to_owned()),
        max_capacity_age,
        evacuation_bound: evacuate_ms.map_or(DEFAULT_EVACUATION_BOUND, Duration::from_millis),
    })
}

fn read_keys(reader: &mut Reader<'_>) -> Option<Keyring> {
    const EXPECTED: &str = "a shared key of at least 16 characters";
    let key: Option<String> = reader.required("security", "key", EXPECTED);
    let previous: Option<String> = reader.optional("security", "previous_key", EXPECTED);
    let pairs = [("key", &key), ("previous_key", &previous)];
    for (name, value) in pairs {
        let short = value
            .as_ref()
            .is_some_and(|value| value.chars().count() < MIN_KEY_CHARACTERS);
        if short {
            reader.fault("security", name, EXPECTED);
        }
    }
    key.map(|key| Keyring::new(&key, previous.as_deref()))
}

fn read_addresses(reader: &mut Reader<'_>, key: &str) -> Vec<SocketAddr> {
    const EXPECTED: &str = "addresses as IP:port, separated by commas";
    reader
        .optional::<Addresses>("entries", key, EXPECTED)
        .map_or_else(Vec::new, |addresses| addresses.0)
}

fn read_policy(reader: &mut Reader<'_>) -> Option<&'static Plugin> {
    let names: Vec<&str> = Plugin::all().map(|plugin| plugin.name).collect();
    let expected = format!("one of: {}", names.join(", "));
    let name = reader
        .optional("policy", "name", &expected)
        .unwrap_or_else(|| policies::DEFAULT.to_owned());
    let plugin = Plugin::find(&name);
    if plugin.is_none() {
        reader.fault("policy", "name", &expected);
    }
    plugin
}
