/**
 * Returns the name for a new group of a model, with the lowest unused number.
 *
 * @example
 * findUnusedName('chat', new Set(['chat-1'])); // 'chat-2'
 */
export function findUnusedName(
  model: string,
  names: ReadonlySet<string>,
): string {
  let number = 1;
  while (names.has(`${model}-${number}`)) {
    number += 1;
  }
  return `${model}-${number}`;
}
