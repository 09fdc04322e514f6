/** Turns flags and environment variables into one checked object. */
import {Command, CommanderError, Option} from 'commander';
import {z} from 'zod';
import {UsageError} from './usage_error';

/** What to read and from where. */
interface ResolveInput<Shape extends z.ZodRawShape> {
  readonly program: string;
  readonly summary: string;
  /** Each key is a flag in kebab case and a variable `WHINREEL_...`. */
  readonly schema: z.ZodObject<Shape>;
  /** Arguments behind the program's name. */
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
}

/**
 * Resolves all settings of a program once; flags go before variables.
 *
 * @throws UsageError naming the flag, the value and what is expected
 * @throws CommanderError with exit code 0 after `--help`
 * @example
 * const settings = resolveSettings({program, summary, schema, args, env: process.env});
 */
export function resolveSettings<Shape extends z.ZodRawShape>(
  input: ResolveInput<Shape>,
): z.infer<z.ZodObject<Shape>> {
  const {program, summary, schema, args, env} = input;
  const command = new Command(program)
    .description(summary)
    .allowExcessArguments(false);
  for (const [key, field] of Object.entries(schema.shape)) {
    command.addOption(createOption(key, field as z.ZodType));
  }
  const raw = {...readVariables(schema, env), ...parseFlags(command, args)};
  const parsed = schema.safeParse(raw);
  if (!parsed.success) {
    throw describeIssue(parsed.error.issues[0], raw);
  }
  return parsed.data;
}

function createOption(key: string, field: z.ZodType): Option {
  const description = `${field.description ?? ''} [${formatVariable(key)}]`;
  return new Option(`--${formatFlag(key)} <value>`, description);
}

function parseFlags(
  command: Command,
  args: readonly string[],
): Record<string, string> {
  command.exitOverride().configureOutput({writeErr: () => undefined});
  try {
    command.parse(args, {from: 'user'});
  } catch (error) {
    if (error instanceof CommanderError && error.exitCode !== 0) {
      throw new UsageError('%s', error.message.replace(/^error: /, ''));
    }
    throw error;
  }
  return command.opts();
}

function readVariables(
  schema: z.ZodObject,
  env: Readonly<Record<string, string | undefined>>,
): Record<string, string> {
  const found: Record<string, string> = {};
  for (const key of Object.keys(schema.shape)) {
    const value = env[formatVariable(key)];
    if (value !== undefined) {
      found[key] = value;
    }
  }
  return found;
}

function describeIssue(
  issue: z.core.$ZodIssue,
  raw: Record<string, string>,
): UsageError {
  const key = String(issue.path[0]);
  const name = `--${formatFlag(key)} (or ${formatVariable(key)})`;
  const value = raw[key];
  if (value === undefined) {
    return new UsageError('%s is missing', name);
  }
  return new UsageError('%s is "%s": %s', name, value, issue.message);
}

function formatFlag(key: string): string {
  return key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

function formatVariable(key: string): string {
  return `WHINREEL_${formatFlag(key).replaceAll('-', '_').toUpperCase()}`;
}
