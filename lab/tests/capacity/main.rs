//! Tests of the capacity measurements: linear fit, table, hollow tier and sweeps with the real program.
mod fit;
mod hollow;
mod sweep;
mod table;
