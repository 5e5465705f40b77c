//! Tests of the capacity measurements: the line, the table, a hollow tier and a sweep with the real program.
mod fit;
mod hollow;
mod sweep;
mod table;
