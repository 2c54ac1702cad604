//! `hyssopctl losses`.

use crate::{Error, losses::Losses, trace, util};
use lexopt::Parser;
use std::path::PathBuf;

/// Usage of the command.
pub const USAGE: &str = "\
Counts lost jobs by queue and cause, from the logs of any number of processes.

Usage:
    hyssopctl losses [FILE...]

Prints for each queue the jobs that were refused at once, refused after they
had been accepted, given up after a task may have run, failed and answered late;
then the reasons for refusals, how failed runs ended, and the seconds with the
most losses. From the entries' lines of decisions it prints by queue the settled
admissions, how many of them missed their objective, were given up and were
wrong, and how many started more than 100 ms earlier or later than forecast;
then the refusals at arrival, those judged, and how many of these were wrong.
Reads standard input without FILE, or where FILE is -.

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
            if let Some(line) = trace::parse(text, &name) {
                losses.count_line(&line);
            }
        })?;
    }
    print!("{losses}");
    Ok(())
}
