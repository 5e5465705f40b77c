//! Cuts links and datagram paths between parties, and heals them.
use super::balancers::CATCH_UP;
use super::injector::Injector;
use crate::draw::{Party, PlannedFault};
use crate::fleet::Fleet;
use crate::net::{lock, Direction, Link};
use std::sync::Arc;

/// One direction of a link that a fault cuts.
struct LinkCut {
    link: Arc<Link>,
    direction: Direction,
    /// The balancer whose lost requests during the cut are not violations.
    excluded: Option<usize>,
}

/// A cut of the datagrams from one balancer to another.
#[derive(Clone, Copy)]
struct DatagramCut {
    from: usize,
    to: usize,
}

/// The links between two parties, in the direction from the first to the second.
fn links(fleet: &Fleet, from: Party, to: Party) -> Vec<LinkCut> {
    let world = &fleet.world;
    let inward = |link: &Arc<Link>, excluded| LinkCut {
        link: link.clone(),
        direction: Direction::Inward,
        excluded,
    };
    match (from, to) {
        (Party::Balancer(balancer), Party::Upstream(upstream)) => {
            let link = fleet.upstreams[upstream].links.get(&balancer);
            link.map(|link| inward(link, None)).into_iter().collect()
        }
        (Party::Balancer(balancer), Party::Clients(zone))
            if world.plan.balancers[balancer].owner.is_none() =>
        {
            let link = &world.client_links[balancer][zone];
            vec![inward(link, Some(balancer))]
        }
        (Party::Balancer(balancer), Party::Agent(agent)) if balancer == agent => {
            vec![inward(&fleet.agents[agent].link, None)]
        }
        (Party::Upstream(_) | Party::Clients(_) | Party::Agent(_), Party::Balancer(_)) => {
            let outward = |cut| LinkCut {
                direction: Direction::Outward,
                ..cut
            };
            links(fleet, to, from).into_iter().map(outward).collect()
        }
        _ => Vec::new(),
    }
}

/// Every ordered pair of parties whose traffic a fault stops.
fn pairs(fault: &PlannedFault) -> Vec<(Party, Party)> {
    let mut pairs = Vec::new();
    for &on in &fault.on {
        for &to in &fault.to {
            pairs.push((on, to));
            if !fault.one_way {
                pairs.push((to, on));
            }
        }
    }
    pairs
}

fn datagram_cut(&(from, to): &(Party, Party)) -> Option<DatagramCut> {
    match (from, to) {
        (Party::Balancer(from), Party::Balancer(to)) => Some(DatagramCut { from, to }),
        _ => None,
    }
}

impl Injector {
    pub(super) async fn partition(&self, fault: &PlannedFault) {
        let world = &self.fleet.world;
        let pairs = pairs(fault);
        let link_cuts: Vec<LinkCut> = pairs
            .iter()
            .flat_map(|&(from, to)| links(&self.fleet, from, to))
            .collect();
        let datagram_cuts: Vec<DatagramCut> = pairs.iter().filter_map(datagram_cut).collect();
        for &DatagramCut { from, to } in &datagram_cuts {
            world.datagrams.cut(from, to);
            lock(&world.oracle).set_partitioned(from, to, true, world.now());
        }
        for cut in &link_cuts {
            cut.link.cut(cut.direction);
            if let Some(balancer) = cut.excluded {
                lock(&world.oracle).exclude_interval(balancer, world.now(), fault.until + CATCH_UP);
            }
        }
        world.clock.until(fault.until).await;
        for cut in &link_cuts {
            cut.link.heal(cut.direction);
        }
        for &DatagramCut { from, to } in &datagram_cuts {
            world.datagrams.heal(from, to);
            lock(&world.oracle).set_partitioned(from, to, false, world.now());
        }
    }
}
