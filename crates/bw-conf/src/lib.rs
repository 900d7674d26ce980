//! Reads inventory and rules from INI files, validates them, and computes the changes between
//! versions.

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
