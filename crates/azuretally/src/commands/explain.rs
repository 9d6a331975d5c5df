//! `azuretally explain CALL`

use super::{Result, one_value};
use crate::{core::Context, ops};
use lexopt::Parser;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let call = one_value(&mut context, &mut parser, "explain needs one CALL")?;
    ops::explain(&context, &call)
}
