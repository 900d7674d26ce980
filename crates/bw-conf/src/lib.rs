//! Inventory and rules: INI documents into checked types, versions and deltas.

pub mod document;
pub mod fault;
pub mod fleet;
pub mod reader;
pub mod settings;

pub use document::Delta;
pub use document::Document;
pub use document::Update;
pub use fault::Fault;
pub use fault::Faults;
pub use fleet::build_fleet;
pub use reader::IniFile;
pub use settings::Section;
