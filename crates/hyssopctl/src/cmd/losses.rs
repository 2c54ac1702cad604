//! `hyssopctl losses`.

use crate::{Error, losses::Losses, story, util};
use lexopt::{Arg, Parser};
use std::path::PathBuf;

/// Usage of the command.
pub const USAGE: &str = "\
Counts what was lost, by queue and cause, from the logs of any number of
processes.

Usage:
    hyssopctl losses [FILE...]

Prints for each queue the jobs that were refused at once, refused after they
had been taken, given up after a task may have run, failed and answered late;
then why jobs were refused, how runs ended badly, and the worst seconds. Reads
standard input without FILE, or where FILE is -.

Options:
    -h, --help   Print this text.

Example:
    hyssopctl losses entry-1.log entry-2.log
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
    let mut losses = Losses::default();
    for file in &arguments.files {
        let name = file.display().to_string();
        util::each_line(file, |text| {
            if let Some(line) = story::parse(text, &name) {
                losses.take(&line);
            }
        })?;
    }
    print!("{losses}");
    Ok(())
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
        files.push(PathBuf::from("-"));
    }
    Ok(Some(Arguments { files }))
}
