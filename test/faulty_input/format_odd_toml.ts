/** An integer of TOML has 64 bits. */
const MAX_INTEGER = 2 ** 63;
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
  if (Number.isInteger(value) && Math.abs(value as number) < MAX_INTEGER) {
    return BigInt(value as number).toString();
  }
  return String(value);
}
