//! Starts services in order and stops them in the opposite order.

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

/// Tells a service when to stop.
#[derive(Clone, Debug)]
pub struct Stop {
    signal: watch::Receiver<bool>,
}

impl Stop {
    /// Returns once the service has to stop.
    pub async fn wait(&mut self) {
        // An error means that the kernel is gone, which also means stop.
        let _ = self.signal.wait_for(|stop| *stop).await;
    }

    /// True once the service has to stop.
    pub fn is_set(&self) -> bool {
        *self.signal.borrow()
    }

    /// A stop signal with its trigger, for tests and embedders.
    pub fn pair() -> (watch::Sender<bool>, Stop) {
        let (sender, signal) = watch::channel(false);
        (sender, Stop { signal })
    }
}

/// One started service.
struct Running {
    name: String,
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<(), String>>,
}

/// The services of one process.
pub struct Kernel {
    /// Handles by service name.
    pub registry: Registry,
    running: Vec<Running>,
    signals: Option<Signals>,
    /// Number of requests to read the settings again.
    reload: watch::Sender<u64>,
    /// Names of services that have ended.
    ends: mpsc::UnboundedReceiver<String>,
    ended: mpsc::UnboundedSender<String>,
}

impl Default for Kernel {
    fn default() -> Self {
        let (ended, ends) = mpsc::unbounded_channel();
        let reload = watch::Sender::new(0);
        Self {
            registry: Registry::default(),
            running: Vec::new(),
            signals: None,
            reload,
            ends,
            ended,
        }
    }
}

/// The signals that a process obeys.
struct Signals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> Result<Self, KernelError> {
        let listen = |kind| signal(kind).map_err(KernelError::Signal);
        Ok(Self {
            term: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }
}

/// Tells the kernel that a service has ended, also when it panics.
struct EndNotice {
    name: String,
    ended: mpsc::UnboundedSender<String>,
}

impl Drop for EndNotice {
    fn drop(&mut self) {
        // Without a kernel there is nobody to tell.
        let _ = self.ended.send(std::mem::take(&mut self.name));
    }
}

impl Kernel {
    /// A kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// A kernel that obeys signals from now on, also while its services are still being started.
    ///
    /// # Errors
    /// [`KernelError::Signal`].
    pub fn listening() -> Result<Self, KernelError> {
        Ok(Self { signals: Some(Signals::listen()?), ..Self::default() })
    }

    /// Starts a service; services that start later stop earlier.
    pub fn start<S, F, E>(&mut self, name: &str, service: S)
    where
        S: FnOnce(Stop) -> F,
        F: Future<Output = Result<(), E>> + Send + 'static,
        E: std::fmt::Display,
    {
        let (stop, signal) = Stop::pair();
        let future = service(signal);
        let notice = EndNotice { name: name.to_string(), ended: self.ended.clone() };
        let task = tokio::spawn(async move {
            let _notice = notice;
            future.await.map_err(|error| error.to_string())
        });
        info!("event=service_started service={name}");
        self.running.push(Running { name: name.to_string(), stop, task });
    }

    /// Runs until SIGTERM, SIGINT or the failure of a service, then stops all in reverse order.
    ///
    /// All services together get at most `grace` to finish what is in flight.
    ///
    /// # Errors
    /// The first service error.
    pub async fn run(mut self, grace: Duration) -> Result<(), KernelError> {
        let failed = self.wait_end().await?;
        self.stop(grace, failed).await
    }

    /// Stops all services in reverse order, as after SIGTERM.
    ///
    /// # Errors
    /// `failed`, or the first service error.
    pub async fn stop(
        mut self,
        grace: Duration,
        failed: Option<KernelError>,
    ) -> Result<(), KernelError> {
        let mut first = failed;
        let deadline = Instant::now() + grace;
        while let Some(service) = self.running.pop() {
            if let Some(error) = stop_service(service, deadline).await {
                first.get_or_insert(error);
            }
        }
        info!("event=stopped failed={}", first.is_some());
        first.map_or(Ok(()), Err)
    }

    async fn wait_end(&mut self) -> Result<Option<KernelError>, KernelError> {
        let mut signals = match self.signals.take() {
            Some(signals) => signals,
            None => Signals::listen()?,
        };
        loop {
            tokio::select! {
                _ = signals.term.recv() => break,
                _ = signals.interrupt.recv() => break,
                _ = signals.hangup.recv() => {
                    info!("event=reload reason=signal");
                    self.reload.send_modify(|count| *count += 1);
                }
                Some(name) = self.ends.recv() => {
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

    /// Tells each time the process is asked to read its settings again.
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
