const MAX_EXAMPLES = 2;
const MAX_LENGTH = 600;

/** What a run found, by kind, with the first inputs that showed it. */
export class BrokenPromises {
  private readonly kinds = new Map<
    string,
    {count: number; examples: string[]}
  >();

  private constructor() {}

  static create(): BrokenPromises {
    return new BrokenPromises();
  }

  get lines(): string[] {
    return [...this.kinds].flatMap(([kind, {count, examples}]) =>
      examples.map(example => `${kind} (${count} times): ${example}`),
    );
  }

  /**
   * @param kind a text that is the same whenever the cause is
   * @param example the input, and what became of it
   */
  record(kind: string, example: unknown): void {
    const known = this.kinds.get(kind) ?? {count: 0, examples: []};
    this.kinds.set(kind, known);
    known.count += 1;
    if (known.examples.length < MAX_EXAMPLES) {
      const text =
        typeof example === 'string' ? example : JSON.stringify(example);
      known.examples.push(text.slice(0, MAX_LENGTH));
    }
  }
}
