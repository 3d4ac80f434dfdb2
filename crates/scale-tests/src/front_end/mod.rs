//! One front end with real code: the decision module, the list as it is kept, names of functions; workers without sockets.

mod division;
mod due;
mod hall;
mod list_state;
mod outcome;
mod play;
mod player;
pub mod rare;
mod rows;
mod scene;
mod sockets;
mod subset;

pub use division::{function_name, homes, rates, Divided, Played, Shards, RARE, TOLD};
pub use outcome::Outcome;
pub use play::play;
pub use rows::MEASURES;
pub use scene::{function, hash, Change, Fault, Scene, IDLE_CLOSE, KEEP, LOAD};

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

thread_local! {
    static PLAYED: RefCell<HashMap<String, Rc<Outcome>>> = RefCell::default();
}

/// The outcome of a scene, played once for all rows that ask for it.
pub fn played(scene: &Scene) -> Rc<Outcome> {
    let key = format!("{scene:?}");
    if let Some(outcome) = PLAYED.with_borrow(|played| played.get(&key).cloned()) {
        return outcome;
    }
    let outcome = Rc::new(play(scene));
    PLAYED.with_borrow_mut(|played| played.insert(key, outcome.clone()));
    outcome
}
