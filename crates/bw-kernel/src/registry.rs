//! Looks up service handles by name and type.
//!
//! Names are resolved once, during start-up. The request path keeps the typed handles.

use std::any::Any;
use std::collections::HashMap;

use crate::error::KernelError;

/// Maps service names to their handles.
#[derive(Default)]
pub struct Registry {
    handles: HashMap<String, Box<dyn Any + Send + Sync>>,
}

impl Registry {
    /// Registers the handle of a service under `name`.
    ///
    /// # Errors
    /// [`KernelError::AlreadyRegistered`] when the name is in use.
    pub fn publish<H>(&mut self, name: &str, handle: H) -> Result<(), KernelError>
    where
        H: Any + Send + Sync,
    {
        if self.handles.contains_key(name) {
            return Err(KernelError::AlreadyRegistered(name.to_string()));
        }
        self.handles.insert(name.to_string(), Box::new(handle));
        Ok(())
    }

    /// Returns a clone of the handle registered under `name`.
    ///
    /// # Errors
    /// [`KernelError::NotFound`] when the name is unknown, [`KernelError::WrongType`] when its
    /// handle is not an `H`.
    pub fn find<H>(&self, name: &str) -> Result<H, KernelError>
    where
        H: Any + Clone,
    {
        let handle =
            self.handles.get(name).ok_or_else(|| KernelError::NotFound(name.to_string()))?;
        let typed = handle.downcast_ref::<H>();
        typed.cloned().ok_or_else(|| KernelError::WrongType(name.to_string()))
    }
}
