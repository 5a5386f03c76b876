//! Connections to a port that has few peers, of which only the most recent ones stay open: no peer can keep others from
//! being answered by leaving connections open.

use std::collections::VecDeque;

use tokio::task::AbortHandle;

/// Connections in the order in which they were opened.
pub(crate) struct RecentConnections {
    max: usize,
    tasks: VecDeque<AbortHandle>,
}

impl RecentConnections {
    /// Keeps up to `max` connections.
    pub(crate) fn new(max: usize) -> RecentConnections {
        RecentConnections {
            max,
            tasks: VecDeque::new(),
        }
    }

    /// Serves a connection, and closes the oldest one if too many are open.
    pub(crate) fn serve<F>(&mut self, connection: F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.tasks.retain(|t| !t.is_finished());
        if self.tasks.len() >= self.max
            && let Some(oldest) = self.tasks.pop_front()
        {
            oldest.abort();
        }
        let task = tokio::task::spawn_local(connection);
        self.tasks.push_back(task.abort_handle());
    }
}
