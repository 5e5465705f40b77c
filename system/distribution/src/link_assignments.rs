//! Assignment of coordinators to the links of an agent.

/// The coordinator assigned to each link of an agent.
pub struct LinkAssignments(Vec<Option<u32>>);

impl LinkAssignments {
    /// The assignments of a number of links, initially without coordinators.
    pub fn new(links: usize) -> LinkAssignments {
        LinkAssignments(vec![None; links])
    }

    /// Assigns to a link the first candidate, searching circularly from a position, that no other link polls, so that
    /// the failure of one coordinator does not delay all links. If every candidate is polled, the first one is shared.
    /// Returns `None` if there are no candidates.
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
