//! `hyssopctl check`.

use crate::{Error, util};
use kernel::document::Document;
use lexopt::{Arg, Parser};
use std::path::PathBuf;

/// Usage of the command.
pub const USAGE: &str = "\
Checks an environment's document offline.

Usage:
    hyssopctl check FILE

Prints every fault with its section, key and line, all at once. FILE may be -
for standard input.

Options:
    -h, --help   Print this text.

Example:
    hyssopctl check environments/production.ini
";

#[derive(Debug)]
struct Arguments {
    file: PathBuf,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let text = util::read_input(&arguments.file)?;
    let document = Document::parse(&text).map_err(|faults| Error::Faults {
        file: arguments.file.clone(),
        faults,
    })?;
    let kinds: usize = document
        .services
        .values()
        .map(std::collections::BTreeMap::len)
        .sum();
    println!(
        "ok: environment {}, {} services, {kinds} kinds, {} domains ({} out), {} teams",
        document.environment,
        document.services.len(),
        document.domains.len(),
        document.out.len(),
        document.teams.len(),
    );
    Ok(())
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut file = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            _ => return Err(argument.unexpected()),
        }
    }
    let file = file.ok_or("missing argument FILE; see --help")?;
    Ok(Some(Arguments { file }))
}
