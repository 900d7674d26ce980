//! Starts services in order and stops them in reverse order.

use std::future::Future;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::error::KernelError;
use crate::registry::Registry;

/// Shutdown signal of one service.
#[derive(Clone, Debug)]
pub struct Stop {
    signal: watch::Receiver<bool>,
}

impl Stop {
    /// Waits until the service has to stop.
    pub async fn wait(&mut self) {
        // An error means that the sender was dropped with the kernel, which also requests a stop.
        let _ = self.signal.wait_for(|stop| *stop).await;
    }

    /// Returns whether the service has to stop.
    pub fn is_set(&self) -> bool {
        *self.signal.borrow()
    }

    /// Returns a stop signal and its sender, for tests and embedders.
    ///
    /// Sending `true` triggers the signal.
    pub fn pair() -> (watch::Sender<bool>, Stop) {
        let (sender, signal) = watch::channel(false);
        (sender, Stop { signal })
    }
}

/// A running service with its stop sender and its task.
struct Running {
    name: String,
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<(), String>>,
}

/// The services of one process.
pub struct Kernel {
    /// Service handles, looked up by name and type.
    pub registry: Registry,
    running: Vec<Running>,
    signals: Option<Signals>,
    /// Number of requests so far to reload the settings.
    reload: watch::Sender<u64>,
    /// Receives the name of each service that has ended.
    end_receiver: mpsc::UnboundedReceiver<String>,
    end_sender: mpsc::UnboundedSender<String>,
}

impl Default for Kernel {
    fn default() -> Self {
        let (end_sender, end_receiver) = mpsc::unbounded_channel();
        let reload = watch::Sender::new(0);
        Self {
            registry: Registry::default(),
            running: Vec::new(),
            signals: None,
            reload,
            end_receiver,
            end_sender,
        }
    }
}

/// The operating system signals that a process handles.
struct Signals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> Result<Self, KernelError> {
        let install = |kind| signal(kind).map_err(KernelError::Signal);
        Ok(Self {
            term: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }
}

/// Notifies the kernel on drop that a service has ended, also when it panicked.
struct EndNotice {
    name: String,
    sender: mpsc::UnboundedSender<String>,
}

impl Drop for EndNotice {
    fn drop(&mut self) {
        // Sending fails only after the kernel was dropped, when no notice is needed.
        let _ = self.sender.send(std::mem::take(&mut self.name));
    }
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a kernel that handles signals from now on.
    ///
    /// Signals that arrive while services are still being started are handled by [`Kernel::run`].
    ///
    /// # Errors
    /// [`KernelError::Signal`] when a signal handler cannot be installed.
    pub fn with_signals() -> Result<Self, KernelError> {
        Ok(Self { signals: Some(Signals::install()?), ..Self::default() })
    }

    /// Starts a service. Services stop in the reverse order of their start.
    pub fn start<S, F, E>(&mut self, name: &str, service: S)
    where
        S: FnOnce(Stop) -> F,
        F: Future<Output = Result<(), E>> + Send + 'static,
        E: std::fmt::Display,
    {
        let (stop, signal) = Stop::pair();
        let future = service(signal);
        let notice = EndNotice { name: name.to_string(), sender: self.end_sender.clone() };
        let task = tokio::spawn(async move {
            let _notice = notice;
            future.await.map_err(|error| error.to_string())
        });
        info!("event=service_started service={name}");
        self.running.push(Running { name: name.to_string(), stop, task });
    }

    /// Runs until SIGTERM, SIGINT or the end of a service, then stops all in reverse order.
    ///
    /// All services together get at most `grace` to finish work in flight.
    ///
    /// # Errors
    /// The first service error, or [`KernelError::Signal`].
    pub async fn run(mut self, grace: Duration) -> Result<(), KernelError> {
        let failure = self.wait_for_end().await?;
        self.stop(grace, failure).await
    }

    /// Stops all services in reverse order, as after SIGTERM.
    ///
    /// # Errors
    /// `failure`, or else the first service error.
    pub async fn stop(
        mut self,
        grace: Duration,
        failure: Option<KernelError>,
    ) -> Result<(), KernelError> {
        let mut first = failure;
        let deadline = Instant::now() + grace;
        while let Some(service) = self.running.pop() {
            if let Some(error) = stop_service(service, deadline).await {
                first.get_or_insert(error);
            }
        }
        info!("event=stopped failed={}", first.is_some());
        first.map_or(Ok(()), Err)
    }

    /// Waits for a stop signal or the end of a service; returns the error of the service, if any.
    async fn wait_for_end(&mut self) -> Result<Option<KernelError>, KernelError> {
        let mut signals = match self.signals.take() {
            Some(signals) => signals,
            None => Signals::install()?,
        };
        loop {
            tokio::select! {
                _ = signals.term.recv() => break,
                _ = signals.interrupt.recv() => break,
                _ = signals.hangup.recv() => {
                    info!("event=reload reason=signal");
                    self.reload.send_modify(|count| *count += 1);
                }
                Some(name) = self.end_receiver.recv() => {
                    let index = self.running.iter().position(|service| service.name == name);
                    if let Some(index) = index {
                        return Ok(join_service(self.running.remove(index)).await);
                    }
                }
            }
        }
        info!("event=stopping reason=signal");
        Ok(None)
    }

    /// Returns a receiver that changes at each request to reload the settings (SIGHUP).
    pub fn reloads(&self) -> watch::Receiver<u64> {
        self.reload.subscribe()
    }
}

async fn stop_service(service: Running, deadline: Instant) -> Option<KernelError> {
    let name = service.name.clone();
    let abort = service.task.abort_handle();
    let _ = service.stop.send(true);
    match timeout_at(deadline, join_service(service)).await {
        Ok(error) => {
            info!("event=service_stopped service={name}");
            error
        }
        Err(_) => {
            warn!("event=service_aborted service={name} reason=grace_is_over");
            abort.abort();
            None
        }
    }
}

async fn join_service(service: Running) -> Option<KernelError> {
    let name = service.name;
    match service.task.await {
        Ok(Ok(())) => None,
        Ok(Err(reason)) => Some(KernelError::Service { name, reason }),
        Err(error) => Some(KernelError::Service { name, reason: error.to_string() }),
    }
}
