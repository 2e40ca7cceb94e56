//! Passes bytes between a gateway that asked for a tunnel and a target.

use std::{
    io::{self, ErrorKind},
    net::Shutdown,
};

use socket2::SockRef;
use tokio::{io::Interest, net::TcpStream};

use crate::socket_options::close_regularly;

/// Size of the buffer of one direction.
const BUFFER_BYTES: usize = 8 * 1024;

/// Passes bytes on in both directions until one of the connections ends.
///
/// The connection to the asking gateway ends regularly only if that of the target did and all of its bytes were
/// passed on. An answer without a length would otherwise look complete that the target or this process has broken off.
/// `caller` must be set to be reset when it is closed, which the kernel does also if this process is killed.
///
/// A request that the asking gateway gives up ends at once with its connection, which that gateway resets, and what has not
/// been sent of it is discarded.
pub(crate) async fn relay(caller: &TcpStream, target: &TcpStream) {
    tokio::select! {
        biased;
        // Seen also while the target leaves no room for what the asking gateway has sent before, and before what has
        // arrived of it: on a VM that is short of processor time both may have come long ago.
        _reset = caller.ready(Interest::ERROR) => {}
        answers = pass(target, caller) => {
            if let Err(error) = answers.and_then(|()| end_regularly(caller)) {
                log::debug!(target: "listener", name = "tunnels", error:% = error; "a tunnel broke off");
            }
        }
        _requests = pass(caller, target) => {}
    }
}

/// Passes bytes on until the regular end of `from`.
async fn pass(from: &TcpStream, to: &TcpStream) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        from.readable().await?;
        match from.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(read) => write_all(to, &buffer[..read]).await?,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

async fn write_all(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Tells the asking gateway that the target has closed its connection regularly.
fn end_regularly(caller: &TcpStream) -> io::Result<()> {
    close_regularly(caller)?;
    SockRef::from(caller).shutdown(Shutdown::Write)
}
