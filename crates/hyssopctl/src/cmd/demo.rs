//! `hyssopctl demo`.

use crate::{
    Error,
    lab::{
        Plan, Report, Site,
        load::{Arrival, Load, Outcome, submit},
        report::Traffic,
    },
    util,
};
use lexopt::{Arg, Parser, ValueExt};
use std::{
    io::{IsTerminal, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Usage of the command.
pub const USAGE: &str = "\
Runs a whole site in one process, over real loopback sockets, and submits jobs
shaped like Folia's to it.

Usage:
    hyssopctl demo [--site NAME] [--jobs N] [--load SHARE] [--seed N]
                   [--policy NAME]

The site has one entry in each failure domain, a dozen sides with simulated
hosts that sleep instead of working, and a simulated key-value store. Network
delays between domains and to customers are those of the site. Prints the first
answers, response time relative to the ideal, and messages per task.

Options:
        --site NAME     folia (default) or jadran.
    -j, --jobs N        Number of jobs; 300 by default.
    -l, --load SHARE    Mean share of busy slots; 0.6 by default.
    -p, --policy NAME   Placement policy; late-binding by default.
        --seed N        Seed of the jobs and of the entries; 1 by default.
    -h, --help          Print this text.

Example:
    hyssopctl demo --jobs 500 --load 0.8
";

const DEFAULT_JOBS: usize = 300;
const DEFAULT_LOAD: f64 = 0.6;

/// Time over which jobs are drawn, before `--jobs` limits their number.
const MAX_ARRIVAL_TIME: Duration = Duration::from_hours(1);

/// Number of answers printed.
const SHOWN_ANSWERS: usize = 3;

/// Number of characters printed of each answer.
const SHOWN_CHARACTERS: usize = 150;

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Arguments {
    plan: Plan,
    jobs: usize,
    load: f64,
    policy: String,
    seed: u64,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    util::block_on(demo(arguments))
}

async fn demo(arguments: Arguments) -> Result<(), Error> {
    let plan = arguments.plan;
    println!(
        "site {}: {} entries, {} hosts of {} slots; policy {}, seed {}",
        plan.environment,
        plan.domains.len(),
        plan.hosts,
        plan.slots,
        arguments.policy,
        arguments.seed
    );
    let site = Site::spawn(plan.clone(), &arguments.policy, arguments.seed).await?;
    show_answers(&site).await?;
    let mut arrivals = Load::steady(arguments.load, MAX_ARRIVAL_TIME, arguments.seed).draw(&plan);
    arrivals.truncate(arguments.jobs);
    let before = Traffic::read(&site).await?;
    let outcomes = submit_all(&site, arrivals).await?;
    let traffic = Traffic::read(&site).await?.since(before);
    let report = Report::new(&outcomes, traffic, &site);
    print_report(&report);
    report.check()
}

/// Submits one small job of each kind and prints its answer.
async fn show_answers(site: &Site) -> Result<(), Error> {
    let client = site.client(0)?;
    for kind in site.plan.kinds.iter().take(SHOWN_ANSWERS) {
        let tasks = (0..2).map(|index| {
            serde_json::json!({ "task": format!("{}-{index}", kind.name), "ms": kind.run_ms.0 })
        });
        let job = crate::client::Job {
            service: site.plan.service.clone(),
            ticket: client.tickets(1).await?.pop(),
            kind: kind.name.to_owned(),
            team: None,
            deadline_ms: None,
            tasks: tasks.collect(),
        };
        let answer = serde_json::to_string(&client.submit(&job).await?)?;
        let excerpt: String = answer.chars().take(SHOWN_CHARACTERS).collect();
        println!("{:>12}: {excerpt}...", kind.name);
    }
    Ok(())
}

async fn submit_all(site: &Site, arrivals: Vec<Arrival>) -> Result<Vec<Outcome>, Error> {
    let total = arrivals.len();
    let ended = Arc::new(AtomicUsize::new(0));
    let clients: Result<Vec<_>, _> = (0..site.entries.len())
        .map(|index| site.client(index))
        .collect();
    let clients = clients?;
    let start = Instant::now();
    let progress = tokio::spawn(show_progress(ended.clone(), total));
    let mut running = JoinSet::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until((start + arrival.at).into()).await;
        let client = clients[number % clients.len()].clone();
        let ended = ended.clone();
        running.spawn(async move {
            let ticket = if arrival.repeatable {
                None
            } else {
                client
                    .tickets(1)
                    .await
                    .ok()
                    .and_then(|mut tickets| tickets.pop())
            };
            let outcome = submit(&client, &arrival, ticket, start).await;
            ended.fetch_add(1, Ordering::Relaxed);
            outcome
        });
    }
    let outcomes = running.join_all().await;
    progress.abort();
    println!(
        "\r{total} of {total} jobs in {:.1} s",
        start.elapsed().as_secs_f64()
    );
    Ok(outcomes)
}

async fn show_progress(ended: Arc<AtomicUsize>, total: usize) {
    if !std::io::stdout().is_terminal() {
        return;
    }
    loop {
        print!("\r{} of {total} jobs", ended.load(Ordering::Relaxed));
        // A failure to print progress does not affect the run.
        let _ = std::io::stdout().flush();
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

fn print_report(report: &Report) {
    println!(
        "jobs complete        {} of {}",
        report.complete, report.jobs
    );
    println!("failures by code     {:?}", report.failures);
    println!(
        "response / ideal     p50 {:.3}  p99 {:.3}  p99.9 {:.3}",
        report.ratio_p50, report.ratio_p99, report.ratio_p999
    );
    println!("messages a task      {:.2}", report.messages_per_task);
    println!("wasted messages      {:.2} %", report.wasted_share * 100.0);
    println!(
        "tasks started        {}, twice {}",
        report.started, report.double_starts
    );
    println!("partial answers      {}", report.partial);
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments {
        plan: Plan::folia(),
        jobs: DEFAULT_JOBS,
        load: DEFAULT_LOAD,
        policy: policies::DEFAULT.to_owned(),
        seed: 1,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("site") => {
                let name = parser.value()?.string()?;
                arguments.plan = Plan::find(&name).ok_or("--site: folia or jadran")?;
            }
            Arg::Short('j') | Arg::Long("jobs") => arguments.jobs = parser.value()?.parse()?,
            Arg::Short('l') | Arg::Long("load") => arguments.load = parser.value()?.parse()?,
            Arg::Short('p') | Arg::Long("policy") => arguments.policy = parser.value()?.string()?,
            Arg::Long("seed") => arguments.seed = parser.value()?.parse()?,
            _ => return Err(argument.unexpected()),
        }
    }
    if !(arguments.load > 0.0 && arguments.load <= 10.0) {
        return Err("--load: a share above 0 and up to 10".into());
    }
    Ok(Some(arguments))
}
