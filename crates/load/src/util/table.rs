//! Plain-text tables.

/// Renders `rows` below `header`. The first column is aligned left, all others right.
pub fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|&h| h.to_owned()).collect();
    let mut text = render_line(&widths, &header);
    let rule: Vec<String> = widths.iter().map(|&w| "-".repeat(w)).collect();
    text.push_str(&render_line(&widths, &rule));
    for row in rows {
        text.push_str(&render_line(&widths, row));
    }
    text
}

fn render_line(widths: &[usize], cells: &[String]) -> String {
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
