//! Handles of services, found by name and type.
//!
//! Names are resolved once, while the process starts. The request path keeps the typed handles.

use std::any::Any;
use std::collections::HashMap;

use crate::error::KernelError;

/// Maps service names to their handles.
#[derive(Default)]
pub struct Registry {
    handles: HashMap<String, Box<dyn Any + Send + Sync>>,
}

impl Registry {
    /// Publishes the handle of a service.
    ///
    /// # Errors
    /// [`KernelError::Taken`] when the name is in use.
    pub fn publish<H>(&mut self, name: &str, handle: H) -> Result<(), KernelError>
    where
        H: Any + Send + Sync,
    {
        if self.handles.contains_key(name) {
            return Err(KernelError::Taken(name.to_string()));
        }
        self.handles.insert(name.to_string(), Box::new(handle));
        Ok(())
    }

    /// A copy of the handle of the service called `name`.
    ///
    /// # Errors
    /// [`KernelError::Absent`] and [`KernelError::Type`].
    pub fn find<H>(&self, name: &str) -> Result<H, KernelError>
    where
        H: Any + Clone,
    {
        let handle = self.handles.get(name).ok_or_else(|| KernelError::Absent(name.to_string()))?;
        let typed = handle.downcast_ref::<H>();
        typed.cloned().ok_or_else(|| KernelError::Type(name.to_string()))
    }
}
