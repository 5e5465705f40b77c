//! The four rules under random events (fixed seeds), by a checker that knows nothing of the decisions.
#[path = "../common/mod.rs"]
mod common;
mod endpoints;
mod input;
mod repeats;
mod slow_start;
mod storms;

use balancer_core::{Class, Effect, Settings};
use common::*;

fn one_class(effect: Effect) -> Settings {
    // Late responses are worth something, so that requests last until their deadline.
    let class = Class {
        late_value: 0.5,
        ..class(effect)
    };
    Settings {
        classes: vec![class],
        ..Settings::default()
    }
}
