//! `config`: size of a configuration and of its changes, and the time to check a configuration.

use argh::FromArgs;
use bw_conf::build_fleet;
use bw_conf::Document;
use bw_conf::IniFile;
use bw_conf::Update;
use bw_model::Version;
use bw_platform::config::PART_COUNT;
use bw_proto::encode;
use bw_proto::AgentView;
use bw_proto::EntryReply;
use tokio::time::Instant;

use crate::error::MeasureError;
use crate::output::print_row;

/// Number of ranks of each generated group, that of the target size.
const RANKS: usize = 128;

/// size of a configuration, its parts and its changes, and the time to check a configuration
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "config")]
pub struct ConfigSize {}

impl ConfigSize {
    /// Runs the measurement.
    ///
    /// # Errors
    /// A generated configuration is invalid, or a message cannot be encoded.
    pub fn run(&self) -> Result<(), MeasureError> {
        for (entries, servers, workspaces) in
            [(8, 19, 10), (64, 1_024, 100), (190, 6_016, 280), (380, 12_032, 560)]
        {
            measure(entries, servers, workspaces)?;
        }
        Ok(())
    }
}

fn measure(entries: usize, servers: usize, workspaces: usize) -> Result<(), MeasureError> {
    let text = generate(entries, servers, workspaces);
    let file = IniFile::parse("generated", &text)
        .map_err(|faults| MeasureError::Unexpected(faults.to_string()))?;
    let document = Document::from_files(&[file]);
    let labels = [("entries", entries.to_string()), ("servers", servers.to_string())];
    let started_at = Instant::now();
    let fleet = build_fleet(Version(1), &[document.to_file("generated")])
        .map_err(|faults| MeasureError::Unexpected(faults.to_string()))?;
    let millis = started_at.elapsed().as_secs_f64() * 1e3;
    print_row("config_build", &labels, format!("{millis:.1}"), "ms");
    print_row("config_bytes", &labels, document.bytes(), "B");
    let largest = document.parts(PART_COUNT).iter().map(Document::bytes).max().unwrap_or(0);
    print_row("part_bytes_max", &labels, largest, "B");

    let mut next = document.clone();
    next.sections.insert("balance".to_string(), vec![("move-price".into(), "7".into())]);
    let delta = document.delta(Version(1), &next, Version(2));
    let bytes = wire_bytes(&EntryReply::Update(Update::Delta(delta)))?;
    print_row("change_bytes_entry", &labels, bytes, "B");
    let view = AgentView::of(&fleet, "gpu-0");
    print_row("view_bytes_agent", &labels, wire_bytes(&EntryReply::View(view))?, "B");
    let started_at = Instant::now();
    let mut changed = document.clone();
    changed.apply(&document.delta(Version(1), &next, Version(2)));
    let millis = started_at.elapsed().as_secs_f64() * 1e3;
    print_row("change_apply", &labels, format!("{millis:.1}"), "ms");
    Ok(())
}

fn wire_bytes(reply: &EntryReply) -> Result<usize, MeasureError> {
    let bytes = encode(reply).map_err(|error| MeasureError::Unexpected(error.to_string()))?;
    Ok(bytes.len())
}

/// Generates inventory and rules of the given size, as INI text.
fn generate(entries: usize, servers: usize, workspaces: usize) -> String {
    let mut text = String::from("[balance]\nmove-price = 5\n");
    for centre in 0..11 {
        text.push_str(&format!("[data-centre c{centre}]\nregion = r{}\n", centre % 4));
    }
    for entry in 0..entries {
        let (centre, high, low) = (entry % 11, entry / 250, entry % 250);
        text.push_str(&format!(
            "[entry e{entry}]\ndata-centre = c{centre}\nhttp = 10.1.{high}.{low}:80\n\
             link = 10.1.{high}.{low}:81\n"
        ));
    }
    for server in 0..servers {
        let (centre, high, low) = (server / RANKS % 11, server / 250, server % 250);
        text.push_str(&format!(
            "[instance gpu-{server}]\ndata-centre = c{centre}\nlink = 10.2.{high}.{low}:81\n\
             backend = 10.2.{high}.{low}:82\n"
        ));
    }
    let names: Vec<String> = (0..servers).map(|server| format!("gpu-{server}")).collect();
    for (group, ranks) in names.chunks(RANKS).enumerate() {
        text.push_str(&format!(
            "[group g{group}]\nmodel = m{}\nranks = {}\nexperts = 128\nlayers = 60\n\
             expert-slots = 128\n",
            group % 16,
            ranks.join(", ")
        ));
    }
    let models = servers.div_ceil(RANKS).min(16);
    for workspace in 0..workspaces {
        let model = workspace % models;
        text.push_str(&format!(
            "[workspace w{workspace}]\ntoken-hash = {workspace:064x}\nmodels = m{model}\n"
        ));
    }
    text
}
