//! The bounded queue of messages from other threads to the event loop.
//!
//! A sender blocks while the queue is full; the event loop never blocks on it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

pub use calloop::channel::SyncSender as InboxSender;

use super::socket_id::SocketId;

/// The received messages that have not been handled yet, oldest first.
pub struct Inbox<T> {
    /// The identifier that the event loop reports when a message is available.
    pub id: SocketId,
    pub(super) pending: Rc<RefCell<VecDeque<T>>>,
}

impl<T> Inbox<T> {
    /// Removes and returns the oldest message.
    pub fn pop(&self) -> Option<T> {
        self.pending.borrow_mut().pop_front()
    }
}
