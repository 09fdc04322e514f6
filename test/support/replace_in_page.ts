import {pageExamples} from './page_examples';

/**
 * Returns an example of the page as JSON text with another value.
 *
 * @param path names of fields and places in lists, separated by dots
 * @param text JSON text of the value, which may be a number that JavaScript cannot hold
 * @example
 * replaceInPage('configuration', 'routes.0.timeout_ms', '1e309');
 */
export function replaceInPage(
  example: 'configuration' | 'registration',
  path: string,
  text: string,
): string {
  const changed = structuredClone(pageExamples[example]);
  const keys = path.split('.');
  let parent = changed as unknown as Record<string, unknown>;
  for (const key of keys.slice(0, -1)) {
    parent = parent[key] as typeof parent;
  }
  parent[keys[keys.length - 1]] = '@';
  return JSON.stringify(changed).replace('"@"', () => text);
}
