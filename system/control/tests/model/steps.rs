//! The steps of the model, and the properties that must hold after each.
use crate::world::{World, MAX_PENDING_READS};
use magpiegap_control::Replica;
use stateright::{Model, Property};

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Tick,
    /// Deliver all messages in order, and sync all disks.
    DeliverAll,
    Deliver {
        from: usize,
        to: usize,
    },
    Drop {
        from: usize,
        to: usize,
    },
    Sync(usize),
    Write,
    Read(usize),
    Kill(usize),
    LosePower(usize),
    Wipe(usize),
    /// Cut the power of a machine and restore its disk from a copy.
    Restore(usize),
    Start(usize),
    Partition(usize),
    Reconnect(usize),
    Freeze(usize),
    Unfreeze(usize),
}

/// The model to explore.
pub(crate) struct ControlModel {
    pub tolerance: usize,
    /// The initial states.
    pub worlds: Vec<World>,
}

impl ControlModel {
    /// The fault steps of a machine, and their repairs, that the budget allows.
    fn faults(world: &World, machine: usize) -> Vec<Step> {
        let budget = world.budget;
        let state = &world.machines[machine];
        let restores = budget.restores * u8::from(state.copy.is_some());
        if state.process.is_none() {
            let restore = (restores > 0).then_some(Step::Restore(machine));
            return restore.into_iter().chain([Step::Start(machine)]).collect();
        }
        let possible = [
            (budget.kills, Step::Kill(machine)),
            (budget.power_losses, Step::LosePower(machine)),
            (budget.wipes, Step::Wipe(machine)),
            (restores, Step::Restore(machine)),
            (
                budget.partitions * u8::from(!state.is_partitioned),
                Step::Partition(machine),
            ),
            (u8::from(state.is_partitioned), Step::Reconnect(machine)),
            (
                budget.freezes * u8::from(!state.is_frozen),
                Step::Freeze(machine),
            ),
            (u8::from(state.is_frozen), Step::Unfreeze(machine)),
        ];
        possible
            .into_iter()
            .filter(|(remaining, _)| *remaining > 0)
            .map(|(_, step)| step)
            .collect()
    }
}

impl Model for ControlModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        self.worlds.clone()
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for (from, to) in world.links.keys().copied() {
            if world.is_responsive(to) {
                steps.push(Step::Deliver { from, to });
            }
            if world.budget.lost_messages > 0 {
                steps.push(Step::Drop { from, to });
            }
        }
        for machine in 0..world.machines.len() {
            if world.is_responsive(machine) && !world.machines[machine].pending.is_empty() {
                steps.push(Step::Sync(machine));
            }
            steps.extend(ControlModel::faults(world, machine));
            let is_tail = world.is_responsive(machine)
                && world.replica(machine).is_some_and(Replica::is_tail);
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
        let has_pending_sync =
            |machine| world.is_responsive(machine) && !world.machines[machine].pending.is_empty();
        if !world.links.is_empty() || (0..world.machines.len()).any(has_pending_sync) {
            steps.push(Step::DeliverAll);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Tick => {
                world.budget.ticks -= 1;
                world.tick();
            }
            Step::DeliverAll => world.deliver_all(),
            Step::Deliver { from, to } => world.deliver(from, to),
            Step::Drop { from, to } => {
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
                world.apply_changes(machine, pending);
                world.stop_process(machine);
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
            Step::Unfreeze(machine) => world.machines[machine].is_frozen = false,
        }
        world.serve_reads();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "acknowledged entries are never replaced, and are visible to reads",
                |_, world: &World| world.violation.is_none(),
            ),
            Property::always(
                "acknowledged entries are durable on more disks than may be lost",
                |model: &ControlModel, world: &World| {
                    let initial = model.worlds[0].budget;
                    let lost = initial.wipes - world.budget.wipes + initial.restores
                        - world.budget.restores;
                    let min_copies = (model.tolerance + 1).saturating_sub(usize::from(lost));
                    world.history.iter().all(|(index, proposal)| {
                        world.durable_copies(*index, *proposal) >= min_copies
                    })
                },
            ),
        ]
    }
}
