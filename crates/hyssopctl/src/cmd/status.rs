//! `hyssopctl status`.

use crate::{
    Error, client,
    status::{self, Row},
    util,
};
use futures::future::join_all;
use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;

/// Usage of the command.
pub const USAGE: &str = "\
Shows the state of several processes.

Usage:
    hyssopctl status [--json] --token TEXT IP:PORT...

IP:PORT are admin addresses. Prints a line for each process: its state, the
configuration's revision, open jobs (running tasks of a side), queued tasks,
sides in use and sides known, the learnt speed of a side's host (RATE, 1000 is
usual; lowest and highest of an entry's sides in use), the shares of an entry's
admissions and of its refusals that were wrong (WRONG), and the ejected sides
(ASIDE). Ends with code 4 if a process was not reached; the others are still
printed.

Options:
        --token TEXT   Token of the admin interface.
        --json         Print JSON, one object for each process.
    -h, --help         Print this text.

Example:
    hyssopctl status --token secret 10.0.1.4:7300 10.0.1.5:7300
";

#[derive(Debug)]
struct Arguments {
    admins: Vec<SocketAddr>,
    token: String,
    json: bool,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let rows = util::block_on(async {
        let dumps = arguments.admins.iter().map(|admin| async {
            let address = admin.to_string();
            match client::dump(*admin, &arguments.token).await {
                Ok(dump) => Row::read(&address, &dump),
                Err(error) => Row::unreachable(&address, &error.to_string()),
            }
        });
        Ok(join_all(dumps).await)
    })?;
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print!("{}", status::table(&rows));
    }
    match rows.iter().find_map(|row| row.error.as_ref()) {
        Some(error) => Err(Error::Unreachable(error.clone())),
        None => Ok(()),
    }
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments {
        admins: Vec::new(),
        token: String::new(),
        json: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("token") => arguments.token = parser.value()?.string()?,
            Arg::Long("json") => arguments.json = true,
            Arg::Value(value) => arguments.admins.push(value.parse()?),
            _ => return Err(argument.unexpected()),
        }
    }
    if arguments.admins.is_empty() {
        return Err("missing argument IP:PORT; see --help".into());
    }
    Ok(Some(arguments))
}
