//! End of a caller's connection whose call has ended while the caller does not read.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Time after the deadline of a call at which its connection is closed, unless the call has ended it.
const CLOSE_MARGIN: Duration = Duration::from_millis(100);

/// Handle with which a call ends its caller's connection.
///
/// While a caller reads nothing, hyper does not ask for more of the answer and so does not see its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerConnection {
    ends_at: watch::Sender<Option<Instant>>,
}

impl CallerConnection {
    /// Closes the connection if the answer has not been taken by the deadline.
    pub(crate) fn limit(&self, deadline: Instant) -> ConnectionLimit {
        self.ends_at.send_replace(Some(deadline + CLOSE_MARGIN));
        ConnectionLimit {
            connection: self.clone(),
        }
    }

    /// Closes the connection.
    pub(crate) fn end(&self) {
        self.ends_at.send_replace(Some(Instant::now()));
    }

    /// Completes when the connection is to be closed.
    pub(crate) async fn ended(&self) {
        let mut changes = self.ends_at.subscribe();
        loop {
            let ends_at = *changes.borrow_and_update();
            let ended = async {
                match ends_at {
                    Some(ends_at) => sleep_until(ends_at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = ended => return,
                _changed = changes.changed() => {}
            }
        }
    }
}

/// Limit of the time for an answer; dropped when the answer has been taken.
#[derive(Debug)]
pub(crate) struct ConnectionLimit {
    connection: CallerConnection,
}

impl Drop for ConnectionLimit {
    fn drop(&mut self) {
        let now = Instant::now();
        // A connection that is to be closed now stays so.
        self.connection.ends_at.send_if_modified(|ends_at| {
            let is_limited = ends_at.is_some_and(|ends_at| ends_at > now);
            if is_limited {
                *ends_at = None;
            }
            is_limited
        });
    }
}
