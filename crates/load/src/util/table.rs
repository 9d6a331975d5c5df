//! Text tables.

/// Lays `rows` out in columns below `head`, numbers to the right.
pub fn lay_out(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(|&h| h.to_owned()).collect();
    let mut text = line(&widths, &head);
    let rule: Vec<String> = widths.iter().map(|&w| "-".repeat(w)).collect();
    text.push_str(&line(&widths, &rule));
    for row in rows {
        text.push_str(&line(&widths, row));
    }
    text
}

fn line(widths: &[usize], cells: &[String]) -> String {
    let mut text = String::new();
    for (i, (&width, cell)) in widths.iter().zip(cells).enumerate() {
        if i == 0 {
            text.push_str(&format!("{cell:<width$}"));
        } else {
            text.push_str(&format!("  {cell:>width$}"));
        }
    }
    text.truncate(text.trim_end().len());
    text.push('\n');
    text
}
