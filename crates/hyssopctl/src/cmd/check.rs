//! `hyssopctl check`.

use crate::{Error, util};
use hyssoppost::settings;
use kernel::{document::Document, ini::Faults};
use lexopt::{Arg, Parser};
use std::{collections::BTreeMap, path::PathBuf};

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

#[derive(Debug)]
struct Arguments {
    files: Vec<PathBuf>,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let mut found = Vec::new();
    for file in arguments.files {
        let text = util::read_input(&file)?;
        match check(&text) {
            Ok(summary) => println!("ok: {}: {summary}", file.display()),
            Err(faults) => found.push((file, faults)),
        }
    }
    if found.is_empty() {
        Ok(())
    } else {
        Err(Error::Faults(found))
    }
}

/// Checks a file's content and sums it up.
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
            let mode = mode(side.beside.is_some());
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

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Value(value) => files.push(PathBuf::from(value)),
            _ => return Err(argument.unexpected()),
        }
    }
    if files.is_empty() {
        return Err("missing argument FILE; see --help".into());
    }
    Ok(Some(Arguments { files }))
}
