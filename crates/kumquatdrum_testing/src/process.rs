//! The parts shared by all stand-ins: a server behind a relay, a control port and an announcer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use kumquatdrum_types::{Announcement, BootId, DataCentre, EndpointId, ServiceName};
use rocket::{Build, Rocket};

use crate::announcer::{self, Announcer};
use crate::condition::{Gate, Mode, Switch};
use crate::control::{self, Control};
use crate::fault::Fault;
use crate::relay::{Connections, Relay};
use crate::server::{Error, Server, loopback};

/// Name, service, addresses and announcements of a stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    /// Endpoint name, stable across restarts.
    pub name: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Listening address; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Listening address of the control port; port 0 picks a free port.
    pub control: SocketAddr,
    /// Boot id of the stand-in; the wall clock in microseconds if `None`.
    pub boot: Option<BootId>,
    /// How the stand-in is announced.
    pub announcer: announcer::Options,
}

impl Options {
    /// Returns options for a stand-in on a free loopback port that isn't announced.
    ///
    /// ```
    /// let options = kumquatdrum_testing::process::Options::new("e1", "formula-llm", "hall-raatuse");
    /// assert_eq!(options.listen.port(), 0);
    /// ```
    pub fn new(name: &str, service: &str, data_centre: &str) -> Self {
        Self {
            name: name.into(),
            service: service.into(),
            data_centre: data_centre.into(),
            listen: loopback(),
            control: loopback(),
            boot: None,
            announcer: announcer::Options::default(),
        }
    }

    /// Returns the boot id to announce.
    pub(crate) fn boot(&self) -> BootId {
        self.boot.unwrap_or_else(wall_clock_boot)
    }

    pub(crate) fn announcement(
        &self,
        boot: BootId,
        address: SocketAddr,
        kind: kumquatdrum_types::endpoint::Kind,
    ) -> Announcement {
        Announcement {
            endpoint: self.name.clone(),
            boot,
            sequence: 0,
            service: self.service.clone(),
            address,
            data_centre: self.data_centre.clone(),
            kind,
            leaving: false,
        }
    }
}

fn wall_clock_boot() -> BootId {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    BootId(since.map_or(0, |elapsed| elapsed.as_micros() as u64))
}

/// The running tasks of a stand-in.
#[derive(Debug)]
pub struct Process {
    switch: Arc<Switch>,
    server: Server,
    relay: Relay,
    control: Server,
    announcer: Announcer,
}

impl Process {
    /// Starts server, relay, control port and announcer.
    pub async fn start(
        options: &Options,
        switch: Arc<Switch>,
        target: Arc<dyn Control>,
        connections: Arc<Connections>,
        mount: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
        announcement: impl FnOnce(SocketAddr) -> Box<announcer::Source>,
    ) -> Result<Self, Error> {
        let server = Server::start(loopback(), mount).await?;
        let relay =
            Relay::start(options.listen, server.address, switch.gate(), connections).await?;
        let control = control::start(options.control, target).await?;
        let source = announcement(relay.address);
        let announcer = Announcer::start(options.announcer.clone(), source, switch.gate());
        Ok(Self {
            switch,
            server,
            relay,
            control,
            announcer,
        })
    }

    /// Returns the address that serves requests.
    pub fn address(&self) -> SocketAddr {
        self.relay.address
    }

    /// Returns the address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address
    }

    /// Returns the announcer.
    pub fn announcer(&self) -> &Announcer {
        &self.announcer
    }

    /// Returns a gate that watches the stand-in's condition.
    pub fn gate(&self) -> Gate {
        self.switch.gate()
    }

    /// Stops and joins all tasks.
    pub async fn shutdown(self) {
        self.switch.set(Mode::Dead);
        self.relay.join().await;
        self.announcer.join().await;
        self.server.stop().await;
        self.control.stop().await;
    }
}

/// Applies the faults that affect the whole stand-in.
pub(crate) fn apply(switch: &Switch, fault: &Fault) {
    match fault {
        Fault::Die => switch.set(Mode::Dead),
        Fault::DieSlowly => switch.die_slowly(),
        Fault::Freeze => switch.set(Mode::Frozen),
        Fault::Thaw | Fault::Heal => switch.set(Mode::Running),
        Fault::SilenceOpen => switch.silence_open(),
        _ => {}
    }
}
