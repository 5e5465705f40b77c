//! What is known of a request that has no final answer yet.
use crate::interface::Millis;

/// A request that has no final answer yet.
pub(crate) struct Pending {
    /// Positions in the settings.
    pub class: usize,
    pub tenant: usize,
    /// When an answer stops being worth anything: no attempt runs longer.
    pub ends: Millis,
    pub sends: u32,
    /// The attempt that is out: its number, upstream, when it was sent and how rested its connection was.
    pub out: Option<(u32, usize, Millis, usize)>,
    /// The first attempt that may have run: its number, when it was sent, its zone and group.
    pub ran: Option<(u32, Millis, u16, u16)>,
    pub last: Option<usize>,
    pub over: bool,
}
