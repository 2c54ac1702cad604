//! `hyssopctl publish`.

use super::publisher::{Target, confirm};
use crate::{Error, util};
use kernel::document::Document;
use lexopt::{Arg, Parser};
use std::{fmt::Write, path::PathBuf};
use store::publication;

/// Usage of the command.
pub const USAGE: &str = "\
Puts an environment's document in force.

Usage:
    hyssopctl publish --store IP:PORT --environment NAME --author NAME
                      [--admin IP:PORT,... --token TEXT] [--dry-run] FILE

Checks FILE, shows the difference to the document in force, and writes it by
compare-and-swap against the revision that was shown. If the store's answer is
lost, the change's identifier shows whether it was written, so that it is never
written twice. With --admin, waits until those processes have it in force.

Options:
        --store IP:PORT      The platform's key-value service.
    -e, --environment NAME   The environment.
    -a, --author NAME        Who makes the change.
        --admin LIST         Admin addresses of processes to wait for.
        --token TEXT         Their token.
    -n, --dry-run            Show the difference and stop.
    -h, --help               Print this text.

Exit code 5 if another change came first.

Example:
    hyssopctl publish --store 10.0.0.5:2379 -e trial -a ana trial.ini
";

#[derive(Debug)]
struct Arguments {
    target: Target,
    dry_run: bool,
    file: PathBuf,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    util::block_on(publish(&arguments))
}

async fn publish(arguments: &Arguments) -> Result<(), Error> {
    let text = util::read_input(&arguments.file)?;
    Document::parse(&text).map_err(|faults| Error::faults(&arguments.file, faults))?;
    let target = &arguments.target;
    let store = target.open()?;
    let base = publication::read(&store, &target.environment).await?;
    let current_text = base.as_ref().map_or("", |base| base.record.text.as_str());
    print!("{}", difference(current_text, &text));
    if arguments.dry_run {
        return Ok(());
    }
    let record = target.publish(&store, base.as_ref(), &text).await?;
    println!(
        "revision {} accepted, change {}",
        record.revision, record.change
    );
    confirm(target, record.revision).await
}

/// Returns the removed and the added lines, each with its section.
pub fn difference(old: &str, new: &str) -> String {
    let old_lines = settings_by_section(old);
    let new_lines = settings_by_section(new);
    let mut text = String::new();
    // Writing to a string cannot fail.
    for line in old_lines.iter().filter(|line| !new_lines.contains(line)) {
        let _ = writeln!(text, "- [{}] {}", line.0, line.1);
    }
    for line in new_lines.iter().filter(|line| !old_lines.contains(line)) {
        let _ = writeln!(text, "+ [{}] {}", line.0, line.1);
    }
    text
}

/// Returns the settings of a document, each with its section.
fn settings_by_section(text: &str) -> Vec<(&str, &str)> {
    let mut section = "";
    let mut lines = Vec::new();
    for line in text.lines().map(str::trim) {
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(name) = line.strip_prefix('[') {
            section = name.trim_end_matches(']');
        }
        lines.push((section, line));
    }
    lines
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut target = Target::default();
    let mut dry_run = false;
    let mut file = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Short('n') | Arg::Long("dry-run") => dry_run = true,
            Arg::Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            argument => {
                let name = super::publisher::option_name(&argument)?;
                target.set_option(&name, &mut parser)?;
            }
        }
    }
    target.check()?;
    Ok(Some(Arguments {
        target,
        dry_run,
        file: file.ok_or("missing argument FILE; see --help")?,
    }))
}
