//! Follows the operators' rules in the store: lists their keys once, and from
//! then on receives the changes.

use crate::{clock::Clock, meter};
use platform::operator::RequestLimits;
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
pub(super) const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest timeout of a call, in addition to its wait: many times the response
/// time of a slow store.
pub(super) const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// What a call to the store has shown.
#[derive(Debug)]
pub(super) struct Update {
    /// The rules, if they have changed or are read for the first time; the last ones are
    /// the current ones otherwise.
    pub rules: Option<Rules>,
    /// The limits of customers' requests, whenever the rules are there.
    pub limits: Option<RequestLimits>,
    /// Revision of the store.
    pub revision: u64,
    /// When the store was asked.
    pub asked_at: Duration,
}

/// Follows the store until the task is aborted.
pub(super) async fn follow<S: History, E: From<Update>>(
    store: S,
    clock: Clock,
    events: mpsc::Sender<E>,
) {
    let mut follower = Follower {
        store,
        clock,
        listing: None,
        valid: false,
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
    clock: Clock,
    /// The operators' keys as last read; `None` before the first listing and
    /// once the store has discarded the history since.
    listing: Option<Listing>,
    /// Whether `listing` holds valid rules.
    valid: bool,
    failing: bool,
    call_timeout: Duration,
}

impl<S: History> Follower<S> {
    /// Makes one call. Returns `None` if the keys hold no valid rules.
    async fn read(&mut self) -> Result<Option<Update>, String> {
        let prefix = platform::operator::PREFIX;
        let asked_at = self.clock.now();
        let Some(listing) = &mut self.listing else {
            let list = self.store.list(prefix);
            self.listing = Some(call("rules", self.call_timeout, list).await?);
            return Ok(self.decode(asked_at));
        };
        let wait = if self.failing {
            PROBE_WAIT
        } else {
            CHANGE_WAIT
        };
        let changes = self.store.changes(prefix, listing.revision, wait);
        match call("rules", self.call_timeout + wait, changes).await? {
            Some(changes) if changes.changes.is_empty() => {
                listing.revision = changes.revision;
                Ok(self.valid.then_some(Update {
                    rules: None,
                    limits: None,
                    revision: changes.revision,
                    asked_at,
                }))
            }
            Some(changes) => {
                listing.apply(changes);
                Ok(self.decode(asked_at))
            }
            None => {
                self.listing = None;
                Ok(None)
            }
        }
    }

    /// Decodes the listed rules; keys that hold none are logged, and the rules in force stay.
    fn decode(&mut self, asked_at: Duration) -> Option<Update> {
        let listing = self.listing.as_ref()?;
        let rules = platform::operator::decode_with_limits(listing);
        self.valid = rules.is_ok();
        match rules {
            Ok((rules, limits)) => Some(Update {
                revision: rules.revision,
                rules: Some(rules),
                limits: Some(limits),
                asked_at,
            }),
            Err(error) => {
                log::error!(
                    "event=rules_invalid revision={} reason=\"{error}\"",
                    listing.revision
                );
                None
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

/// Makes a call to the store, which counts for `purpose`.
pub(super) async fn call<T, E: std::fmt::Display>(
    purpose: &'static str,
    timeout: Duration,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    let result = match tokio::time::timeout(timeout, call).await {
        Ok(result) => result.map_err(|error| error.to_string()),
        Err(_) => Err(format!("no answer in {timeout:?}")),
    };
    meter::count_call(purpose, &result);
    result
}
