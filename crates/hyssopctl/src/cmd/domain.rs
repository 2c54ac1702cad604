//! `hyssopctl domain`.

use super::publisher::{Target, confirm};
use crate::{Error, util};
use kernel::document::Document;
use lexopt::{Arg, Parser, ValueExt};
use store::publication;

/// Usage of the command.
pub const USAGE: &str = "\
Takes a failure domain out of service or brings it back.

Usage:
    hyssopctl domain out|in NAME --store IP:PORT --environment NAME
                     --author NAME [--admin IP:PORT,... --token TEXT]

Changes the state of the domain in the document in force and publishes it as
publish does. Three seconds after the change is accepted
(kernel::MAX_CONFIG_AGE), no task starts in a domain that is out, even at hosts
that cannot be reached; running tasks finish. With --admin, waits until those
processes have the change in force and lists those that have not.

Options: see publish --help.

Example:
    hyssopctl domain out nord-a --store 10.0.0.5:2379 -e production -a ana
";

#[derive(Debug)]
struct Arguments {
    target: Target,
    state: &'static str,
    domain: String,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    util::block_on(change(&arguments))
}

async fn change(arguments: &Arguments) -> Result<(), Error> {
    let target = &arguments.target;
    let store = target.open()?;
    let Some(base) = publication::read(&store, &target.environment).await? else {
        let reason = format!("no document is in force in {}", target.environment);
        return Err(Error::Failed(reason));
    };
    let text = set_state(&base.record.text, &arguments.domain, arguments.state)
        .ok_or_else(|| Error::Failed(format!("domain {} is not declared", arguments.domain)))?;
    Document::parse(&text).map_err(|faults| Error::faults("the document in force", faults))?;
    let record = target.publish(&store, Some(&base), &text).await?;
    println!(
        "domain {} {}: revision {} accepted, change {}",
        arguments.domain, arguments.state, record.revision, record.change
    );
    confirm(target, record.revision).await
}

/// Sets the state of a domain in a document; `None` if the document does not
/// declare the domain.
pub fn set_state(text: &str, domain: &str, state: &str) -> Option<String> {
    let header = format!("[domain {domain}]");
    let mut is_declared = false;
    let mut in_section = false;
    let mut lines = Vec::new();
    for line in text.lines() {
        let trimmed = line.trim();
        if trimmed.starts_with('[') {
            in_section = trimmed == header;
            is_declared |= in_section;
        }
        let is_state = trimmed
            .split_once('=')
            .is_some_and(|(key, _)| key.trim() == "state");
        if in_section && is_state {
            continue;
        }
        lines.push(line.to_owned());
        if trimmed == header {
            lines.push(format!("state = {state}"));
        }
    }
    is_declared.then(|| lines.join("\n") + "\n")
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut target = Target::default();
    let (mut state, mut domain) = (None, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Value(value) if state.is_none() => {
                state = match value.string()?.as_str() {
                    "out" => Some("out"),
                    "in" => Some("in"),
                    _ => return Err("expected out or in; see --help".into()),
                };
            }
            Arg::Value(value) if domain.is_none() => domain = Some(value.string()?),
            argument => {
                let name = super::publisher::option_name(&argument)?;
                target.set_option(&name, &mut parser)?;
            }
        }
    }
    target.check()?;
    Ok(Some(Arguments {
        target,
        state: state.ok_or("missing argument out or in; see --help")?,
        domain: domain.ok_or("missing argument NAME; see --help")?,
    }))
}
