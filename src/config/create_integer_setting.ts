import {z} from 'zod';

/**
 * Creates the schema of an integer setting; both bounds are inclusive.
 *
 * @example
 * const leaseMs = createIntegerSetting(500, 60_000).prefault('5000');
 */
export function createIntegerSetting(min: number, max: number) {
  return z.string().transform((text, context) => {
    const value = Number(text);
    if (
      text.trim() === '' ||
      !Number.isInteger(value) ||
      value < min ||
      value > max
    ) {
      context.addIssue(`expected a whole number from ${min} to ${max}`);
      return z.NEVER;
    }
    return value;
  });
}
