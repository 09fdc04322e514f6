import {OperatorResult} from './operator_result';
import {OperatorReporter} from './operator_reporter';

/** Writes each result as one line of JSON. */
export class JsonReporter implements OperatorReporter {
  private constructor(private readonly write: (text: string) => void) {}

  /**
   * Creates a reporter that passes its output to `write`.
   *
   * @example
   * const reporter = JsonReporter.create(text => process.stdout.write(text));
   */
  static create(write: (text: string) => void): JsonReporter {
    return new JsonReporter(write);
  }

  report(result: OperatorResult): void {
    this.write(`${JSON.stringify(result)}\n`);
  }
}
