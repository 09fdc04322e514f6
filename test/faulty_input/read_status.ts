import {createProgram} from '../../src/operator/create_program';

/**
 * Returns what `whinreel status` prints, or its error.
 *
 * @example
 * await readStatus(['127.0.0.1:7000']);
 */
export async function readStatus(control: readonly string[]): Promise<string> {
  let text = '';
  const program = createProgram({write: part => (text += part)});
  try {
    await program.parseAsync(['--control', control.join(','), 'status'], {
      from: 'user',
    });
  } catch (error) {
    text += (error as Error).message;
  }
  return text;
}
