//! `hyssopctl dump`.

use crate::{Error, client, util};
use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;

/// Usage of the command.
pub const USAGE: &str = "\
Prints a process's whole state as JSON.

Usage:
    hyssopctl dump --token TEXT IP:PORT

IP:PORT is the process's admin address. Entries list sides, jobs, queue,
entries and the configuration with its freshness; sides list their upstream,
load and entries.

Options:
        --token TEXT   Token of the admin interface.
    -h, --help         Print this text.

Example:
    hyssopctl dump --token secret 10.0.1.4:7300
";

#[derive(Debug)]
struct Arguments {
    admin: SocketAddr,
    token: String,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let state = util::block_on(client::dump(arguments.admin, &arguments.token))?;
    println!("{}", serde_json::to_string_pretty(&state)?);
    Ok(())
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let (mut admin, mut token) = (None, String::new());
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("token") => token = parser.value()?.string()?,
            Arg::Value(value) if admin.is_none() => admin = Some(value.parse()?),
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(Arguments {
        admin: admin.ok_or("missing argument IP:PORT; see --help")?,
        token,
    }))
}
