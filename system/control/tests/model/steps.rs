//! The steps that the checker takes, and what must hold after each.
use crate::world::{World, MAX_PENDING_READS};
use magpiegap_control::Replica;
use stateright::{Model, Property};

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Tick,
    /// All messages arrive in order, and all disks confirm.
    Run,
    Deliver {
        from: usize,
        to: usize,
    },
    Lose {
        from: usize,
        to: usize,
    },
    Sync(usize),
    Write,
    Read(usize),
    Kill(usize),
    LosePower(usize),
    Wipe(usize),
    /// A machine loses power, and its disk is put back from a copy.
    Restore(usize),
    Start(usize),
    Partition(usize),
    Reconnect(usize),
    Freeze(usize),
    Thaw(usize),
}

/// What is explored, from worlds that the replicas have come to by themselves.
pub(crate) struct Core {
    pub tolerance: usize,
    pub worlds: Vec<World>,
}

impl Core {
    /// Steps that the budget leaves.
    fn faults(world: &World, machine: usize) -> Vec<Step> {
        let budget = world.budget;
        let known = &world.machines[machine];
        let can_restore = budget.restores * u8::from(known.copy.is_some());
        if known.process.is_none() {
            let restore = (can_restore > 0).then_some(Step::Restore(machine));
            return restore.into_iter().chain([Step::Start(machine)]).collect();
        }
        let possible = [
            (budget.kills, Step::Kill(machine)),
            (budget.power_losses, Step::LosePower(machine)),
            (budget.wipes, Step::Wipe(machine)),
            (can_restore, Step::Restore(machine)),
            (
                budget.partitions * u8::from(!known.is_partitioned),
                Step::Partition(machine),
            ),
            (u8::from(known.is_partitioned), Step::Reconnect(machine)),
            (
                budget.freezes * u8::from(!known.is_frozen),
                Step::Freeze(machine),
            ),
            (u8::from(known.is_frozen), Step::Thaw(machine)),
        ];
        possible
            .into_iter()
            .filter(|(left, _)| *left > 0)
            .map(|(_, step)| step)
            .collect()
    }
}

impl Model for Core {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        self.worlds.clone()
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for (from, to) in world.links.keys().copied() {
            if world.is_awake(to) {
                steps.push(Step::Deliver { from, to });
            }
            if world.budget.lost_messages > 0 {
                steps.push(Step::Lose { from, to });
            }
        }
        for machine in 0..world.machines.len() {
            if world.is_awake(machine) && !world.machines[machine].pending.is_empty() {
                steps.push(Step::Sync(machine));
            }
            steps.extend(Core::faults(world, machine));
            let is_tail =
                world.is_awake(machine) && world.replica(machine).is_some_and(Replica::is_tail);
            if is_tail && world.budget.reads > 0 && world.reads.len() < MAX_PENDING_READS {
                steps.push(Step::Read(machine));
            }
        }
        if world.budget.ticks > 0 {
            steps.push(Step::Tick);
        }
        if world.budget.writes > 0 {
            steps.push(Step::Write);
        }
        let is_busy =
            |machine| world.is_awake(machine) && !world.machines[machine].pending.is_empty();
        if !world.links.is_empty() || (0..world.machines.len()).any(is_busy) {
            steps.push(Step::Run);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Tick => {
                world.budget.ticks -= 1;
                world.tick();
            }
            Step::Run => world.run_links(),
            Step::Deliver { from, to } => world.deliver(from, to),
            Step::Lose { from, to } => {
                world.budget.lost_messages -= 1;
                world.links.get_mut(&(from, to))?.pop_front();
                world.links.retain(|_, queue| !queue.is_empty());
            }
            Step::Sync(machine) => world.sync(machine),
            Step::Write => {
                world.budget.writes -= 1;
                world.write();
            }
            Step::Read(machine) => {
                world.budget.reads -= 1;
                world.start_read(machine);
            }
            Step::Kill(machine) => {
                world.budget.kills -= 1;
                let pending = std::mem::take(&mut world.machines[machine].pending);
                world.write_through(machine, pending);
                world.end(machine);
            }
            Step::LosePower(machine) => {
                world.budget.power_losses -= 1;
                world.lose_power(machine);
            }
            Step::Wipe(machine) => {
                world.budget.wipes -= 1;
                world.wipe(machine);
            }
            Step::Restore(machine) => {
                world.budget.restores -= 1;
                world.restore(machine);
            }
            Step::Start(machine) => world.start(machine, self.tolerance),
            Step::Partition(machine) => {
                world.budget.partitions -= 1;
                world.machines[machine].is_partitioned = true;
            }
            Step::Reconnect(machine) => world.machines[machine].is_partitioned = false,
            Step::Freeze(machine) => {
                world.budget.freezes -= 1;
                world.machines[machine].is_frozen = true;
            }
            Step::Thaw(machine) => world.machines[machine].is_frozen = false,
        }
        world.serve_reads();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nothing acknowledged is replaced or hidden from a read",
                |_, world: &World| world.violation.is_none(),
            ),
            Property::always(
                "what is acknowledged is on as many disks as no loss takes",
                |core: &Core, world: &World| {
                    let had = core.worlds[0].budget;
                    let lost =
                        had.wipes - world.budget.wipes + had.restores - world.budget.restores;
                    let min_replicas = (core.tolerance + 1).saturating_sub(usize::from(lost));
                    world.history.iter().all(|(index, proposal)| {
                        world.replicas_with(*index, *proposal) >= min_replicas
                    })
                },
            ),
        ]
    }
}
