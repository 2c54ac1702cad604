//! Settings of a process, read from INI and checked before anything binds.

use crate::Error;
use kernel::{
    document::Toggle,
    ini::{Faults, Reader},
    policy::Plugin,
};
use log::LevelFilter;
use std::{fs, net::SocketAddr, path::Path, str::FromStr, time::Duration};
use wire::proof::Keyring;

/// Shortest shared key accepted, in characters.
const KEY_CHARACTERS: usize = 16;

const ADDRESS: &str = "an address as IP:port";
const REGION: &str = "the region's name";
const FACTOR: &str = "a factor of 1 or more";

/// Settings that entries and sides share.
#[derive(Debug, Clone)]
pub struct Common {
    /// The process's name, unique in its environment.
    pub name: String,
    /// Environment.
    pub environment: String,
    /// Failure domain.
    pub domain: String,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// Token that the admin interface asks for.
    pub admin_token: String,
    /// Keys shared by the environment's processes.
    pub keys: Keyring,
    /// Least severe log level.
    pub level: LevelFilter,
    /// One of so many jobs has its ordinary course logged.
    pub sample: u64,
    /// Address at which metrics are shown without a token, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Longest time that a planned stop waits for work in progress.
    pub drain: Duration,
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Shared settings.
    pub common: Common,
    /// Region; entries of one region know each other and share sides.
    pub region: String,
    /// Address for customers.
    pub customers: SocketAddr,
    /// Address for sides and other entries.
    pub links: SocketAddr,
    /// Address at which sides and other entries reach `links`, if another.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of other entries, besides those in the store.
    pub peers: Vec<SocketAddr>,
    /// Placement policy.
    pub policy: &'static Plugin,
    /// Largest body accepted from a customer, in bytes.
    pub body_bytes: usize,
    /// Most bytes of ended jobs' answers held.
    pub archive_bytes: usize,
    /// Seed for random choices; drawn at random if absent.
    pub seed: Option<u64>,
    /// Leased tasks; absent where upstreams answer calls.
    pub lease: Option<Lease>,
}

/// Times of leased tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct Lease {
    /// Longest lease that upstreams grant.
    pub longest: Duration,
    /// Least time after which a customer sends a job again.
    pub resend: Duration,
    /// Longest time that a stop takes at an upstream.
    pub stop: Duration,
    /// Factor on the run time of a task away from its data.
    pub away: f64,
    /// Address at which an entry tells the balancer whether it is ready.
    pub readiness: SocketAddr,
}

/// The upstream beside a side of leased tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct Beside {
    /// Times.
    pub lease: Lease,
    /// Address that takes orders.
    pub address: SocketAddr,
    /// Service that it belongs to; empty for any.
    pub service: String,
    /// Address of the platform's store, in which entries are looked for while
    /// none is connected.
    pub store: Option<SocketAddr>,
    /// Region whose entries are looked for.
    pub region: String,
}

/// Settings of a side.
#[derive(Debug, Clone)]
pub struct Side {
    /// Shared settings.
    pub common: Common,
    /// Rack.
    pub rack: String,
    /// Address at which the upstream announces itself.
    pub upstream: SocketAddr,
    /// Addresses of entries to begin with.
    pub entries: Vec<SocketAddr>,
    /// Whether to connect to entries that others tell of, too.
    pub discover: bool,
    /// Leased tasks; absent where the upstream answers calls.
    pub beside: Option<Beside>,
}

const DEFAULT_REGION: &str = "main";
const DEFAULT_BODY_BYTES: usize = 4 << 20;
const DEFAULT_ARCHIVE_BYTES: usize = 64 << 20;
const DEFAULT_DRAIN_MS: u64 = 30_000;
const MILLISECONDS: &str = "milliseconds";
const SECONDS: &str = "seconds";
const BYTES: &str = "a number of bytes";

/// Least resend time of customers, where the settings state none.
const DEFAULT_RESEND_MS: u64 = 1_000;

/// Address of an interface that a process does not have.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

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
    /// Reads and checks a file.
    pub fn open(path: &Path) -> Result<Self, Error> {
        read(path, Self::parse)
    }

    /// Checks settings in INI.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::open(text)?;
        check_sections(
            &mut reader,
            &[
                "entry", "listen", "store", "security", "entries", "policy", "limits", "lease",
                "log",
            ],
        );
        let common = read_common(&mut reader, "entry");
        let region = reader.optional("entry", "region", REGION);
        let customers = reader.required("listen", "callers", ADDRESS);
        let links = reader.required("listen", "links", ADDRESS);
        let advertise = reader.optional("listen", "advertise", ADDRESS);
        let store = reader.required("store", "address", ADDRESS);
        let peers = read_addresses(&mut reader, "peers");
        let policy = read_policy(&mut reader);
        let body_bytes = reader.optional("limits", "body_bytes", BYTES);
        let archive_bytes = reader.optional("limits", "archive_bytes", BYTES);
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
            body_bytes: body_bytes.unwrap_or(DEFAULT_BODY_BYTES),
            archive_bytes: archive_bytes.unwrap_or(DEFAULT_ARCHIVE_BYTES),
            seed,
            lease,
        })
    }
}

