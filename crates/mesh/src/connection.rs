//! One connection: exchanges frames in both directions until it breaks.

use crate::{CONNECTION_IDLE_TIMEOUT, MAX_FIRST_FRAME_BYTES, MAX_FRAME_BYTES};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use socket2::SockRef;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest wait for a connection to be established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

pub(crate) type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Opens a TCP connection, from the address `source` if there is one.
pub async fn open_tcp(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = if source.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Opens a connection to `address`.
pub(crate) async fn connect(
    source: Option<IpAddr>,
    address: SocketAddr,
) -> io::Result<FrameStream> {
    let connecting = timeout(CONNECT_TIMEOUT, open_tcp(source, address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(frame_stream(stream))
}

/// Wraps an accepted or opened stream in the frame codec. Frames are small until
/// [`allow_large_frames`].
pub(crate) fn frame_stream(stream: TcpStream) -> FrameStream {
    let socket = SockRef::from(&stream);
    // Both options only reduce latency, so failures to set them are ignored.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(CONNECTION_IDLE_TIMEOUT));
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FIRST_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Allows frames of the full size, once the other end has said who it is.
pub(crate) fn allow_large_frames(stream: &mut FrameStream) {
    stream.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
}

/// Reads the next frame; fails if none arrives within [`CONNECTION_IDLE_TIMEOUT`].
pub(crate) async fn next_frame(stream: &mut FrameStream) -> io::Result<Bytes> {
    match timeout(CONNECTION_IDLE_TIMEOUT, stream.next()).await {
        Ok(Some(frame)) => Ok(frame?.freeze()),
        Ok(None) => Err(io::ErrorKind::ConnectionAborted.into()),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Sends and receives frames until the connection breaks or `outgoing` is closed.
pub(crate) async fn run(
    stream: FrameStream,
    outgoing: &mut mpsc::Receiver<Bytes>,
    mut on_frame: impl FnMut(Bytes),
) -> io::Result<()> {
    let (mut sink, mut source) = stream.split();
    let receive_frames = async {
        loop {
            match timeout(CONNECTION_IDLE_TIMEOUT, source.next()).await {
                Ok(Some(frame)) => on_frame(frame?.freeze()),
                Ok(None) => return Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    };
    let send_frames = async {
        while let Some(frame) = outgoing.recv().await {
            sink.feed(frame).await?;
            // All queued frames are sent in the same write.
            while let Ok(frame) = outgoing.try_recv() {
                sink.feed(frame).await?;
            }
            sink.flush().await?;
        }
        Ok(())
    };
    tokio::select! {
        result = receive_frames => result,
        result = send_frames => result,
    }
}
