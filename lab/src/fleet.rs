//! The participants of one run: the upstreams, the balancers and their discovery agents.
use crate::agent::Agent;
use crate::clock::Clock;
use crate::draw::Plan;
use crate::error::BindError;
use crate::experiment::Experiment;
use crate::process::{LaunchSpec, Process};
use crate::upstream::Upstream;
use crate::world::{World, WorldError};
use std::path::Path;
use std::sync::Arc;

/// A whole fleet.
pub struct Fleet {
    /// The shared state of the run.
    pub world: Arc<World>,
    /// All upstreams, in the order of the plan.
    pub upstreams: Vec<Arc<Upstream>>,
    /// All balancers, in the order of the plan.
    pub balancers: Vec<Arc<Process>>,
    /// The discovery agent of each balancer.
    pub agents: Vec<Arc<Agent>>,
}

impl Fleet {
    /// Sets up a fleet without starting it. `builds` are the launch specifications, run in `root`: the program under
    /// test, then each build of the experiment.
    ///
    /// # Errors
    /// Fails if no block of addresses can be claimed or a socket can't be opened.
    pub fn new(
        experiment: &Experiment,
        plan: &Plan,
        builds: &[LaunchSpec],
        root: &Path,
        folder: &Path,
    ) -> Result<Arc<Fleet>, WorldError> {
        let world = World::new(experiment, plan, Clock::new(), folder)?;
        let agents: Vec<Arc<Agent>> = (0..plan.balancers.len())
            .map(|b| Arc::new(Agent::new(b, plan)))
            .collect();
        let process = |(b, agent)| Arc::new(Process::new(b, &world, agent, builds, root));
        Ok(Arc::new(Fleet {
            upstreams: (0..plan.upstreams.len())
                .map(|u| Arc::new(Upstream::new(u, experiment, plan)))
                .collect(),
            balancers: agents.iter().enumerate().map(process).collect(),
            agents,
            world: world.clone(),
        }))
    }

    /// Starts the upstreams, the agents and the network between balancers; the balancers are started separately.
    ///
    /// # Errors
    /// Fails if an address can't be bound.
    pub fn listen(&self) -> Result<(), BindError> {
        for agent in &self.agents {
            agent.start(&self.world)?;
        }
        for upstream in &self.upstreams {
            upstream.start(&self.world)?;
        }
        let world = self.world.clone();
        self.world
            .datagrams
            .start(&self.world.over, move |from, bytes| {
                world.datagram(from, bytes)
            });
        Ok(())
    }
}
