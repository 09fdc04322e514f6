const RAW = /^@raw:(.*)@$/;

/**
 * Formats drawn settings as TOML with inline tables; a value that TOML does not have
 * makes a text that is none.
 *
 * @example
 * formatOddToml({zone: 'z', listen: {front: '127.0.0.1:80'}});
 */
export function formatOddToml(settings: object): string {
  return Object.entries(settings)
    .map(([key, value]) => `${JSON.stringify(key)} = ${formatValue(value)}`)
    .join('\n');
}

function formatValue(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(formatValue).join(',')}]`;
  }
  if (typeof value === 'object' && value !== null) {
    const fields = Object.entries(value).map(
      ([key, field]) => `${JSON.stringify(key)} = ${formatValue(field)}`,
    );
    return `{${fields.join(', ')}}`;
  }
  if (typeof value === 'string') {
    return RAW.exec(value)?.[1].replace('NaN', 'nan') ?? JSON.stringify(value);
  }
  return String(value);
}
