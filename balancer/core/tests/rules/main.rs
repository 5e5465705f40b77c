//! Rules that always hold, checked independently of the implementation, also under random events with fixed seeds.
#[path = "../common/mod.rs"]
mod common;
mod endpoints;
mod input;
mod random_events;
mod repeats;
mod slow_start;

use balancer_core::{Class, Effect, Settings};
use common::*;

fn one_class(effect: Effect) -> Settings {
    // Late responses have value, so that requests last until their deadline.
    let class = Class {
        late_value: 0.5,
        ..class(effect)
    };
    Settings {
        classes: vec![class],
        ..Settings::default()
    }
}
