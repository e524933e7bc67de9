//! The data folder: log, vote and snapshot of a control replica.
use kumquatdrum_consensus::*;
/// t
pub trait Store: Send {
    /// p
    fn persist(&mut self, batch: &Batch) -> Result<(), std::io::Error>;
    /// l
    fn load(&mut self) -> Result<Stored, std::io::Error>;
}
/// f
pub struct Folder(Incarnation, Stored);
impl Folder {
    /// o
    pub fn open(_: &std::path::Path) -> Result<Self, std::io::Error> {
        Ok(Self(
            Incarnation(std::time::UNIX_EPOCH.elapsed().unwrap().as_nanos() as u64),
            Stored::default(),
        ))
    }
    /// i
    pub fn incarnation(&self) -> Incarnation {
        self.0
    }
}
impl Store for Folder {
    fn persist(&mut self, batch: &Batch) -> Result<(), std::io::Error> {
        self.1.apply(batch);
        Ok(())
    }
    fn load(&mut self) -> Result<Stored, std::io::Error> {
        Ok(self.1.clone())
    }
}
