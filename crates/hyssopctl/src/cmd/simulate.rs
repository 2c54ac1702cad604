//! `hyssopctl simulate`.

use crate::{
    Error,
    model::{POLICIES, Parameters, Tally, Workload},
};
use lexopt::{Arg, Parser, ValueExt};
use std::{fmt::Write, time::Duration};

/// Usage of the command.
pub const USAGE: &str = "\
Compares policies for leased tasks on a simulated site, in virtual time.

Usage:
    hyssopctl simulate [OPTIONS]

Generates a random workload of three kinds of jobs (eight tasks of 60 ms, two of
200 ms, four of 900 ms; estimates deviate from run times) and simulates it under
each policy: fifo and urgent, one queue each; hyssoppost, the entries and sides
of this program; oracle, which sees all hosts without delay and knows every run
time. Prints the shares of the work by outcome, and the worth earned: an answer
counts 1 in time and 0.2 late, times its work, as a share of what could be
earned over the whole run and in the worst two seconds. The same options give
the same table.

Options:
        --hosts N       Hosts; 12 by default.
        --entries N     Entries; 3 by default.
        --load SHARE    Arriving work as a share of the hosts' capacity; 0.6 by
                        default.
        --burst FACTOR  Factor on arrivals in the second quarter; 1 by default.
        --lost SHARE    Share of the hosts lost for the third quarter; 0 by
                        default.
        --seconds N     Time over which jobs arrive; 20 by default.
        --seed N        Seed of the jobs and entries; 1 by default.
    -h, --help          Print this text.

Example:
    hyssopctl simulate --load 0.6 --burst 2.2 --seed 3
";

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(options) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let workload = Workload::new(options);
    println!(
        "{} jobs, {} hosts, {} entries, load {}, burst {}, lost {}, seed {}",
        workload.jobs.len(),
        options.hosts,
        options.entries,
        options.load,
        options.burst,
        options.lost,
        options.seed
    );
    println!("{}", header());
    for policy in POLICIES {
        println!("{}", row(policy.name(), &policy.simulate(&workload)));
    }
    Ok(())
}

fn header() -> String {
    let columns = [
        "in time", "late", "useless", "refused", "later", "given up", "worth", "worst",
    ];
    line("policy", columns.map(str::to_owned))
}

fn row(name: &str, tally: &Tally) -> String {
    let shares = [
        tally.in_time,
        tally.late,
        tally.useless,
        tally.refused_soon,
        tally.refused_later,
        tally.given_up,
        tally.worth,
        tally.worst,
    ];
    line(name, shares.map(|share| format!("{share:.3}")))
}

fn line(name: &str, cells: [String; 8]) -> String {
    let mut text = format!("{name:<12}");
    for cell in cells {
        let _ = write!(text, "{cell:>10}");
    }
    text
}

fn parse(mut parser: Parser) -> Result<Option<Parameters>, lexopt::Error> {
    let mut options = Parameters {
        hosts: 12,
        entries: 3,
        load: 0.6,
        burst: 1.0,
        lost: 0.0,
        length: Duration::from_secs(20),
        seed: 1,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("hosts") => options.hosts = parser.value()?.parse()?,
            Arg::Long("entries") => options.entries = parser.value()?.parse()?,
            Arg::Long("load") => options.load = parser.value()?.parse()?,
            Arg::Long("burst") => options.burst = parser.value()?.parse()?,
            Arg::Long("lost") => options.lost = parser.value()?.parse()?,
            Arg::Long("seconds") => options.length = Duration::from_secs(parser.value()?.parse()?),
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            _ => return Err(argument.unexpected()),
        }
    }
    let positive = [options.load, options.burst]
        .iter()
        .all(|value| *value > 0.0);
    if options.hosts == 0 || options.entries == 0 || !positive || options.length.is_zero() {
        return Err("hosts, entries, load, burst and seconds must be above 0".into());
    }
    if !(0.0..=1.0).contains(&options.lost) {
        return Err("lost must lie between 0 and 1".into());
    }
    Ok(Some(options))
}
