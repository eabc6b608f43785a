//! Clients that hold memory or connections of a server: bodies that stop short of their end or go
//! on without end, heads that don't end, and connections that stay idle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Size of the writes of a body, in bytes.
const BLOCK: usize = 64 * 1024;
/// Length that a client announces and never sends, in bytes.
const FAR: u64 = 1 << 40;
/// Pause before a client whose connection was closed connects again.
const PAUSE: Duration = Duration::from_millis(50);

/// What a client sends on a connection before it falls silent.
#[derive(Debug, Clone)]
pub struct Form {
    /// Name of the form.
    pub name: &'static str,
    /// Pieces to write, one after the other.
    pieces: Vec<Bytes>,
    /// Whether the last piece is repeated without end.
    endless: bool,
}

/// Encodes a chunk.
fn chunk(size: usize) -> Vec<u8> {
    [format!("{size:x}\r\n").into_bytes(), vec![b'x'; size], b"\r\n".to_vec()].concat()
}

impl Form {
    fn new(name: &'static str, pieces: impl IntoIterator<Item = Vec<u8>>) -> Form {
        let pieces = pieces.into_iter().map(Bytes::from).collect();
        Form { name, pieces, endless: false }
    }

    fn endless(mut self) -> Form {
        self.endless = true;
        self
    }

    /// A body with a length of `size` bytes of which `sent` are sent, `piece` at a time. `head`
    /// begins the request, without the framing of its body.
    pub fn length(
        name: &'static str,
        head: &str,
        (size, sent): (u64, usize),
        piece: usize,
    ) -> Form {
        let head = format!("{head}content-length: {size}\r\n\r\n").into_bytes();
        let pieces = (0..sent).step_by(piece).map(|at| vec![b'x'; piece.min(sent - at)]);
        Form::new(name, std::iter::once(head).chain(pieces))
    }

    /// A chunked body with these sizes of chunks, without the last chunk unless it is `whole`.
    pub fn chunks(name: &'static str, head: &str, sizes: &[usize], whole: bool) -> Form {
        let mut body = Vec::new();
        sizes.iter().for_each(|size| body.extend(chunk(*size)));
        if whole {
            body.extend(b"0\r\n\r\n");
        }
        let head = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
        let blocks = body.chunks(BLOCK).map(<[u8]>::to_vec);
        Form::new(name, std::iter::once(head).chain(blocks))
    }

    /// Returns the forms whose body is within the limit of `limit` bytes and stops short of its end.
    pub fn unfinished(head: &str, limit: usize) -> Vec<Form> {
        let short = limit - 1;
        let large = [vec![1 << 20; short >> 20], vec![short % (1 << 20)]].concat();
        let mixed = [[13, 30_000].repeat(short / 30_013), vec![short % 30_013]].concat();
        vec![
            Form::length("one byte short", head, (limit as u64, short), BLOCK),
            Form::length("one byte short in pieces", head, (limit as u64, short), 1_000),
            Form::chunks("large chunks without the last", head, &large, false),
            Form::chunks("mixed chunks without the last", head, &mixed, false),
            Form::chunks("chunks of one byte", head, &vec![1; limit / 16], false),
        ]
    }

    /// Returns the forms whose body exceeds the limit of `limit` bytes.
    pub fn excessive(head: &str, limit: usize) -> Vec<Form> {
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
        let giant = format!("{head}transfer-encoding: chunked\r\n\r\n40000000\r\n").into_bytes();
        vec![
            Form::length("far too long", head, (FAR, 2 * limit), BLOCK),
            Form::new("chunks without end", [chunked, chunk(BLOCK)]).endless(),
            Form::new("one giant chunk", [giant, vec![b'x'; BLOCK]]).endless(),
        ]
    }

    /// A connection on which nothing is sent.
    pub fn idle() -> Form {
        Form::new("idle", [])
    }

    /// A head of `size` bytes that doesn't end.
    pub fn unfinished_head(size: usize) -> Form {
        let head = b"POST / HTTP/1.1\r\nx: ".to_vec();
        let rest = vec![b'a'; size.saturating_sub(head.len())];
        Form::new("unfinished head", [head, rest])
    }
}

/// Counts of what a crowd does, shared by its clients.
#[derive(Debug, Default)]
struct Counts {
    connected: AtomicU64,
    sent: AtomicU64,
}

/// Clients of one address that stay until this value is dropped.
#[derive(Debug)]
pub struct Crowd {
    counts: Arc<Counts>,
    clients: JoinSet<()>,
}

impl Crowd {
    /// Starts clients that send these forms in turn. A client whose connection is closed connects
    /// again if `returning`.
    pub fn start(address: SocketAddr, forms: &[Form], clients: usize, returning: bool) -> Crowd {
        let counts = Arc::<Counts>::default();
        let mut tasks = JoinSet::new();
        for form in forms.iter().cycle().take(clients) {
            let (form, counts) = (form.clone(), counts.clone());
            tasks.spawn(async move {
                loop {
                    // A connection that the peer closes or refuses is an expected end.
                    visit(address, &form, &counts).await.unwrap_or_default();
                    if !returning {
                        break;
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
        Crowd { counts, clients: tasks }
    }

    /// Returns the number of connections that were established.
    pub fn connected(&self) -> u64 {
        self.counts.connected.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that the operating system took.
    pub fn sent(&self) -> u64 {
        self.counts.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of clients that are not done.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }
}

/// Sends a form and keeps the connection until the peer closes it.
async fn visit(address: SocketAddr, form: &Form, counts: &Counts) -> std::io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    counts.connected.fetch_add(1, Ordering::Relaxed);
    let (mut reader, mut writer) = stream.into_split();
    let write = async {
        let repeated = form.pieces.last().filter(|_| form.endless);
        for piece in form.pieces.iter().chain(std::iter::repeat(repeated).map_while(|piece| piece))
        {
            let mut piece = piece.clone();
            while !piece.is_empty() {
                let written = writer.write(&piece).await?;
                counts.sent.fetch_add(written as u64, Ordering::Relaxed);
                let _ = piece.split_to(written);
            }
        }
        std::future::pending::<std::io::Result<()>>().await
    };
    let read = async {
        while reader.read(&mut [0; 1_024]).await? > 0 {}
        Ok(())
    };
    tokio::select! {
        ended = read => ended,
        // The peer may go on to send a response.
        Err(_) = write => Ok(()),
    }
}
