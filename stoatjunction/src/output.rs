//! Output of the commands. A reader that is gone, as after `stoatjunction events | head`, is no failure.

use std::fmt::Arguments;
use std::io::{self, Write};

/// Writes a line to standard output.
macro_rules! outln {
    ($($arg:tt)*) => { $crate::output::print_line(format_args!($($arg)*)) };
}

/// Writes a line to standard error.
macro_rules! errln {
    ($($arg:tt)*) => { $crate::output::report_line(format_args!($($arg)*)) };
}

pub(crate) use {errln, outln};

pub(crate) fn print_line(line: Arguments<'_>) {
    let mut out = io::stdout().lock();
    let _reader_may_be_gone = writeln!(out, "{line}");
}

pub(crate) fn report_line(line: Arguments<'_>) {
    let mut out = io::stderr().lock();
    let _reader_may_be_gone = writeln!(out, "{line}");
}
