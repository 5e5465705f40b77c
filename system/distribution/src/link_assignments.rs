//! Which coordinator each link of an agent polls.

/// The coordinators that the links of one agent poll.
pub struct LinkAssignments(Vec<Option<u32>>);

impl LinkAssignments {
    /// Links of this number, none of them assigned.
    pub fn new(links: usize) -> LinkAssignments {
        LinkAssignments(vec![None; links])
    }

    /// Assigns a coordinator to a link: the first candidate, from a position on and around, that no other link polls, so
    /// that the loss of one coordinator never delays all links. Where there are too few, the first one is shared. `None`
    /// without candidates.
    pub fn assign(
        &mut self,
        link: usize,
        candidates: &[u32],
        first_position: usize,
    ) -> Option<u32> {
        let start = first_position.checked_rem(candidates.len())?;
        let (before_start, from_start) = candidates.split_at(start);
        let in_order = || from_start.iter().chain(before_start).copied();
        let chosen = in_order()
            .find(|coordinator| !self.is_polled_by_other(link, *coordinator))
            .or_else(|| in_order().next());
        if let Some(assignment) = self.0.get_mut(link) {
            *assignment = chosen;
        }
        chosen
    }

    fn is_polled_by_other(&self, link: usize, coordinator: u32) -> bool {
        self.0
            .iter()
            .enumerate()
            .any(|(other, assignment)| other != link && *assignment == Some(coordinator))
    }
}
