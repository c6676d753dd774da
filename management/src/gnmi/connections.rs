//! Accepts connections up to a limit; connections beyond the limit are closed at once.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Delay before the next `accept` after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An accepted connection; it counts against the limit until it is dropped.
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
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for AdmittedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Accepts the connections of a listener; connections beyond the limit are closed at once. A connection counts against
/// the limit from its acceptance, before the TLS handshake.
pub(super) fn accept_connections(
    listener: TcpListener,
    limit: usize,
) -> ReceiverStream<std::io::Result<AdmittedConnection>> {
    let (sender, receiver) = mpsc::channel(1);
    let permits = Arc::new(Semaphore::new(limit));
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
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
