//! The bounded message queue by which other threads reach the event loop.
//!
//! A sender waits while the queue is full; the event loop never waits.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

pub use calloop::channel::SyncSender as InboxSender;

use super::socket_id::SocketId;

/// Received messages that the event loop has not handled yet, in the order of their arrival.
pub struct Inbox<T> {
    /// What the event loop reports as ready once a message waits.
    pub id: SocketId,
    pub(super) waiting: Rc<RefCell<VecDeque<T>>>,
}

impl<T> Inbox<T> {
    /// Removes the oldest message.
    pub fn pop(&self) -> Option<T> {
        self.waiting.borrow_mut().pop_front()
    }
}
