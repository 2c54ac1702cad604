//! Learnt speeds of hosts, and what entries make of them (issue 20: a quarter of the
//! hosts at 0.55 of the usual speed, the others at 1.2, and 30 of 62 ejected).

mod site;

use kernel::{
    event::Event,
    rate::{MAX_RATE, MIN_RATE, Rate, USUAL_RATE},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use site::{PATH, Site, job, upstream::timed_input};
use std::time::Duration;

/// Largest factor by which a customer's estimate is off, either way.
const ESTIMATE_ERROR: f64 = 1.6;
/// One task in this many takes [`OUTLIER_FACTOR`] times as long.
const OUTLIER_ONE_IN: u32 = 30;
const OUTLIER_FACTOR: f64 = 7.0;

/// Records `jobs` runs at a host of a speed: usual run times of 9 to 900 ms, off by
/// the errors above and by up to 4 ms of latency.
fn learn(rate: &mut Rate, random: &mut SmallRng, jobs: u32, speed: f64) {
    for _ in 0..jobs {
        let usual = 9.0 * 100_f64.powf(random.random_range(0.0..1.0));
        let error = ESTIMATE_ERROR.powf(random.random_range(-1.0..1.0));
        let outlier = if random.random_ratio(1, OUTLIER_ONE_IN) {
            OUTLIER_FACTOR
        } else {
            1.0
        };
        let spent = usual * error * outlier / speed + random.random_range(0.0..4.0);
        if rate.select(random.random()) {
            rate.record(milliseconds(usual), milliseconds(spent));
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small and positive"
)]
fn milliseconds(time: f64) -> u32 {
    time.round() as u32
}

/// Returns a rate's error relative to a speed.
fn error(rate: u16, speed: f64) -> f64 {
    f64::from(rate) / 1e3 / speed - 1.0
}

/// Guards against rates that follow single bad estimates or outliers.
#[test]
fn rate_within_bounds() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut overall: f64 = 0.0;
    for speed in [0.55, 1.0, 1.2, 2.0] {
        let mut worst: f64 = 0.0;
        for _ in 0..200 {
            let mut rate = Rate::default();
            learn(&mut rate, &mut random, 200, speed);
            worst = worst.max(error(rate.per_mille(), speed).abs());
        }
        println!("speed {speed}: largest error of 200 rates after 200 jobs: {worst:.3}");
        overall = overall.max(worst);
    }
    assert!(overall < 0.15, "largest error {overall}");
}

#[test]
fn unknown_rate_is_usual() {
    let mut rate = Rate::default();
    assert_eq!(rate.per_mille(), USUAL_RATE);
    // The entry does not know yet what is usual.
    rate.record(0, 900);
    assert_eq!(rate.per_mille(), USUAL_RATE);
}

/// Guards against a job with a bad estimate that counts as often as it has runs.
#[test]
fn job_counts_once() {
    let mut rate = Rate::default();
    assert!(rate.select(7));
    for _ in 0..40 {
        assert!(!rate.select(7));
    }
    assert!(rate.select(8));
}

#[test]
fn rate_stays_in_range() {
    let (mut slow, mut fast) = (Rate::default(), Rate::default());
    for _ in 0..10_000 {
        slow.record(100, u32::MAX);
        fast.record(u32::MAX, 0);
    }
    assert_eq!(slow.per_mille(), MIN_RATE);
    assert_eq!(fast.per_mille(), MAX_RATE);
}

/// Guards against a host that fails and whose rate explains it at once: its entries
/// see at least four late jobs each before its rate has halved.
#[test]
fn failure_learnt_slowly() {
    let mut random = SmallRng::seed_from_u64(2);
    let mut rate = Rate::default();
    learn(&mut rate, &mut random, 200, 1.0);
    learn(&mut rate, &mut random, 32, 0.2);
    assert!(rate.per_mille() > 500, "{} per mille", rate.per_mille());
    learn(&mut rate, &mut random, 600, 0.2);
    assert!(rate.per_mille() <= 260, "{} per mille", rate.per_mille());
}

/// Speeds of the hosts in percent, and their cores.
const SPEEDS: [u32; 8] = [55, 120, 120, 120, 55, 120, 120, 120];
const CORES: [u32; 8] = [4, 4, 6, 4, 6, 4, 4, 6];

/// Customers that send jobs at 60 % of the hosts' capacity, with run times of 9 to
/// 900 ms. The mean ratio of run time to estimate is 0.8 in one queue, 1.5 in another.
struct Load {
    site: Site,
    random: SmallRng,
    next_job: u64,
}

impl Load {
    fn new(seed: u64) -> Self {
        let mut site = Site::new(2, SPEEDS.len());
        for (index, stub) in site.upstreams.iter_mut().enumerate() {
            stub.speed_percent = SPEEDS[index];
            stub.capacity.cpu = CORES[index] * 1_000;
        }
        for entry in site.entries.iter_mut().flatten() {
            entry.set_remote_factor(1.5);
        }
        site.run(Duration::from_secs(1));
        Self {
            site,
            random: SmallRng::seed_from_u64(seed),
            next_job: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.site.now + time;
        while self.site.now < until {
            self.next_job += 1;
            let random = &mut self.random;
            let run = 9.0 * 100_f64.powf(random.random_range(0.0..1.0));
            let (path, ratio) = [(PATH, 0.8), ("/slow/", 1.5)][random.random_range(0..2)];
            let error = ESTIMATE_ERROR.powf(random.random_range(-1.0..1.0));
            let estimate = Duration::from_secs_f64(run / ratio * error / 1e3);
            let rack = random.random_range(0..3);
            let tasks = random.random_range(1..5);
            let mut job = job(random.random(), tasks, 1_000, estimate);
            job.input = timed_input(milliseconds(run), rack);
            job.steps[0].rack = Some(format!("r{rack}"));
            let entry = random.random_range(0..2);
            let pause = Duration::from_millis(random.random_range(10..40));
            self.site.submit_to(entry, path, job);
            self.site.run(pause);
        }
    }

    /// Returns the names of the hosts' sides that were ejected since the last call.
    fn ejected(&mut self) -> Vec<usize> {
        let mut ejected = Vec::new();
        for entry in self.site.entries.iter_mut().flatten() {
            for event in entry.take_events() {
                if let Event::Ejected { side, .. } = event {
                    ejected.extend(self.site.side_ids.iter().position(|id| *id == side));
                }
            }
        }
        ejected
    }

    fn rate(&self, index: usize) -> u16 {
        self.site.sides[index].as_ref().unwrap().rate()
    }
}

/// Guards against unequal hosts that are ejected for their speed, and against rates
/// that follow the mix of queues, the distance to the data or outliers.
#[test]
fn unequal_hosts() {
    let cores: u32 = CORES.iter().sum();
    let mean = f64::from(
        SPEEDS
            .iter()
            .zip(CORES)
            .map(|(speed, cores)| speed * cores)
            .sum::<u32>(),
    ) / f64::from(cores);
    for seed in 0..4 {
        let mut load = Load::new(seed);
        load.run(Duration::from_secs(25));
        let errors: Vec<f64> = (0..SPEEDS.len())
            .map(|index| error(load.rate(index), f64::from(SPEEDS[index]) / mean))
            .collect();
        println!("seed {seed}: errors of the rates {errors:.3?}");
        let ratios: Vec<Vec<f64>> = load
            .site
            .entries
            .iter()
            .flatten()
            .map(|entry| entry.usual_ratios().map(|(_, ratio)| ratio).collect())
            .collect();
        println!("seed {seed}: usual ratios of two entries {ratios:.3?}");
        assert_eq!(load.ejected(), Vec::<usize>::new(), "seed {seed}");
        assert!(errors.iter().all(|error| error.abs() < 0.15), "seed {seed}");
        let differs = |(one, other): (&f64, &f64)| (one / other - 1.0).abs() > 0.1;
        assert!(
            !ratios[0].iter().zip(&ratios[1]).any(differs),
            "seed {seed}: entries disagree"
        );
    }
}

/// Guards against a host that fails and is excused by its rate.
#[test]
fn failing_host_ejected() {
    let mut load = Load::new(9);
    load.run(Duration::from_secs(15));
    assert_eq!(load.ejected(), Vec::<usize>::new());
    load.site.upstreams[1].speed_percent /= 5;
    load.run(Duration::from_secs(4));
    let ejected = load.ejected();
    assert!(ejected.contains(&1), "ejected: {ejected:?}");
    assert!(
        ejected.iter().all(|index| *index == 1),
        "ejected: {ejected:?}"
    );
}

/// Guards against a job with a bad estimate that ejects the hosts of its tasks.
#[test]
fn bad_estimate_ejects_none() {
    let mut load = Load::new(10);
    load.run(Duration::from_secs(10));
    for id in 0..2 {
        let mut bad = job(id + 1, 24, 1_000, Duration::from_millis(20));
        bad.input = timed_input(300, 0);
        load.site.submit(0, bad);
    }
    load.run(Duration::from_secs(3));
    assert_eq!(load.ejected(), Vec::<usize>::new());
}
