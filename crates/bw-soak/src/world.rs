//! The processes of a run, with the faults that are applied to them.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_fake::platform::Faults;
use tokio::sync::RwLock;
use tokio::time::sleep;

use crate::check::Event;
use crate::check::Kind;
use crate::check::Life;
use crate::check::Party;
use crate::load;
use crate::process::Process;
use crate::process::StandIn;
use crate::proxy::Proxy;
use crate::recorder::Recorder;
use crate::schedule::Action;
use crate::schedule::Fault;
use crate::schedule::Release;
use crate::settings::address;
use crate::settings::bounds;
use crate::settings::log_of;
use crate::settings::settings_text;
use crate::settings::Options;
use crate::settings::GRACE;
use crate::stand_ins::EndpointOrder;
use crate::stand_ins::Listing;
use crate::stand_ins::StoreOrder;
use crate::stand_ins::COLD_TIME;

/// Number of endpoints.
pub const ENDPOINTS: usize = 4;
/// Where the addresses of links begin.
const ENDPOINT_LINKS: usize = 100;
const STORE_LINKS: usize = 150;
/// Time for which a leaving endpoint goes on.
const LEAVING: Duration = Duration::from_secs(5);
/// Length of a fault from which the list never shows that an endpoint is leaving.
const UNLISTED: Duration = Duration::from_millis(1_500);
/// Time after which the operator and endpoints write again what a restored store has lost.
const REWRITE: Duration = Duration::from_millis(300);
const RETRY: Duration = Duration::from_millis(100);
/// Delay of each call to a slow store, in milliseconds.
const SLOW_MS: u64 = 700;
/// Answers that a store loses, and requests that an endpoint rejects.
const SOME: u32 = 4;

/// A gateway, and its link to the store.
pub struct Gateway {
    /// Address for callers.
    pub callers: SocketAddr,
    index: usize,
    settings: PathBuf,
    store_link: Proxy,
    number: AtomicU32,
    process: RwLock<Arc<Process>>,
    /// Program of the next life.
    program: Mutex<PathBuf>,
    /// Held while the process is being replaced.
    replacing: tokio::sync::Mutex<()>,
}

impl Gateway {
    /// Returns the present life.
    pub fn life(&self) -> Life {
        Life { index: self.index, number: self.number.load(Ordering::SeqCst) }
    }
}

/// An endpoint, and the links of all gateways to it.
struct Endpoint {
    link: Proxy,
    stand_in: RwLock<(Arc<StandIn>, Listing)>,
    replacing: tokio::sync::Mutex<()>,
}

/// All parts of a run.
pub struct World {
    /// Record of the run.
    pub recorder: Arc<Recorder>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    endpoints: Vec<Endpoint>,
    store: StandIn,
    /// Version of the configuration that was written last; locked while the store is written.
    version: tokio::sync::Mutex<u64>,
    known_version: Mutex<u64>,
    over: AtomicBool,
    options: Options,
}

