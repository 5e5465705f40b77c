//! The HTML report of a run: verdict, tables, and plots with shaded faults.
mod html;
mod page;
mod plot;
mod plots;
mod tables;

pub use page::page;
pub use plot::PlotError;
