//! `azuretally drain HOST`

use super::{Result, one_value};
use crate::{core::Context, ops};
use lexopt::Parser;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let host = one_value(&mut context, &mut parser, "drain needs one HOST")?;
    ops::drain(&context, &host)
}