impl World {
    /// Returns whether the load is to end.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Returns the version of the configuration that was written last.
    pub fn version(&self) -> u64 {
        *self.known_version.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts all processes.
    ///
    /// # Errors
    /// The operating system's error.
    pub async fn start(options: Options) -> io::Result<Self> {
        let recorder = Arc::new(Recorder::new(options.seed, bounds(), &options.folder)?);
        let store_log = options.folder.join("store.log");
        let (store, _) = StandIn::start(&["store".to_string()], &store_log).await?;
        store.order(&StoreOrder::Configure(1)).await?;
        let mut endpoints = Vec::new();
        for index in 0..ENDPOINTS {
            let life = Life { index, number: 1 };
            let started = start_endpoint(&recorder, &options.folder, life).await?;
            let link = Proxy::start(address(ENDPOINT_LINKS + index, 0), started.address);
            let listing =
                Listing { index, address: link.address, born: 1, leaving: false, cold: 0 };
            store.order(&StoreOrder::List(listing)).await?;
            let stand_in = RwLock::new((Arc::new(started), listing));
            endpoints.push(Endpoint { link, stand_in, replacing: tokio::sync::Mutex::default() });
        }
        let mut gateways = Vec::new();
        for index in 0..options.gateways {
            let store_link = Proxy::start(address(STORE_LINKS + index, 0), store.address);
            let settings = options.folder.join(format!("gateway-{index}.ini"));
            std::fs::write(&settings, settings_text(&options, index, store_link.address))?;
            let log = log_of(&options.folder, index, 1);
            let program = options.old_program.as_ref().unwrap_or(&options.program);
            let process = Process::start(program, &settings, &log)?;
            gateways.push(Gateway {
                callers: address(index, 0),
                index,
                settings,
                store_link,
                number: AtomicU32::new(1),
                process: RwLock::new(Arc::new(process)),
                program: Mutex::new(program.clone()),
                replacing: tokio::sync::Mutex::default(),
            });
        }
        Ok(Self {
            recorder,
            gateways,
            endpoints,
            store,
            version: tokio::sync::Mutex::new(1),
            known_version: Mutex::new(1),
            over: AtomicBool::new(false),
            options,
        })
    }

    /// Applies a fault, and returns when it has ended.
    ///
    /// # Errors
    /// The operating system's error.
    pub async fn apply(&self, fault: Fault) -> io::Result<()> {
        match fault.action {
            Action::Pause(index) => {
                let process = Arc::clone(&*self.gateways[index].process.read().await);
                self.disturb(Party::Gateway(index), async {
                    process.signal("-STOP")?;
                    sleep(fault.length).await;
                    process.signal("-CONT")
                })
                .await
            }
            Action::Kill(index) => {
                let gateway = &self.gateways[index];
                let _replacing = gateway.replacing.lock().await;
                self.disturb(Party::Gateway(index), async {
                    let process = Arc::clone(&*gateway.process.read().await);
                    process.end(Duration::ZERO).await?;
                    self.start_gateway(gateway).await
                })
                .await
            }
            Action::Stop(index) => {
                let _replacing = self.gateways[index].replacing.lock().await;
                self.stop_gateway(index).await?;
                self.start_gateway(&self.gateways[index]).await
            }
            Action::Replace(index, release) => {
                let gateway = &self.gateways[index];
                let _replacing = gateway.replacing.lock().await;
                self.stop_gateway(index).await?;
                let old = self.options.old_program.as_ref().filter(|_| release == Release::Old);
                let program = old.unwrap_or(&self.options.program).clone();
                *gateway.program.lock().unwrap_or_else(PoisonError::into_inner) = program;
                self.start_gateway(gateway).await
            }
            Action::StoreDown => {
                self.fail_store(Faults { down: true, ..Faults::default() }, fault).await
            }
            Action::StoreSilent => {
                self.fail_store(Faults { silent: true, ..Faults::default() }, fault).await
            }
            Action::StoreSlow => {
                self.fail_store(Faults { slow: SLOW_MS, ..Faults::default() }, fault).await
            }
            Action::StoreLost => {
                self.fail_store(Faults { lost: SOME, ..Faults::default() }, fault).await
            }
            Action::StoreRestore => {
                self.store.order(&StoreOrder::Copy).await?;
                sleep(fault.length).await;
                self.store.order(&StoreOrder::Restore).await?;
                sleep(REWRITE).await;
                let version = self.version.lock().await;
                for endpoint in &self.endpoints {
                    let listing = endpoint.stand_in.read().await.1;
                    self.store.order(&StoreOrder::List(listing)).await?;
                }
                self.store.order(&StoreOrder::Configure(*version)).await
            }
            Action::StoreLink(index, link) => {
                self.gateways[index].store_link.set_fault(Some(link));
                sleep(fault.length).await;
                self.gateways[index].store_link.set_fault(None);
                Ok(())
            }
            Action::EndpointLink(index, link) => {
                self.disturb(Party::Endpoint(index), async {
                    self.endpoints[index].link.set_fault(Some(link));
                    sleep(fault.length).await;
                    self.endpoints[index].link.set_fault(None);
                    Ok(())
                })
                .await
            }
            Action::EndpointLeave(index) => {
                let _replacing = self.endpoints[index].replacing.lock().await;
                let stand_in = Arc::clone(&self.endpoints[index].stand_in.read().await.0);
                stand_in.order(&EndpointOrder::Leave).await?;
                if fault.length < UNLISTED {
                    self.list(index, |listing| listing.leaving = true).await?;
                }
                sleep(LEAVING).await;
                self.restart_endpoint(index, fault.length).await
            }
            Action::EndpointCrash(index) => {
                let _replacing = self.endpoints[index].replacing.lock().await;
                self.restart_endpoint(index, fault.length).await
            }
            Action::EndpointReject(index) => {
                // Not while it is being replaced, since the process might be gone.
                let _replacing = self.endpoints[index].replacing.lock().await;
                let stand_in = Arc::clone(&self.endpoints[index].stand_in.read().await.0);
                stand_in.order(&EndpointOrder::Reject(SOME)).await
            }
            Action::Configure => {
                let mut version = self.version.lock().await;
                *version += 1;
                self.store.order(&StoreOrder::Configure(*version)).await?;
                *self.known_version.lock().unwrap_or_else(PoisonError::into_inner) = *version;
                Ok(())
            }
        }
    }

    async fn fail_store(&self, faults: Faults, fault: Fault) -> io::Result<()> {
        self.store.order(&StoreOrder::Faults(faults)).await?;
        sleep(fault.length).await;
        self.store.order(&StoreOrder::Faults(Faults::default())).await
    }

    /// Records that a party is disturbed while `fault` runs.
    async fn disturb<F>(&self, party: Party, fault: F) -> io::Result<()>
    where
        F: std::future::Future<Output = io::Result<()>>,
    {
        self.recorder.observe(&Event::Disturbed(party));
        let result = fault.await;
        self.recorder.observe(&Event::Calm(party));
        result
    }

    async fn list<F>(&self, index: usize, change: F) -> io::Result<()>
    where
        F: FnOnce(&mut Listing),
    {
        let _version = self.version.lock().await;
        let mut entry = self.endpoints[index].stand_in.write().await;
        change(&mut entry.1);
        self.store.order(&StoreOrder::List(entry.1)).await
    }

    /// Kills an endpoint, and starts its next life after the time `down`.
    async fn restart_endpoint(&self, index: usize, down: Duration) -> io::Result<()> {
        self.disturb(Party::Endpoint(index), async {
            let endpoint = &self.endpoints[index];
            let born = endpoint.stand_in.read().await.1.born + 1;
            let old = Arc::clone(&endpoint.stand_in.read().await.0);
            endpoint.link.set_target(None);
            old.process.end(Duration::ZERO).await?;
            sleep(down).await;
            let life = Life { index, number: born as u32 };
            let new = start_endpoint(&self.recorder, &self.options.folder, life).await?;
            self.recorder.observe(&Event::Cold(life, COLD_TIME));
            endpoint.link.set_target(Some(new.address));
            endpoint.stand_in.write().await.0 = Arc::new(new);
            let cold = COLD_TIME.as_millis() as u64;
            self.list(index, |listing| {
                *listing = Listing { born, leaving: false, cold, ..*listing };
            })
            .await
        })
        .await
    }

    /// Stops a gateway as planned.
    ///
    /// # Errors
    /// The operating system's error.
    pub async fn stop_gateway(&self, index: usize) -> io::Result<()> {
        let gateway = &self.gateways[index];
        let process = Arc::clone(&*gateway.process.read().await);
        self.recorder.observe(&Event::Stopping(gateway.life()));
        process.signal("-TERM")?;
        let status = process.end(GRACE).await?;
        self.recorder.note(&format!("gateway {:?} ended: {status}", gateway.life()));
        Ok(())
    }

    async fn start_gateway(&self, gateway: &Gateway) -> io::Result<()> {
        let number = gateway.number.fetch_add(1, Ordering::SeqCst) + 1;
        let log = log_of(&self.options.folder, gateway.index, number);
        let program = gateway.program.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let process = Process::start(&program, &gateway.settings, &log)?;
        *gateway.process.write().await = Arc::new(process);
        Ok(())
    }

    /// Ends the load.
    pub fn end_load(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    /// Waits until a gateway answers a request.
    pub async fn wait_answer(&self, index: usize) {
        loop {
            if let Some((mut channel, life)) = load::connect(self, index).await {
                if load::attempt(self, &mut channel, life, Kind::Safe).await == Some(200) {
                    return;
                }
            }
            sleep(RETRY).await;
        }
    }
}

async fn start_endpoint(
    recorder: &Arc<Recorder>,
    folder: &Path,
    life: Life,
) -> io::Result<StandIn> {
    let (index, number) = (life.index.to_string(), life.number.to_string());
    let arguments = ["endpoint".to_string(), index, number];
    let log = folder.join(format!("endpoint-{}.log", life.index));
    let (stand_in, mut lines) = StandIn::start(&arguments, &log).await?;
    let recorder = Arc::clone(recorder);
    tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            // Health checks are attempts of nobody.
            let Some(attempt) = line.strip_prefix("a-").and_then(|id| id.parse().ok()) else {
                continue;
            };
            recorder.observe(&Event::Ran { attempt, endpoint: life });
        }
    });
    Ok(stand_in)
}
