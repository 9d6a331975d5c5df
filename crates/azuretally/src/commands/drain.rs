//! `azuretally drain HOST`

use super::{Result, single_argument};
use crate::{core::Context, ops};
use lexopt::Parser;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let host = single_argument(&mut context, &mut parser, "drain requires one HOST")?;
    ops::drain(&context, &host)
}
