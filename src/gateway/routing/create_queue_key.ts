/**
 * Creates the key of a queue: targets with the same pool and model are
 * interchangeable and share one.
 *
 * @example
 * const queue = createQueueKey(target);
 */
export function createQueueKey({
  pool,
  model = '',
}: {
  readonly pool: string;
  readonly model?: string;
}): string {
  return `${pool} ${model}`;
}
