//! Accepts connections up to a limit; those beyond it are closed at once.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll as Ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// A connection that has its place among those that may be open.
pub(super) struct AdmittedConnection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl Connected for AdmittedConnection {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for AdmittedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Ready<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for AdmittedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Ready<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Ready<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Ready<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Connections that come, those beyond so many closed at once: half a handshake holds a place, not the service.
pub(super) fn accept_connections(
    listener: TcpListener,
    limit: usize,
) -> ReceiverStream<std::io::Result<AdmittedConnection>> {
    let (sender, receiver) = mpsc::channel(1);
    let room = Arc::new(Semaphore::new(limit));
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            let Ok(permit) = room.clone().try_acquire_owned() else {
                continue;
            };
            if sender
                .send(Ok(AdmittedConnection {
                    stream,
                    _permit: permit,
                }))
                .await
                .is_err()
            {
                return;
            }
        }
    });
    ReceiverStream::new(receiver)
}
