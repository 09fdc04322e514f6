import {z} from 'zod';

/**
 * A setting that is a whole number within bounds.
 *
 * @example
 * const leaseMs = createCountSetting(500, 60_000).default(5_000);
 */
export function createIntegerSetting(least: number, most: number) {
  return z.string().transform((text, context) => {
    const value = Number(text);
    if (
      text.trim() === '' ||
      !Number.isInteger(value) ||
      value < least ||
      value > most
    ) {
      context.addIssue(`expected a whole number from ${least} to ${most}`);
      return z.NEVER;
    }
    return value;
  });
}
