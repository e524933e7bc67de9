//! Orders that make engines load and serve the models and adapters of the declaration.
//!
//! [`Reconciler`] runs on the control leader. It compares the declaration in force with the
//! engines' reports and issues orders for the difference. It has no clock and does no I/O.

mod bucket;
mod endpoint;
mod input;
mod order;
mod output;
mod reconciler;
mod rule;
mod settings;
mod view;

pub use input::{Answer, Input, Leadership};
pub use order::{Action, Adapter, Order, OrderId, Report, Role};
pub use output::{Event, Output, Record};
pub use reconciler::Reconciler;
pub use settings::Settings;
