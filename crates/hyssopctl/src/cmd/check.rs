//! `hyssopctl check`.

use crate::{Error, util};
use hyssoppost::settings;
use kernel::{document::Document, ini::Faults};
use lexopt::Parser;
use std::collections::BTreeMap;

/// Usage of the command.
pub const USAGE: &str = "\
Checks documents and settings offline.

Usage:
    hyssopctl check FILE...

A file with a section [entry] or [side] is that process's settings, any other
an environment's document. Prints every fault of all files with its section,
key and line, all at once. FILE may be - for standard input.

Options:
    -h, --help   Print this text.

Example:
    hyssopctl check environments/production.ini entry.ini side.ini
";

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(files) = util::parse_files(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    if files.is_empty() {
        return Err(lexopt::Error::from("missing argument FILE; see --help").into());
    }
    let mut invalid = Vec::new();
    for file in files {
        let text = util::read_input(&file)?;
        match check(&text) {
            Ok(summary) => println!("ok: {}: {summary}", file.display()),
            Err(faults) => invalid.push((file, faults)),
        }
    }
    if invalid.is_empty() {
        Ok(())
    } else {
        Err(Error::Faults(invalid))
    }
}

/// Checks the content of a file and returns a summary.
pub fn check(text: &str) -> Result<String, Faults> {
    let has = |section: &str| text.lines().any(|line| line.trim() == section);
    if has("[entry]") {
        return settings::Entry::parse(text).map(|entry| {
            let mode = mode(entry.lease.is_some());
            format!("settings of entry {}, {mode}", entry.common.name)
        });
    }
    if has("[side]") {
        return settings::Side::parse(text).map(|side| {
            let mode = mode(side.leased.is_some());
            format!("settings of side {}, {mode}", side.common.name)
        });
    }
    let document = Document::parse(text)?;
    let kinds: usize = document.services.values().map(BTreeMap::len).sum();
    Ok(format!(
        "environment {}, {} services, {kinds} kinds, {} domains ({} out), {} teams",
        document.environment,
        document.services.len(),
        document.domains.len(),
        document.out.len(),
        document.teams.len(),
    ))
}

fn mode(leased: bool) -> &'static str {
    if leased {
        "leased tasks"
    } else {
        "called upstreams"
    }
}
