//! Routing by the operators' rules, and their order.

use crate::mutation::{Mutant, is_seeded};
use wire::lease::{Queue, Rules};

/// Returns the queue with the longest prefix that matches a request's host name
/// and path, and the rest of the path.
pub fn route<'a>(rules: &'a Rules, host: &str, path: &'a str) -> Option<(&'a Queue, &'a str)> {
    let name = host.split(':').next().unwrap_or_default();
    rules
        .queues
        .iter()
        .filter(|queue| queue.host.eq_ignore_ascii_case(name))
        .filter_map(|queue| Some((queue, path.strip_prefix(queue.prefix.as_str())?)))
        .max_by_key(|(queue, _)| queue.prefix.len())
}

/// Returns whether `new` may replace `old`: a higher store revision whose
/// version is not lower.
pub fn is_newer(old: Option<&Rules>, new: &Rules) -> bool {
    old.is_none_or(|old| new.revision > old.revision && new.version >= old.version)
        || is_seeded(Mutant::OldRules)
}
