//! Objects as the API carries them.

use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::error::StoreError;

/// Group and version of the system's own kinds of objects.
pub const API: &str = "baobabwind.dev/v1";

/// Name and version of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// Name within the kind.
    pub name: String,
    /// Opaque version; empty for an object to be created.
    #[serde(rename = "resourceVersion", default, skip_serializing_if = "String::is_empty")]
    pub version: String,
}

/// One object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Group and version.
    #[serde(rename = "apiVersion")]
    pub api: String,
    /// Kind in the plural, such as `leases`.
    pub kind: String,
    /// Name and version.
    pub metadata: Metadata,
    /// Content.
    pub spec: Value,
}

impl Object {
    /// An object to be created, or to replace the one of `version`.
    ///
    /// # Errors
    /// [`StoreError::Form`] when `spec` has no JSON form.
    pub fn new<T>(kind: &str, name: &str, version: &str, spec: &T) -> Result<Self, StoreError>
    where
        T: Serialize,
    {
        let spec = serde_json::to_value(spec);
        Ok(Self {
            api: API.to_string(),
            kind: kind.to_string(),
            metadata: Metadata { name: name.to_string(), version: version.to_string() },
            spec: spec.map_err(|error| StoreError::Form(error.to_string()))?,
        })
    }

    /// The content as `T`.
    ///
    /// # Errors
    /// [`StoreError::Form`] when it has another form.
    pub fn content<T>(&self) -> Result<T, StoreError>
    where
        T: DeserializeOwned,
    {
        T::deserialize(&self.spec).map_err(|error| {
            StoreError::Form(format!("{}/{}: {error}", self.kind, self.metadata.name))
        })
    }
}

/// One event of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// `ADDED`, `MODIFIED` or `DELETED`.
    #[serde(rename = "type")]
    pub change: String,
    /// The object after the change.
    pub object: Object,
}
