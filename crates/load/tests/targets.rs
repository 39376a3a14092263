//! The stated bounds of the routing, in virtual time with a fixed seed. The
//! same figures come out on any machine.

use std::time::Duration;

use cyclamengauge_core::routing::Policy;
use cyclamengauge_load::{
    experiment::{Conditions, Figures, run},
    model::Deployment,
};

fn conditions(policy: Policy, deployment: Deployment, load: f64) -> Conditions {
    Conditions {
        policy,
        deployment,
        load,
        engines: 20,
        engines_lost: 0,
        time: Duration::from_secs(60),
        seed: 1,
        without_long: false,
    }
}

fn ours(deployment: Deployment, load: f64) -> Figures {
    run(&conditions(Policy::LengthAware, deployment, load))
}

fn slowdown(deployment: Deployment, load: f64) -> f64 {
    let with = conditions(Policy::LengthAware, deployment, load);
    let without = Conditions {
        without_long: true,
        ..with
    };
    run(&with).class(0).p95_ms / run(&without).class(0).p95_ms
}

#[test]
fn short_requests_are_slowed_down_little_by_long_ones() {
    for deployment in Deployment::ALL {
        let slowdown = slowdown(deployment, 0.8);
        assert!(slowdown <= 1.10, "{}: {slowdown}", deployment.name());
    }
}

#[test]
fn short_requests_are_slowed_down_little_at_full_load() {
    for deployment in Deployment::ALL {
        let slowdown = slowdown(deployment, 1.0);
        assert!(slowdown <= 1.25, "{}: {slowdown}", deployment.name());
    }
}

#[test]
fn first_tokens_come_earlier_than_by_least_requests() {
    for deployment in Deployment::ALL {
        let least = run(&conditions(Policy::LeastRequests, deployment, 0.8));
        let ours = ours(deployment, 0.8).all().p95_ms;
        let bound = least.all().p95_ms * 0.7;
        assert!(
            ours <= bound,
            "{}: {ours}, bound {bound}",
            deployment.name()
        );
    }
}

#[test]
fn goodput_holds_at_twice_the_capacity() {
    for deployment in Deployment::ALL {
        let (full, twice) = (ours(deployment, 1.0), ours(deployment, 2.0));
        let (full, twice) = (full.goodput_per_s(), twice.goodput_per_s());
        assert!(
            twice >= full * 0.95,
            "{}: {twice} after {full}",
            deployment.name()
        );
    }
}

#[test]
fn lost_engine_fails_no_request_and_leaves_no_reservation() {
    for deployment in Deployment::ALL {
        let figures = run(&Conditions {
            engines_lost: 1,
            ..conditions(Policy::LengthAware, deployment, 0.6)
        });
        assert_eq!(figures.completed, figures.offered, "{:?}", figures.reasons);
        assert_eq!(figures.reservations_left, 0);
    }
}

#[test]
fn same_seed_gives_the_same_figures() {
    let figures = || {
        let figures = ours(Deployment::Atlas, 0.8);
        (figures.completed, figures.all(), figures.class(3))
    };
    assert_eq!(figures(), figures());
}
