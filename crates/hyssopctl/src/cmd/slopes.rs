//! `hyssopctl slopes`.

use crate::{
    Error,
    lab::{
        Plan, Site,
        load::{Load, submit},
        report::Traffic,
        site::Runtimes,
    },
    util,
};
use hyssoppost::usage;
use lexopt::{Arg, Parser, ValueExt};
use standin::store::Calls;
use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Usage of the command.
pub const USAGE: &str = "\
Measures the processor time, traffic and memory of one entry and its sides by
fleet size, for docs/CAPACITY.md.

Usage:
    hyssopctl slopes [--sides N,N,...] [--seconds N] [--customers N]

One entry and N sides run in this process over loopback, each role on its own
threads, so that processor time is measured by role. Each N is measured idle,
then with as many jobs of 20 empty tasks as the customers can submit.

Options:
        --sides N,N,...   Fleet sizes; 12,100,300 by default.
        --seconds N       Length of each phase; 8 by default.
        --customers N     Customers that submit one job after another; 64 by
                          default.
    -h, --help            Print this text.
";

const TASKS_PER_JOB: u16 = 20;
const SLOTS_PER_SIDE: u16 = 16;

#[derive(Debug)]
struct Arguments {
    sides: Vec<usize>,
    length: Duration,
    customers: usize,
}

/// Processor time by thread name, in seconds.
type CpuTimes = BTreeMap<String, f64>;

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(arguments) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    println!(
        "sides | phase | tasks/s | entry CPU % | side CPU % each | entry us/task | side us/task | \
         control B/s a side | frames a task | store reads/s | store writes/s | resident MB"
    );
    for sides in &arguments.sides {
        let runtimes = Runtimes::open()?;
        let plan = plan(*sides);
        util::block_on(measure(&arguments, plan, &runtimes))?;
    }
    Ok(())
}

fn plan(hosts: usize) -> Plan {
    let mut plan = Plan::folia();
    plan.domains.truncate(1);
    plan.hosts = hosts;
    plan.slots = SLOTS_PER_SIDE;
    plan.domain_delay = Duration::ZERO;
    plan.customer_delay = Duration::ZERO;
    plan.kinds.truncate(1);
    plan.kinds[0].tasks = (TASKS_PER_JOB, TASKS_PER_JOB);
    plan.kinds[0].run_ms = (0.01, 0.011);
    plan.kinds[0].share = 1.0;
    plan
}

async fn measure(arguments: &Arguments, plan: Plan, runtimes: &Runtimes) -> Result<(), Error> {
    let site = Site::spawn_on(plan, policies::DEFAULT, 1, Some(runtimes)).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let idle = phase(&site, arguments, false).await?;
    print_row(&site, "idle", &idle);
    let loaded = phase(&site, arguments, true).await?;
    print_row(&site, "loaded", &loaded);
    Ok(())
}

/// Resources that one phase used.
struct Phase {
    seconds: f64,
    cpu_times: CpuTimes,
    traffic: Traffic,
    calls: Calls,
    resident: u64,
}

async fn phase(site: &Site, arguments: &Arguments, loaded: bool) -> Result<Phase, Error> {
    let traffic = Traffic::read(site).await?;
    let before = cpu_times();
    let calls = site.store.calls();
    let started = Instant::now();
    if loaded {
        submit_jobs(site, arguments).await?;
    } else {
        tokio::time::sleep(arguments.length).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = cpu_times();
    let calls = Calls {
        reads: site.store.calls().reads - calls.reads,
        writes: site.store.calls().writes - calls.writes,
    };
    let cpu_times = after
        .into_iter()
        .map(|(role, time)| {
            let earlier = before.get(&role).copied().unwrap_or_default();
            (role, time - earlier)
        })
        .collect();
    Ok(Phase {
        seconds,
        cpu_times,
        calls,
        traffic: Traffic::read(site).await?.since(traffic),
        resident: usage::read().resident_bytes,
    })
}

async fn submit_jobs(site: &Site, arguments: &Arguments) -> Result<(), Error> {
    let client = site.client(0)?;
    let arrivals = Load::steady(0.5, Duration::from_millis(50), 1).draw(&site.plan);
    let Some(arrival) = arrivals.into_iter().next() else {
        return Err(Error::Failed("no job was generated".to_owned()));
    };
    let end = Instant::now() + arguments.length;
    let mut customers = JoinSet::new();
    for _ in 0..arguments.customers {
        let (client, arrival) = (client.clone(), arrival.clone());
        customers.spawn(async move {
            while Instant::now() < end {
                submit(&client, &arrival, None, end).await;
            }
        });
    }
    customers.join_all().await;
    Ok(())
}

fn print_row(site: &Site, name: &str, phase: &Phase) {
    let sides = as_f64(site.nodes.len() as u64);
    let time = |role: &str| phase.cpu_times.get(role).copied().unwrap_or_default();
    let tasks = as_f64(phase.traffic.tasks);
    let microseconds_per_task = |seconds: f64| {
        if tasks > 0.0 {
            seconds * 1e6 / tasks
        } else {
            0.0
        }
    };
    println!(
        "{} | {name} | {:.0} | {:.2} | {:.3} | {:.1} | {:.1} | {:.0} | {:.2} | {:.1} | {:.1} | {:.0}",
        site.nodes.len(),
        tasks / phase.seconds,
        time("entry") / phase.seconds * 100.0,
        time("side") / phase.seconds * 100.0 / sides,
        microseconds_per_task(time("entry")),
        microseconds_per_task(time("side")),
        as_f64(phase.traffic.control_bytes) / phase.seconds / sides,
        as_f64(phase.traffic.frames) / tasks.max(1.0),
        as_f64(phase.calls.reads) / phase.seconds,
        as_f64(phase.calls.writes) / phase.seconds,
        as_f64(phase.resident) / 1e6,
    );
}

/// Returns the processor time that this process has used.
fn cpu_times() -> CpuTimes {
    let mut cpu_times = CpuTimes::new();
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return cpu_times;
    };
    for thread in threads.flatten() {
        let name = fs::read_to_string(thread.path().join("comm")).unwrap_or_default();
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let nanoseconds = text.split(' ').next().and_then(|field| field.parse().ok());
        let seconds = nanoseconds.map_or(0.0, |value: u64| as_f64(value) / 1e9);
        *cpu_times.entry(name.trim().to_owned()).or_default() += seconds;
    }
    cpu_times
}

#[expect(clippy::cast_precision_loss, reason = "printed with few digits")]
fn as_f64(value: u64) -> f64 {
    value as f64
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments {
        sides: vec![12, 100, 300],
        length: Duration::from_secs(8),
        customers: 64,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("sides") => {
                let list = parser.value()?.string()?;
                let numbers: Result<Vec<usize>, _> = list.split(',').map(str::parse).collect();
                arguments.sides = numbers.map_err(|_| "--sides: numbers with commas")?;
            }
            Arg::Long("seconds") => {
                arguments.length = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("customers") => arguments.customers = parser.value()?.parse()?,
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(arguments))
}
