//! Whom a trouble befalls, and how.

/// Which front end something befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    Number(u32),
    /// Drawn by the seed.
    Any,
}

impl Pick {
    /// The front end's number. A day that was drawn names each; before that `any` counts as the first.
    pub fn number(self) -> u32 {
        match self {
            Pick::Number(number) => number,
            Pick::Any => 0,
        }
    }
}

/// What becomes of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    Copy,
    SetBack,
    Damage,
}

/// Where the broker cuts a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    BeforeRouting,
    BeforeConfirm,
    MidDelivery,
}
