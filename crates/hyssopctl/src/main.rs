//! Command-line tool for operators and customers.

use hyssopctl::{Error, cmd};
use lexopt::{Arg, Parser, ValueExt};
use std::process::ExitCode;

const USAGE: &str = "\
Operates hyssoppost and submits jobs to it.

Usage:
    hyssopctl COMMAND [OPTIONS]
    hyssopctl COMMAND --help
    hyssopctl --help | --version

Commands:
    bench    Measure placement policies on a whole site.
    check    Check documents and settings offline.
    demo     Run a whole site in one process and submit jobs to it.
    domain   Take a failure domain out of service or bring it back.
    dump     Print a process's whole state.
    explain  Explain a job's outcome from logs.
    losses   Count lost jobs by queue and cause, from logs.
    publish  Put an environment's document in force.
    simulate Compare policies for leased tasks in virtual time.
    slopes   Measure the cost of entries and sides by fleet size.
    status   Show the state of several processes.
    submit   Submit jobs and print their answers.

Exit codes: 0 done, 2 arguments, 3 a file's content, 4 system or network,
5 a conflicting change, 6 a job failed or is unknown, 7 a guarantee violated or
another failure.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), Error> {
    let mut parser = Parser::from_env();
    let command = match parser.next()? {
        None => return Err(lexopt::Error::from("missing command; see --help").into()),
        Some(Arg::Short('h') | Arg::Long("help")) => {
            print!("{USAGE}");
            return Ok(());
        }
        Some(Arg::Short('V') | Arg::Long("version")) => {
            println!("hyssopctl {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Some(Arg::Value(value)) => value.string()?,
        Some(argument) => return Err(argument.unexpected().into()),
    };
    match command.as_str() {
        "bench" => cmd::bench::run(parser),
        "check" => cmd::check::run(parser),
        "demo" => cmd::demo::run(parser),
        "domain" => cmd::domain::run(parser),
        "dump" => cmd::dump::run(parser),
        "explain" => cmd::explain::run(parser),
        "losses" => cmd::losses::run(parser),
        "publish" => cmd::publish::run(parser),
        "simulate" => cmd::simulate::run(parser),
        "slopes" => cmd::slopes::run(parser),
        "status" => cmd::status::run(parser),
        "submit" => cmd::submit::run(parser),
        other => Err(lexopt::Error::from(format!("unknown command {other:?}; see --help")).into()),
    }
}
