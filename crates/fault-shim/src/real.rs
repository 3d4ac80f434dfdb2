//! The C library functions that the functions of this library wrap, looked up once by name.

use std::ffi::CStr;
use std::sync::OnceLock;

/// A C library function that is looked up on first use. `F` is its type.
pub struct Real<F> {
    name: &'static CStr,
    found: OnceLock<F>,
}

impl<F: Copy> Real<F> {
    /// # Safety
    /// `F` must be the function pointer type of the C library function with this name.
    pub const unsafe fn new(name: &'static CStr) -> Real<F> {
        Real { name, found: OnceLock::new() }
    }

    /// Returns the function.
    pub fn get(&self) -> F {
        *self.found.get_or_init(|| {
            assert_eq!(size_of::<F>(), size_of::<*mut libc::c_void>());
            // SAFETY: the name is a C string; the lookup searches the objects loaded after this one.
            let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
            assert!(!found.is_null(), "{:?} is not in the C library", self.name);
            // SAFETY: by the contract of `new`, F is the type of the found function; its size was checked above.
            unsafe { std::mem::transmute_copy(&found) }
        })
    }
}
