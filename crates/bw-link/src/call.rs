//! One nng context with its asynchronous operations as futures.

use nng::Aio;
use nng::AioResult;
use nng::Context;
use nng::Message;
use nng::Socket;
use tokio::sync::mpsc;

/// A context that sends and receives one message at a time.
pub struct Channel {
    context: Context,
    aio: Aio,
    results: mpsc::UnboundedReceiver<AioResult>,
}

impl Channel {
    /// Opens a context on `socket`.
    ///
    /// # Errors
    /// nng's own, such as a closed socket.
    pub fn open(socket: &Socket) -> Result<Self, nng::Error> {
        let (sender, results) = mpsc::unbounded_channel();
        let aio = Aio::new(move |_, result| {
            // The receiver is gone only when the channel itself is dropped.
            let _ = sender.send(result);
        })?;
        Ok(Self { context: Context::new(socket)?, aio, results })
    }

    /// Sends one message.
    ///
    /// # Errors
    /// nng's own.
    pub async fn send(&mut self, body: &[u8]) -> Result<(), nng::Error> {
        let message = Message::from(body);
        self.context.send(&self.aio, message).map_err(|(_, error)| error)?;
        match self.results.recv().await {
            Some(AioResult::Send(Ok(()))) => Ok(()),
            Some(AioResult::Send(Err((_, error)))) => Err(error),
            _ => Err(nng::Error::Canceled),
        }
    }

    /// Receives one message.
    ///
    /// # Errors
    /// nng's own.
    pub async fn receive(&mut self) -> Result<Vec<u8>, nng::Error> {
        self.context.recv(&self.aio)?;
        match self.results.recv().await {
            Some(AioResult::Recv(Ok(message))) => Ok(message.as_slice().to_vec()),
            Some(AioResult::Recv(Err(error))) => Err(error),
            _ => Err(nng::Error::Canceled),
        }
    }
}
