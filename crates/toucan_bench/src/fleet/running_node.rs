//! Running node: in this process, or in a child process if it must be paused as a whole.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use serde_json::Value;
use toucan_node::{Node, NodeSettings};

/// Program that runs one node.
const NODE_PROGRAM: &str = "toucand";

/// Addresses of a node's interfaces.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// Running node.
pub(crate) enum RunningNode {
    /// In this process.
    InProcess(Node),
    /// In a child process, with its addresses.
    ChildProcess(Child, NodeAddresses),
}

impl RunningNode {
    /// Starts a node in this process.
    pub(crate) fn start_in_process(settings: &Value) -> io::Result<Self> {
        let settings = NodeSettings::parse(&settings.to_string())
            .map_err(|findings| io::Error::other(format!("{findings:?}")))?;
        let node = Node::start(settings).map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Self::InProcess(node))
    }

    /// Starts a node in a child process.
    pub(crate) fn start_child_process(name: &str, mut settings: Value) -> io::Result<Self> {
        let addresses = NodeAddresses {
            callers: free_address()?,
            operators: free_address()?,
            peers: free_address()?,
        };
        settings["listen"] = serde_json::json!({
            "callers": addresses.callers,
            "operators": addresses.operators,
            "peers": addresses.peers,
        });
        let file = format!("toucan-{}-{name}.jsonc", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, settings.to_string())?;
        let child = Command::new(node_program()?)
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self::ChildProcess(child, addresses))
    }

    pub(crate) fn addresses(&self) -> NodeAddresses {
        match self {
            Self::InProcess(node) => NodeAddresses {
                callers: node.callers_address(),
                operators: node.operators_address(),
                peers: node.peers_address(),
            },
            Self::ChildProcess(_, addresses) => *addresses,
        }
    }

    /// Pauses or resumes a child process; does nothing to a node in this process.
    pub(crate) fn set_paused(&self, paused: bool) {
        if let Self::ChildProcess(child, _) = self {
            signal(child, if paused { "-STOP" } else { "-CONT" });
        }
    }

    /// Stops the node as planned and waits for its end.
    pub(crate) fn stop(self) {
        match self {
            Self::InProcess(node) => {
                node.stop();
            }
            Self::ChildProcess(mut child, _) => {
                signal(&child, "-TERM");
                wait_for_exit(&mut child);
            }
        }
    }

    /// Kills the node as if its VM were destroyed.
    pub(crate) fn kill(self) {
        match self {
            Self::InProcess(node) => node.kill(),
            Self::ChildProcess(mut child, _) => {
                if let Err(error) = child.kill() {
                    log::error!("failed to kill a node: {error}");
                }
                wait_for_exit(&mut child);
            }
        }
    }
}

fn signal(child: &Child, signal: &str) {
    let sent = Command::new("kill")
        .arg(signal)
        .arg(child.id().to_string())
        .status();
    if !sent.is_ok_and(|status| status.success()) {
        log::error!("failed to send {signal} to process {}", child.id());
    }
}

fn wait_for_exit(child: &mut Child) {
    if let Err(error) = child.wait() {
        log::error!("failed to wait for a node to exit: {error}");
    }
}

/// Returns an address with a port that was free when this was called.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

/// Returns the path of the node program: in the directory of this program, or in its parent when
/// tests run.
fn node_program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let candidates = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|one| one.join(NODE_PROGRAM));
    let mut existing = candidates.filter(|path| path.is_file());
    existing.next().ok_or_else(|| {
        let message = format!("{NODE_PROGRAM} is not beside this program; build it first");
        io::Error::new(io::ErrorKind::NotFound, message)
    })
}
