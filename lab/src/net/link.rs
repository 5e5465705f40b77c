//! Links between stand-ins and balancers, which can be cut and reset.
use super::lock::lock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Waker};
use tokio::sync::watch;

/// The link between one stand-in and one balancer.
pub struct Link {
    /// Active cuts of the direction from the balancer.
    inward: AtomicU32,
    /// Active cuts of the direction to the balancer.
    outward: AtomicU32,
    /// Tasks that wait for a direction to be healed or for a reset.
    waiting: Mutex<Vec<Waker>>,
    /// Incremented when all connections on this link are reset.
    pub(super) resets: watch::Sender<u64>,
    /// Incremented on every cut, heal and reset.
    changed: watch::Sender<u64>,
}

/// A direction of a link, from the perspective of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the balancer to the stand-in.
    Inward,
    /// From the stand-in to the balancer.
    Outward,
}

impl Link {
    /// Returns a link without cuts.
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

    /// Cuts a direction. Cuts are counted: the direction is open again once each is healed.
    pub fn cut(&self, direction: Direction) {
        self.cuts(direction).fetch_add(1, Ordering::SeqCst);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Heals one cut of a direction.
    pub fn heal(&self, direction: Direction) {
        // Each heal must match a cut: an extra one would undo the cut of another fault. At zero it has no effect.
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

    /// Resets all connections on the link.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
        self.wake();
    }

    /// Whether a direction is cut.
    pub fn is_cut(&self, direction: Direction) -> bool {
        self.cuts(direction).load(Ordering::SeqCst) > 0
    }

    /// Whether new connections hang: a direction is cut.
    pub fn is_unresponsive(&self) -> bool {
        self.is_cut(Direction::Inward) || self.is_cut(Direction::Outward)
    }

    /// Subscribes to resets.
    pub fn resets(&self) -> watch::Receiver<u64> {
        self.resets.subscribe()
    }

    /// Subscribes to cuts, heals and resets.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether a direction is cut; if so, the task is woken by the next heal or reset.
    pub(super) fn blocked(&self, direction: Direction, cx: &mut Context<'_>) -> bool {
        if !self.is_cut(direction) {
            return false;
        }
        lock(&self.waiting).push(cx.waker().clone());
        // Check again: a heal between the check and the push would not wake this task.
        self.is_cut(direction)
    }
}
