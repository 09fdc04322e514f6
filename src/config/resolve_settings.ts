/** Turns command-line flags and environment variables into one validated object. */
import {Command, CommanderError, Option} from 'commander';
import {z} from 'zod';
import {UsageError} from './usage_error';

/** Program whose settings are resolved, their schema and their sources. */
interface ResolveSettingsOptions<Shape extends z.ZodRawShape> {
  readonly program: string;
  readonly summary: string;
  /** Each key in camel case is read from a flag in kebab case and a variable `WHINREEL_...`. */
  readonly schema: z.ZodObject<Shape>;
  /** Command-line arguments after the script path. */
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
}

/**
 * Resolves all settings of a program. Flags take precedence over variables.
 *
 * @throws UsageError naming the flag, the variable, the value and what is expected
 * @throws CommanderError with exit code 0 after `--help`
 * @example
 * const settings = resolveSettings({program, summary, schema, args, env: process.env});
 */
export function resolveSettings<Shape extends z.ZodRawShape>(
  options: ResolveSettingsOptions<Shape>,
): z.infer<z.ZodObject<Shape>> {
  const {program, summary, schema, args, env} = options;
  const command = new Command(program)
    .description(summary)
    .allowExcessArguments(false);
  for (const [key, field] of Object.entries(schema.shape)) {
    command.addOption(createOption(key, field as z.ZodType));
  }
  const raw = {...readVariables(schema, env), ...parseFlags(command, args)};
  const parsed = schema.safeParse(raw);
  if (!parsed.success) {
    throw createIssueError(parsed.error.issues[0], raw);
  }
  return parsed.data;
}

function createOption(key: string, field: z.ZodType): Option {
  const description = `${field.description ?? ''} [${formatVariableName(key)}]`;
  return new Option(`--${formatFlagName(key)} <value>`, description);
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
  const values: Record<string, string> = {};
  for (const key of Object.keys(schema.shape)) {
    const value = env[formatVariableName(key)];
    if (value !== undefined) {
      values[key] = value;
    }
  }
  return values;
}

function createIssueError(
  issue: z.core.$ZodIssue,
  raw: Record<string, string>,
): UsageError {
  const key = String(issue.path[0]);
  const name = `--${formatFlagName(key)} (or ${formatVariableName(key)})`;
  const value = raw[key];
  if (value === undefined) {
    return new UsageError('%s is missing', name);
  }
  return new UsageError('%s is "%s": %s', name, value, issue.message);
}

function formatFlagName(key: string): string {
  return key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

function formatVariableName(key: string): string {
  return `WHINREEL_${formatFlagName(key).replaceAll('-', '_').toUpperCase()}`;
}
