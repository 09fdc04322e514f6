/**
 * Formats rows as a table with left-aligned columns.
 *
 * @example
 * formatTable(['HOST', 'GROUP'], [['h1', 'assistant-1@2']]);
 */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const allRows = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map(row => row[column].length)),
  );
  const lines = allRows.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
