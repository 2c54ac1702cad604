//! What the commands that change a document share: their options, the write,
//! and the wait until it is in force.

use crate::{Error, client, util};
use lexopt::{Arg, Parser, ValueExt};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use store::{
    gateway::Client,
    publication::{self, Change, Current, Record},
};

/// Time within which a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(9);

/// Pause between looks at the processes.
const PAUSE: Duration = Duration::from_millis(200);

/// Where a document is changed, and who must confirm.
#[derive(Debug, Default)]
pub struct Target {
    /// The store.
    pub store: Option<SocketAddr>,
    /// The environment.
    pub environment: String,
    /// Who makes the change.
    pub author: String,
    /// Admin addresses of processes to wait for.
    pub admins: Vec<SocketAddr>,
    /// Their token.
    pub token: String,
}

/// Returns an option's long name.
pub fn name(argument: &Arg<'_>) -> Result<String, lexopt::Error> {
    match argument {
        Arg::Short('e') => Ok("environment".to_owned()),
        Arg::Short('a') => Ok("author".to_owned()),
        Arg::Long(name) => Ok((*name).to_owned()),
        Arg::Short(other) => Err(format!("unknown option -{other}; see --help").into()),
        Arg::Value(value) => {
            Err(format!("unexpected argument {}; see --help", value.display()).into())
        }
    }
}

impl Target {
    /// Reads the value of one option.
    pub fn option(&mut self, name: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
        match name {
            "store" => self.store = Some(parser.value()?.parse()?),
            "environment" => self.environment = parser.value()?.string()?,
            "author" => self.author = parser.value()?.string()?,
            "token" => self.token = parser.value()?.string()?,
            "admin" => {
                let list = parser.value()?.string()?;
                let addresses: Result<_, _> = list.split(',').map(str::parse).collect();
                self.admins = addresses.map_err(|_| "--admin: addresses as IP:port")?;
            }
            other => return Err(format!("unknown option --{other}; see --help").into()),
        }
        Ok(())
    }

    /// Checks that all options needed are there.
    pub fn check(&self) -> Result<(), lexopt::Error> {
        if self.store.is_none() {
            return Err("missing option --store IP:PORT; see --help".into());
        }
        if self.environment.is_empty() || self.author.is_empty() {
            return Err("missing option --environment or --author; see --help".into());
        }
        Ok(())
    }

    /// Opens the store.
    pub fn open(&self) -> Result<Client, Error> {
        let address = self
            .store
            .ok_or_else(|| lexopt::Error::from("missing --store"))?;
        Ok(Client::open(&address.to_string())?)
    }

    /// Writes a document on top of `base`.
    pub async fn publish(
        &self,
        store: &Client,
        base: Option<&Current>,
        text: &str,
    ) -> Result<Record, Error> {
        let id = format!("{:016x}", rand::random::<u64>());
        let change = Change {
            id: &id,
            author: &self.author,
            time: util::unix_time().as_secs(),
            text,
        };
        Ok(publication::publish(store, &self.environment, base, change).await?)
    }
}

/// Waits until all processes named have a revision in force.
pub async fn confirm(target: &Target, revision: u64) -> Result<(), Error> {
    let begun = Instant::now();
    let mut missing = target.admins.clone();
    while !missing.is_empty() {
        let mut still = Vec::new();
        for admin in missing {
            let state = client::dump(admin, &target.token).await;
            let current = state
                .ok()
                .and_then(|state| state["configuration"]["revision"].as_u64());
            if current.is_some_and(|current| current >= revision) {
                let seconds = begun.elapsed().as_secs_f64();
                println!("{admin}: in force after {seconds:.1} s");
            } else {
                still.push(admin);
            }
        }
        missing = still;
        if begun.elapsed() > IN_FORCE {
            let list: Vec<String> = missing.iter().map(ToString::to_string).collect();
            let reason = format!(
                "revision {revision} is not confirmed by {}",
                list.join(", ")
            );
            return Err(Error::Broken(reason));
        }
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}
