//! A small fleet on loopback sockets: control, routers and stand-ins for engines.

mod break_off_lines;
mod budgets;
mod control_figures;
mod crashing_requests;
mod departure_lines;
mod departures;
mod innocent_requests;
mod load_exchange;
mod rate_lines;
mod requests;
mod rests;
mod stated_rates;
mod support;
mod suspension;
mod turned_away_lines;
