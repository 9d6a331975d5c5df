//! `azuretally status`

use super::{Result, expect_end};
use crate::{core::Context, ops};
use lexopt::Parser;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    expect_end(&mut context, &mut parser)?;
    ops::status(&context)
}
