//! One HTML page of what was played: a verdict, tables, and plots with the faults shaded in.
mod html;
mod page;
mod plot;
mod plots;
mod tables;

pub use page::page;
pub use plot::PlotError;
