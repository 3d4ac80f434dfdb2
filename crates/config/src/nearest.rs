//! Suggestions for misspelled words.

/// Returns the known word closest to a misspelled one by edit distance, if it is close enough.
pub fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known.map(|k| (distance(word, k), k)).filter(|(d, k)| *d <= 1 + k.len() / 4).min().map(|(_, k)| k)
}

fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut before = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let change = before + usize::from(x != *y);
            before = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(before + 1);
        }
    }
    row[b.len()]
}
