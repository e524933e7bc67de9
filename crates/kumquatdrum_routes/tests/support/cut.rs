//! Cuts between a data centre and all others, by what becomes of a call across them.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Silent,
    Refused,
    Reset,
}

/// The calls that a cut concerns, by where they come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Into,
    OutOf,
    Both,
}

/// The connections that are open when the cut begins, and outlive it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Open {
    All,
    /// Those to control hosts, as after a restart of all other hosts.
    ToControl,
    None,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    pub kind: Kind,
    pub way: Way,
    pub open: Open,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    Answered,
    /// The request arrives and its answer is lost.
    Unanswered,
    Lost,
    /// The request doesn't arrive, and the caller learns it at once.
    Refused,
    /// The request arrives, and the caller learns at once that its answer is lost.
    Reset,
}

impl Delivery {
    pub fn arrives(self) -> bool {
        matches!(self, Self::Answered | Self::Unanswered | Self::Reset)
    }
}

/// A host as a cut concerns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    pub is_cut_off: bool,
    pub is_control: bool,
}

impl Cut {
    pub fn all() -> Vec<Self> {
        let mut cuts = Vec::new();
        for kind in [Kind::Silent, Kind::Refused, Kind::Reset] {
            for way in [Way::Into, Way::OutOf, Way::Both] {
                for open in [Open::All, Open::ToControl, Open::None] {
                    cuts.push(Self { kind, way, open });
                }
            }
        }
        cuts
    }

    /// Returns what becomes of a call.
    pub fn call(self, from: Place, to: Place) -> Delivery {
        let lives_on = match self.open {
            Open::All => true,
            Open::ToControl => to.is_control,
            Open::None => false,
        };
        if from.is_cut_off == to.is_cut_off || lives_on {
            return Delivery::Answered;
        }
        let is_concerned = match self.way {
            Way::Into => to.is_cut_off,
            Way::OutOf => from.is_cut_off,
            Way::Both => true,
        };
        match (self.kind, is_concerned) {
            (Kind::Silent, true) => Delivery::Lost,
            (Kind::Silent, false) => Delivery::Unanswered,
            (Kind::Refused | Kind::Reset, false) => Delivery::Answered,
            (Kind::Refused, true) => Delivery::Refused,
            (Kind::Reset, true) => Delivery::Reset,
        }
    }
}
