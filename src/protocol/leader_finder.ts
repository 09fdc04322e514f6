/**
 * Finds who leads, once for all calls of a client that wait for it.
 *
 * The load that it answers: after a loss some control processes are dead or stand
 * still, others do not know yet who leads, and dozens of calls wait. The next process
 * is asked as soon as the one before does not lead or cannot be reached, and beside it
 * when it lets wait: machines that stand still cost a tenth of a second each and not
 * their whole patience. Forty calls put 480 questions in 0.6 s to a process that does
 * not lead when each searched by itself; together they put 12.
 */
import {ControlConnection} from './control_connection';
import {ControlConnectionPool} from './control_connection_pool';
import {ControlMessage} from './control_message';
import {LeaderCandidates} from './leader_candidates';

/**
 * For a connection, a hello and an answer each, in milliseconds, before the next
 * process is tried beside it: some round trips between zones. With two of three
 * machines standing still a call of 900 ms found no leader (1,602 ms at the first).
 */
const BESIDE_MS = 100;
/** Silence of a greeted process after which a new connection to it is tried: the old one may carry nothing any more. */
const SILENT_MS = 1_000;
/** Between two rounds, so that processes that know no leader yet are not asked without a pause. */
const ROUND_PAUSE_MS = 50;
/** Tries that a report names: those of the last rounds. */
const MAX_TRIES = 20;

/** One control process that was tried, and what came of it. */
interface SearchTry {
  readonly address: string;
  readonly outcome: 'leads' | 'does not lead' | 'silent' | 'unreached';
  readonly tookMs: number;
}

/** What a finder works with. */
interface LeaderFinderOptions {
  readonly connections: ControlConnectionPool;
  /** Addresses to ask, the likeliest first. */
  readonly listAddresses: () => readonly string[];
  /** Told where control is by a process that does not lead. */
  readonly onRedirect: (addresses: readonly string[]) => void;
}

/** Searches while somebody waits. */
export class LeaderFinder {
  private waiting = new Set<(line: ControlConnection) => void>();
  private search: Search | undefined;
  private newestTries: readonly SearchTry[] = [];
  /** Why the newest try failed. */
  lastError: Error | undefined;

  private constructor(private readonly options: LeaderFinderOptions) {}

  /**
   * Creates a finder that searches for nobody.
   *
   * @example
   * const finder = LeaderFinder.create({lines, listAddresses, onTold});
   * finder.wait(line => line.ask(question));
   */
  static create(options: LeaderFinderOptions): LeaderFinder {
    return new LeaderFinder(options);
  }

  /** What was tried last, in the order of its outcomes. */
  get tries(): readonly SearchTry[] {
    return this.newestTries;
  }

  /**
   * Tells a line to the leader as soon as one is known.
   *
   * @returns ends the wait
   */
  wait(onFound: (line: ControlConnection) => void): () => void {
    this.waiting.add(onFound);
    this.search ??= this.startSearch();
    return () => {
      this.waiting.delete(onFound);
      if (this.waiting.size === 0) {
        this.stop();
      }
    };
  }

  /** Ends the search; whoever waits is told nothing. */
  stop(): void {
    this.search?.stop();
    this.search = undefined;
  }

  private startSearch(): Search {
    const search = Search.create({
      ...this.options,
      onFound: line => this.handleFound(line),
      onTry: (tried, error) => {
        this.newestTries = [...this.newestTries, tried].slice(-MAX_TRIES);
        this.lastError = error ?? this.lastError;
      },
    });
    this.newestTries = [];
    this.lastError = undefined;
    search.askNext();
    return search;
  }

  private handleFound(line: ControlConnection): void {
    this.options.connections.recordLeader(line);
    const {waiting} = this;
    this.waiting = new Set();
    // Each takes the line for itself before the search gives it back.
    waiting.forEach(onFound => onFound(line));
    this.stop();
  }
}

/** What one search works with. */
interface SearchOptions extends LeaderFinderOptions {
  readonly onFound: (line: ControlConnection) => void;
  readonly onTry: (tried: SearchTry, error?: Error) => void;
}

/** One search, from the first question to the first that leads. */
class Search {
  private readonly order: LeaderCandidates;
  private readonly taken: ControlConnection[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private isOver = false;

  private constructor(private readonly options: SearchOptions) {
    this.order = LeaderCandidates.create(options.listAddresses());
  }

  static create(options: SearchOptions): Search {
    return new Search(options);
  }

  stop(): void {
    this.isOver = true;
    this.timers.forEach(timer => clearTimeout(timer));
    this.taken
      .splice(0)
      .forEach(line => this.options.connections.release(line));
  }

  askNext(): void {
    if (this.isOver) {
      return;
    }
    const address = this.order.takeNext();
    if (address !== undefined) {
      void this.askOne(address);
      return;
    }
    this.schedule(ROUND_PAUSE_MS, () => {
      this.order.add(this.options.listAddresses());
      this.order.startRound();
      this.askNext();
    });
  }

  private async askOne(address: string): Promise<void> {
    const startedAt = performance.now();
    let hasMovedOn = false;
    const moveOn = () => {
      if (!hasMovedOn) {
        hasMovedOn = true;
        this.askNext();
      }
    };
    const line = this.takeLine(address);
    this.schedule(BESIDE_MS, moveOn);
    const outcome = await line.ready.then(
      () => this.askLine(line),
      (error: Error) => error,
    );
    if (!this.isOver) {
      this.handleOutcome(line, outcome, startedAt);
      moveOn();
    }
  }

  private takeLine(address: string): ControlConnection {
    const line = this.options.connections.acquire(address);
    this.taken.push(line);
    return line;
  }

  /** Undefined when it is silent for long or its connection ends. */
  private askLine(
    line: ControlConnection,
  ): Promise<ControlMessage | undefined> {
    return new Promise(resolve => {
      const timer = this.schedule(SILENT_MS, () => {
        this.options.connections.evict(line);
        resolve(undefined);
      });
      void line.call({type: 'leader-ask'}).then(answer => {
        clearTimeout(timer);
        resolve(answer);
      });
    });
  }

  private handleOutcome(
    line: ControlConnection,
    outcome: ControlMessage | Error | undefined,
    startedAt: number,
  ): void {
    const {onFound, onRedirect: onTold, onTry} = this.options;
    const {address} = line;
    const tookMs = Math.round(performance.now() - startedAt);
    this.order.finish(address);
    if (outcome instanceof Error) {
      onTry({address, outcome: 'unreached', tookMs}, outcome);
    } else if (outcome === undefined) {
      onTry({address, outcome: 'silent', tookMs});
    } else if (outcome.type === 'not-leader') {
      onTry({address, outcome: 'does not lead', tookMs});
      this.order.add(outcome.control ?? []);
      onTold(outcome.control ?? []);
    } else {
      onTry({address, outcome: 'leads', tookMs});
      onFound(line);
    }
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
