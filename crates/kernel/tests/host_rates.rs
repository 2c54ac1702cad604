//! Learnt speeds of hosts, and what entries make of them (issue 20: a quarter of the
//! hosts at 0.55 of the usual speed, the others at 1.2, and 30 of 62 ejected).

use kernel::rate::{MAX_RATE, MIN_RATE, Rate, USUAL_RATE};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

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
