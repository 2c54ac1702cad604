//! The simulated site: what a policy earns, and that the model can tell.

use hyssopctl::model::{Day, POLICIES, Policy, Shape, Tally};
use std::time::Duration;

fn shape(load: f64) -> Shape {
    Shape {
        hosts: 12,
        entries: 3,
        load,
        burst: 1.0,
        lost: 0.0,
        length: Duration::from_secs(12),
        seed: 5,
    }
}

fn whole(tally: &Tally) -> f64 {
    tally.in_time
        + tally.late
        + tally.useless
        + tally.refused_soon
        + tally.refused_later
        + tally.given_up
}

#[test]
fn calm_day() {
    let day = Day::new(shape(0.5));
    for policy in POLICIES {
        let tally = policy.play(&day);
        assert!(tally.in_time > 0.995, "{}: {tally:?}", policy.name());
    }
}

#[test]
fn same_again() {
    let day = Day::new(Shape {
        burst: 2.0,
        ..shape(0.7)
    });
    let again = Day::new(day.shape);
    for policy in POLICIES {
        assert_eq!(policy.play(&day), policy.play(&again), "{}", policy.name());
    }
}

#[test]
fn order_of_policies() {
    let days = [
        Shape {
            burst: 2.2,
            ..shape(0.6)
        },
        Shape {
            lost: 0.5,
            ..shape(0.6)
        },
        shape(1.3),
    ];
    for shape in days {
        let day = Day::new(shape);
        let worth = |policy: Policy| {
            let tally = policy.play(&day);
            assert!((whole(&tally) - 1.0).abs() < 1e-9, "{tally:?}");
            tally.worth
        };
        let (product, oracle) = (worth(Policy::Product), worth(Policy::Oracle));
        assert!(product > worth(Policy::Fifo), "{shape:?}");
        assert!(oracle >= product, "nothing beats knowing: {shape:?}");
        // The issue's own target for a day with trouble is 0.72 of what is owed,
        // of which an oracle earns at least that much here.
        assert!(product > oracle * 0.72, "{shape:?}: {product} of {oracle}");
    }
}
