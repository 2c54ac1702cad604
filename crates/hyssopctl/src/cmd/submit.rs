//! `hyssopctl submit`.

use crate::{
    Error,
    client::{Client, Job},
    util,
};
use lexopt::{Arg, Parser, ValueExt};
use std::{net::SocketAddr, path::PathBuf};

/// Usage of the command.
pub const USAGE: &str = "\
Submits jobs and prints their answers, one JSON document a line.

Usage:
    hyssopctl submit --entry IP:PORT --service NAME [--ticket] FILE

FILE holds one job as JSON a line: kind, tasks, and optionally team and
deadline_ms. It may be - for standard input. Jobs are submitted one after
another; the whole file is held in memory.

Options:
    -e, --entry IP:PORT   Customers' address of an entry or of the balancer.
    -s, --service NAME    The service.
    -t, --ticket          Request a ticket for each job first, as kinds that are
                          not repeatable need.
    -h, --help            Print this text.

Exit code 6 if a job failed; the others are still submitted.

Example:
    echo '{\"kind\":\"preview\",\"tasks\":[{\"task\":\"a\",\"ms\":80}]}' |
        hyssopctl submit --entry 127.0.0.1:7000 --service proofing -
";

#[derive(Debug)]
struct Arguments {
    entry: SocketAddr,
    service: String,
    ticket: bool,
    file: PathBuf,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    util::block_on(submit_all(&arguments))
}

async fn submit_all(arguments: &Arguments) -> Result<(), Error> {
    let client = Client::open(arguments.entry)?;
    let text = util::read_input(&arguments.file)?;
    let mut failed = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let mut job: Job = serde_json::from_str(line)?;
        job.service.clone_from(&arguments.service);
        if arguments.ticket && job.ticket.is_none() {
            job.ticket = client.tickets(1).await?.pop();
        }
        let answer = client.submit(&job).await?;
        println!("{}", serde_json::to_string(&answer)?);
        failed += usize::from(!answer.is_complete());
    }
    match failed {
        0 => Ok(()),
        failed => Err(Error::Job(format!("{failed} jobs"))),
    }
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let (mut entry, mut service, mut file, mut ticket) = (None, None, None, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Short('e') | Arg::Long("entry") => entry = Some(parser.value()?.parse()?),
            Arg::Short('s') | Arg::Long("service") => service = Some(parser.value()?.string()?),
            Arg::Short('t') | Arg::Long("ticket") => ticket = true,
            Arg::Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(Arguments {
        entry: entry.ok_or("missing option --entry IP:PORT; see --help")?,
        service: service.ok_or("missing option --service NAME; see --help")?,
        ticket,
        file: file.ok_or("missing argument FILE; see --help")?,
    }))
}
