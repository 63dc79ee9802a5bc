//! The variables that the closures of a script capture. A captured variable moves into a cell that it shares with the
//! closure. Closures that capture closures make chains and cycles of cells, of any length: a chain would be dropped by
//! recursion, which overflows the stack, and a cycle would never be freed.
//!
//! So every cell is kept until the call has ended. A closure that is dropped before leaves its cells alone, and at the end
//! the cells are emptied one by one. No drop ever goes from one cell into another.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use rhai::{Dynamic, Engine};

/// The cells that were captured during the current call, by address.
#[derive(Default)]
pub(super) struct Captures {
    cells: RefCell<BTreeMap<usize, Dynamic>>,
}

impl Captures {
    /// Has an engine report the variables that closures capture: a closure reads each of them after it has moved into its
    /// cell.
    #[allow(deprecated)] // The engine marks functions so whose form may change.
    pub(super) fn register(self: &Rc<Captures>, engine: &mut Engine) {
        let captures = self.clone();
        engine.on_var(move |name, _, context| {
            if let Some(value) = context.scope().get(name).filter(|value| value.is_shared()) {
                captures.keep(value);
            }
            Ok(None)
        });
    }

    /// Keeps a cell until the call has ended.
    fn keep(&self, cell: &Dynamic) {
        // A cell that is locked for writing has been read, and kept, before.
        let Some(address) = cell.read_lock::<Dynamic>().map(|content| std::ptr::from_ref(&*content).addr())
        else {
            return;
        };
        self.cells.borrow_mut().entry(address).or_insert_with(|| cell.clone());
    }

    /// Empties all cells, one by one, and forgets them.
    pub(super) fn empty(&self) {
        for mut cell in self.cells.take().into_values() {
            if let Some(mut content) = cell.write_lock::<Dynamic>() {
                *content = Dynamic::UNIT;
            }
        }
    }
}

impl Drop for Captures {
    fn drop(&mut self) {
        self.empty();
    }
}
