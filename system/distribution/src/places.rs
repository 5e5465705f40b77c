//! Which coordinator each link of an agent asks.

/// The coordinators that the links of one agent are at.
pub struct Places(Vec<Option<u32>>);

impl Places {
    /// Places for so many links.
    pub fn new(links: usize) -> Places {
        Places(vec![None; links])
    }

    /// Takes a place for a link: the first candidate from its turn on where no other link is, so that the loss of one
    /// coordinator never holds up all links.
    pub fn take(&mut self, link: usize, candidates: &[u32], turn: usize) -> Option<u32> {
        let first = turn.checked_rem(candidates.len())?;
        let in_turn = || {
            candidates[first..]
                .iter()
                .chain(&candidates[..first])
                .copied()
        };
        let chosen = in_turn()
            .find(|address| !self.is_taken(link, *address))
            .or_else(|| in_turn().next());
        if let Some(place) = self.0.get_mut(link) {
            *place = chosen;
        }
        chosen
    }

    /// Whether another link is at this coordinator.
    fn is_taken(&self, link: usize, address: u32) -> bool {
        self.0
            .iter()
            .enumerate()
            .any(|(other, place)| other != link && *place == Some(address))
    }
}
