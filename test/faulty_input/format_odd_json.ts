const RAW = /"@raw:([^"@]*)@"/g;

/**
 * Formats a drawn value as JSON; numbers that no JavaScript value holds stand in
 * it as `@raw:1e309@`.
 *
 * @example
 * formatOddJson({slots: '@raw:1e309@'}); // '{"slots":1e309}'
 */
export function formatOddJson(value: unknown): string {
  return JSON.stringify(value).replace(RAW, '$1');
}
