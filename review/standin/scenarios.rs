//! The scenarios. Each returns whether the rule held.

use crate::{
    client::{Client, Job},
    site::{SIGCONT, SIGSTOP, SIGTERM, Site},
};
use std::{
    collections::BTreeMap,
    net::IpAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// `cancel_ms` of the small deployments.
const CANCEL_MS: Duration = Duration::from_millis(3_000);

/// Runs a scenario and writes its record.
pub fn run(name: &str, folder: &str, trouble: bool) -> Result<bool, String> {
    let scenario = match name {
        "late-duplicate" => late_duplicate,
        "frozen-owner" => frozen_owner,
        "no-seeds" => no_seeds,
        _ => return Err(format!("no scenario {name}")),
    };
    let mut site = Site::start(2)?;
    site.record.note(&format!("scenario {name}, trouble {trouble}"));
    let held = scenario(&mut site, trouble);
    if let Ok(held) = held {
        let outcome = if held { "the rule held" } else { "the rule was broken" };
        site.record.note(outcome);
        println!("{name}: {outcome}");
    }
    site.record.write(&Path::new(folder).join("record.txt"))?;
    held
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A job like a die check.
fn die_check(id: &str) -> Job {
    Job {
        id: id.to_owned(),
        tasks: 4,
        cpu: 6_200,
        estimate_ms: 900,
        work_ms: 900,
        deadline_ms: 6_000,
    }
}

/// Returns whether no task of a job started later than [`CANCEL_MS`] after its
/// cancelling was acknowledged.
fn check_starts(site: &Site, job: &str, acknowledged: Instant) -> bool {
    let late: Vec<String> = site
        .runs
        .of(job)
        .iter()
        .filter(|run| run.started > acknowledged + CANCEL_MS)
        .map(|run| {
            let after = (run.started - acknowledged).as_secs_f64();
            let (task, attempt, worker) = (&run.task, run.attempt, &run.worker);
            format!("UNASKED: {task}/{attempt} started on {worker} {after:.3} s after the ack")
        })
        .collect();
    for line in &late {
        site.record.note(line);
    }
    late.is_empty()
}

/// A job is cancelled, and the cancelling acknowledged. Seconds later a duplicate of
/// its submission arrives at another entry.
fn late_duplicate(site: &mut Site, trouble: bool) -> Result<bool, String> {
    let client = Client::new(site);
    let job = die_check("5c0e7a21d94b36f8");
    let submitted = client.submit(site.entry(0), &job);
    thread::sleep(millis(300));
    let (acknowledged, answer) = client.cancel(site.entry(0), &job.id, millis(1_000));
    let (status, _) = answer?;
    if status != 200 && status != 410 {
        return Err(format!("the cancelling was answered {status}"));
    }
    let (_, answer) = submitted.join().map_err(|_| "a client has failed")?;
    if answer?.0 != 200 {
        return Err("the submission was not answered 200".to_owned());
    }
    sleep_until(acknowledged + millis(4_000));
    if trouble {
        let duplicate = client.submit(site.entry(1), &job);
        let _ = duplicate.join();
    } else {
        thread::sleep(millis(1_500));
    }
    if !site.all_run() {
        return Err("a process has ended".to_owned());
    }
    Ok(check_starts(site, &job.id, acknowledged))
}

/// The entry that owns a job stands still for 5 s. The platform takes it out of
/// rotation, and the client's cancelling reaches another entry.
fn frozen_owner(site: &mut Site, trouble: bool) -> Result<bool, String> {
    const FREEZE: Duration = Duration::from_secs(5);
    let client = Client::new(site);
    let balancer = site.balance();
    let job = Job {
        deadline_ms: 6_300,
        ..die_check("5c0e7a21d94b36f9")
    };
    let owner = site.entry(balancer.route(0));
    balancer.await_probe(0);
    thread::sleep(millis(850));
    let submitted = client.submit(owner, &job);
    thread::sleep(millis(100));
    let frozen_at = Instant::now();
    if trouble {
        site.signal(owner.0, SIGSTOP)?;
        while balancer.route(0) == 0 {
            if frozen_at.elapsed() > FREEZE {
                return Err("the platform has not noticed".to_owned());
            }
            thread::sleep(millis(10));
        }
    }
    let other = site.entry(balancer.route(0));
    let (acknowledged, answer) = client.cancel(other, &job.id, millis(2_000));
    sleep_until(frozen_at + FREEZE);
    if trouble {
        site.signal(owner.0, SIGCONT)?;
    }
    let (status, _) = answer?;
    if status != 200 && status != 410 {
        return Err(format!("the cancelling was answered {status}"));
    }
    let _ = submitted.join();
    thread::sleep(millis(500));
    if !site.all_run() {
        return Err("a process has ended".to_owned());
    }
    Ok(check_starts(site, &job.id, acknowledged))
}

/// All entries are removed, and others come at new addresses 4 s later. Meanwhile the
/// sides are stopped and started in turn.
fn no_seeds(site: &mut Site, trouble: bool) -> Result<bool, String> {
    const GAP: Duration = Duration::from_secs(4);
    /// Pause of the platform before it starts an ended process again.
    const RESTART: Duration = Duration::from_millis(500);
    /// Ends of one process, and machines, from which a crash loop counts.
    const ENDS: u32 = 3;
    const MACHINES: usize = 2;
    let first: Vec<IpAddr> = (0..3).map(|zone| site.entry_ip(zone, 1)).collect();
    let second: Vec<IpAddr> = (0..3).map(|zone| site.entry_ip(zone, 2)).collect();
    if trouble {
        for name in site.names("entry") {
            site.signal(&name, SIGTERM)?;
        }
        let until = Instant::now() + Duration::from_secs(8);
        for name in site.names("entry") {
            while site.ended(&name).is_none() {
                if Instant::now() > until {
                    return Err("an entry does not stop".to_owned());
                }
                thread::sleep(millis(20));
            }
        }
    }
    let seeds = if trouble { Vec::new() } else { first };
    let sides = site.names("side");
    let mut own_ends: BTreeMap<String, u32> = BTreeMap::new();
    let mut restart_at: BTreeMap<String, Instant> = BTreeMap::new();
    let mut stopped: Vec<String> = Vec::new();
    let mut stopped_at: BTreeMap<String, Instant> = BTreeMap::new();
    let begun = Instant::now();
    while begun.elapsed() < GAP {
        // One side is stopped each 0.3 s, three in all.
        let due = (begun.elapsed().as_millis() / 300) as usize + 1;
        if stopped.len() < due.min(3) {
            let name = sides[stopped.len() * 2].clone();
            site.signal(&name, SIGTERM)?;
            stopped.push(name);
        }
        for name in &sides {
            let now = Instant::now();
            match restart_at.get(name) {
                Some(at) if *at <= now => {
                    restart_at.remove(name);
                    site.restart(name, &seeds)?;
                }
                Some(_) => {}
                None => {
                    let Some(status) = site.ended(name) else {
                        continue;
                    };
                    site.record.note(&format!("platform: {name} has ended: {status}"));
                    // The first end of a stopped side is the planned one. Ends within a
                    // second of it are not counted either.
                    let planned = stopped.contains(name);
                    let stop = planned.then(|| *stopped_at.entry(name.clone()).or_insert(now));
                    if stop.is_none_or(|stop| now - stop > millis(1_000)) {
                        *own_ends.entry(name.clone()).or_default() += 1;
                    }
                    restart_at.insert(name.clone(), now + RESTART);
                }
            }
        }
        thread::sleep(millis(5));
    }
    if trouble {
        for zone in 0..3 {
            site.start_entry(zone, 2, &second)?;
        }
    }
    for name in restart_at.into_keys() {
        site.restart(&name, if trouble { &second } else { &seeds })?;
    }
    site.await_service(if trouble { 2 } else { 1 })?;
    let looping = own_ends.iter().filter(|(_, ends)| **ends >= ENDS);
    let looping: Vec<String> = looping
        .map(|(name, ends)| format!("Fault: {name} has ended by itself {ends} times"))
        .collect();
    for line in &looping {
        site.record.note(line);
    }
    Ok(looping.len() < MACHINES)
}
