//! `azuretally explain CALL`

use super::{Result, single_argument};
use crate::{core::Context, ops};
use lexopt::Parser;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let call = single_argument(&mut context, &mut parser, "explain requires one CALL")?;
    ops::explain(&context, &call)
}
