/**
 * Lays out rows in columns.
 *
 * @example
 * formatTable(['HOST', 'GROUP'], [['h1', 'assistant-1@2']]);
 */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map(row => row[column].length)),
  );
  const lines = all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
