import {PART_PREFIX} from './part_prefix';

/**
 * Tells the names of parts of prompts from those of requests.
 *
 * @example
 * isPartName('part:5c1e07a2@daka51'); // true
 */
export function isPartName(name: string): boolean {
  return name.startsWith(PART_PREFIX);
}
