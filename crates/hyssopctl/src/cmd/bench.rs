//! `hyssopctl bench`.

use super::progress::Progress;
use crate::{
    Error,
    lab::{runner, scenario::Scenario, table},
    util,
};
use lexopt::{Arg, Parser, ValueExt};
use std::{path::PathBuf, time::Duration};

/// Usage of the command.
pub const USAGE: &str = "\
Compares placement policies on a whole site in one process, over real loopback
sockets, with the delays and faults of a scenario.

Usage:
    hyssopctl bench --scenario FILE [--policy NAME[,NAME...]] [--seed N]
                    [--out FILE]

Each policy runs on its own site; all sites run at the same time with the same
jobs, so that their figures are comparable. Prints a table and, for each phase
between two events, the share of the usable slots that were busy. Memory use
grows with the number of jobs.

Options:
        --scenario FILE  Load and events of the run, in INI; see scenarios/.
    -p, --policy NAMES   Policies to compare; late-binding by default, all for
                         every registered policy.
        --seed N         Seed of the jobs, entries and disturbances; 1 by default.
    -o, --out FILE       Write the table as CSV to FILE, and a plot to the same
                         path with the extension .svg.
    -h, --help           Print this text.

Exit code 7 if a guarantee was violated: a task was started twice, or an answer
was partial.

Example:
    hyssopctl bench --scenario scenarios/folia-80.ini --policy all --seed 3
";

#[derive(Debug)]
struct Arguments {
    scenario: PathBuf,
    policies: Vec<String>,
    seed: u64,
    out: Option<PathBuf>,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    util::block_on(bench(&arguments))
}

async fn bench(arguments: &Arguments) -> Result<(), Error> {
    let scenario = Scenario::open(&arguments.scenario, arguments.seed)?;
    println!(
        "scenario {}, seed {}, load {}, {} s",
        scenario.name,
        arguments.seed,
        scenario.load.share,
        scenario.load.length.as_secs_f64()
    );
    let progress = Progress::spawn(scenario.load.length);
    let runs = arguments
        .policies
        .iter()
        .map(|policy| runner::run(&scenario, policy));
    let runs = futures::future::try_join_all(runs).await?;
    drop(progress);
    print!("{}", table::markdown(&runs));
    print_phases(&scenario, &runs);
    if let Some(out) = &arguments.out {
        table::write_csv(&runs, out)?;
        let title = format!("{}, seed {}", scenario.name, arguments.seed);
        table::write_plot(&runs, &title, &out.with_extension("svg"))?;
    }
    runs.iter().try_for_each(|run| run.report.check())
}

fn print_phases(scenario: &Scenario, runs: &[runner::Run]) {
    let event_times: Vec<Duration> = scenario.events.iter().map(|(at, _)| *at).collect();
    for run in runs {
        if event_times.len() <= MAX_PHASES {
            for phase in table::phases(&run.samples, &event_times, scenario.load.length) {
                println!(
                    "{:>14}: {:5.1} to {:5.1} s: {:5.1} % of the usable slots busy, longest dip {:.2} s",
                    run.policy,
                    phase.from.as_secs_f64(),
                    phase.to.as_secs_f64(),
                    phase.busy * 100.0,
                    phase.dip.as_secs_f64()
                );
            }
        }
        for delay in &run.last_start {
            println!(
                "{:>14}: last start in the removed domain {:.3} s after the removal was accepted",
                run.policy,
                delay.as_secs_f64()
            );
        }
    }
}

/// Maximum number of events with which phases are printed.
const MAX_PHASES: usize = 8;

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let (mut scenario, mut seed, mut out) = (None, 1, None);
    let mut policies = vec![policies::DEFAULT.to_owned()];
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("scenario") => scenario = Some(PathBuf::from(parser.value()?)),
            Arg::Short('p') | Arg::Long("policy") => policies = names(&parser.value()?.string()?),
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Short('o') | Arg::Long("out") => out = Some(PathBuf::from(parser.value()?)),
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(Arguments {
        scenario: scenario.ok_or("missing option --scenario FILE; see --help")?,
        policies,
        seed,
        out,
    }))
}

fn names(text: &str) -> Vec<String> {
    if text != "all" {
        return text.split(',').map(str::to_owned).collect();
    }
    let mut all: Vec<String> = kernel::policy::Plugin::all()
        .map(|plugin| plugin.name.to_owned())
        .collect();
    all.sort();
    all
}
