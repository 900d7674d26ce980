//! Wraps the asynchronous operations of an nng context in futures.

use std::sync::mpsc as thread_channel;
use std::sync::OnceLock;

use nng::Aio;
use nng::AioResult;
use nng::Context;
use nng::Message;
use nng::Socket;
use tokio::sync::mpsc;

/// An nng context that sends or receives one message at a time.
pub struct Channel {
    context: Context,
    aio: Aio,
    results: mpsc::UnboundedReceiver<Completion>,
}

/// A completed operation with the callback's own reference to its `Aio`.
///
/// Dropping the last reference to an `Aio` waits for its callback to return, so a callback that did
/// so would deadlock. It sends its reference to the channel's owner instead, or to the thread of
/// [`drop_on_thread`].
type Completion = (Aio, AioResult);

/// Drops a completed operation on a separate thread, which can safely wait for the callback.
fn drop_on_thread(completion: Completion) {
    static DROPPER: OnceLock<thread_channel::Sender<Completion>> = OnceLock::new();
    let dropper = DROPPER.get_or_init(|| {
        let (sender, receiver) = thread_channel::channel::<Completion>();
        std::thread::spawn(move || receiver.into_iter().for_each(drop));
        sender
    });
    // Sending cannot fail: the receiving thread runs until the process exits.
    let _ = dropper.send(completion);
}

impl Channel {
    /// Opens a context on `socket`.
    ///
    /// # Errors
    /// nng's error, such as a closed socket.
    pub fn open(socket: &Socket) -> Result<Self, nng::Error> {
        let (sender, results) = mpsc::unbounded_channel();
        let aio = Aio::new(move |aio, result| {
            if let Err(unsent) = sender.send((aio, result)) {
                drop_on_thread(unsent.0);
            }
        })?;
        Ok(Self { context: Context::new(socket)?, aio, results })
    }

    /// Sends one message.
    ///
    /// # Errors
    /// nng's error.
    pub async fn send(&mut self, body: &[u8]) -> Result<(), nng::Error> {
        let message = Message::from(body);
        self.context.send(&self.aio, message).map_err(|(_, error)| error)?;
        match self.results.recv().await {
            Some((_, AioResult::Send(Ok(())))) => Ok(()),
            Some((_, AioResult::Send(Err((_, error))))) => Err(error),
            _ => Err(nng::Error::Canceled),
        }
    }

    /// Waits for one message.
    ///
    /// # Errors
    /// nng's error.
    pub async fn receive(&mut self) -> Result<Vec<u8>, nng::Error> {
        self.context.recv(&self.aio)?;
        match self.results.recv().await {
            Some((_, AioResult::Recv(Ok(message)))) => Ok(message.as_slice().to_vec()),
            Some((_, AioResult::Recv(Err(error)))) => Err(error),
            _ => Err(nng::Error::Canceled),
        }
    }
}
