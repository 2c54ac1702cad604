//! `hyssopctl losses`.

use crate::{Error, losses::Losses, story, util};
use lexopt::Parser;
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

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(mut files) = util::parse_files(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    if files.is_empty() {
        files.push(PathBuf::from("-"));
    }
    let mut losses = Losses::default();
    for file in &files {
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
