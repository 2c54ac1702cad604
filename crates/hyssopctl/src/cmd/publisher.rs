//! Options, publication and confirmation for the commands that change a document.

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

/// Time within which an accepted change must be in force at all processes.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(9);

/// Pause between two requests for the state of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Which document is changed, by whom, and which processes must confirm it.
#[derive(Debug, Default)]
pub struct Target {
    /// Address of the key-value store; required.
    pub store: Option<SocketAddr>,
    /// Name of the environment; required.
    pub environment: String,
    /// Name of the person who makes the change; required.
    pub author: String,
    /// Admin addresses of the processes that must confirm the change.
    pub admins: Vec<SocketAddr>,
    /// Token of their admin interfaces.
    pub token: String,
}

/// Returns the long name of an option.
pub fn option_name(argument: &Arg<'_>) -> Result<String, lexopt::Error> {
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
    /// Sets the option with this long name from the next argument.
    pub fn set_option(&mut self, name: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
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

    /// Checks that all required options are set.
    pub fn check(&self) -> Result<(), lexopt::Error> {
        if self.store.is_none() {
            return Err("missing option --store IP:PORT; see --help".into());
        }
        if self.environment.is_empty() || self.author.is_empty() {
            return Err("missing option --environment or --author; see --help".into());
        }
        Ok(())
    }

    /// Creates a client of the store.
    pub fn open(&self) -> Result<Client, Error> {
        let address = self
            .store
            .ok_or_else(|| lexopt::Error::from("missing --store"))?;
        Ok(Client::open(&address.to_string())?)
    }

    /// Publishes a document if `base` is still the one in force.
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

/// Waits until all named processes have a revision in force.
pub async fn confirm(target: &Target, revision: u64) -> Result<(), Error> {
    let started = Instant::now();
    let mut missing = target.admins.clone();
    while !missing.is_empty() {
        let mut unconfirmed = Vec::new();
        for admin in missing {
            let state = client::dump(admin, &target.token).await;
            let current = state
                .ok()
                .and_then(|state| state["configuration"]["revision"].as_u64());
            if current.is_some_and(|current| current >= revision) {
                let seconds = started.elapsed().as_secs_f64();
                println!("{admin}: in force after {seconds:.1} s");
            } else {
                unconfirmed.push(admin);
            }
        }
        missing = unconfirmed;
        if started.elapsed() > CONFIRM_TIMEOUT {
            let list: Vec<String> = missing.iter().map(ToString::to_string).collect();
            let reason = format!(
                "revision {revision} is not confirmed by {}",
                list.join(", ")
            );
            return Err(Error::Failed(reason));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
