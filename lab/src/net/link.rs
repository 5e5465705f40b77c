//! Links between stand-ins and balancers, which can be cut and reset.
use super::lock::lock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Waker};
use tokio::sync::watch;

/// The link between one stand-in and one balancer.
pub struct Link {
    /// Cuts of what comes from the balancer, and of what goes to it.
    inward: AtomicU32,
    outward: AtomicU32,
    waiting: Mutex<Vec<Waker>>,
    /// Grows when all connections on this link are reset.
    pub(super) resets: watch::Sender<u64>,
    /// Wakes ports when anything changes.
    changed: watch::Sender<u64>,
}

/// A direction, as the lab sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the balancer to the stand-in.
    Inward,
    /// From the stand-in to the balancer.
    Outward,
}

impl Link {
    /// A link that is open.
    pub fn open() -> Arc<Link> {
        Arc::new(Link {
            inward: AtomicU32::new(0),
            outward: AtomicU32::new(0),
            waiting: Mutex::default(),
            resets: watch::channel(0).0,
            changed: watch::channel(0).0,
        })
    }

    fn cuts(&self, direction: Direction) -> &AtomicU32 {
        match direction {
            Direction::Inward => &self.inward,
            Direction::Outward => &self.outward,
        }
    }

    /// Cuts a direction. Cuts add up: each is healed by itself.
    pub fn cut(&self, direction: Direction) {
        self.cuts(direction).fetch_add(1, Ordering::SeqCst);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Takes one cut back.
    pub fn heal(&self, direction: Direction) {
        // A heal without its cut would open what another fault holds shut.
        let _ = self
            .cuts(direction)
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
        self.wake();
    }

    fn wake(&self) {
        let waiting = std::mem::take(&mut *lock(&self.waiting));
        waiting.into_iter().for_each(Waker::wake);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Resets all connections on it.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
        self.wake();
    }

    /// Whether a direction is cut.
    pub fn is_cut(&self, direction: Direction) -> bool {
        self.cuts(direction).load(Ordering::SeqCst) > 0
    }

    /// Whether nothing new comes up on it.
    pub fn is_unresponsive(&self) -> bool {
        self.is_cut(Direction::Inward) || self.is_cut(Direction::Outward)
    }

    /// Tells of resets from now on.
    pub fn resets(&self) -> watch::Receiver<u64> {
        self.resets.subscribe()
    }

    /// Tells of changes from now on.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub(super) fn blocked(&self, direction: Direction, cx: &mut Context<'_>) -> bool {
        if !self.is_cut(direction) {
            return false;
        }
        lock(&self.waiting).push(cx.waker().clone());
        // Healed in between: nobody would wake us.
        self.is_cut(direction)
    }
}
