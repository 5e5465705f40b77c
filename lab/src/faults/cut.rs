//! Cuts links between parties, and heals them.
use super::ends::CATCH_UP;
use crate::draw::{Party, PlannedFault};
use crate::fleet::Fleet;
use crate::net::{lock, Direction, Link};
use std::sync::Arc;

/// The links between two parties, with the direction that leads from the first to the second.
fn links(fleet: &Fleet, from: Party, to: Party) -> Vec<(Arc<Link>, Direction, Option<usize>)> {
    let world = &fleet.world;
    use Party::*;
    match (from, to) {
        (Balancer(b), Upstream(u)) => fleet.upstreams[u]
            .links
            .get(&b)
            .map(|w| (w.clone(), Direction::Inward, None))
            .into_iter()
            .collect(),
        (Balancer(b), Clients(z)) if world.plan.balancers[b].owner.is_none() => {
            vec![(world.client_links[b][z].clone(), Direction::Inward, Some(b))]
        }
        (Balancer(b), Agent(a)) if a == b => {
            vec![(fleet.agents[a].link.clone(), Direction::Inward, None)]
        }
        (Upstream(_) | Clients(_) | Agent(_), Balancer(_)) => {
            let turned = links(fleet, to, from).into_iter();
            turned
                .map(|(link, _, excused)| (link, Direction::Outward, excused))
                .collect()
        }
        _ => Vec::new(),
    }
}

pub(super) async fn cut(fleet: &Fleet, fault: &PlannedFault) {
    let world = &fleet.world;
    let mut cuts = Vec::new();
    for &a in &fault.on {
        for &b in &fault.to {
            cuts.extend(links(fleet, a, b));
            if !fault.one_way {
                cuts.extend(links(fleet, b, a));
            }
        }
    }
    let mut unheard = Vec::new();
    for &a in &fault.on {
        for &b in &fault.to {
            if let (Party::Balancer(a), Party::Balancer(b)) = (a, b) {
                unheard.push((a, b));
                if !fault.one_way {
                    unheard.push((b, a));
                }
            }
        }
    }
    for &(from, to) in &unheard {
        world.datagrams.cut(from, to);
        lock(&world.oracle).part(from, to, true, world.now());
    }
    for (link, direction, excused) in &cuts {
        link.cut(*direction);
        if let Some(b) = excused {
            lock(&world.oracle).excuse(*b, world.now(), fault.until + CATCH_UP);
        }
    }
    world.clock.until(fault.until).await;
    for (link, direction, _) in &cuts {
        link.heal(*direction);
    }
    for &(from, to) in &unheard {
        world.datagrams.heal(from, to);
        lock(&world.oracle).part(from, to, false, world.now());
    }
}
