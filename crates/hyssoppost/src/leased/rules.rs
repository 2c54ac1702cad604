//! Follows the operators' rules in the store: lists their keys once, and from
//! then on receives the changes.

use crate::meter;
use std::time::Duration;
use store::{History, store::Listing};
use tokio::sync::mpsc;
use wire::lease::Rules;

/// How long the store holds one call open for a change. A connection that has
/// gone silent is noticed after this time and [`MAX_CALL_TIMEOUT`]; both together
/// are well below the time in which new rules must take effect.
const CHANGE_WAIT: Duration = Duration::from_millis(400);

/// The same after a failed call, so that a recovered store is noticed soon.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Pause after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of the first call after a failure, in addition to its wait; it doubles
/// with each further failure. Calls sent while the store is unreachable never
/// return, so a short timeout is needed to notice a recovered store soon.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest timeout of a call, in addition to its wait: many times the response
/// time of a slow store.
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// What a call to the store has shown.
#[derive(Debug)]
pub(super) enum Update {
    /// The rules have changed, or are read for the first time.
    Rules(Rules),
    /// The last rules are the current ones.
    Confirmed,
}

/// Follows the store until the task is aborted.
pub(super) async fn follow<S: History, E: From<Update>>(store: S, events: mpsc::Sender<E>) {
    let mut follower = Follower {
        store,
        listing: None,
        failing: false,
        call_timeout: MIN_CALL_TIMEOUT,
    };
    loop {
        let update = match follower.read().await {
            Ok(update) => update,
            Err(reason) => {
                follower.record_failure(&reason);
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            }
        };
        follower.record_success();
        if let Some(update) = update
            && events.send(update.into()).await.is_err()
        {
            return;
        }
    }
}

struct Follower<S> {
    store: S,
    /// The operators' keys as last read; `None` before the first listing and
    /// once the store has discarded the history since.
    listing: Option<Listing>,
    failing: bool,
    call_timeout: Duration,
}

impl<S: History> Follower<S> {
    /// Makes one call. Returns `None` if the keys hold no valid rules.
    async fn read(&mut self) -> Result<Option<Update>, String> {
        let prefix = platform::operator::PREFIX;
        let Some(listing) = &mut self.listing else {
            let listing = call(self.call_timeout, self.store.list(prefix)).await?;
            let rules = decode(&listing);
            self.listing = Some(listing);
            return Ok(rules.map(Update::Rules));
        };
        let wait = if self.failing {
            PROBE_WAIT
        } else {
            CHANGE_WAIT
        };
        let changes = self.store.changes(prefix, listing.revision, wait);
        match call(self.call_timeout + wait, changes).await? {
            Some(changes) if changes.changes.is_empty() => {
                listing.revision = changes.revision;
                Ok(Some(Update::Confirmed))
            }
            Some(changes) => {
                listing.apply(changes);
                Ok(decode(listing).map(Update::Rules))
            }
            None => {
                self.listing = None;
                Ok(None)
            }
        }
    }

    fn record_success(&mut self) {
        if self.failing {
            let revision = self.listing.as_ref().map_or(0, |listing| listing.revision);
            log::info!("event=store_regained revision={revision}");
        }
        self.failing = false;
        self.call_timeout = MAX_CALL_TIMEOUT;
    }

    fn record_failure(&mut self, reason: &str) {
        if self.failing {
            self.call_timeout = (self.call_timeout * 2).min(MAX_CALL_TIMEOUT);
            return;
        }
        log::warn!("event=store_lost reason=\"{reason}\"");
        self.failing = true;
        self.call_timeout = MIN_CALL_TIMEOUT;
    }
}

async fn call<T, E: std::fmt::Display>(
    timeout: Duration,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    let result = match tokio::time::timeout(timeout, call).await {
        Ok(result) => result.map_err(|error| error.to_string()),
        Err(_) => Err(format!("no answer in {timeout:?}")),
    };
    meter::count_call("rules", &result);
    result
}

/// Decodes the rules; keys that hold none are logged, and the rules in force stay.
fn decode(listing: &Listing) -> Option<Rules> {
    match platform::operator::decode(listing) {
        Ok(rules) => Some(rules),
        Err(error) => {
            log::error!(
                "event=rules_invalid revision={} reason=\"{error}\"",
                listing.revision
            );
            None
        }
    }
}
