import {createHash} from 'node:crypto';
import {PART_PREFIX} from '../../coordination/requests/part_prefix';

/** Longest name that control accepts. */
const MAX_LENGTH = 64;
const DIGEST_DIGITS = 32;

/**
 * Names a part of a prompt. A part that crashes the servers of one model may be harmless for
 * others, so the name includes the model.
 *
 * @example
 * createPartName('5c1e07a2', 'daka51'); // 'part:5c1e07a2@daka51'
 */
export function createPartName(id: string, model: string): string {
  const name = `${PART_PREFIX}${id}@${model}`;
  if (name.length <= MAX_LENGTH) {
    return name;
  }
  const digest = createHash('sha256').update(name).digest('hex');
  return PART_PREFIX + digest.slice(0, DIGEST_DIGITS);
}
