/**
 * One call to whoever leads: asks control processes until one answers.
 *
 * The next one is asked as soon as the one before does not lead or cannot be
 * reached, and beside it when it lets wait: machines that are dead or stand still
 * cost a tenth of a second each and not their whole patience.
 */
import {ControlCalls} from './control_calls';
import {ControlLine} from './control_line';
import {ControlLines} from './control_lines';
import {ControlMessage} from './control_message';
import {ProtocolError} from './protocol_error';
import {SearchOrder} from './search_order';

/**
 * For a connection and a hello, in milliseconds, before the next process is tried
 * beside it: some round trips between zones. With two of three machines standing
 * still a call of 900 ms found no leader (1,602 ms at the first); it takes 0.2 s so.
 */
const GREET_BESIDE_MS = 100;
/** Between two rounds, so that processes that know no leader yet are not asked without a pause. */
const ROUND_PAUSE_MS = 50;

/** One control process that was tried, and what came of it. */
interface SearchTry {
  readonly address: string;
  readonly outcome: 'answered' | 'does not lead' | 'silent' | 'unreached';
  readonly tookMs: number;
}

/** What a search works with. */
interface LeaderSearchOptions {
  readonly question: ControlCalls['question'];
  /** Addresses to ask, the likeliest first. */
  readonly addresses: readonly string[];
  readonly lines: ControlLines;
  readonly timeoutMs: number;
  /** How long one process may take to answer before the next is asked beside it. */
  readonly besideMs: number;
  /** Told where control is by a process that does not lead. */
  readonly onTold: (addresses: readonly string[]) => void;
}

/** Runs once. */
export class LeaderSearch {
  /** What was tried, in the order of its outcomes. */
  readonly tries: SearchTry[] = [];
  private readonly order: SearchOrder;
  private readonly taken = new Set<ControlLine>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private lastError: Error | undefined;
  private isOver = false;
  private finish: (answer: ControlMessage) => void = () => undefined;
  private fail: (error: Error) => void = () => undefined;

  private constructor(private readonly options: LeaderSearchOptions) {
    this.order = SearchOrder.create(options.addresses);
  }

  /**
   * Creates a search that has asked nobody.
   *
   * @example
   * const search = LeaderSearch.create({question, addresses, lines, timeoutMs: 900, besideMs: 400, onTold});
   * const answer = await search.run();
   */
  static create(options: LeaderSearchOptions): LeaderSearch {
    return new LeaderSearch(options);
  }

  /**
   * Asks until somebody answers as leader.
   *
   * @throws ProtocolError when nobody did in time
   */
  async run(): Promise<ControlMessage> {
    const answered = new Promise<ControlMessage>((resolve, reject) => {
      this.finish = resolve;
      this.fail = reject;
    });
    this.schedule(this.options.timeoutMs, () => this.abandon());
    this.askNext();
    try {
      return await answered;
    } finally {
      this.isOver = true;
      this.timers.forEach(timer => clearTimeout(timer));
      this.taken.forEach(line => this.options.lines.release(line));
    }
  }

  /** Ends without an answer. */
  abandon(): void {
    const message = `no control leader answered at ${this.options.addresses.join(', ')}`;
    this.fail(
      this.lastError
        ? new ProtocolError(this.lastError, message)
        : new ProtocolError(message),
    );
  }

  private askNext(): void {
    if (this.isOver) {
      return;
    }
    const address = this.order.takeNext();
    if (address !== undefined) {
      void this.askOne(address);
      return;
    }
    this.schedule(ROUND_PAUSE_MS, () => {
      this.order.startRound();
      this.askNext();
    });
  }

  private async askOne(address: string): Promise<void> {
    const {lines, besideMs, question} = this.options;
    const startedAt = performance.now();
    const moveOn = createOnce(() => this.askNext());
    const line = lines.take(address);
    this.taken.add(line);
    let timer = this.schedule(GREET_BESIDE_MS, moveOn);
    const outcome = await line.greeted.then(
      () => {
        clearTimeout(timer);
        timer = this.schedule(besideMs, () => {
          // It may be slow, or its connection silent for good: a later try opens another.
          this.record(address, 'silent', startedAt);
          this.order.recordEnd(address);
          lines.abandon(line);
          moveOn();
        });
        return line.ask(question);
      },
      (error: Error) => error,
    );
    clearTimeout(timer);
    if (!this.isOver) {
      this.handleOutcome(line, outcome, startedAt);
      moveOn();
    }
  }

  private handleOutcome(
    line: ControlLine,
    outcome: ControlMessage | Error | undefined,
    startedAt: number,
  ): void {
    const {lines, onTold} = this.options;
    const {address} = line;
    this.order.recordEnd(address);
    if (outcome instanceof Error) {
      this.lastError = outcome;
      this.record(address, 'unreached', startedAt);
    } else if (outcome === undefined) {
      this.record(address, 'silent', startedAt);
    } else if (outcome.type === 'not-leader') {
      this.record(address, 'does not lead', startedAt);
      this.order.recordTold(outcome.control ?? []);
      onTold(outcome.control ?? []);
    } else {
      this.record(address, 'answered', startedAt);
      lines.recordLeader(line);
      this.finish(outcome);
    }
  }

  private record(
    address: string,
    outcome: SearchTry['outcome'],
    startedAt: number,
  ): void {
    const tookMs = Math.round(performance.now() - startedAt);
    this.tries.push({address, outcome, tookMs});
  }

  private schedule(afterMs: number, act: () => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      act();
    }, afterMs);
    this.timers.add(timer);
    return timer;
  }
}

function createOnce(act: () => void): () => void {
  let hasActed = false;
  return () => {
    if (!hasActed) {
      hasActed = true;
      act();
    }
  };
}
