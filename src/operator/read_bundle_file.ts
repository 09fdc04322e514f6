import {readFileSync} from 'node:fs';
import {parseDocument} from 'yaml';
import {Bundle} from '../protocol/bundle';
import {OperatorError} from './operator_error';

const MAX_BUNDLE_BYTES = 1024 * 1024;

/**
 * Reads a bundle in YAML and validates it against the schema.
 *
 * @throws OperatorError naming the file, the path of the invalid value and what is expected
 * @example
 * const bundle = readBundleFile('bundle.yaml');
 */
export function readBundleFile(file: string): Bundle {
  const text = readTextFile(file);
  if (text.length > MAX_BUNDLE_BYTES) {
    throw createUsageError(`${file} is over ${MAX_BUNDLE_BYTES} bytes`);
  }
  const document = parseDocument(text, {maxAliasCount: 0} as object);
  if (document.errors.length > 0) {
    throw createUsageError(
      `${file}: ${document.errors[0].message.split('\n')[0]}`,
    );
  }
  const parsed = Bundle.safeParse(document.toJS({maxAliasCount: 0}));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw createUsageError(
      `${file}: ${issue.path.join('.') || 'bundle'}: ${issue.message}`,
    );
  }
  return parsed.data;
}

function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw createUsageError((error as Error).message);
  }
}

function createUsageError(message: string): OperatorError {
  return new OperatorError({info: {kind: 'usage'}}, '%s', message);
}
