//! What other threads post to the loop: the one way in for every front. Whoever posts waits while the box is
//! full; the loop never waits.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

pub use calloop::channel::SyncSender as Post;

use super::net::SocketId;

/// Where the posted lies until the loop takes it, in its order.
pub struct Mail<T> {
    pub id: SocketId,
    pub(super) waiting: Rc<RefCell<VecDeque<T>>>,
}

impl<T> Mail<T> {
    pub fn take(&self) -> Option<T> {
        self.waiting.borrow_mut().pop_front()
    }
}
