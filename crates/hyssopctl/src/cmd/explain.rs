//! `hyssopctl explain`.

use crate::{
    Error,
    trace::{self, Line},
    util,
};
use lexopt::{Arg, Parser, ValueExt};
use std::{
    io::{self, ErrorKind, Write, stdout},
    path::PathBuf,
};

/// Usage of the command.
pub const USAGE: &str = "\
Explains a job's outcome from the logs of any number of processes.

Usage:
    hyssopctl explain ID [FILE...]

Prints every line about the job in order of time, and the cause of its outcome
at the end. Reads standard input without FILE, or where FILE is -. Routine lines
of a job may not be logged (see [log] sample); failures always are.

Options:
    -h, --help   Print this text.

Example:
    hyssopctl explain 5c0e7a21d94b36f8 entry-1.log entry-2.log side-*.log
";

#[derive(Debug)]
struct Arguments {
    job: String,
    files: Vec<PathBuf>,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let mut lines = Vec::new();
    for file in &arguments.files {
        let name = file.display().to_string();
        util::each_line(file, |text| {
            lines.extend(trace::parse_matching(text, &arguments.job, &name));
        })?;
    }
    if lines.is_empty() {
        return Err(Error::NoLine(arguments.job));
    }
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    match print(&lines, stdout().lock()) {
        // The reader, such as `head`, has closed the pipe.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        printed => Ok(printed?),
    }
}

fn print(lines: &[Line], mut output: impl Write) -> io::Result<()> {
    for line in lines {
        print_line(line, &mut output)?;
    }
    writeln!(output, "cause: {}", trace::cause(lines))
}

fn print_line(line: &Line, output: &mut impl Write) -> io::Result<()> {
    let pairs: Vec<String> = line
        .pairs
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    writeln!(
        output,
        "{} {} {} {}",
        line.time,
        line.process,
        line.event,
        pairs.join(" ")
    )
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut job: Option<String> = None;
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Value(value) if job.is_none() => job = Some(value.string()?),
            Arg::Value(value) => files.push(PathBuf::from(value)),
            _ => return Err(argument.unexpected()),
        }
    }
    let job = job.ok_or("missing argument ID; see --help")?;
    if files.is_empty() {
        files.push(PathBuf::from("-"));
    }
    Ok(Some(Arguments { job, files }))
}
