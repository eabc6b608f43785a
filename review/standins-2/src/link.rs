//! The link between a machine's sidecar and the other machines of the system.
//!
//! While it is cut, bytes and ends of connections are held in both directions. When the cut is over,
//! they are delivered in the order in which they were sent.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

/// Bytes for one end of a connection, or its end if there are none.
type Packet = (TcpStream, Vec<u8>);

#[derive(Default)]
struct State {
    cut: bool,
    packets: VecDeque<Packet>,
}

#[derive(Clone, Default)]
pub struct Link(Arc<(Mutex<State>, Condvar)>);

impl Link {
    /// Forwards connections from `listen` to the sidecar at `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(listen)?;
        let link = Link::default();
        let delivering = link.clone();
        std::thread::spawn(move || delivering.deliver());
        let accepting = link.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // A connection that finds no sidecar is closed at once.
                accepting.connect(client, target).unwrap_or_default();
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, cut: bool) {
        self.0 .0.lock().unwrap().cut = cut;
        self.0 .1.notify_all();
    }

    fn connect(&self, client: TcpStream, target: SocketAddr) -> io::Result<()> {
        let server = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        self.read(client.try_clone()?, server.try_clone()?);
        self.read(server, client);
        Ok(())
    }

    fn read(&self, mut from: TcpStream, to: TcpStream) {
        let link = self.clone();
        std::thread::spawn(move || {
            let mut buffer = vec![0; 64 * 1024];
            loop {
                let count = from.read(&mut buffer).unwrap_or(0);
                let Ok(to) = to.try_clone() else { return };
                link.0 .0.lock().unwrap().packets.push_back((to, buffer[..count].to_vec()));
                link.0 .1.notify_all();
                if count == 0 {
                    return;
                }
            }
        });
    }

    fn deliver(&self) {
        loop {
            let mut state = self.0 .0.lock().unwrap();
            while state.cut || state.packets.is_empty() {
                state = self.0 .1.wait(state).unwrap();
            }
            let Some((mut to, bytes)) = state.packets.pop_front() else { continue };
            drop(state);
            let delivered = match bytes.is_empty() {
                true => to.shutdown(Shutdown::Write),
                false => to.write_all(&bytes),
            };
            // The receiver may have closed the connection.
            delivered.unwrap_or_default();
        }
    }
}
