import * as fc from 'fast-check';

/** A way into the programs: what comes in there, and how to send it. */
export interface DrawnDoor<T> {
  readonly name: string;
  /** Of all inputs, in relation to other doors. */
  readonly weight: number;
  /** Inputs that are sent at the same time. */
  readonly lanes: number;
  /** Its inputs come with kills of machines. */
  readonly endsMachines?: boolean;
  readonly draw: fc.Arbitrary<T>;
  /** Sends one input and records what does not hold. */
  play(input: T, lane: number): Promise<void>;
  close?(): void;
}
