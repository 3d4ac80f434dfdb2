//! The functions of the C library that stand behind those of this one, looked up once by name.

use std::ffi::CStr;
use std::sync::OnceLock;

/// A function that is looked up on first use. `F` is its type.
pub struct Real<F> {
    name: &'static CStr,
    found: OnceLock<F>,
}

impl<F: Copy> Real<F> {
    /// # Safety
    /// `F` must be a function pointer of the very type that the function of this name has.
    pub const unsafe fn new(name: &'static CStr) -> Real<F> {
        Real { name, found: OnceLock::new() }
    }

    /// The function.
    pub fn get(&self) -> F {
        *self.found.get_or_init(|| {
            assert_eq!(size_of::<F>(), size_of::<*mut libc::c_void>());
            // SAFETY: the name is a C string; the next object after this one is searched.
            let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
            assert!(!found.is_null(), "{:?} is not in the C library", self.name);
            // SAFETY: by the promise of `new`, F is the type of the function that was found, and as large as a pointer.
            unsafe { std::mem::transmute_copy(&found) }
        })
    }
}
