//! One nng context with its asynchronous operations as futures.

use std::sync::mpsc as thread_channel;
use std::sync::OnceLock;

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
    results: mpsc::UnboundedReceiver<Finished>,
}

/// A finished operation with the callback's own reference to its `Aio`.
///
/// Dropping the last reference waits for the callback to return, so the callback must never drop
/// it itself: it hands it over here, or to the thread of [`drop_elsewhere`].
type Finished = (Aio, AioResult);

/// Drops a finished operation on a thread of its own, where waiting for the callback is safe.
fn drop_elsewhere(finished: Finished) {
    static DROPPER: OnceLock<thread_channel::Sender<Finished>> = OnceLock::new();
    let dropper = DROPPER.get_or_init(|| {
        let (sender, receiver) = thread_channel::channel::<Finished>();
        std::thread::spawn(move || receiver.into_iter().for_each(drop));
        sender
    });
    // The receiver lives as long as the process.
    let _ = dropper.send(finished);
}

impl Channel {
    /// Opens a context on `socket`.
    ///
    /// # Errors
    /// nng's own, such as a closed socket.
    pub fn open(socket: &Socket) -> Result<Self, nng::Error> {
        let (sender, results) = mpsc::unbounded_channel();
        let aio = Aio::new(move |aio, result| {
            if let Err(unsent) = sender.send((aio, result)) {
                drop_elsewhere(unsent.0);
            }
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
            Some((_, AioResult::Send(Ok(())))) => Ok(()),
            Some((_, AioResult::Send(Err((_, error))))) => Err(error),
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
            Some((_, AioResult::Recv(Ok(message)))) => Ok(message.as_slice().to_vec()),
            Some((_, AioResult::Recv(Err(error)))) => Err(error),
            _ => Err(nng::Error::Canceled),
        }
    }
}
