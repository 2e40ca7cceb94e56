//! Finds out whether a target has closed a connection because its answer was complete.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::config::TargetEntry;

use super::{
    ConnectionPath, ConnectionPool, TargetConnection,
    tunnel_client::{TunnelAnswer, TunnelConnector},
};

/// Time for which a new connection has to stay open. A process that ends closes its connections one after the other, and
/// its listener may be the last.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Number of connections that are tried. A sound target may close one that it has no room for.
const MAX_CONNECTIONS: u32 = 3;

/// Returns whether a target is shown to have outlived an answer that ended with its connection.
///
/// The kernel closes the connections of a process that exits or is killed as regularly as the process itself does, but
/// then nobody accepts another one. The same holds for the gateway through which a connection went. If nothing can be
/// found out, the answer counts as broken off: a caller can make up for that, and cannot for an answer that lacks its end
/// unnoticed.
pub(crate) async fn has_outlived_answer(
    target: &TargetEntry,
    path: &ConnectionPath,
    pool: &Rc<ConnectionPool>,
    tunnels: &impl TunnelConnector,
    now_ms: u64,
) -> bool {
    let is_alive = is_alive(target, path, pool, tunnels, now_ms).await;
    let result = if is_alive { "whole" } else { "broken_off" };
    metrics::counter!("toucan_answers_ended_by_connection_total", "result" => result).increment(1);
    if !is_alive {
        log::warn!(target: "pool", name = target.name.as_str(), path:? = path; "an answer without a length has ended, and its target is not shown to live; it counts as broken off");
    }
    is_alive
}

async fn is_alive(
    target: &TargetEntry,
    path: &ConnectionPath,
    pool: &Rc<ConnectionPool>,
    tunnels: &impl TunnelConnector,
    now_ms: u64,
) -> bool {
    if let ConnectionPath::Tunnel(holder) = path {
        match tunnels.ask_again(holder, target).await {
            TunnelAnswer::Connected(tunnel) => {
                let connection = pool.connection_of(target, tunnel).await;
                if let Some(connection) = connection
                    && stays_open(connection, target, pool, now_ms).await
                {
                    return true;
                }
            }
            TunnelAnswer::TargetReachable => return true,
            // The other gateway lives, so it has passed on what the target did.
            TunnelAnswer::NotTried => {}
            TunnelAnswer::TargetUnreachable | TunnelAnswer::NoAnswer => return false,
        }
    }
    for _connection in 0..MAX_CONNECTIONS {
        let Ok(connection) = pool.connect_by_any_way(target, tunnels).await else {
            return false;
        };
        if stays_open(connection, target, pool, now_ms).await {
            return true;
        }
    }
    false
}

/// Returns whether a new connection stays open, which is then kept for a later call.
async fn stays_open(
    connection: TargetConnection,
    target: &TargetEntry,
    pool: &ConnectionPool,
    now_ms: u64,
) -> bool {
    sleep(SETTLE_TIME).await;
    let is_open = !connection.sender.is_closed();
    pool.check_in(&target.name, connection, None, now_ms);
    is_open
}