impl Side {
    /// Reads and checks a file.
    pub fn open(path: &Path) -> Result<Self, Error> {
        read(path, Self::parse)
    }

    /// Checks settings in INI.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::open(text)?;
        check_sections(
            &mut reader,
            &[
                "side", "listen", "upstream", "store", "security", "entries", "lease", "log",
            ],
        );
        let common = read_common(&mut reader, "side");
        let rack = reader.required("side", "rack", "the rack's name");
        let upstream = reader.required("listen", "upstream", ADDRESS);
        let entries = read_addresses(&mut reader, "seeds");
        if entries.is_empty() {
            reader.fault("entries", "seeds", "at least one address as IP:port");
        }
        let discover: Option<Toggle> = reader.optional("entries", "discover", "yes or no");
        let beside = read_beside(&mut reader);
        reader.finish()?;
        let missing = || Faults(Vec::new());
        Ok(Self {
            common: common.ok_or_else(missing)?,
            rack: rack.ok_or_else(missing)?,
            upstream: upstream.ok_or_else(missing)?,
            entries,
            discover: discover.is_none_or(|toggle| toggle.0),
            beside,
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

fn check_sections(reader: &mut Reader<'_>, known: &[&str]) {
    for section in reader.sections() {
        if !known.contains(&section.as_str()) {
            reader.fault(&section, "", &format!("one of: {}", known.join(", ")));
        }
    }
}

fn read_common(reader: &mut Reader<'_>, section: &str) -> Option<Common> {
    let name = reader.required(section, "name", "the process's name");
    let environment = reader.required(section, "environment", "the environment's name");
    let domain = reader.required(section, "domain", "the failure domain's name");
    let admin = reader.required("listen", "admin", ADDRESS);
    let admin_token = reader.required("security", "admin_token", "the admin interface's token");
    let keys = read_keys(reader);
    let level = reader.optional("log", "level", "off, error, warn, info, debug or trace");
    let sample = reader.optional("log", "sample", "a number of jobs");
    let metrics = reader.optional("listen", "metrics", ADDRESS);
    let drain: Option<f64> = reader.optional(section, "drain_s", SECONDS);
    let drain = drain.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let drain_ms = reader.optional(section, "drain_ms", MILLISECONDS);
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
    })
}

fn read_lease(reader: &mut Reader<'_>, entry: bool) -> Option<Lease> {
    if !reader.has("lease") {
        return None;
    }
    let longest = reader.required("lease", "longest_ms", MILLISECONDS);
    let resend: Option<u64> = reader.optional("lease", "resend_ms", MILLISECONDS);
    let stop = reader.required("lease", "stop_ms", MILLISECONDS);
    let away = reader.optional("lease", "away_factor", FACTOR);
    if away.is_some_and(|factor: f64| !(1.0..f64::INFINITY).contains(&factor)) {
        reader.fault("lease", "away_factor", FACTOR);
    }
    let readiness = if entry {
        reader.required("listen", "readiness", ADDRESS)
    } else {
        Some(NOWHERE)
    };
    Some(Lease {
        longest: Duration::from_millis(longest?),
        resend: Duration::from_millis(resend.unwrap_or(DEFAULT_RESEND_MS)),
        stop: Duration::from_millis(stop?),
        away: away.unwrap_or(1.0),
        readiness: readiness?,
    })
}

fn read_beside(reader: &mut Reader<'_>) -> Option<Beside> {
    let lease = read_lease(reader, false)?;
    let address = reader.required("upstream", "address", ADDRESS)?;
    let service = reader.optional("upstream", "service", "the service's name");
    let store = reader.optional("store", "address", ADDRESS);
    let region = reader.optional("side", "region", REGION);
    Some(Beside {
        lease,
        address,
        service: service.unwrap_or_default(),
        store,
        region: region.unwrap_or_else(|| DEFAULT_REGION.to_owned()),
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
            .is_some_and(|value| value.chars().count() < KEY_CHARACTERS);
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
