//! `azuretally status`

use super::{Result, finish};
use crate::{core::Context, ops};
use lexopt::Parser;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    finish(&mut context, &mut parser)?;
    ops::status(&context)
}
